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

/// How a request accesses the database group.
enum class access : std::uint8_t {
    /// Statements that only read.
    read,
    /// Statements that may change data.
    write,
    /// No statements: queries the outcome of the request's idempotency key, and cancels the key if no request
    /// with it has run.
    settle,
};

/// How a request takes part in a session.
enum class session_state : std::uint8_t {
    /// Not part of a session: only the declared staleness applies.
    none,
    /// In a session without a token: treated as if the session's last write were the newest write.
    without_token,
    /// In a session with a token: served by a database whose log contains the token's position.
    with_token,
};

/// The role of a request in a transaction that spans several requests.
enum class transaction_step : std::uint8_t { none, begin, statement, commit, rollback };

/// A caller's request, independent of any wire format.
struct request_fields {
    /// Unique among the requests that its entry daemon has in flight.
    std::uint64_t id_ = 0;
    /// The service; its database group has the same name.
    std::string service_;
    std::string tenant_;
    std::string rank_;
    access access_ = access::read;
    std::vector<std::string> statements_;
    /// The name of a declared read class; empty for the default one.
    std::string read_class_;
    std::optional<std::string> idempotency_key_;
    session_state session_ = session_state::none;
    /// The position of the session's last write. Set if and only if `session_` is `with_token`.
    log_position token_;
    transaction_step step_ = transaction_step::none;
    /// The transaction handle returned by `begin`; empty for `begin` itself and outside a transaction.
    std::string transaction_;
    /// The time until the caller's deadline. Relative, because the clocks of two hosts differ.
    clock::duration time_left_{0};

    friend auto operator<=>(const request_fields&, const request_fields&) = default;
    friend bool operator==(const request_fields&, const request_fields&) = default;
};

using request = immutable<request_fields>;

} // namespace base
