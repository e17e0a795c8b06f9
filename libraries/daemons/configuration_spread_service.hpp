#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <base/snapshot.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/configuration_spread.hpp>
#include <http/sleep.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daemons {

/// Decodes the configurations of one kind of daemon.
template <typename Codec>
concept configuration_codec = requires(const Codec& codec, const typename Codec::configuration& value,
                                       std::string_view text) {
    { codec.decode(text) } -> std::same_as<base::result<typename Codec::configuration>>;
    { codec.revision_of(value) } -> std::same_as<std::uint64_t>;
};

/// Fetches configurations from peers; `peer_client` implements it.
template <typename Fetcher>
concept configuration_fetcher = requires(Fetcher& fetcher, base::endpoint peer, std::uint64_t revision,
                                         base::clock::duration timeout) {
    {
        fetcher.fetch_configuration(peer, revision, timeout)
        } -> std::same_as<boost::asio::awaitable<base::result<configuration_offer>>>;
};

void report_accepted_configuration(std::uint64_t revision, std::string_view source);
void report_unreadable_configuration(const base::endpoint& peer, const std::string& reason);
void report_failed_fetch(const base::endpoint& peer, const base::error& reason);

/// Keeps this daemon's configuration up to date and serves it to peers.
///
/// Thread safety: `configuration` and `offer` from any thread; everything else on the thread of the executor,
/// which also calls the listener.
/// Lifetime: kept alive by its own coroutines until `close`; the fetcher outlives it.
template <base::time_source Clock, configuration_fetcher Fetcher, configuration_codec Codec>
class configuration_spread_service
    : public std::enable_shared_from_this<configuration_spread_service<Clock, Fetcher, Codec>> {
public:
    using configuration_type = typename Codec::configuration;
    /// Called with each configuration that is activated and where it came from.
    using listener = std::function<void(const configuration_type&, std::string_view source)>;

    configuration_spread_service(boost::asio::any_io_executor executor, Fetcher& fetcher, Codec codec,
                                 listener on_activated = {},
                                 base::clock::duration fetch_timeout = default_fetch_timeout,
                                 Clock clock = {})
        : executor_{std::move(executor)}, fetcher_{fetcher}, codec_{std::move(codec)},
          on_activated_{std::move(on_activated)}, fetch_timeout_{fetch_timeout}, clock_{std::move(clock)},
          configuration_{configuration_type{}}, offer_{configuration_offer{}} {}

    /// Starts to fetch from the first few of `peers`. Precondition: held by a `std::shared_ptr`; called once.
    void start(std::vector<base::endpoint> peers) {
        apply(spread_started{std::move(peers)});
        boost::asio::co_spawn(executor_, run_timer(this->shared_from_this()), boost::asio::detached);
    }

    void close() { closed_ = true; }

    /// Records the revision that a peer announced.
    void note_announcement(const revision_source& source) { apply(revision_announced{source}); }

    /// Accepts a configuration read from the platform's store and the encoded content that peers decode.
    /// Returns whether it was activated.
    bool accept_from_store(const configuration_type& found, std::string content,
                           std::string_view source = "store") {
        const auto revision = codec_.revision_of(found);
        const auto accepted = apply(store_responded{revision}) == spread_step::verdict::accept;
        if (accepted) {
            activate(found, std::move(content), source);
        }
        return accepted;
    }

    /// Records that the platform's store holds no configuration yet.
    void note_empty_store() { apply(store_responded{0}); }

    /// Returns whether peers are tried first, the store has to be read, or requests can be served.
    [[nodiscard]] spread_phase phase() const noexcept { return state_.phase_; }
    /// Returns the active revision.
    [[nodiscard]] std::uint64_t revision() const noexcept { return state_.revision_; }
    /// Returns the active configuration.
    [[nodiscard]] const base::snapshot<configuration_type>& configuration() const noexcept {
        return configuration_;
    }

    /// Returns the response to a peer's fetch request.
    [[nodiscard]] configuration_offer offer(const configuration_fetch& fetch) const {
        const auto current = offer_.get();
        if ((*current)->revision_ > fetch->known_revision_) {
            return *current;
        }
        return configuration_offer{configuration_offer_fields{(*current)->revision_, {}}};
    }

private:
    static boost::asio::awaitable<void> run_timer(std::shared_ptr<configuration_spread_service> self) {
        while (!self->closed_) {
            self->apply(spread_time_passed{});
            co_await http::sleep_for(tick);
        }
    }

    spread_step::verdict apply(const spread_event& event) {
        auto next = step(std::move(state_), event, clock_.now());
        state_ = std::move(next.state_);
        if (next.fetch_ && !closed_) {
            boost::asio::co_spawn(executor_, fetch(this->shared_from_this(), *next.fetch_),
                                  boost::asio::detached);
        }
        return next.verdict_;
    }

    static boost::asio::awaitable<void> fetch(std::shared_ptr<configuration_spread_service> self,
                                              base::endpoint peer) {
        const auto known = self->revision();
        const auto found = co_await self->fetcher_.fetch_configuration(peer, known, self->fetch_timeout_);
        if (!found) {
            report_failed_fetch(peer, found.last_reason());
            self->apply(fetch_failed{});
            co_return;
        }
        self->handle_offer(peer, *found);
    }

    void handle_offer(const base::endpoint& peer, const configuration_offer& found) {
        if (found->revision_ <= revision()) {
            apply(fetch_succeeded{found->revision_});
            return;
        }
        const auto decoded = codec_.decode(found->content_);
        if (!decoded || codec_.revision_of(*decoded) != found->revision_) {
            report_unreadable_configuration(peer, decoded ? "its revision differs from the offer's"
                                                          : decoded.last_reason().message());
            apply(fetch_failed{});
            return;
        }
        if (apply(fetch_succeeded{found->revision_}) == spread_step::verdict::accept) {
            activate(*decoded, found->content_, peer.to_string());
        }
    }

    void activate(const configuration_type& accepted, std::string content, std::string_view source) {
        const auto revision = codec_.revision_of(accepted);
        configuration_.publish(accepted);
        offer_.publish(configuration_offer{configuration_offer_fields{revision, std::move(content)}});
        report_accepted_configuration(revision, source);
        if (on_activated_) {
            on_activated_(accepted, source);
        }
    }

    static constexpr base::clock::duration tick{250};
    static constexpr base::clock::duration default_fetch_timeout{2'000};

    boost::asio::any_io_executor executor_;
    Fetcher& fetcher_;
    Codec codec_;
    listener on_activated_;
    base::clock::duration fetch_timeout_;
    Clock clock_;
    spread_state state_;
    base::snapshot<configuration_type> configuration_;
    base::snapshot<configuration_offer> offer_;
    bool closed_ = false;
};

} // namespace daemons
