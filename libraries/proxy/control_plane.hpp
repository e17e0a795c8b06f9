#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <base/snapshot.hpp>
#include <daemons/configuration_spread_service.hpp>
#include <daemons/membership_service.hpp>
#include <daemons/peer_client.hpp>
#include <daemons/udp_transport.hpp>
#include <operators/configuration_codec.hpp>
#include <operators/daemon_settings.hpp>
#include <platform/store_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace proxy {

/// Decodes configurations in the exchange between daemons.
struct configuration_text_codec {
    using configuration = operators::configuration;

    [[nodiscard]] base::result<operators::configuration> decode(std::string_view text) const {
        return operators::decode_configuration(text);
    }
    [[nodiscard]] std::uint64_t revision_of(const operators::configuration& value) const {
        return value->revision_;
    }
};

using spread_service =
    daemons::configuration_spread_service<base::clock, daemons::peer_client, configuration_text_codec>;

/// Maintains the membership and the configuration of one daemon, on a thread of its own so that request load
/// delays neither.
///
/// Thread safety: snapshots from any thread, everything else on the thread that runs `context`, or before it
/// starts. Lifetime: outlives the thread.
class control_plane {
public:
    /// Binds the UDP socket. Errors: `settings_invalid`.
    [[nodiscard]] static base::result<std::unique_ptr<control_plane>>
    open(const operators::daemon_settings& settings);

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    control_plane(control_plane&&) = delete;
    control_plane& operator=(control_plane&&) = delete;
    ~control_plane() = default;

    [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

    /// Joins the fleet and starts to fetch the configuration.
    void start();

    /// Announces to the fleet that this daemon accepts no new work.
    void leave() { membership_->leave(); }

    /// Closes all sockets and stops the thread at once.
    void close();

    /// Returns whether requests can be served: a configuration is known, or it is certain that none exists.
    [[nodiscard]] bool is_ready() const noexcept { return spread_->phase() == daemons::spread_phase::ready; }

    [[nodiscard]] const base::snapshot<operators::configuration>& configuration() const noexcept {
        return spread_->configuration();
    }
    [[nodiscard]] const base::snapshot<daemons::member_list>& members() const noexcept {
        return membership_->members();
    }
    /// Returns the configuration to offer to a peer that fetches it. Thread safety: any thread.
    [[nodiscard]] daemons::configuration_offer offer(const daemons::configuration_fetch& fetch) const {
        return spread_->offer(fetch);
    }

private:
    /// Passes configuration revisions received by membership gossip to the service that distributes the
    /// configuration.
    struct configuration_revision_listener {
        spread_service& spread_;
        void note_announcement(const daemons::revision_source& source) { spread_.note_announcement(source); }
        [[nodiscard]] std::uint64_t revision() const { return spread_.revision(); }
    };

    using membership = daemons::membership_service<base::clock, std::mt19937_64, daemons::udp_transport,
                                                   configuration_revision_listener>;

    explicit control_plane(const operators::daemon_settings& settings);
    void build_membership(daemons::udp_transport transport);

    boost::asio::awaitable<void> load_configuration_at_start();
    boost::asio::awaitable<void> watch_store();
    boost::asio::awaitable<void> poll_host_list();
    void apply_stored_configuration(std::uint64_t revision, const std::string& text);

    operators::daemon_settings settings_;
    boost::asio::io_context context_{1};
    std::mt19937_64 random_;
    daemons::peer_client peers_;
    platform::store_client store_;
    std::shared_ptr<spread_service> spread_;
    configuration_revision_listener revision_listener_;
    std::shared_ptr<membership> membership_;
    bool closed_ = false;
};

} // namespace proxy
