#pragma once

#include <base/immutable.hpp>
#include <base/store_revision.hpp>

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace daemons {

/// The progress of the replacement of a service's primary.
enum class takeover_phase : std::uint8_t {
    /// No daemon may use the replaced primary any more.
    open,
    /// The chosen database was, or is about to be, promoted.
    promoting,
    /// The chosen database is the primary.
    settled,
};

/// The term of a primary whose term was not observed; greater than every term.
inline constexpr std::uint64_t unknown_term = std::numeric_limits<std::uint64_t>::max();

/// The store's record of a service's last change of primary.
struct takeover_record_fields {
    std::string service_;
    takeover_phase phase_ = takeover_phase::settled;
    /// The previous primary; empty if it was unknown.
    std::string replaced_;
    /// The new primary; empty while `open`.
    std::string chosen_;
    /// The store's revision of the record, in the history in which the record was written: a later one is
    /// newer. The stored value states the history, and the store the number.
    base::store_revision revision_;
    /// The term of the last primary on which a takeover settled; 0 before the first takeover. A database that
    /// reports itself as the primary of an earlier term has been replaced and has not heard of that.
    std::uint64_t primary_term_ = unknown_term;

    friend auto operator<=>(const takeover_record_fields&, const takeover_record_fields&) = default;
    friend bool operator==(const takeover_record_fields&, const takeover_record_fields&) = default;
};

using takeover_record = base::immutable<takeover_record_fields>;

/// Returns the record's stored value, a JSON object.
[[nodiscard]] std::string encode_record(const takeover_record& record);
/// Parses a stored record that was read at a revision. Returns nothing when the value is invalid.
[[nodiscard]] std::optional<takeover_record> decode_record(std::string_view service, std::string_view value,
                                                           base::store_revision read);
/// Returns the record that stands for a stored one that cannot be decoded: an open takeover of an unknown
/// primary, which the leader finishes.
[[nodiscard]] takeover_record damaged_record(std::string_view service, base::store_revision read);

/// A daemon's registration in the store. A registered daemon may use primaries, so it must stop using one
/// before that one is replaced.
struct registration_fields {
    /// Peer address, which identifies the daemon in the fleet.
    std::string address_;
    /// A random number chosen at each start of the process.
    std::uint64_t run_ = 0;
    /// Whether the leader found the daemon unresponsive and is about to remove it.
    bool is_marked_ = false;
    /// The store's revision of the entry, in the history in which it was read. Not part of the stored value.
    base::store_revision revision_;

    friend auto operator<=>(const registration_fields&, const registration_fields&) = default;
    friend bool operator==(const registration_fields&, const registration_fields&) = default;
};

using registration = base::immutable<registration_fields>;

/// Identifies the daemons that may become or be the leader. What was read at different times is equal if the
/// versions are.
struct possible_leaders_version {
    /// Depends on the addresses of the candidates and the revisions of their registrations.
    std::uint64_t candidates_digest_ = 0;
    base::store_revision leader_revision_;

    friend auto operator<=>(const possible_leaders_version&, const possible_leaders_version&) = default;
};

[[nodiscard]] std::string encode_registration(const registration& entry);
[[nodiscard]] std::optional<registration>
decode_registration(std::string_view address, std::string_view value, base::store_revision revision);
/// Returns the registration that stands for a stored one that cannot be decoded: the daemon at this address
/// may use primaries until it registers anew.
[[nodiscard]] registration damaged_registration(std::string_view address, base::store_revision revision);

} // namespace daemons
