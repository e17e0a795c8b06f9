#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/request.hpp>
#include <base/response.hpp>

#include <cstdint>
#include <variant>

namespace proxy {

/// The entry daemon sends the request to the home again, as the members now choose it.
struct forward_again {
    friend auto operator<=>(const forward_again&, const forward_again&) = default;
};

/// What the entry daemon does after it failed to get an answer from a home.
using entry_action = std::variant<base::response, forward_again>;

/// What is known about an attempt to forward a request that brought no answer.
enum class forward_failure : std::uint8_t {
    /// Nothing of the request was sent.
    not_sent,
    /// The request may have reached the home and may have run.
    answer_lost,
};

/// Decides what follows a lost home.
///
/// A request that was not sent may be sent again. One whose answer was lost may be sent again only if it is
/// harmless to repeat: a read, a question for an outcome, or a write whose key protects it. The steps of a
/// transaction are never sent again, because its connection died with the home.
/// `time_left` is what remains of the caller's deadline.
[[nodiscard]] entry_action decide_after_lost_owner(const base::request& request, forward_failure failure,
                                                   const base::error& reason,
                                                   base::clock::duration time_left);

/// Whether an earlier attempt to forward the same request may have run at its home.
enum class earlier_forwards : std::uint8_t { none_ran, may_have_run };

/// Returns what the entry daemon may tell the caller after `last`.
///
/// A refusal by a second home proves nothing about the first one, whose answer was lost, and a question for
/// an outcome that was itself refused proves nothing about its key. In both cases `not_run` becomes
/// `unknown`, except after a released cancellation.
[[nodiscard]] base::response vouch_for(const base::response& last, const base::request& request,
                                       earlier_forwards earlier);

} // namespace proxy
