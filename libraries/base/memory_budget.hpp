#pragma once

#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace base {

/// What the memory of a process that serves clients is used for.
enum class memory_part : std::uint8_t {
    /// Open connections with their state and the buffer that an ordinary line needs.
    connections,
    /// Bytes of clients that are not yet a complete message, and messages that wait for memory to run.
    input,
    /// Values and prepared statements of sessions.
    values,
    /// Responses that are being read from databases or wait to be sent.
    responses,
    /// Statements larger than an ordinary line while they are queued or run.
    queued,
};

inline constexpr std::size_t memory_part_count = 5;
inline constexpr std::array<memory_part, memory_part_count> memory_parts{
    memory_part::connections, memory_part::input, memory_part::values, memory_part::responses,
    memory_part::queued};

/// Returns the name of a part for metrics and logs.
[[nodiscard]] std::string_view name_of(memory_part part) noexcept;

/// How many bytes each part may hold. What the process itself needs is left out.
struct memory_shares {
    std::array<std::uint64_t, memory_part_count> bytes_{};

    [[nodiscard]] std::uint64_t of(memory_part part) const noexcept {
        return bytes_.at(static_cast<std::size_t>(part));
    }

    friend auto operator<=>(const memory_shares&, const memory_shares&) = default;
};

/// Divides the memory of a host. Half of it is kept for the process itself and for what the allocator cannot
/// return: leases, takeovers, the view of the fleet and connections to databases do not depend on clients.
[[nodiscard]] memory_shares divide_memory(std::uint64_t memory_bytes) noexcept;

/// Counts the bytes that each part of a process holds against its share.
///
/// A part never borrows from another one, so that a crowd that uses up one part does not hinder the rest.
/// Thread safety: any thread.
class memory_budget {
public:
    explicit memory_budget(const memory_shares& shares) noexcept { set_shares(shares); }

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    memory_budget(memory_budget&&) = delete;
    memory_budget& operator=(memory_budget&&) = delete;
    ~memory_budget() = default;

    /// Replaces the shares. A part that holds more than its new share gets nothing until it holds less.
    void set_shares(const memory_shares& shares) noexcept;

    /// Takes bytes of a part. Returns false, and records that the part is short, if its share does not
    /// suffice.
    [[nodiscard]] bool try_take(memory_part part, std::uint64_t bytes) noexcept;
    /// Takes bytes of a part even beyond its share, for memory that is already in use.
    void take(memory_part part, std::uint64_t bytes) noexcept;
    /// Returns bytes to a part. Precondition: they were taken from it.
    void give_back(memory_part part, std::uint64_t bytes) noexcept;

    [[nodiscard]] std::uint64_t held(memory_part part) const noexcept;
    [[nodiscard]] std::uint64_t share(memory_part part) const noexcept;
    /// Returns how often a part did not suffice since the start. A change since the last look means that it
    /// is short.
    [[nodiscard]] std::uint64_t shortages(memory_part part) const noexcept;

private:
    struct part_state {
        std::atomic<std::uint64_t> held_{0};
        std::atomic<std::uint64_t> share_{0};
        std::atomic<std::uint64_t> shortages_{0};
    };

    [[nodiscard]] part_state& state_of(memory_part part) noexcept {
        return parts_.at(static_cast<std::size_t>(part));
    }
    [[nodiscard]] const part_state& state_of(memory_part part) const noexcept {
        return parts_.at(static_cast<std::size_t>(part));
    }

    std::array<part_state, memory_part_count> parts_;
};

/// Holds bytes of one part of a budget and returns them at the end of its life. Without a budget it counts
/// nothing and always succeeds. Thread safety: used by one thread at a time.
class memory_hold {
public:
    memory_hold() = default;
    /// Precondition: `budget` is null or outlives the hold.
    memory_hold(memory_budget* budget, memory_part part) noexcept : budget_{budget}, part_{part} {}
    memory_hold(const memory_hold&) = delete;
    memory_hold& operator=(const memory_hold&) = delete;
    memory_hold(memory_hold&& other) noexcept
        : budget_{other.budget_}, part_{other.part_}, bytes_{std::exchange(other.bytes_, 0)} {}
    memory_hold& operator=(memory_hold&& other) noexcept {
        if (this != &other) {
            release();
            budget_ = other.budget_;
            part_ = other.part_;
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }
    ~memory_hold() { release(); }

    /// Changes how many bytes are held. Returns false and changes nothing if the part's share does not
    /// suffice; holding fewer always succeeds.
    [[nodiscard]] bool try_resize(std::uint64_t bytes) noexcept;
    /// Changes how many bytes are held, even beyond the share.
    void resize(std::uint64_t bytes) noexcept;
    void release() noexcept { resize(0); }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

private:
    memory_budget* budget_ = nullptr;
    memory_part part_ = memory_part::connections;
    std::uint64_t bytes_ = 0;
};

} // namespace base
