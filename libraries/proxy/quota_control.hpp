#pragma once

#include <base/clock.hpp>
#include <daemons/fleet_size_history.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_contact.hpp>
#include <daemons/quota_message.hpp>
#include <daemons/quota_share.hpp>
#include <operators/session_routes.hpp>
#include <proxy/session_shared_state.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// This daemon's part of the limits of tenants: publishes the table for the request threads, fills the
/// daemon's own buckets, states what it wants from the leader and hands out what the leader lends.
///
/// Costs nothing while no tenant has a limit. Thread safety: control thread.
class quota_control {
public:
    /// `address` is the peer address of this daemon.
    quota_control(session_shared_state& shared, daemons::quota_bounds bounds, std::string address,
                  base::clock::time_point started_at)
        : shared_{shared}, bounds_{bounds}, address_{std::move(address)}, contact_{started_at} {}

    /// Applies the limits of a configuration, and publishes them before its routes are published.
    void apply(const operators::session_routes& routes, base::clock::time_point now);

    /// Records the registered daemons, and how many a peer has reported.
    void set_fleet(std::vector<std::string> listed, std::size_t reported, base::clock::time_point now);

    /// Fills the buckets and measures the demand. Called at least ten times a second.
    void tick(base::clock::time_point now);

    /// Returns the request to the leader, and records it as sent under `number`.
    [[nodiscard]] daemons::quota_part make_request(std::uint64_t number, base::clock::time_point now);

    /// Hands out the tokens of a response.
    void handle_response(std::uint64_t number, const daemons::quota_part& response,
                         base::clock::time_point now);

    /// Records that an earlier process at this daemon's address was registered.
    void note_earlier_registration() noexcept { contact_.note_earlier_registration(); }

    [[nodiscard]] bool has_limits() const noexcept { return !limits_.empty(); }
    [[nodiscard]] bool is_waited_for() const noexcept;
    [[nodiscard]] const std::map<std::string, daemons::quota_limit>& limits() const noexcept {
        return limits_;
    }
    /// Changes with each call of `apply` and `set_fleet` that changes something.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::vector<std::string>& listed() const noexcept { return listed_; }
    [[nodiscard]] std::size_t daemons() const noexcept { return daemons_; }
    [[nodiscard]] const daemons::quota_bounds& bounds() const noexcept { return bounds_; }

private:
    struct active_tenant {
        std::shared_ptr<tenant_quota> state_;
        daemons::quota_share share_;
    };

    void activate_tenants(base::clock::time_point now);
    void update_buckets();
    void clear_idle_buckets(base::clock::time_point now);
    void update_bucket(active_tenant& tenant) const;

    session_shared_state& shared_;
    daemons::quota_bounds bounds_;
    std::string address_;
    daemons::quota_contact contact_;
    daemons::fleet_size_history fleet_sizes_;
    std::map<std::string, daemons::quota_limit> limits_;
    std::vector<std::string> listed_;
    std::size_t daemons_ = 0;
    std::uint64_t version_ = 1;
    /// Keyed by `daemons::quota_hash`.
    std::map<std::uint64_t, active_tenant> active_;
    /// The shares of the tenants that are not active, with the same key. A tenant with few operations must
    /// find its bucket filled.
    std::map<std::uint64_t, daemons::quota_share> idle_;
};

} // namespace proxy
