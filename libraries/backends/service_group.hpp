#pragma once

#include <backends/database_load.hpp>
#include <backends/database_member.hpp>
#include <backends/fair_order.hpp>
#include <backends/load_estimate.hpp>
#include <backends/load_events.hpp>
#include <backends/position_history.hpp>
#include <backends/preparation_log.hpp>
#include <backends/primary_health.hpp>
#include <backends/published_lease.hpp>
#include <backends/service_view.hpp>
#include <backends/statement_requirements.hpp>
#include <backends/tenant_connection_counters.hpp>
#include <backends/tenant_connections.hpp>
#include <backends/wait_estimate.hpp>
#include <base/clock.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace backends {

/// A connection granted to a statement or transaction, or the reason why none was granted.
template <database_protocol Protocol>
struct connection_grant {
    std::shared_ptr<statement_connection<Protocol>> connection_;
    std::shared_ptr<database_member<Protocol>> member_;
    bool is_primary_ = false;
    std::uint32_t priority_ = 0;
    /// The log position that a replica must have reached to serve the read; empty for the primary.
    std::optional<base::log_position> required_position_;
    /// Why no connection was granted.
    std::string refusal_;
    /// Time spent in the queue.
    base::clock::duration waited_{0};

    [[nodiscard]] bool is_granted() const noexcept { return connection_ != nullptr; }
};

/// Schedules the statements of one service onto its databases: decides which statement runs next and at which
/// database.
///
/// Designed for many short statements of a few priorities and databases with few slots. Statements wait in
/// one queue, ordered by priority, by fair parts of the tenants and by arrival, and only as long as a
/// database may still run them in time. Statements that cannot be served in time are refused at once and
/// reported as not run.
///
/// Thread safety: owned by one thread. Lifetime: owned by a `std::shared_ptr`; its coroutines keep it alive.
template <database_protocol Protocol>
class service_group : public std::enable_shared_from_this<service_group<Protocol>> {
public:
    using member = database_member<Protocol>;
    using member_pointer = std::shared_ptr<member>;
    using grant = connection_grant<Protocol>;

    /// `spread_seed` differs between daemons, so that they spread reads and the connections of tenants
    /// differently. Lifetime: `lease`, `preparations` and `counters` outlive the group.
    service_group(boost::asio::any_io_executor executor, std::string failure_domain,
                  std::uint64_t spread_seed, const published_lease& lease, preparation_log& preparations,
                  tenant_connection_counters& counters, base::memory_budget* budget = nullptr)
        : executor_{std::move(executor)}, failure_domain_{std::move(failure_domain)},
          spread_seed_{spread_seed}, published_lease_{lease},
          preparations_{preparations}, counters_{counters}, budget_{budget} {}

    /// Applies a new view of the service. Closes the connections of databases that were restarted or removed.
    void apply(const service_view& view) {
        const auto now = base::clock::now();
        if (view->primary_ != view_->primary_) {
            positions_.clear();
        }
        view_ = view;
        for (const auto& listing : view->databases_) {
            auto& known_member = members_[listing->id_];
            const bool has_restarted =
                known_member && (known_member->listing()->started_at_ != listing->started_at_ ||
                                 known_member->listing()->address_ != listing->address_);
            if (has_restarted) {
                known_member->close_all();
                known_member.reset();
            }
            if (!known_member) {
                const connection_share share{view->max_connections_, view->daemons_};
                known_member = std::make_shared<member>(listing, share.record_start(now), spread_seed_);
                known_member->set_estimate(load_estimate::of_unknown(now));
                known_member->set_turn(first_turn(spread_seed_, listing->id_));
            }
            known_member->set_listing(listing);
            known_member->set_limits(view->max_connections_, view->daemons_);
        }
        std::erase_if(members_, [&view](auto& entry) {
            const bool is_listed = std::any_of(view->databases_.begin(), view->databases_.end(),
                                               [&entry](const auto& one) { return one->id_ == entry.first; });
            if (!is_listed) {
                entry.second->close_all();
            }
            return !is_listed;
        });
        dispatch(now);
    }

    /// Waits for a connection on which a statement of a session with these values may run. The grant has no
    /// connection if the statement cannot be served in time. Otherwise, the first statement on the connection
    /// counts as in flight until `end_statement`. `session` must stay valid until the
    /// coroutine completes.
    [[nodiscard]] boost::asio::awaitable<grant> acquire(statement_requirements requirements,
                                                        const std::map<std::string, std::string>& session) {
        const auto now = base::clock::now();
        queued_statement waiting{std::move(requirements), session, now};
        const tenant_share share{waiting.requirements_.tenant_, waiting.requirements_.tenant_weight_,
                                 std::max(wait_estimate_.mean_ms(), 1.0)};
        auto& order = orders_[waiting.requirements_.priority_];
        waiting.key_ = {waiting.requirements_.priority_, order.arrive(share), ++last_arrival_};
        if (queue_.empty() || waiting.key_ < queue_.begin()->first) {
            if (auto granted = try_grant(waiting, now)) {
                note_start(waiting);
                co_return std::move(*granted);
            }
        }
        if (auto refused = refusal_on_arrival(waiting, now)) {
            order.withdraw(share);
            co_return std::move(*refused);
        }
        queue_.emplace(waiting.key_, &waiting);
        if (!waiting.requirements_.tenant_.empty()) {
            // A tenant whose connections are in use may get a further one from then on.
            co_await waiting.signal_.wait_for(pressure_delay + base::clock::duration{1});
            if (!waiting.result_ && queue_.begin()->second == &waiting) {
                dispatch(base::clock::now());
            }
        }
        while (!waiting.result_) {
            co_await waiting.signal_.wait();
        }
        if (!waiting.result_->is_granted()) {
            order.withdraw(share);
        }
        log_long_wait(waiting);
        waiting.result_->waited_ = base::clock::now() - waiting.queued_at_;
        co_return std::move(*waiting.result_);
    }

    /// Records the response to a statement on a granted connection. Must be called before the connection is
    /// used again or released.
    void note_response(const grant& granted, const statement_response& response) {
        const auto now = base::clock::now();
        const auto elapsed = now - response.requested_at_;
        note_load(granted, response, elapsed, now);
        if (response.status_ == statement_status::unknown) {
            probe_after_loss(granted, now);
            return;
        }
        granted.member_->note_success(now);
        if (response.status_ == statement_status::overloaded) {
            granted.member_->note_queue_full(now);
        } else if (response.status_ == statement_status::behind) {
            granted.member_->note_behind(now);
        } else if (!granted.is_primary_ && response.status_ == statement_status::done) {
            granted.member_->note_caught_up();
        }
        if (response.status_ == statement_status::done && response.detail_.size() > 1) {
            wait_estimate_.note(elapsed);
            granted.member_->note_duration(elapsed, granted.priority_, now);
        }
        if (!granted.is_primary_ && response.position_) {
            granted.member_->note_position(*response.position_);
        }
        const auto position = response.dated_position();
        if (granted.is_primary_ && position && is_usable_primary(granted.member_->listing()->id_, now)) {
            positions_.note(*position);
        }
    }

    /// Records that a statement is sent to be prepared on a connection under `name`, for the execution by the
    /// statement with this id.
    void note_preparation(const statement_connection<Protocol>& connection,
                          const base::prepared_statement& prepared, const std::string& name,
                          const std::string& statement_id) {
        preparations_.record({view_->service_, connection.database(), connection.number(), prepared.effect_,
                              prepared.text_, name, statement_id});
    }

    /// Counts a further statement as in flight on a granted connection, until `end_statement`.
    void begin_statement(const grant& granted) { granted.member_->begin_statement(base::clock::now()); }
    void end_statement(const grant& granted) {
        granted.member_->end_statement();
        dispatch(base::clock::now());
    }

    /// Returns a connection to the group. Precondition: it is closed if it has an open transaction or a
    /// missing response.
    void release(const grant& granted) {
        const auto now = base::clock::now();
        granted.member_->give_back(granted.connection_, now);
        connection_released_.notify_all();
        dispatch(now);
    }

    /// Returns whether a successful response of the primary may be acknowledged to the client.
    [[nodiscard]] bool may_acknowledge(const grant& granted) const {
        return is_usable_primary(granted.member_->listing()->id_, base::clock::now());
    }

    /// Stops using a database as primary: waits up to `timeout` for in-flight statements and transactions,
    /// then closes their connections. Precondition: the view last applied does not list it as a usable
    /// primary.
    [[nodiscard]] boost::asio::awaitable<void> drain_database(std::string database,
                                                              base::clock::duration timeout) {
        const auto self = this->shared_from_this();
        const auto found = members_.find(database);
        if (found == members_.end()) {
            co_return;
        }
        const auto stopped = found->second;
        const auto end = base::clock::now() + timeout;
        while (stopped->used_connections() > 0 && base::clock::now() < end) {
            co_await connection_released_.wait_for(end - base::clock::now());
        }
        stopped->close_all();
    }

    /// Refuses queued statements whose deadline has passed or that no database can serve, closes idle
    /// connections and probes silent databases. To be called every few tens of milliseconds.
    void sweep() {
        const auto now = base::clock::now();
        for (auto& [id, one] : members_) {
            counters_.released_.fetch_add(one->close_idle(now), std::memory_order_relaxed);
            probe_if_silent(one, now);
        }
        std::vector<queued_statement*> expired;
        for (auto position = queue_.begin(); position != queue_.end();) {
            auto& waiting = *position->second;
            auto refusal = refusal_while_waiting(waiting, now);
            if (refusal.empty()) {
                ++position;
                continue;
            }
            waiting.result_.emplace();
            waiting.result_->refusal_ = std::move(refusal);
            expired.push_back(&waiting);
            position = queue_.erase(position);
        }
        for (auto* waiting : expired) {
            waiting->signal_.notify_all();
        }
        dispatch(now);
    }

    /// Opens a connection to the primary to find out whether it responds.
    void probe_primary() {
        const auto found = members_.find(view_->primary_);
        if (found != members_.end() && found->second->opening() == 0) {
            start_opening(found->second, {});
        }
    }

    /// Returns the health of the primary as this daemon observes it.
    [[nodiscard]] primary_health health() const {
        const auto now = base::clock::now();
        primary_health report;
        report.service_ = view_->service_;
        report.database_ = view_->primary_;
        const auto found = members_.find(view_->primary_);
        if (found != members_.end()) {
            if (const auto since = found->second->failing_since()) {
                report.failing_for_ = now - *since;
            }
            report.last_response_ = found->second->last_response();
        }
        return report;
    }

    [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }
    [[nodiscard]] const service_view& view() const noexcept { return view_; }

private:
    /// Priority, tag of the fair order between tenants, order of arrival.
    using queue_key = std::tuple<std::uint32_t, double, std::uint64_t>;

    struct queued_statement {
        queued_statement(statement_requirements requirements,
                         const std::map<std::string, std::string>& session, base::clock::time_point now)
            : requirements_{std::move(requirements)}, session_{session}, queued_at_{now} {}
        statement_requirements requirements_;
        const std::map<std::string, std::string>& session_;
        base::clock::time_point queued_at_;
        queue_key key_;
        std::optional<grant> result_;
        http::wait_signal signal_;
    };

    [[nodiscard]] bool is_usable_primary(const std::string& id, base::clock::time_point now) const {
        return view_->primary_state_ == primary_state::usable && view_->primary_ == id &&
               published_lease_.covers(view_->service_, id, now);
    }

    void note_start(const queued_statement& waiting) {
        orders_[waiting.requirements_.priority_].start(std::get<double>(waiting.key_));
    }

    [[nodiscard]] static connection_pressure pressure_of(const queued_statement& waiting,
                                                         base::clock::time_point now) {
        return now - waiting.queued_at_ >= pressure_delay ? connection_pressure::waiting
                                                          : connection_pressure::none;
    }

    [[nodiscard]] database_load describe_load(member& one, const queued_statement& waiting,
                                              const std::optional<base::log_position>& required_position,
                                              base::clock::time_point now) const {
        const auto& listing = one.listing();
        database_load load;
        load.id_ = listing->id_;
        load.is_primary_ = is_usable_primary(listing->id_, now);
        const bool may_use_replica = waiting.requirements_.placement_ == placement::any_fresh &&
                                     required_position && listing->id_ != view_->primary_ &&
                                     listing->state_ == listed_state::ready &&
                                     !one.is_behind(*required_position, now);
        load.is_eligible_ = (load.is_primary_ || may_use_replica) && !one.is_failing() &&
                            !waiting.requirements_.excluded_.contains(listing->id_);
        load.is_same_failure_domain_ = listing->failure_domain_ == failure_domain_;
        load.running_ = one.running();
        load.max_running_ = one.max_running(view_->daemons_, waiting.requirements_.priority_, now);
        load.cost_ = one.estimate().cost(now);
        load.turn_ = one.turn();
        if (load.is_eligible_) {
            const auto& tenant = waiting.requirements_.tenant_;
            load.has_idle_connection_ = one.has_idle(tenant);
            const auto pressure = pressure_of(waiting, now);
            load.may_open_ = tenant.empty()
                                 ? one.may_open(pressure, now)
                                 : load.running_ < load.max_running_ &&
                                       one.decide_opening(tenant, pressure, now) != tenant_opening::wait;
            load.connections_ = one.open_connections();
        }
        return load;
    }

    struct candidates {
        std::vector<database_load> loads_;
        std::vector<member_pointer> members_;
        std::optional<base::log_position> required_position_;
    };

    [[nodiscard]] candidates find_candidates(const queued_statement& waiting,
                                             base::clock::time_point now) const {
        candidates found;
        if (waiting.requirements_.placement_ == placement::any_fresh) {
            found.required_position_ = positions_.required_position(waiting.requirements_.staleness_,
                                                                    waiting.requirements_.own_commit_, now);
        }
        for (const auto& [id, one] : members_) {
            found.loads_.push_back(describe_load(*one, waiting, found.required_position_, now));
            found.members_.push_back(one);
        }
        return found;
    }

    static void take_turn(const candidates& found, std::size_t chosen) {
        const auto turns = turns_after(found.loads_, chosen);
        for (std::size_t index = 0; index < turns.size(); ++index) {
            found.members_[index]->set_turn(turns[index]);
        }
    }

    /// Records what a response of a replica shows of its load. A replica that is behind is not eligible for a
    /// while, which says nothing about its load.
    void note_load(const grant& granted, const statement_response& response, base::clock::duration elapsed,
                   base::clock::time_point now) {
        auto& one = *granted.member_;
        if (granted.is_primary_) {
            return;
        }
        if (response.status_ == statement_status::unknown || response.status_ == statement_status::failed ||
            response.status_ == statement_status::overloaded) {
            // A statement that is itself at fault fails at all replicas alike, which does not change their
            // order.
            one.set_estimate(one.estimate().with_failure(now));
        } else if (response.status_ == statement_status::done && response.detail_.size() > 1) {
            const auto relative = durations_.relative_duration(elapsed, granted.priority_);
            durations_ = durations_.with_response(elapsed, granted.priority_);
            one.set_estimate(one.estimate().with_response(relative, now));
        }
    }

    /// Grants a connection if one is available now, and starts to open one where that helps.
    [[nodiscard]] std::optional<grant> try_grant(const queued_statement& waiting,
                                                 base::clock::time_point now) {
        auto found = find_candidates(waiting, now);
        const auto& tenant = waiting.requirements_.tenant_;
        const auto choice =
            tenant.empty() ? choose_database(found.loads_) : choose_for_tenant(found, waiting, now);
        if (choice.connect_index_) {
            const auto& target = found.members_[*choice.connect_index_];
            if (!tenant.empty()) {
                prepare_opening(*target, waiting, now);
            }
            start_opening(target, tenant);
        }
        if (choice.run_index_) {
            auto chosen = found.members_[*choice.run_index_];
            grant granted;
            granted.connection_ = chosen->take_idle(tenant, waiting.session_, now);
            granted.priority_ = waiting.requirements_.priority_;
            granted.is_primary_ = found.loads_[*choice.run_index_].is_primary_;
            granted.required_position_ = granted.is_primary_ ? std::nullopt : found.required_position_;
            granted.member_ = std::move(chosen);
            if (granted.connection_) {
                // Counted from the grant on; otherwise the next statement would be granted the same slot.
                granted.member_->begin_statement(now);
                if (!granted.is_primary_) {
                    take_turn(found, *choice.run_index_);
                }
                return granted;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] placement_choice choose_for_tenant(const candidates& found, const queued_statement& waiting,
                                                     base::clock::time_point now) const {
        const auto& tenant = waiting.requirements_.tenant_;
        std::vector<tenant_candidate> databases;
        bool is_opening = false;
        for (std::size_t index = 0; index < found.loads_.size(); ++index) {
            const auto& load = found.loads_[index];
            const auto& one = *found.members_[index];
            const bool keeps = load.may_open_ && one.keeps_connection(rate_at(one, tenant, now), now);
            is_opening = is_opening || one.opening_for(tenant) > 0;
            databases.push_back(
                {load, keeps, one.opening_for(tenant), one.is_in_use(tenant),
                 tenant_affinity(spread_seed_, tenant, load.id_, load.is_same_failure_domain_)});
        }
        const auto waiting_statements = is_opening ? count_waiting_like(waiting) : 1;
        return choose_tenant_database(databases, waiting_statements, pressure_of(waiting, now));
    }

    /// Returns how many statements of a tenant wait for the same databases, including this one.
    [[nodiscard]] std::size_t count_waiting_like(const queued_statement& waiting) const {
        const auto& requirements = waiting.requirements_;
        std::size_t count = 1;
        for (const auto& [key, other] : queue_) {
            const bool is_alike = other->requirements_.tenant_ == requirements.tenant_ &&
                                  other->requirements_.placement_ == requirements.placement_;
            count += is_alike && other != &waiting ? 1 : 0;
        }
        return count;
    }

    /// Returns how often a tenant uses a database and those where it has no connection: a new connection
    /// would serve all of these uses.
    [[nodiscard]] double rate_at(const member& target, const std::string& tenant,
                                 base::clock::time_point now) const {
        double rate = 0;
        for (const auto& [id, one] : members_) {
            const bool is_served = one.get() == &target || !one->has_connection(tenant);
            rate += is_served ? one->activity().rate_of(tenant, now) : 0;
        }
        return rate;
    }

    /// Closes the connection that the new one replaces, if any, and moves the uses of the tenant that the new
    /// one will serve to its database.
    void prepare_opening(member& target, const queued_statement& waiting, base::clock::time_point now) {
        const auto& tenant = waiting.requirements_.tenant_;
        if (target.decide_opening(tenant, pressure_of(waiting, now), now) == tenant_opening::replace &&
            target.close_replaceable(tenant, now)) {
            counters_.replaced_.fetch_add(1, std::memory_order_relaxed);
        }
        for (const auto& [id, one] : members_) {
            if (one.get() != &target && !one->has_connection(tenant)) {
                target.set_activity(tenant_activity::add_uses(target.activity(), one->activity(), tenant));
                one->set_activity(tenant_activity::remove(one->activity(), tenant));
            }
        }
    }

    [[nodiscard]] std::optional<grant> refusal_on_arrival(const queued_statement& waiting,
                                                          base::clock::time_point now) const {
        const auto expected = expected_wait(waiting, now);
        const bool is_in_time = expected && now + *expected < waiting.requirements_.deadline_ &&
                                *expected < waiting.requirements_.objective_ * max_wait_percent / 100;
        if (!expected || is_in_time) {
            return std::nullopt;
        }
        grant refused;
        refused.refusal_ = "queue expected_wait_ms=" + std::to_string(expected->count());
        return refused;
    }

    [[nodiscard]] std::string refusal_while_waiting(const queued_statement& waiting,
                                                    base::clock::time_point now) const {
        if (now >= waiting.requirements_.deadline_) {
            return "no connection in time";
        }
        const auto waited = now - waiting.queued_at_;
        if (waited <= waiting.requirements_.objective_ / unserved_wait_divisor) {
            return {};
        }
        const auto choice = choose_database(find_candidates(waiting, now).loads_);
        return choice.has_no_candidate_ ? std::string{"no database may serve it now"} : std::string{};
    }

    [[nodiscard]] std::size_t count_ahead(const queued_statement& waiting) const {
        return static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(waiting.key_)));
    }

    /// Returns the expected wait of an arriving statement. Empty while no database may serve it: one may
    /// become eligible soon, and the statement is refused later if none does.
    [[nodiscard]] std::optional<base::clock::duration> expected_wait(const queued_statement& waiting,
                                                                     base::clock::time_point now) const {
        const auto found = find_candidates(waiting, now);
        const auto priority = waiting.requirements_.priority_;
        double capacity = 0;
        auto first_start = base::clock::time_point::max();
        for (std::size_t index = 0; index < found.loads_.size(); ++index) {
            if (found.loads_[index].is_eligible_) {
                const auto& one = *found.members_[index];
                capacity += one.window(view_->daemons_, priority);
                first_start = std::min(first_start, one.next_start(view_->daemons_, priority));
            }
        }
        if (capacity <= 0) {
            return std::nullopt;
        }
        const auto delay = std::max(first_start - now, base::clock::duration{0});
        return wait_estimate_.wait_for(count_ahead(waiting), capacity) + delay;
    }

    void log_long_wait(const queued_statement& waiting) const {
        const auto now = base::clock::now();
        const auto waited = now - waiting.queued_at_;
        if (waited < waiting.requirements_.objective_ / 4) {
            return;
        }
        std::string databases;
        for (const auto& [id, one] : members_) {
            databases.append(id)
                .append(id == view_->primary_ ? "(primary) running=" : " running=")
                .append(std::to_string(one->running()))
                .append(" used=" + std::to_string(one->used_connections()))
                .append(" open=" + std::to_string(one->open_connections()))
                .append(" cost=" + std::to_string(one->estimate().cost(now)))
                .append(one->is_failing() ? " failing" : "")
                .append(one->is_congested() ? " congested" : "")
                .append(one->was_recently_behind(now) ? " behind; " : "; ");
        }
        base::log_event(load_events::statement_waited,
                        {{"service", view_->service_},
                         {"priority", std::to_string(waiting.requirements_.priority_)},
                         {"waited_ms", std::to_string(waited.count())},
                         {"queue", std::to_string(queue_.size())},
                         {"granted", waiting.result_->is_granted() ? "yes" : "no"},
                         {"mean_ms", std::to_string(static_cast<int>(wait_estimate_.mean_ms()))},
                         {"databases", databases}});
    }

    void log_condition(const member& one, const char* state, const std::string& reason) const {
        base::log_event(load_events::database_condition_changed, {{"service", view_->service_},
                                                                  {"database", one.listing()->id_},
                                                                  {"state", state},
                                                                  {"reason", reason}});
    }

    /// Grants connections to queued statements in queue order, as far as any are available.
    void dispatch(base::clock::time_point now) {
        std::vector<queued_statement*> granted;
        for (auto position = queue_.begin(); position != queue_.end();) {
            auto& waiting = *position->second;
            auto result = try_grant(waiting, now);
            if (!result) {
                ++position;
                continue;
            }
            note_start(waiting);
            waiting.result_ = std::move(result);
            granted.push_back(&waiting);
            position = queue_.erase(position);
        }
        for (auto* waiting : granted) {
            waiting->signal_.notify_all();
        }
    }

    void start_opening(const member_pointer& one, const std::string& tenant) {
        one->note_opening(tenant);
        boost::asio::co_spawn(
            executor_, open_connection(this->shared_from_this(), one, tenant),
            [self = this->shared_from_this(), one, tenant](const std::exception_ptr& failure) {
                if (failure) {
                    self->note_open_failure(*one, tenant, "unexpected error");
                }
            });
    }

    static boost::asio::awaitable<void> open_connection(std::shared_ptr<service_group> self,
                                                        member_pointer one, std::string tenant) {
        open_failure failure;
        // A database that becomes the primary meanwhile reports a position from before.
        const bool was_primary = self->is_usable_primary(one->listing()->id_, base::clock::now());
        const auto known_position = was_primary ? self->positions_.newest() : std::nullopt;
        const connection_timeouts timeouts;
        auto listing = one->listing();
        auto opened = co_await statement_connection<Protocol>::open(self->executor_, std::move(listing),
                                                                    tenant, timeouts, failure, self->budget_);
        const auto now = base::clock::now();
        if (opened && !tenant.empty()) {
            self->counters_.opened_.fetch_add(1, std::memory_order_relaxed);
        }
        const auto position = opened ? opened->first_position() : std::nullopt;
        // The log of a primary never becomes shorter, but a database may start again under its id without it.
        const bool has_lost_log =
            opened && known_position && (!position || position->position_ < *known_position);
        if (has_lost_log) {
            opened->close();
            self->note_open_failure(*one, tenant, "it has lost its log");
        } else if (opened) {
            if (position && was_primary && self->is_usable_primary(one->listing()->id_, now)) {
                self->positions_.note(*position);
            }
            if (one->is_failing()) {
                self->log_condition(*one, "answers", {});
            }
            one->add(std::move(opened), now);
        } else if (failure.status_ == statement_status::connection_limit) {
            one->note_refused(tenant, now);
        } else {
            self->note_open_failure(*one, tenant, failure.detail_);
        }
        self->dispatch(now);
    }

    void note_open_failure(member& one, const std::string& tenant, const std::string& reason) {
        if (!one.is_failing()) {
            log_condition(one, "failing", reason);
        }
        one.note_open_failed(tenant, base::clock::now());
    }

    /// Opens a new connection after one was lost: a broken connection alone does not show whether the
    /// database still responds.
    void probe_after_loss(const grant& granted, base::clock::time_point now) {
        if (granted.member_->opening() == 0 && granted.member_->may_open(connection_pressure::waiting, now)) {
            start_opening(granted.member_, granted.connection_->tenant());
        }
    }

    void probe_if_silent(const member_pointer& one, base::clock::time_point now) {
        const bool is_silent = one->silent_for(now) > silence_timeout;
        const bool is_failing_primary = one->is_failing() && one->listing()->id_ == view_->primary_;
        if ((is_silent || is_failing_primary || (one->is_failing() && !queue_.empty())) &&
            one->opening() == 0 && one->may_open(connection_pressure::waiting, now)) {
            start_opening(one, {});
        }
    }

    // Most in-flight statements finish within this time and free their connection, so that no connection
    // beyond the daemon's share is needed.
    static constexpr base::clock::duration pressure_delay{10};
    // Leaves time to replace a broken connection. While no database may serve a statement, an early refusal
    // is more useful to its client than a late one.
    static constexpr int unserved_wait_divisor = 8;
    // The rest of the latency objective is for the statement itself, the database's own queue and the
    // network. A longer queue would only make all of its statements late.
    static constexpr int max_wait_percent = 70;
    // Several times the duration of the longest statement of the deployed services.
    static constexpr base::clock::duration silence_timeout{200};

    boost::asio::any_io_executor executor_;
    std::string failure_domain_;
    std::uint64_t spread_seed_;
    const published_lease& published_lease_;
    preparation_log& preparations_;
    tenant_connection_counters& counters_;
    /// Bounds the memory of responses; null sets no bound.
    base::memory_budget* budget_;
    service_view view_;
    std::map<std::string, member_pointer> members_;
    position_history positions_;
    wait_estimate wait_estimate_;
    priority_durations durations_;
    std::map<queue_key, queued_statement*> queue_;
    /// The order between tenants, by priority.
    std::map<std::uint32_t, fair_order> orders_;
    std::uint64_t last_arrival_ = 0;
    http::wait_signal connection_released_;
};

} // namespace backends
