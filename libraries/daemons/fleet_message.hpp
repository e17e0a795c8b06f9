#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/store_revision.hpp>
#include <daemons/quota_message.hpp>
#include <daemons/takeover_record.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daemons {

/// The kind of a message in the peer exchange between session daemons.
enum class fleet_message_kind : std::uint8_t {
    /// Requests the receiver's last store read, its takeover records and its active takeovers, which renew a
    /// primary lease.
    request,
    response,
    /// Requests that the receiver stop using a primary; repeated until it responds.
    stop_request,
    /// The sender has stopped using the primary and has no operation in flight there.
    stop_response,
    /// Reports that the primary of a service does not respond to the sender. No longer sent: requests report
    /// it.
    suspicion,
    /// Announces a new state of a takeover record.
    notice,
    /// The leader has lost contact with the store and resigns the leadership whose fencing token is in
    /// `number_`: it sends no further promotion requests, and none is in flight.
    resignation,
};

/// The state of a service's primary as a daemon observes it.
enum class primary_observation : std::uint8_t { answers, unknown, fails };

/// One daemon's observation of one primary.
struct observed_primary_fields {
    std::string service_;
    std::string database_;
    primary_observation observation_ = primary_observation::unknown;

    friend auto operator<=>(const observed_primary_fields&, const observed_primary_fields&) = default;
    friend bool operator==(const observed_primary_fields&, const observed_primary_fields&) = default;
};

using observed_primary = base::immutable<observed_primary_fields>;

/// The revisions of the last changes of a part of the store that a daemon has received; number 0 for none.
struct received_revisions {
    base::store_revision databases_;
    base::store_revision configuration_;

    friend auto operator<=>(const received_revisions&, const received_revisions&) = default;
};

struct fleet_message_fields {
    fleet_message_kind kind_ = fleet_message_kind::request;
    /// Matches a response to its request.
    std::uint64_t number_ = 0;
    /// Peer address of the sender.
    std::string sender_;
    std::uint64_t run_ = 0;
    /// The history of the store that the sender knows.
    base::store_era era_ = base::store_era::unstated;
    /// Whether the sender's takeover records were confirmed in this history: they lack none that an earlier
    /// history had.
    bool is_confirmed_ = false;
    /// In a response: the age of the sender's own last store read; empty if there was none.
    std::optional<base::clock::duration> store_read_age_;
    /// In a response: the run under which the sender knows the requesting daemon as registered; 0 if it does
    /// not. An unregistered daemon is not asked before a takeover, so it must not renew its primary lease
    /// from peers' responses.
    std::uint64_t known_run_ = 0;
    /// In a response: the version of the possible leaders at that store read.
    possible_leaders_version possible_leaders_;
    /// In a response: the number of registered daemons at that store read.
    std::uint64_t registered_daemons_ = 0;
    /// In a response: the peer address of the leader that the sender knows, and the revision of the leader's
    /// key; empty if it knows none.
    std::string leader_;
    base::store_revision leader_revision_;
    std::vector<takeover_record> records_;
    /// In a request and a response: identifies the takeover records that the sender knows. A response to a
    /// daemon that knows the same ones omits them.
    std::uint64_t records_digest_ = 0;
    /// In a stop request: how long statements in flight may continue.
    base::clock::duration grace_{0};
    /// Services for which the sender has begun a takeover that is not finished.
    std::vector<std::string> active_takeovers_;
    std::vector<observed_primary> primaries_;
    /// What the sender has received from the store. Shows a receiver that is behind that the response to its
    /// watch was lost.
    received_revisions received_;
    /// The version of the configuration that the sender uses; 0 for none.
    std::uint64_t configuration_version_ = 0;
    /// In a request to the leader and its response: the tokens of tenants with limits. Takes no bytes while
    /// it is empty.
    quota_part quota_;

    friend auto operator<=>(const fleet_message_fields&, const fleet_message_fields&) = default;
    friend bool operator==(const fleet_message_fields&, const fleet_message_fields&) = default;
};

using fleet_message = base::immutable<fleet_message_fields>;

/// Returns a number that is equal for equal sets of takeover records. Records of a service with the same
/// revision are equal. Thread safety: pure function.
[[nodiscard]] std::uint64_t digest_of(const std::vector<takeover_record>& records);
/// The same for registrations.
[[nodiscard]] std::uint64_t digest_of(const std::vector<registration>& registrations);

} // namespace daemons
