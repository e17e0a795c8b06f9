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
#include <proxy/hold_back_decision.hpp>
#include <proxy/owner_cache.hpp>
#include <proxy/routing.hpp>
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

/// Serves requests of groups whose home is this daemon.
template <typename Owners>
concept local_owners = requires(Owners& owners, routed_request routed) {
    { owners.execute(std::move(routed)) } -> std::same_as<boost::asio::awaitable<base::response>>;
};

/// Asks other daemons to serve requests.
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

/// The entry of requests at one thread of a daemon: finds the home of the group and has it serve the request.
///
/// Thread safety: used by one thread only; reads what the threads share through snapshots. Lifetime: outlives
/// its requests.
template <local_owners Owners, request_forwarder Forwarder, base::time_source Clock>
class entry {
public:
    /// Precondition: the arguments outlive the entry.
    entry(daemon_state& state, Owners& owners, Forwarder& forwarder, const Clock& clock)
        : state_{state}, owners_{owners}, forwarder_{forwarder}, clock_{clock} {}

    /// Serves a request of a caller to its end. Satisfies `callers::request_service`.
    [[nodiscard]] boost::asio::awaitable<base::response> response(base::request request) {
        const auto configuration = state_.configuration().get();
        const auto numbered =
            request.with([this](base::request_fields& fields) { fields.id_ = state_.next_request_number(); });
        const auto routed = route(*configuration, numbered);
        if (!routed) {
            const auto refused = base::not_run(routed.last_reason());
            co_return vouch_for(refused, numbered, earlier_forwards::none_ran);
        }
        const auto deadline = clock_.now() + (*routed)->request_->time_left_;
        auto earlier = earlier_forwards::none_ran;
        while (true) {
            const auto owner = find_owner(*routed);
            if (!owner) {
                const auto refused = base::not_run(base::error{
                    base::error_kind::peer_unavailable, "no live daemon can serve the database group"});
                co_return vouch_for(refused, numbered, earlier);
            }
            const auto timed = with_time_left(*routed, deadline);
            if ((*owner)->name_ == state_.settings()->name_) {
                const auto served = co_await owners_.execute(timed);
                co_return vouch_for(served, numbered, earlier);
            }
            // A request that may have run already goes on, because only its home can find out.
            const auto pause =
                earlier == earlier_forwards::none_ran ? find_throttle_delay(*owner, timed) : std::nullopt;
            if (pause) {
                co_return base::not_run(base::error{base::error_kind::overloaded,
                                                    "the home of the database group holds back this rank"},
                                        *pause);
            }
            const auto answered = co_await forward(*owner, timed, deadline);
            if (std::holds_alternative<base::response>(answered.action_)) {
                co_return vouch_for(std::get<base::response>(answered.action_), numbered, earlier);
            }
            if (answered.failure_ == forward_failure::answer_lost) {
                earlier = earlier_forwards::may_have_run;
            }
            co_await http::sleep_for(owner_retry_delay);
        }
    }

private:
    /// What a forwarded request has come to.
    struct forwarded {
        entry_action action_;
        /// Set when no answer arrived.
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

    // A step of a transaction goes to the daemon that holds its connection, whoever the home is by now.
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

    boost::asio::awaitable<forwarded> forward(daemons::member owner, routed_request routed,
                                              base::clock::time_point deadline) {
        const auto& request = routed->request_;
        // The home answers by the deadline; the margin lets that answer arrive instead of being given up.
        auto answered =
            co_await forwarder_.forward(owner->address_, request, request->time_left_ + response_margin);
        if (answered) {
            forwarded served{*std::move(answered), std::nullopt};
            co_return served;
        }
        const auto& reason = answered.last_reason();
        base::log_event(
            events::home_lost,
            {{"group", request->service_}, {"home", owner->name_}, {"reason", reason.to_string()}});
        const auto failure =
            daemons::may_have_run(reason) ? forward_failure::answer_lost : forward_failure::not_sent;
        forwarded failed{decide_after_lost_owner(request, failure, reason, time_until(deadline)), failure};
        co_return failed;
    }

    static constexpr base::clock::duration response_margin{100};
    /// Lets the member list change before the same home is tried again.
    static constexpr base::clock::duration owner_retry_delay{50};

    daemon_state& state_;
    Owners& owners_;
    Forwarder& forwarder_;
    const Clock& clock_;
    owner_cache owner_cache_;
};

} // namespace proxy
