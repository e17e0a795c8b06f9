#include <proxy/control_plane.hpp>

#include <base/event.hpp>
#include <daemons/watcher_choice.hpp>
#include <http/sleep.hpp>
#include <platform/configuration_watcher.hpp>
#include <proxy/events.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace proxy {

namespace asio = boost::asio;

namespace {

constexpr base::clock::duration store_call_timeout{1'000};
constexpr base::clock::duration role_check_interval{500};
/// Only watchers read the host list, so that the number of calls does not grow with the fleet.
constexpr base::clock::duration host_list_interval{5'000};
constexpr base::clock::duration store_retry_delay{500};

} // namespace

base::result<std::unique_ptr<control_plane>> control_plane::open(const operators::daemon_settings& settings) {
    std::unique_ptr<control_plane> created{new control_plane{settings}};
    auto transport = daemons::udp_transport::open(created->context_.get_executor(), settings->peer_address_);
    if (!transport) {
        return transport.last_reason();
    }
    created->build_membership(*std::move(transport));
    return created;
}

control_plane::control_plane(const operators::daemon_settings& settings)
    : settings_{settings}, random_{std::random_device{}()}, peers_{context_.get_executor(),
                                                                   daemons::peer_limits{}, random_()},
      store_{settings->platform_address_, store_call_timeout}, spread_{std::make_shared<spread_service>(
                                                                   context_.get_executor(), peers_,
                                                                   configuration_text_codec{})},
      revision_listener_{*spread_} {}

void control_plane::build_membership(daemons::udp_transport transport) {
    const daemons::member self{daemons::member_fields{.name_ = settings_->name_,
                                                      .address_ = settings_->peer_address_,
                                                      .region_ = settings_->region_,
                                                      .failure_domain_ = settings_->failure_domain_}};
    daemons::membership_settings membership_settings;
    membership_settings.seeds_ = settings_->seeds_;
    membership_ =
        std::make_shared<membership>(context_.get_executor(), self, std::move(membership_settings),
                                     std::move(transport), std::mt19937_64{random_()}, revision_listener_);
}

void control_plane::start() {
    membership_->start();
    spread_->start(settings_->seeds_);
    asio::co_spawn(context_, load_configuration_at_start(), asio::detached);
    asio::co_spawn(context_, watch_store(), asio::detached);
    asio::co_spawn(context_, poll_host_list(), asio::detached);
}

void control_plane::close() {
    closed_ = true;
    membership_->close();
    spread_->close();
    peers_.close();
    context_.stop();
}

// Reads the store only if no peer has a configuration, that is at the first start or after a restart of the
// whole fleet.
asio::awaitable<void> control_plane::load_configuration_at_start() {
    while (!closed_ && spread_->phase() != daemons::spread_phase::ready) {
        if (spread_->phase() != daemons::spread_phase::asking_store) {
            co_await http::sleep_for(role_check_interval / 5);
            continue;
        }
        const std::string key{operators::configuration_key};
        const auto found = co_await store_.get(key);
        if (found && found->found_) {
            apply_stored_configuration(found->revision_, found->value_);
        } else if (found) {
            spread_->note_empty_store();
        } else {
            co_await http::sleep_for(store_retry_delay);
        }
    }
}

// Watches the stored configuration while this daemon is one of the watchers.
asio::awaitable<void> control_plane::watch_store() {
    while (!closed_) {
        const auto members = membership_->members().get();
        if (!daemons::is_watcher(*members, settings_->name_)) {
            co_await http::sleep_for(role_check_interval);
            continue;
        }
        platform::watch_settings watch;
        watch.key_ = std::string{operators::configuration_key};
        watch.known_revision_ = spread_->revision();
        watch.seed_ = random_();
        const auto receive = [this](std::uint64_t revision, const std::string& text) {
            apply_stored_configuration(revision, text);
        };
        platform::configuration_watcher watcher{store_, std::move(watch), receive};
        bool watching = true;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                co_await watcher.run();
                watching = false;
            },
            asio::detached);
        while (!closed_ && daemons::is_watcher(*membership_->members().get(), settings_->name_)) {
            co_await http::sleep_for(role_check_interval);
        }
        watcher.stop();
        while (watching) {
            co_await http::sleep_for(role_check_interval);
        }
    }
}

// The host list may be outdated and is used only as a source of seeds. Membership decides which daemons are
// alive.
asio::awaitable<void> control_plane::poll_host_list() {
    while (!closed_) {
        co_await http::sleep_for(host_list_interval);
        if (!daemons::is_watcher(*membership_->members().get(), settings_->name_)) {
            continue;
        }
        const auto hosts = co_await store_.hosts();
        if (!hosts) {
            continue;
        }
        auto seeds = settings_->seeds_;
        for (const auto& host : *hosts) {
            const auto address = base::endpoint::parse(host.address_);
            const bool is_new = address && std::find(seeds.begin(), seeds.end(), *address) == seeds.end();
            if (is_new && host.state_ == platform::host_state::live) {
                seeds.push_back(*address);
            }
        }
        membership_->set_seeds(std::move(seeds));
    }
}

void control_plane::apply_stored_configuration(std::uint64_t revision, const std::string& text) {
    const auto decoded = operators::decode_stored_configuration(text, revision);
    if (!decoded) {
        base::log_event(events::configuration_unreadable, {{"revision", std::to_string(revision)},
                                                           {"reason", decoded.last_reason().to_string()}});
        return;
    }
    spread_->accept_from_store(*decoded, operators::encode_configuration(*decoded));
}

} // namespace proxy
