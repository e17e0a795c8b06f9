#pragma once

#include <base/clock.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_demand.hpp>
#include <daemons/quota_ledger.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>
#include <proxy/control_context.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// The part of the peer exchange that is about limits of tenants: adds what this daemon wants to its requests
/// to the leader, hands out what responses lend, and lends as the leader. Does nothing while no tenant has a
/// limit. Thread safety: control thread.
template <typename Platform>
class quota_exchange {
public:
    /// `send_request` sends a request to the leader at once.
    quota_exchange(control_context<Platform>& control, std::function<void()> send_request)
        : control_{control}, send_request_{std::move(send_request)} {}

    /// Fills the daemon's own buckets, and sends a request when an operation waits for a token, until the
    /// process ends. Precondition: the request threads have not been started when it is first called.
    [[nodiscard]] boost::asio::awaitable<void> run() {
        for (;;) {
            const auto now = base::clock::now();
            control_.shared_.quota_signal_.reset();
            auto pause = idle_interval;
            if (quota().has_limits()) {
                update_fleet(now);
                quota().tick(now);
                pause = quota().is_waited_for() ? ask_early(now) : tick_interval;
                ask_self_if_due(now);
            }
            co_await woken_.wait_for(pause);
            if (base::clock::now() - now < min_pause) {
                co_await http::sleep_for(min_pause);
            }
        }
    }

    /// Connects the request threads' signal. Called once, before they are started.
    void connect() {
        control_.shared_.quota_signal_.connect(
            [this] { boost::asio::post(control_.context_, [this] { woken_.notify_all(); }); });
    }

    /// Adds what this daemon wants to a request to the leader.
    void add_to_request(daemons::fleet_message_fields& request, base::clock::time_point now) {
        if (quota().has_limits()) {
            requested_at_ = now;
            request.quota_ = quota().make_request(request.number_, now);
        }
    }

    /// Adds what this daemon lends to a response, if it is the leader.
    void add_to_response(const daemons::fleet_message_fields& request,
                         daemons::fleet_message_fields& response, base::clock::time_point now) {
        if (request.quota_->is_empty()) {
            return;
        }
        if (auto lent = lend(request.sender_, request.quota_, now)) {
            response.quota_ = std::move(*lent);
        }
    }

    void handle_response(const daemons::fleet_message_fields& response, base::clock::time_point now) {
        if (response.registered_daemons_ > 0) {
            reported_daemons_ = response.registered_daemons_;
        }
        if (!response.quota_->is_empty()) {
            quota().handle_response(response.number_, response.quota_, now);
        }
    }

private:
    [[nodiscard]] quota_control& quota() noexcept { return control_.quota_; }

    /// Sends a request if the last one is old enough. Returns how long to wait for the next.
    base::clock::duration ask_early(base::clock::time_point now) {
        const auto interval = daemons::early_request_interval(quota().daemons());
        const auto since = now - requested_at_;
        if (since < interval) {
            return interval - since;
        }
        if (control_.leadership_) {
            ask_self(now);
        } else if (!control_.leader_.empty() && control_.leader_ != control_.address_) {
            send_request_();
        }
        return interval;
    }

    /// The leader's own operations get tokens as those of all other daemons do.
    void ask_self_if_due(base::clock::time_point now) {
        if (control_.leadership_ && now - requested_at_ >= own_request_interval) {
            ask_self(now);
        }
    }

    void ask_self(base::clock::time_point now) {
        requested_at_ = now;
        const auto number = --own_number_;
        const auto request = quota().make_request(number, now);
        if (const auto response = lend(control_.address_, request, now)) {
            quota().handle_response(number, *response, now);
        }
    }

    [[nodiscard]] std::optional<daemons::quota_part>
    lend(const std::string& daemon, const daemons::quota_part& request, base::clock::time_point now) {
        const auto& leadership = control_.leadership_;
        const bool may_lend =
            leadership && now - leadership->verified_at_ < daemons::max_lending_verification_age;
        if (!may_lend || !quota().has_limits()) {
            return std::nullopt;
        }
        if (!ledger_ || ledger_token_ != leadership->token()) {
            const auto delay =
                leadership->has_predecessor_ended_ ? base::clock::duration{0} : daemons::lending_delay;
            ledger_.emplace(leadership->token(), quota().bounds(), leadership->acquired_at_,
                            leadership->acquired_at_ + delay);
            ledger_token_ = leadership->token();
            ledger_version_ = 0;
        }
        update_fleet(now);
        if (ledger_version_ != quota().version()) {
            ledger_version_ = quota().version();
            ledger_->set_limits(quota().limits(), now);
            ledger_->set_fleet(quota().listed(), quota().daemons(), now);
        }
        return ledger_->respond(daemon, request, now);
    }

    void update_fleet(base::clock::time_point now) {
        const auto& registrations = control_.knowledge_.registrations();
        if (now - fleet_updated_at_ < fleet_update_interval) {
            return;
        }
        fleet_updated_at_ = now;
        std::vector<std::string> listed;
        listed.reserve(registrations.size());
        for (const auto& [address, entry] : registrations) {
            listed.push_back(address);
        }
        quota().set_fleet(std::move(listed), reported_daemons_, now);
    }

    static constexpr base::clock::duration idle_interval{250};
    static constexpr base::clock::duration tick_interval{50};
    static constexpr base::clock::duration min_pause{5};
    static constexpr base::clock::duration own_request_interval{200};
    static constexpr base::clock::duration fleet_update_interval{100};

    control_context<Platform>& control_;
    std::function<void()> send_request_;
    http::wait_signal woken_;
    base::clock::time_point requested_at_{};
    base::clock::time_point fleet_updated_at_{};
    std::uint64_t reported_daemons_ = 0;
    /// Numbers of the requests to itself count down, so that they differ from those of messages.
    std::uint64_t own_number_ = 0;
    std::optional<daemons::quota_ledger> ledger_;
    std::uint64_t ledger_token_ = 0;
    std::uint64_t ledger_version_ = 0;
};

} // namespace proxy
