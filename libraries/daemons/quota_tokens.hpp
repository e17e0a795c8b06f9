#pragma once

#include <base/clock.hpp>

#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace daemons {

/// A token that an operation has taken.
struct quota_token {
    enum class source : std::uint8_t { local, lent };

    source source_ = source::local;
    base::clock::time_point taken_at_{};
    /// When a lent token becomes void.
    base::clock::time_point expiry_{};

    friend auto operator<=>(const quota_token&, const quota_token&) = default;
};

/// The tokens of one tenant at one daemon, and the demand for them.
///
/// Holds the content of the daemon's own bucket and the tokens that the leader has lent. Request threads take
/// and return tokens, the control thread adds them. Thread safety: lock-free; every function may be called
/// from any thread.
class quota_tokens {
public:
    /// Takes a token if there is one. Lent tokens are taken first, because they expire.
    [[nodiscard]] std::optional<quota_token> take(base::clock::time_point now) noexcept;

    /// Returns a token of an operation that no database ran. A token that was taken too long ago is lost.
    void give_back(const quota_token& token, base::clock::time_point now) noexcept;

    /// Adds to the daemon's own bucket, up to its capacity, which is also enforced on the content.
    void fill_local(double tokens, double capacity) noexcept;
    /// Adds lent tokens. Precondition: `expiry` is at most `lent_token_lifetime` after `now`.
    void add_lent(std::uint32_t count, base::clock::time_point expiry, base::clock::time_point now) noexcept;
    /// Makes the lent tokens void, because the tenant's limit became lower.
    void void_lent() noexcept;

    [[nodiscard]] double local_content() const noexcept;
    [[nodiscard]] std::uint32_t lent_content(base::clock::time_point now) const noexcept;

private:
    // Expiries are rounded down to a multiple of this.
    static constexpr std::int64_t slot_ms = 64;
    // More than the slots that expire within the lifetime of a lent token.
    static constexpr std::size_t slots = 32;
    static constexpr double unit = 1'000'000;

    /// Number of the slot in the upper bits and count of tokens in the lower ones.
    using packed_slot = std::uint64_t;
    static constexpr unsigned count_bits = 24;
    static constexpr packed_slot count_mask = (packed_slot{1} << count_bits) - 1;

    [[nodiscard]] static std::uint64_t slot_of(base::clock::time_point moment) noexcept {
        return static_cast<std::uint64_t>(moment.time_since_epoch().count() / slot_ms);
    }

    /// Content of the daemon's own bucket in millionths of a token.
    std::atomic<std::int64_t> local_{0};
    std::atomic<std::int64_t> local_capacity_{0};
    /// The slot of the newest lent token, so that a tenant without lent tokens costs one load.
    std::atomic<std::uint64_t> newest_slot_{0};
    std::array<std::atomic<packed_slot>, slots> lent_{};
};

} // namespace daemons
