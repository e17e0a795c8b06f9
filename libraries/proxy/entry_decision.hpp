#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/request.hpp>
#include <base/response.hpp>

#include <cstdint>
#include <variant>

namespace proxy {

/// The entry daemon forwards the request again, to the owner by the current member list.
struct forward_again {
    friend auto operator<=>(const forward_again&, const forward_again&) = default;
};

/// What the entry daemon does after it received no response from an owner.
using entry_action = std::variant<base::response, forward_again>;

/// What is known about a forwarded request that received no response.
enum class forward_failure : std::uint8_t {
    /// Nothing of the request was sent.
    not_sent,
    /// The request may have reached the owner and may have run.
    response_lost,
};

/// Decides what to do after the owner of a group was lost while a request was forwarded to it.
///
/// A request that was not sent may be sent again. One whose response was lost may be sent again only if it is
/// safe to repeat: a read, an outcome request, or a write with an idempotency key. A step of a transaction is
/// never sent again, because the transaction's connection was closed with its owner.
/// `time_left` is the time until the caller's deadline.
[[nodiscard]] entry_action decide_after_lost_owner(const base::request& request, forward_failure failure,
                                                   const base::error& reason,
                                                   base::clock::duration time_left);

/// Whether an earlier attempt to forward the same request may have run at its owner.
enum class earlier_forwards : std::uint8_t { none_ran, may_have_run };

/// Returns the response that the entry daemon may give to the caller after `last`.
///
/// A refusal by a second owner proves nothing about the first one, whose response was lost, and a refused
/// outcome request proves nothing about its key. In both cases `not_run` becomes `unknown`, except after a
/// committed cancellation of the key.
[[nodiscard]] base::response to_proven_response(const base::response& last, const base::request& request,
                                                earlier_forwards earlier);

} // namespace proxy
