#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace stand_ins::database {

/// Which messages of a cut are lost, seen from the database.
enum class cut_direction : std::uint8_t { in, out, both };

/// The staged faults of a database. Thread safety: immutable value; each function returns a changed copy.
class faults {
public:
    [[nodiscard]] faults frozen() const;
    [[nodiscard]] faults thawed() const;
    /// Cuts the link to `peer`, or to everyone when it is empty.
    [[nodiscard]] faults with_cut(cut_direction direction, std::string peer) const;
    /// Removes all cuts. Silent connections stay silent.
    [[nodiscard]] faults healed() const;
    /// Makes the connections numbered up to `newest` silent for good.
    [[nodiscard]] faults with_silence(std::size_t newest) const;

    [[nodiscard]] bool is_frozen() const noexcept { return is_frozen_; }
    [[nodiscard]] bool is_silent(std::size_t connection) const noexcept {
        return connection <= silent_up_to_;
    }
    /// Returns whether a message of `peer` does not arrive.
    [[nodiscard]] bool holds_incoming(const std::string& peer) const;
    /// Returns whether a message to `peer` does not leave.
    [[nodiscard]] bool holds_outgoing(const std::string& peer) const;

    friend auto operator<=>(const faults&, const faults&) = default;

private:
    using cut = std::pair<cut_direction, std::string>;

    [[nodiscard]] bool is_cut(cut_direction direction, const std::string& peer) const;

    bool is_frozen_ = false;
    std::set<cut> cuts_;
    std::size_t silent_up_to_ = 0;
};

} // namespace stand_ins::database
