#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/request.hpp>
#include <base/response.hpp>
#include <daemons/peer_client.hpp>
#include <http/sleep.hpp>
#include <proxy/daemon_state.hpp>
#include <proxy/entry_decision.hpp>
#include <proxy/events.hpp>
#include <proxy/owner_cache.hpp>
#include <proxy/routing.hpp>
#include <proxy/throttle_decision.hpp>
#include <proxy/transaction_handle.hpp>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace proxy {

/// Executes requests of the groups that this daemon owns.
template <typename Owners>
concept local_owners = requires(Owners& owners, routed_request routed) {
    { owners.execute(std::move(routed)) } -> std::same_as<boost::asio::awaitable<base::response>>;
};

/// Forwards requests to other daemons and knows their throttle notices.
template <typename Forwarder>
concept request_forwarder = requires(Forwarder& forwarder, base::endpoint peer, base::request request,
                                     base::clock::duration timeout, std::string_view name,
                                     base::database_role role) {
    {
        forwarder.find_throttle_delay(peer, name, name, role)
        } -> std::same_as<std::optional<base::clock::duration>>;
    {
        forwarder.forward(peer, request, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<base::response>>>;
};

/// Accepts the requests of callers at one thread of a daemon and passes each to the owner of its group, which
/// is this daemon or another one.
///
/// Thread safety: used by one thread only; reads state shared between threads through snapshots. Lifetime:
/// outlives its requests.
template <local_owners Owners, request_forwarder Forwarder, base::time_source Clock>
class entry {
public:
    /// Precondition: the arguments outlive the entry.
    entry(daemon_state& state, Owners& owners, Forwarder& forwarder, const Clock& clock)
        : state_{state}, owners_{owners}, forwarder_{forwarder}, clock_{clock} {}

    /// Serves a caller's request, including retries, and returns the final response. Satisfies
    /// `callers::request_service`.
    [[nodiscard]] boost::asio::awaitable<base::response> respond(base::request request) {
        const auto configuration = state_.configuration().get();
        const auto numbered =
            request.with([this](base::request_fields& fields) { fields.id_ = state_.next_request_number(); });
        const auto routed = route(*configuration, numbered);
        if (!routed) {
            const auto refused = base::not_run(routed.last_reason());
            co_return to_proven_response(refused, numbered, earlier_forwards::none_ran);
        }
        const auto deadline = clock_.now() + (*routed)->request_->time_left_;
        auto earlier = earlier_forwards::none_ran;
        while (true) {
            const auto owner = find_owner(*routed);
            if (!owner) {
                const auto refused = base::not_run(base::error{
                    base::error_kind::peer_unavailable, "no live daemon can serve the database group"});
                co_return to_proven_response(refused, numbered, earlier);
            }
            const auto timed = with_time_left(*routed, deadline);
            if ((*owner)->name_ == state_.settings()->name_) {
                const auto served = co_await owners_.execute(timed);
                co_return to_proven_response(served, numbered, earlier);
            }
            // A request that may already have run is forwarded despite a throttle notice, because only the
            // owner can find out its outcome.
            const auto delay =
                earlier == earlier_forwards::none_ran ? find_throttle_delay(*owner, timed) : std::nullopt;
            if (delay) {
                co_return base::not_run(base::error{base::error_kind::overloaded,
                                                    "the owner of the database group throttles this rank"},
                                        *delay);
            }
            const auto result = co_await forward(*owner, timed, deadline);
            if (std::holds_alternative<base::response>(result.action_)) {
                co_return to_proven_response(std::get<base::response>(result.action_), numbered, earlier);
            }
            if (result.failure_ == forward_failure::response_lost) {
                earlier = earlier_forwards::may_have_run;
            }
            co_await http::sleep_for(next_owner_delay);
        }
    }

private:
    /// The result of forwarding a request.
    struct forward_result {
        entry_action action_;
        /// Set if no response arrived.
        std::optional<forward_failure> failure_;
    };

    [[nodiscard]] base::clock::duration time_until(base::clock::time_point deadline) const {
        return std::max(deadline - clock_.now(), base::clock::duration{0});
    }

    [[nodiscard]] routed_request with_time_left(const routed_request& routed,
                                                base::clock::time_point deadline) const {
        return routed.with([&](routed_request_fields& fields) {
            fields.request_ = fields.request_.with(
                [&](base::request_fields& request) { request.time_left_ = time_until(deadline); });
        });
    }

    // A step of an open transaction goes to the daemon that holds its connection, even if the group has
    // another owner by now.
    [[nodiscard]] std::optional<daemons::member> find_owner(const routed_request& routed) {
        auto members = state_.members().get();
        const auto& request = routed->request_;
        if (!request->transaction_.empty()) {
            const auto handle = transaction_handle::parse(request->transaction_);
            const auto* holder = handle ? members->find(handle->daemon()) : nullptr;
            return holder == nullptr ? std::nullopt : std::optional{*holder};
        }
        return owner_cache_.find(std::move(members), routed->service_->region_, routed->service_->name_);
    }

    [[nodiscard]] std::optional<base::clock::duration> find_throttle_delay(const daemons::member& owner,
                                                                           const routed_request& routed) {
        const auto& request = routed->request_;
        return may_be_throttled(request) ? forwarder_.find_throttle_delay(owner->address_, request->service_,
                                                                          request->rank_, needed_role(routed))
                                         : std::nullopt;
    }

    boost::asio::awaitable<forward_result> forward(daemons::member owner, routed_request routed,
                                                   base::clock::time_point deadline) {
        const auto& request = routed->request_;
        // The owner responds by the deadline at the latest. The margin covers the way back, so that its
        // response is received instead of a timeout.
        auto result =
            co_await forwarder_.forward(owner->address_, request, request->time_left_ + response_margin);
        if (result) {
            forward_result served{*std::move(result), std::nullopt};
            co_return served;
        }
        const auto& reason = result.last_reason();
        base::log_event(
            events::home_lost,
            {{"group", request->service_}, {"home", owner->name_}, {"reason", reason.to_string()}});
        const auto failure =
            daemons::may_have_run(reason) ? forward_failure::response_lost : forward_failure::not_sent;
        forward_result failed{decide_after_lost_owner(request, failure, reason, time_until(deadline)),
                              failure};
        co_return failed;
    }

    static constexpr base::clock::duration response_margin{100};
    /// Gives the member list time to change before the same owner is tried again.
    static constexpr base::clock::duration next_owner_delay{50};

    daemon_state& state_;
    Owners& owners_;
    Forwarder& forwarder_;
    const Clock& clock_;
    owner_cache owner_cache_;
};

} // namespace proxy
