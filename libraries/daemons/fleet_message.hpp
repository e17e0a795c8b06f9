#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <daemons/takeover_record.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daemons {

/// What a message between session daemons asks, answers or tells.
enum class fleet_message_kind : std::uint8_t {
    /// Asks for the evidence and the takeover records of the receiver.
    request,
    response,
    /// Asks the receiver to stop using a primary; repeated until it answers.
    stop_request,
    /// The sender uses the primary no longer, and has nothing under way there.
    stop_response,
    /// Tells that the primary of a service does not answer the sender.
    suspicion,
    /// Tells a new state of a takeover record.
    notice,
    /// The holder of the duty has lost the store and gives the duty with the token in `number_` up: it orders
    /// nothing any more, and none of its orders is under way.
    resignation,
};

/// How a daemon sees the primary of a service.
enum class primary_observation : std::uint8_t { answers, unknown, fails };

/// One daemon's sight of one primary.
struct observed_primary_fields {
    std::string service_;
    std::string database_;
    primary_observation observation_ = primary_observation::unknown;

    friend auto operator<=>(const observed_primary_fields&, const observed_primary_fields&) = default;
    friend bool operator==(const observed_primary_fields&, const observed_primary_fields&) = default;
};

using observed_primary = base::immutable<observed_primary_fields>;

struct fleet_message_fields {
    fleet_message_kind kind_ = fleet_message_kind::request;
    /// Pairs a question with its answer.
    std::uint64_t number_ = 0;
    /// Peer address of the sender.
    std::string sender_;
    std::uint64_t run_ = 0;
    /// For an answer: how long ago the sender read the store itself; nothing if it did not.
    std::optional<base::clock::duration> store_read_age_;
    /// For an answer: the run of the asking daemon under which the sender knows it as registered; 0 for none.
    /// A daemon that is not registered is not asked before a takeover, so it must not rest on peers'
    /// evidence.
    std::uint64_t known_run_ = 0;
    /// For an answer: the list of registered daemons at that read of the store.
    registration_list_version registered_;
    std::vector<takeover_record> records_;
    /// For a stop request: how long statements under way may go on.
    base::clock::duration grace_{0};
    /// Services of which the sender has begun a takeover that is not settled.
    std::vector<std::string> active_takeovers_;
    std::vector<observed_primary> primaries_;

    friend auto operator<=>(const fleet_message_fields&, const fleet_message_fields&) = default;
    friend bool operator==(const fleet_message_fields&, const fleet_message_fields&) = default;
};

using fleet_message = base::immutable<fleet_message_fields>;

} // namespace daemons
