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

/// The encoding of configurations for peers.
struct configuration_text_codec {
    [[nodiscard]] std::string encode(const operators::configuration& value) const {
        return operators::encode_configuration(value);
    }
    [[nodiscard]] base::result<operators::configuration> decode(std::string_view text) const {
        return operators::decode_configuration(text);
    }
};

using spread_service =
    daemons::configuration_spread_service<base::clock, daemons::peer_client, configuration_text_codec>;

/// Membership and configuration of one daemon, on a thread of their own so that load delays neither.
///
/// Thread safety: the accessors of snapshots from any thread, everything else on the thread that runs
/// `context`, or before it starts. Lifetime: outlives the thread.
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

    /// Joins the fleet and starts to look for the configuration.
    void start();

    /// Tells the fleet that this daemon takes no new work.
    void leave() { membership_->leave(); }

    /// Ends everything at once.
    void close();

    /// Returns whether requests can be served: there is a configuration, or it is known that there is none.
    [[nodiscard]] bool is_ready() const noexcept { return spread_->phase() == daemons::spread_phase::ready; }

    [[nodiscard]] const base::snapshot<operators::configuration>& configuration() const noexcept {
        return spread_->configuration();
    }
    [[nodiscard]] const base::snapshot<daemons::member_list>& members() const noexcept {
        return membership_->members();
    }
    /// Returns the offer for a peer that fetches. Thread safety: any thread.
    [[nodiscard]] daemons::configuration_offer offer(const daemons::configuration_fetch& fetch) const {
        return spread_->offer(fetch);
    }

private:
    /// Hands what membership hears to the spread of the configuration.
    struct revision_hearing {
        spread_service& spread_;
        void note_announcement(const daemons::revision_source& source) { spread_.note_announcement(source); }
        [[nodiscard]] std::uint64_t revision() const { return spread_.revision(); }
    };

    using membership =
        daemons::membership_service<base::clock, std::mt19937_64, daemons::udp_transport, revision_hearing>;

    explicit control_plane(const operators::daemon_settings& settings);
    void build_membership(daemons::udp_transport transport);

    boost::asio::awaitable<void> ask_store_at_start();
    boost::asio::awaitable<void> watch_store();
    boost::asio::awaitable<void> follow_host_list();
    void take_stored(std::uint64_t revision, const std::string& text);

    operators::daemon_settings settings_;
    boost::asio::io_context context_{1};
    std::mt19937_64 random_;
    daemons::peer_client peers_;
    platform::store_client store_;
    std::shared_ptr<spread_service> spread_;
    revision_hearing hearing_;
    std::shared_ptr<membership> membership_;
    bool closed_ = false;
};

} // namespace proxy
