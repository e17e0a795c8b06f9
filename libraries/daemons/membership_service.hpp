#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <base/snapshot.hpp>
#include <daemons/configuration_spread.hpp>
#include <daemons/member_list.hpp>
#include <daemons/membership.hpp>
#include <daemons/udp_transport.hpp>
#include <http/sleep.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <concepts>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace daemons {

/// Receives the revisions that peers announce and provides this daemon's own.
template <typename Listener>
concept revision_listener = requires(Listener& listener, const revision_source& source) {
    { listener.note_announcement(source) } -> std::same_as<void>;
    { listener.revision() } -> std::same_as<std::uint64_t>;
};

[[nodiscard]] std::string encode_datagram(const datagram& message);
/// Errors: `frame_invalid`.
[[nodiscard]] base::result<datagram> decode_datagram(const std::string& bytes);
/// Logs a member's change of state.
void report_member_change(const member_change& change, const std::string& self);
void report_invalid_datagram(const base::error& reason);

/// Runs the membership state machine over a datagram transport and publishes the member list.
///
/// Thread safety: `members` from any thread; everything else on the thread of the executor.
/// Lifetime: kept alive by its own coroutines until `close`; the listener outlives it.
template <base::time_source Clock, std::uniform_random_bit_generator Random, datagram_transport Transport,
          revision_listener Listener>
class membership_service
    : public std::enable_shared_from_this<membership_service<Clock, Random, Transport, Listener>> {
public:
    /// Precondition: that of `start_membership` for `self` and `settings`.
    membership_service(boost::asio::any_io_executor executor, const member& self,
                       membership_settings settings, Transport transport, Random random, Listener& listener,
                       Clock clock = {})
        : executor_{std::move(executor)}, transport_{std::move(transport)}, random_{std::move(random)},
          listener_{listener}, clock_{std::move(clock)}, state_{start_membership(self, std::move(settings),
                                                                                 clock_.now())},
          members_{member_list{state_}}, published_version_{state_.list_version_} {}

    /// Starts to send probes and to respond to them. Precondition: held by a `std::shared_ptr`; called once.
    void start() {
        boost::asio::co_spawn(executor_, run_timer(this->shared_from_this()), boost::asio::detached);
        boost::asio::co_spawn(executor_, receive_datagrams(this->shared_from_this()), boost::asio::detached);
    }

    /// Announces that this daemon accepts no new work. It continues to respond until `close`.
    void leave() { apply(leave_requested{}); }

    /// Replaces the seeds.
    void set_seeds(std::vector<base::endpoint> seeds) { apply(seeds_changed{std::move(seeds)}); }

    /// Stops immediately. Other members then find this daemon suspect and later dead, or dead without a
    /// suspicion if it called `leave` before.
    void close() {
        closed_ = true;
        transport_.close();
    }

    /// Returns the published member list.
    [[nodiscard]] const base::snapshot<member_list>& members() const noexcept { return members_; }

private:
    static boost::asio::awaitable<void> run_timer(std::shared_ptr<membership_service> self) {
        while (!self->closed_) {
            const auto revision = self->listener_.revision();
            if (revision != self_of(self->state_)->configuration_revision_) {
                self->apply(revision_changed{revision});
            }
            self->apply(time_passed{});
            self->publish();
            co_await http::sleep_for(tick);
        }
    }

    static boost::asio::awaitable<void> receive_datagrams(std::shared_ptr<membership_service> self) {
        while (!self->closed_) {
            const auto bytes = co_await self->transport_.receive();
            if (!bytes) {
                // Not a reason to stop; for example, an ICMP error from an unreachable peer.
                co_await http::sleep_for(receive_retry_delay);
                continue;
            }
            self->handle_datagram(*bytes);
        }
    }

    void handle_datagram(const std::string& bytes) {
        auto message = decode_datagram(bytes);
        if (!message) {
            // At most one line per interval, so that a faulty sender does not flood the log.
            if (clock_.now() >= next_invalid_report_) {
                next_invalid_report_ = clock_.now() + invalid_report_interval;
                report_invalid_datagram(message.last_reason());
            }
            return;
        }
        const auto& sender = (*message)->sender_;
        const revision_source source{sender->address_, sender->configuration_revision_};
        apply(datagram_received{std::move(*message)});
        if (source.revision_ > listener_.revision()) {
            listener_.note_announcement(source);
        }
    }

    void apply(const membership_event& event) {
        auto next = step(std::move(state_), event, clock_.now(), random_);
        state_ = std::move(next.state_);
        for (const auto& message : next.messages_) {
            transport_.send(message.to_, encode_datagram(message.message_));
        }
        for (const auto& change : next.changes_) {
            report_member_change(change, state_.self_);
        }
    }

    // Called once per tick, so that a burst of updates copies the list only once.
    void publish() {
        if (state_.list_version_ != published_version_) {
            members_.publish(member_list{state_});
            published_version_ = state_.list_version_;
        }
    }

    static constexpr base::clock::duration tick{50};
    static constexpr base::clock::duration receive_retry_delay{10};
    static constexpr base::clock::duration invalid_report_interval{10'000};

    boost::asio::any_io_executor executor_;
    Transport transport_;
    Random random_;
    Listener& listener_;
    Clock clock_;
    membership_state state_;
    base::snapshot<member_list> members_;
    std::uint64_t published_version_;
    base::clock::time_point next_invalid_report_{};
    bool closed_ = false;
};

} // namespace daemons
