#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace base {

/// What a request wants of the database group.
enum class access : std::uint8_t {
    /// Its statements only read.
    read,
    /// Its statements may change data.
    write,
    /// It has no statements: it asks what became of its idempotency key, and cancels the key if it never ran.
    settle,
};

/// How a request takes part in a session.
enum class session_state : std::uint8_t {
    /// Outside any session: the declared staleness alone decides.
    none,
    /// In a session that has no token: served as if the session's last write were the newest.
    without_token,
    /// In a session with a token: served from a history that holds the token's position.
    with_token,
};

/// What a request does to a transaction that spans several requests.
enum class transaction_step : std::uint8_t { none, begin, statement, commit, rollback };

/// What a caller asks for, in no wire format.
struct request_fields {
    /// Identifies the request among all that its entry daemon has in flight.
    std::uint64_t id_ = 0;
    /// The service, which is also the name of its database group.
    std::string service_;
    std::string tenant_;
    std::string rank_;
    access access_ = access::read;
    std::vector<std::string> statements_;
    /// The read class of the declaration; empty for its default.
    std::string read_class_;
    std::optional<std::string> idempotency_key_;
    session_state session_ = session_state::none;
    /// The last write of the session. Set exactly when `session_` is `with_token`.
    log_position token_;
    transaction_step step_ = transaction_step::none;
    /// The handle that `begin` returned; empty outside a transaction and for `begin`.
    std::string transaction_;
    /// The time left to answer. Relative, because the clocks of two hosts differ.
    clock::duration time_left_{0};

    friend auto operator<=>(const request_fields&, const request_fields&) = default;
    friend bool operator==(const request_fields&, const request_fields&) = default;
};

using request = immutable<request_fields>;

} // namespace base
