#pragma once

#include <backends/connection_share.hpp>
#include <backends/database_listing.hpp>
#include <backends/load_estimate.hpp>
#include <backends/statement_connection.hpp>
#include <backends/statement_window.hpp>
#include <backends/tenant_connections.hpp>
#include <base/clock.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace backends {

/// One database of a service as one daemon uses it: its connections and its observed condition. Runs no
/// coroutine. Thread safety: owned by the thread of its service.
template <database_protocol Protocol>
class database_member {
public:
    using connection = statement_connection<Protocol>;
    using connection_pointer = std::shared_ptr<connection>;

    /// `spread_seed` differs between daemons.
    database_member(database_listing listing, connection_share share, std::uint64_t spread_seed = 0)
        : listing_{std::move(listing)}, share_{share}, spread_seed_{spread_seed} {}

    [[nodiscard]] const database_listing& listing() const noexcept { return listing_; }
    void set_listing(database_listing listing) { listing_ = std::move(listing); }
    void set_limits(std::uint32_t most_connections, std::uint32_t daemons) {
        share_ = share_.with_limits(most_connections, daemons);
        kept_for_tenants_ = kept_connections(most_connections, daemons, spread_seed_, listing_->id_);
    }

    /// Takes the idle connection of a tenant whose session values differ least from `session`, and marks it
    /// as used. Null when none is usable.
    [[nodiscard]] connection_pointer take_idle(const std::string& tenant,
                                               const std::map<std::string, std::string>& session,
                                               base::clock::time_point now) {
        while (has_idle(tenant)) {
            const auto nearest = std::min_element(
                idle_.begin(), idle_.end(), [&tenant, &session](const auto& left, const auto& right) {
                    const auto rank = [&](const auto& one) {
                        // A tenant uses the connection that became idle last, so that those which it does
                        // not need stay idle and can be closed.
                        const auto age =
                            tenant.empty() ? base::clock::duration{0} : -one->idle_since().time_since_epoch();
                        return std::tuple{one->tenant() != tenant, one->content().distance_to(session), age};
                    };
                    return rank(left) < rank(right);
                });
            auto candidate = *nearest;
            idle_.erase(nearest);
            unused_.erase(candidate);
            if (candidate->is_open() && !candidate->is_stale()) {
                used_.insert(candidate);
                // A statement without a tenant means that the configuration has none.
                activity_ = tenant.empty() ? tenant_activity{}
                                           : tenant_activity::record_use(std::move(activity_), tenant, now);
                return candidate;
            }
            candidate->close();
        }
        return nullptr;
    }

    /// Returns a connection after use. It becomes idle if it is still open.
    void give_back(const connection_pointer& connection, base::clock::time_point now) {
        used_.erase(connection);
        if (connection->is_open()) {
            connection->content().end_use();
            connection->set_idle_since(now);
            idle_.push_back(connection);
        }
    }

    /// Adds a connection that was opened, which ends the attempt counted by `note_opening`.
    void add(connection_pointer connection, base::clock::time_point now) {
        end_opening(connection->tenant());
        connection->set_idle_since(now);
        unused_.insert(connection);
        idle_.push_back(std::move(connection));
        note_success(now);
    }

    void note_opening(const std::string& tenant) {
        ++opening_;
        ++opening_by_tenant_[tenant];
    }
    /// Returns how many connections are being opened for a tenant.
    [[nodiscard]] std::uint32_t opening_for(const std::string& tenant) const {
        const auto found = opening_by_tenant_.find(tenant);
        return found == opening_by_tenant_.end() ? 0 : found->second;
    }

    /// Records that the database refused a connection because it has too many.
    void note_refused(const std::string& tenant, base::clock::time_point now) {
        end_opening(tenant);
        share_ = share_.record_refusal(now);
        last_response_ = now;
    }

    /// Records that a connection could not be opened. The delay before the next attempt grows with each
    /// failure.
    void note_open_failed(const std::string& tenant, base::clock::time_point now) {
        end_opening(tenant);
        ++failures_;
        if (!failing_since_) {
            failing_since_ = now;
        }
        const auto backoff = min_open_backoff * (1U << std::min(failures_ - 1, 3U));
        next_open_at_ = now + std::min<base::clock::duration>(backoff, max_open_backoff);
    }

    /// Records that the database has responded.
    void note_success(base::clock::time_point now) {
        failures_ = 0;
        failing_since_.reset();
        last_response_ = now;
    }

    /// Records that the database's log was behind the position that a read required.
    void note_behind(base::clock::time_point now) {
        behind_backoff_ = std::min(behind_backoff_ * 2, max_behind_backoff);
        behind_until_ = now + behind_backoff_;
    }
    void note_caught_up() noexcept { behind_backoff_ = min_behind_backoff; }

    /// Records the position that a replica has applied. A position of a later term replaces those of earlier
    /// terms.
    void note_position(base::log_position position) noexcept { position_ = position; }

    /// Records how long a statement took.
    void note_duration(base::clock::duration length, std::uint32_t priority,
                       base::clock::time_point now) noexcept {
        window_.note_response(length, priority, now);
    }
    /// Records that the database's queue was full.
    void note_queue_full(base::clock::time_point now) noexcept { window_.note_refused(now); }

    /// What this daemon observed of the database's load, and its turn (`choose_database`).
    [[nodiscard]] const load_estimate& estimate() const noexcept { return estimate_; }
    void set_estimate(load_estimate estimate) noexcept { estimate_ = estimate; }
    [[nodiscard]] double turn() const noexcept { return turn_; }
    void set_turn(double turn) noexcept { turn_ = turn; }

    /// Closes all connections, including those in use.
    void close_all() {
        for (const auto& one : idle_) {
            one->close();
        }
        idle_.clear();
        unused_.clear();
        for (const auto& one : used_) {
            one->close();
        }
    }

    /// Closes idle connections that other daemons, or this one after a restart, may need. A part of them is
    /// kept. Returns how many connections were closed because tenants use them least.
    std::size_t close_idle(base::clock::time_point now) {
        activity_ = tenant_activity::remove_expired(std::move(activity_), now);
        if (!activity_.is_empty()) {
            return close_least_used(now);
        }
        auto remaining = idle_.size();
        std::erase_if(idle_, [this, now, &remaining](const auto& one) {
            const auto idle_for = now - one->idle_since();
            const bool is_above_share = share_.is_above_share(open_connections());
            const auto limit = remaining <= share_.kept_idle()
                                   ? share_.max_idle(now)
                                   : (is_above_share ? surplus_idle_timeout : spare_idle_timeout);
            if (idle_for <= limit) {
                return false;
            }
            one->close();
            unused_.erase(one);
            --remaining;
            return true;
        });
        return 0;
    }

    [[nodiscard]] bool may_open(connection_pressure pressure, base::clock::time_point now) const noexcept {
        const auto max_opening = failing_since_ ? 1U : max_concurrent_opens;
        return opening_ < max_opening && now >= next_open_at_ &&
               share_.may_open(open_connections(), pressure, now);
    }
    /// Decides how a tenant gets a connection. Precondition: `tenant` is not empty.
    [[nodiscard]] tenant_opening decide_opening(const std::string& tenant, connection_pressure pressure,
                                                base::clock::time_point now) const {
        const auto max_opening = failing_since_ ? 1U : max_concurrent_opens;
        if (opening_ >= max_opening || now < next_open_at_) {
            return tenant_opening::wait;
        }
        return backends::decide_opening(tenant_state(), share_, tenant, opening_for(tenant), pressure, now);
    }
    /// Closes the idle connection that is replaced by one of `tenant`. Returns whether there was one.
    bool close_replaceable(const std::string& tenant, base::clock::time_point now) {
        const auto found = find_replaceable(tenant_state(), activity_, tenant, now);
        if (found) {
            close_idle_at(*found);
        }
        return found.has_value();
    }
    /// Returns whether a connection of a tenant with this rate of uses would be kept after use.
    [[nodiscard]] bool keeps_connection(double rate, base::clock::time_point now) const {
        return backends::keeps_connection(tenant_state(), activity_, rate, now);
    }
    [[nodiscard]] const tenant_activity& activity() const noexcept { return activity_; }
    void set_activity(tenant_activity activity) { activity_ = std::move(activity); }
    /// Returns whether a connection of a tenant is idle, in use or being opened.
    [[nodiscard]] bool has_connection(const std::string& tenant) const {
        return has_idle(tenant) || opening_for(tenant) > 0 || is_in_use(tenant);
    }
    /// Returns whether a connection of a tenant is in use.
    [[nodiscard]] bool is_in_use(const std::string& tenant) const {
        return std::any_of(used_.begin(), used_.end(),
                           [&tenant](const auto& one) { return one->tenant() == tenant; });
    }
    [[nodiscard]] bool has_idle(const std::string& tenant) const noexcept {
        return std::any_of(idle_.begin(), idle_.end(),
                           [&tenant](const auto& one) { return one->tenant() == tenant; });
    }
    [[nodiscard]] std::uint32_t open_connections() const noexcept {
        return static_cast<std::uint32_t>(idle_.size() + used_.size()) + opening_;
    }
    [[nodiscard]] std::uint32_t used_connections() const noexcept {
        return static_cast<std::uint32_t>(used_.size());
    }
    [[nodiscard]] std::uint32_t opening() const noexcept { return opening_; }
    [[nodiscard]] bool is_failing() const noexcept { return failing_since_.has_value(); }
    [[nodiscard]] std::optional<base::clock::time_point> failing_since() const noexcept {
        return failing_since_;
    }
    /// Returns whether the database was recently behind and is not known to have reached `required` since.
    [[nodiscard]] bool is_behind(base::log_position required, base::clock::time_point now) const noexcept {
        return was_recently_behind(now) && required > position_;
    }
    /// Returns whether the database was recently behind the position that a read required.
    [[nodiscard]] bool was_recently_behind(base::clock::time_point now) const noexcept {
        return now < behind_until_;
    }
    [[nodiscard]] bool is_congested() const noexcept { return window_.is_congested(); }
    /// Returns how many statements of a priority this daemon may run at once now.
    [[nodiscard]] std::uint32_t max_running(std::uint32_t daemons, std::uint32_t priority,
                                            base::clock::time_point now) const noexcept {
        return window_.max_running(std::max(listing_->slots_, 1U), daemons, priority, now);
    }
    /// Returns the maximum mean number of statements of a priority that this daemon may run at once.
    [[nodiscard]] double window(std::uint32_t daemons, std::uint32_t priority) const noexcept {
        return window_.size(std::max(listing_->slots_, 1U), daemons, priority);
    }
    /// Returns when the next statement of a priority may start while none is running.
    [[nodiscard]] base::clock::time_point next_start(std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept {
        return window_.next_start(std::max(listing_->slots_, 1U), daemons, priority);
    }
    [[nodiscard]] base::clock::time_point last_response() const noexcept { return last_response_; }

    /// Records that a statement has started.
    void begin_statement(base::clock::time_point now) noexcept {
        busy_since_ = running_ == 0 ? now : busy_since_;
        ++running_;
    }
    /// Records that a statement has ended. Precondition: a statement is running.
    void end_statement() noexcept { --running_; }
    /// Returns how many statements of this daemon are running.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Returns for how long statements have been running without any response from the database; zero while
    /// none is running.
    [[nodiscard]] base::clock::duration silent_for(base::clock::time_point now) const noexcept {
        return running_ == 0 ? base::clock::duration{0} : now - std::max(last_response_, busy_since_);
    }

private:
    void end_opening(const std::string& tenant) {
        --opening_;
        const auto found = opening_by_tenant_.find(tenant);
        if (found != opening_by_tenant_.end() && --found->second == 0) {
            opening_by_tenant_.erase(found);
        }
    }

    [[nodiscard]] tenant_connection_state tenant_state() const {
        tenant_connection_state state{{}, open_connections(), kept_for_tenants_};
        for (const auto& one : idle_) {
            state.idle_.push_back({one->tenant(), one->idle_since(), unused_.contains(one)});
        }
        return state;
    }

    std::size_t close_least_used(base::clock::time_point now) {
        const auto closed = connections_to_close(tenant_state(), share_, activity_, now);
        for (const auto index : closed) {
            close_idle_at(index);
        }
        return closed.size();
    }

    void close_idle_at(std::size_t index) {
        const auto position = idle_.begin() + static_cast<std::ptrdiff_t>(index);
        (*position)->close();
        unused_.erase(*position);
        idle_.erase(position);
    }

    static constexpr base::clock::duration min_open_backoff{60};
    static constexpr base::clock::duration max_open_backoff{400};
    // A replica behind a healthy primary catches up within tens of milliseconds.
    static constexpr base::clock::duration min_behind_backoff{20};
    static constexpr base::clock::duration max_behind_backoff{320};
    static constexpr base::clock::duration surplus_idle_timeout{300};
    // Longer than the interval between two bursts of statements of one client.
    static constexpr base::clock::duration spare_idle_timeout{1'000};
    static constexpr std::uint32_t max_concurrent_opens = 2;

    database_listing listing_;
    connection_share share_;
    std::vector<connection_pointer> idle_;
    std::set<connection_pointer> used_;
    /// The idle connections on which no statement has run yet.
    std::set<connection_pointer> unused_;
    std::uint64_t spread_seed_ = 0;
    std::uint32_t kept_for_tenants_ = 1;
    /// Empty without tenants.
    tenant_activity activity_;
    std::uint32_t running_ = 0;
    base::clock::time_point busy_since_{};
    std::uint32_t opening_ = 0;
    std::map<std::string, std::uint32_t> opening_by_tenant_;
    std::uint32_t failures_ = 0;
    std::optional<base::clock::time_point> failing_since_;
    base::clock::time_point next_open_at_{};
    base::clock::time_point last_response_{};
    base::clock::time_point behind_until_{};
    base::clock::duration behind_backoff_ = min_behind_backoff;
    base::log_position position_;
    statement_window window_;
    load_estimate estimate_;
    double turn_ = 0;
};

} // namespace backends
