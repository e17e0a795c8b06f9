#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/error.hpp>
#include <base/event.hpp>
#include <base/result.hpp>
#include <base/store_revision.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/configuration_spread_service.hpp>
#include <daemons/peer_client.hpp>
#include <daemons/peer_limits.hpp>
#include <daemons/peer_server.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>
#include <operators/session_routes.hpp>
#include <proxy/control_context.hpp>
#include <proxy/events.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace proxy {

/// Brings configurations into force, those that the store delivers and those that this daemon fetches from
/// its peers.
///
/// The store's watch serves nearly every change. A daemon that the store rejects or whose calls are lost
/// still learns the newest version from the messages of its peers, and fetches it from them. Thread safety:
/// control thread.
template <typename Platform>
class configuration_exchange {
public:
    explicit configuration_exchange(control_context<Platform>& control)
        : control_{control}, random_{std::random_device{}()}, peers_{control.context_.get_executor(),
                                                                     limits(), random_()},
          spread_{std::make_shared<spread_service>(
              control.context_.get_executor(), peers_, codec{},
              [this](const auto& routes, std::string_view source) { activate(routes, source); },
              fetch_timeout)} {}

    configuration_exchange(const configuration_exchange&) = delete;
    configuration_exchange& operator=(const configuration_exchange&) = delete;
    configuration_exchange(configuration_exchange&&) = delete;
    configuration_exchange& operator=(configuration_exchange&&) = delete;
    ~configuration_exchange() { spread_->close(); }

    /// Starts to serve this daemon's configuration to its peers. Precondition: called once. Errors:
    /// `settings_invalid` when the address cannot be used.
    [[nodiscard]] std::optional<base::error> listen() {
        const auto executor = control_.context_.get_executor();
        auto socket = http::listener::open(executor, control_.settings_->peer_address_);
        if (!socket) {
            return socket.last_reason();
        }
        std::make_shared<daemons::peer_server<offering_handler>>(executor, std::move(*socket),
                                                                 offering_handler{spread_}, limits())
            ->start();
        spread_->start({});
        return std::nullopt;
    }

    /// Brings the configuration that the store holds at a revision into force, unless it is not newer or
    /// cannot be decoded. `source` says how it was received.
    void apply_stored(const std::string& value, base::store_revision revision, std::string_view source) {
        const auto routes = Platform::entries::read_configuration(value);
        if (!routes) {
            reject(routes.last_reason().to_string(), revision, source);
            return;
        }
        spread_->accept_from_store(*routes, value, source);
    }

    /// Counts and logs that a configuration cannot be used, so that the one before it stays in force.
    void reject(const std::string& reason, base::store_revision revision, std::string_view source) {
        control_.shared_.counters_.configurations_rejected_.fetch_add(1, std::memory_order_relaxed);
        base::log_event(events::configuration_unreadable, {{"reason", reason},
                                                           {"revision", std::to_string(revision.number())},
                                                           {"source", std::string{source}}});
    }

    /// Fetches newer configurations from peers when the store has not delivered them, until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> fetch_overdue() {
        for (;;) {
            co_await http::sleep_for(check_interval);
            const auto now = base::clock::now();
            const auto& lag = control_.lag_at(now);
            if (lag.since() && now - *lag.since() >= delivery_limit) {
                announce_sources(lag);
            }
        }
    }

private:
    struct codec {
        using configuration = operators::session_routes;

        [[nodiscard]] base::result<configuration> decode(std::string_view text) const {
            return Platform::entries::read_configuration(text);
        }
        [[nodiscard]] std::uint64_t revision_of(const configuration& routes) const {
            return routes->version_;
        }
    };
    using spread_service = daemons::configuration_spread_service<base::clock, daemons::peer_client, codec>;

    struct offering_handler {
        std::shared_ptr<spread_service> spread_;
        boost::asio::awaitable<daemons::configuration_offer>
        fetch_configuration(daemons::configuration_fetch fetch) const {
            co_return spread_->offer(fetch);
        }
    };

    /// Names the peers to fetch from: any registered one, because most daemons have a version soon after the
    /// first, and then the one that reported it, which is often the leader and must not serve the whole
    /// fleet.
    void announce_sources(const configuration_lag& lag) {
        if (const auto peer = any_peer()) {
            spread_->note_announcement({*peer, lag.version()});
        }
        if (const auto reporter = base::endpoint::parse(lag.peer())) {
            spread_->note_announcement({*reporter, lag.version()});
        }
    }

    [[nodiscard]] std::optional<base::endpoint> any_peer() {
        const auto& registrations = control_.knowledge_.registrations();
        if (registrations.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> index{0, registrations.size() - 1};
        const auto chosen = std::next(registrations.begin(), static_cast<std::ptrdiff_t>(index(random_)));
        if (chosen->first == control_.address_) {
            return std::nullopt;
        }
        const auto address = base::endpoint::parse(chosen->first);
        return address ? std::optional{*address} : std::nullopt;
    }

    void activate(const operators::session_routes& routes, std::string_view source) {
        base::log_event(events::routes_changed,
                        {{"version", std::to_string(routes->version_)},
                         {"before", std::to_string(control_.configuration_version())},
                         {"routes", std::to_string(routes->routes_.size())},
                         {"source", std::string{source}},
                         {"received", std::to_string(control_.received_.configuration_.number())}});
        control_.quota_.apply(routes, base::clock::now());
        control_.shared_.routes_.publish(routes);
        control_.note_configuration_change();
        control_.publish();
    }

    static daemons::peer_limits limits() {
        daemons::peer_limits limits;
        // Fetches are rare, so that a connection is not worth its heartbeats.
        limits.unused_timeout_ = unused_timeout;
        return limits;
    }

    static constexpr base::clock::duration check_interval{200};
    // By then a watch has delivered the change, or was given up as lost.
    static constexpr base::clock::duration delivery_limit{1'000};
    // Enough for the largest value of the store over 2 Mbit/s.
    static constexpr base::clock::duration fetch_timeout{5'000};
    static constexpr base::clock::duration unused_timeout{2'000};

    control_context<Platform>& control_;
    std::mt19937_64 random_;
    daemons::peer_client peers_;
    std::shared_ptr<spread_service> spread_;
};

} // namespace proxy
