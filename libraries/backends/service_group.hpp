#pragma once

#include <backends/database_load.hpp>
#include <backends/database_member.hpp>
#include <backends/load_events.hpp>
#include <backends/position_history.hpp>
#include <backends/primary_health.hpp>
#include <backends/published_lease.hpp>
#include <backends/service_view.hpp>
#include <backends/statement_requirements.hpp>
#include <backends/wait_estimate.hpp>
#include <base/clock.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace backends {

/// A connection that a statement or transaction has been given.
template <database_protocol Protocol>
struct connection_grant {
    std::shared_ptr<statement_connection<Protocol>> connection_;
    std::shared_ptr<database_member<Protocol>> member_;
    bool is_primary_ = false;
    std::uint32_t priority_ = 0;
    /// The position that the read demands of the database; nothing at the primary.
    std::optional<base::log_position> required_position_;
    /// Why there is no connection.
    std::string refusal_;
    /// Time in the queue.
    base::clock::duration waited_{0};

    [[nodiscard]] bool is_granted() const noexcept { return connection_ != nullptr; }
};

/// The databases of one service as one daemon uses them: which statement runs next, and where.
///
/// Answers this load: many short statements of a few priorities before databases with few slots. Statements
/// wait in one order, by priority and arrival, and only as long as a database may still run them in time;
/// what cannot be served is refused at once, as not run.
///
/// Thread safety: owned by one thread. Lifetime: held by a `std::shared_ptr`, kept alive by its coroutines.
template <database_protocol Protocol>
class service_group : public std::enable_shared_from_this<service_group<Protocol>> {
public:
    using member = database_member<Protocol>;
    using member_pointer = std::shared_ptr<member>;
    using grant = connection_grant<Protocol>;

    service_group(boost::asio::any_io_executor executor, std::string failure_domain,
                  const published_lease& lease)
        : executor_{std::move(executor)}, failure_domain_{std::move(failure_domain)}, published_lease_{
                                                                                          lease} {}

    /// Takes over a new view of the service.
    void apply(const service_view& view) {
        const auto now = base::clock::now();
        if (view->primary_ != view_->primary_) {
            positions_.clear();
        }
        view_ = view;
        for (const auto& listing : view->databases_) {
            auto& slot = members_[listing->id_];
            const bool has_restarted = slot && (slot->listing()->started_at_ != listing->started_at_ ||
                                                slot->listing()->address_ != listing->address_);
            if (has_restarted) {
                slot->close_all();
                slot.reset();
            }
            if (!slot) {
                const connection_share share{view->max_connections_, view->daemons_};
                slot = std::make_shared<member>(listing, share.record_start(now));
            }
            slot->set_listing(listing);
            slot->set_limits(view->max_connections_, view->daemons_);
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

    /// Waits for a connection on which a statement of a session with these values may run. The grant has none
    /// when the statement cannot be served in time; otherwise its first statement counts as under way until
    /// `end_statement`.
    [[nodiscard]] boost::asio::awaitable<grant> acquire(statement_requirements need,
                                                        const std::map<std::string, std::string>& session) {
        const auto now = base::clock::now();
        ticket waiting{std::move(need), session, now};
        if (is_first(waiting)) {
            if (auto granted = try_grant(waiting, now)) {
                co_return std::move(*granted);
            }
        }
        if (auto refused = refusal_on_arrival(waiting, now)) {
            co_return std::move(*refused);
        }
        const order_key key{waiting.need_.priority_, ++last_ticket_};
        queue_.emplace(key, &waiting);
        while (!waiting.result_) {
            co_await waiting.signal_.wait();
        }
        log_long_wait(waiting);
        waiting.result_->waited_ = base::clock::now() - waiting.queued_at_;
        co_return std::move(*waiting.result_);
    }

    /// Notes that the statement of a granted connection was answered, before the connection is used again or
    /// returned.
    void note_response(const grant& granted, const statement_response& reply,
                       base::clock::time_point sent_at) {
        const auto now = base::clock::now();
        if (reply.status_ == statement_status::unknown) {
            note_lost(granted, now);
            return;
        }
        granted.member_->note_success(now);
        if (reply.status_ == statement_status::overloaded) {
            granted.member_->note_queue_full(now);
        } else if (reply.status_ == statement_status::behind) {
            granted.member_->note_behind(now);
        } else if (!granted.is_primary_ && reply.status_ == statement_status::done) {
            granted.member_->note_caught_up();
        }
        if (reply.status_ == statement_status::done && reply.detail_.size() > 1) {
            durations_.note(now - sent_at);
            granted.member_->note_duration(now - sent_at, granted.priority_, now);
        }
        if (!granted.is_primary_ && reply.position_) {
            granted.member_->note_position(*reply.position_);
        }
        if (granted.is_primary_ && reply.position_ &&
            is_usable_primary(granted.member_->listing()->id_, now)) {
            positions_.note(*reply.position_, sent_at);
        }
    }

    /// Counts a further statement as under way on a granted connection, or no longer.
    void begin_statement(const grant& granted) { granted.member_->begin_statement(base::clock::now()); }
    void end_statement(const grant& granted) {
        granted.member_->end_statement();
        dispatch(base::clock::now());
    }

    /// Returns a connection. One with an open transaction or a lost answer must have been closed.
    void release(const grant& granted) {
        const auto now = base::clock::now();
        granted.member_->give_back(granted.connection_, now);
        changed_.notify_all();
        dispatch(now);
    }

    /// Returns whether a success of the primary may be passed on to its client.
    [[nodiscard]] bool may_acknowledge(const grant& granted) const {
        return is_usable_primary(granted.member_->listing()->id_, base::clock::now());
    }

    /// Ends the use of a database as primary: statements and transactions under way get `limit` to end, then
    /// their connections are closed. Precondition: a view was applied in which it is not usable.
    [[nodiscard]] boost::asio::awaitable<void> drain_database(std::string database,
                                                              base::clock::duration limit) {
        const auto self = this->shared_from_this();
        const auto found = members_.find(database);
        if (found == members_.end()) {
            co_return;
        }
        const auto stopped = found->second;
        const auto end = base::clock::now() + limit;
        while (stopped->used_connections() > 0 && base::clock::now() < end) {
            co_await changed_.wait_for(end - base::clock::now());
        }
        stopped->close_all();
    }

    /// Gives up statements whose time has passed and keeps connections and probes going. Called every few
    /// tens of milliseconds.
    void sweep() {
        const auto now = base::clock::now();
        for (auto& [id, one] : members_) {
            one->close_idle(now);
            probe_if_silent(one, now);
        }
        std::vector<ticket*> expired;
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

    /// Opens a connection to the primary, to learn whether it answers.
    void probe_primary() {
        const auto found = members_.find(view_->primary_);
        if (found != members_.end() && found->second->opening() == 0) {
            start_opening(found->second);
        }
    }

    /// Returns what is known of the primary's condition.
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
    /// By priority, then arrival.
    using order_key = std::pair<std::uint32_t, std::uint64_t>;

    struct ticket {
        ticket(statement_requirements need, const std::map<std::string, std::string>& session,
               base::clock::time_point now)
            : need_{std::move(need)}, session_{session}, queued_at_{now} {}
        statement_requirements need_;
        const std::map<std::string, std::string>& session_;
        base::clock::time_point queued_at_;
        std::optional<grant> result_;
        http::wait_signal signal_;
    };

    [[nodiscard]] bool is_usable_primary(const std::string& id, base::clock::time_point now) const {
        return view_->primary_state_ == primary_state::usable && view_->primary_ == id &&
               published_lease_.is_valid_at(now);
    }

    [[nodiscard]] bool is_first(const ticket& waiting) const {
        return queue_.empty() || waiting.need_.priority_ < queue_.begin()->first.first;
    }

    [[nodiscard]] database_load load_of(member& one, const ticket& waiting,
                                        const std::optional<base::log_position>& needed,
                                        base::clock::time_point now) const {
        const auto& listing = one.listing();
        database_load load;
        load.id_ = listing->id_;
        load.is_primary_ = is_usable_primary(listing->id_, now);
        const bool is_replica_allowed =
            waiting.need_.placement_ == placement::any_fresh && needed && listing->id_ != view_->primary_ &&
            listing->state_ == listed_state::ready && !one.is_behind(*needed, now);
        load.is_eligible_ = (load.is_primary_ || is_replica_allowed) && !one.is_failing() &&
                            !waiting.need_.excluded_.contains(listing->id_);
        load.is_same_failure_domain_ = listing->failure_domain_ == failure_domain_;
        load.running_ = one.running();
        load.max_running_ = one.max_running(view_->daemons_, waiting.need_.priority_, now);
        if (load.is_eligible_) {
            load.has_idle_connection_ = one.has_idle();
            const auto pressure = now - waiting.queued_at_ >= wait_before_pressure
                                      ? connection_pressure::waiting
                                      : connection_pressure::none;
            load.may_open_ = one.may_open(pressure, now);
            load.connections_ = one.open_connections();
        }
        return load;
    }

    struct candidates {
        std::vector<database_load> loads_;
        std::vector<member_pointer> members_;
        std::optional<base::log_position> required_position_;
    };

    [[nodiscard]] candidates candidates_for(const ticket& waiting, base::clock::time_point now) const {
        candidates found;
        if (waiting.need_.placement_ == placement::any_fresh) {
            found.required_position_ =
                positions_.required_position(waiting.need_.staleness_, waiting.need_.own_commit_, now);
        }
        for (const auto& [id, one] : members_) {
            found.loads_.push_back(load_of(*one, waiting, found.required_position_, now));
            found.members_.push_back(one);
        }
        return found;
    }

    /// Gives a connection if there is one now, and starts to open one where that helps.
    [[nodiscard]] std::optional<grant> try_grant(const ticket& waiting, base::clock::time_point now) {
        auto found = candidates_for(waiting, now);
        const auto choice = choose_database(found.loads_);
        if (choice.open_at_) {
            start_opening(found.members_[*choice.open_at_]);
        }
        if (choice.run_at_) {
            auto chosen = found.members_[*choice.run_at_];
            grant granted;
            granted.connection_ = chosen->take_idle(waiting.session_);
            granted.priority_ = waiting.need_.priority_;
            granted.is_primary_ = found.loads_[*choice.run_at_].is_primary_;
            granted.required_position_ = granted.is_primary_ ? std::nullopt : found.required_position_;
            granted.member_ = std::move(chosen);
            if (granted.connection_) {
                // Counted from here on, or the next statement would be given the same slot.
                granted.member_->begin_statement(now);
                return granted;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<grant> refusal_on_arrival(const ticket& waiting,
                                                          base::clock::time_point now) const {
        const auto expected = expected_wait(waiting, now);
        const bool is_in_time = expected && now + *expected < waiting.need_.deadline_ &&
                                *expected < waiting.need_.objective_ * wait_percent / 100;
        if (!expected || is_in_time) {
            return std::nullopt;
        }
        grant refused;
        refused.refusal_ = "queue expected_wait_ms=" + std::to_string(expected->count());
        return refused;
    }

    [[nodiscard]] std::string refusal_while_waiting(const ticket& waiting,
                                                    base::clock::time_point now) const {
        if (now >= waiting.need_.deadline_) {
            return "no connection in time";
        }
        const auto waited = now - waiting.queued_at_;
        if (waited <= waiting.need_.objective_ / patience_divisor) {
            return {};
        }
        const auto choice = choose_database(candidates_for(waiting, now).loads_);
        return choice.has_none_ ? std::string{"no database may serve it now"} : std::string{};
    }

    [[nodiscard]] std::size_t count_ahead(const ticket& waiting) const {
        std::size_t ahead = 0;
        for (const auto& [key, other] : queue_) {
            ahead += key.first <= waiting.need_.priority_ ? 1 : 0;
        }
        return ahead;
    }

    /// Returns how long a statement that arrives waits for its start. Empty while no database may serve it:
    /// one may become eligible soon, and it is refused later if none does.
    [[nodiscard]] std::optional<base::clock::duration> expected_wait(const ticket& waiting,
                                                                     base::clock::time_point now) const {
        const auto found = candidates_for(waiting, now);
        const auto priority = waiting.need_.priority_;
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
        const auto pause = std::max(first_start - now, base::clock::duration{0});
        return durations_.wait_for(count_ahead(waiting), capacity) + pause;
    }

    void log_long_wait(const ticket& waiting) const {
        const auto now = base::clock::now();
        const auto waited = now - waiting.queued_at_;
        if (waited < waiting.need_.objective_ / 4) {
            return;
        }
        std::string databases;
        for (const auto& [id, one] : members_) {
            databases.append(id)
                .append(id == view_->primary_ ? "(primary) running=" : " running=")
                .append(std::to_string(one->running()))
                .append(" used=" + std::to_string(one->used_connections()))
                .append(" open=" + std::to_string(one->open_connections()))
                .append(one->is_failing() ? " failing" : "")
                .append(one->is_congested() ? " congested" : "")
                .append(one->was_recently_behind(now) ? " behind; " : "; ");
        }
        base::log_event(load_events::statement_waited,
                        {{"service", view_->service_},
                         {"priority", std::to_string(waiting.need_.priority_)},
                         {"waited_ms", std::to_string(waited.count())},
                         {"queue", std::to_string(queue_.size())},
                         {"granted", waiting.result_->is_granted() ? "yes" : "no"},
                         {"mean_ms", std::to_string(static_cast<int>(durations_.mean_ms()))},
                         {"databases", databases}});
    }

    void log_condition(const member& one, const char* state, const std::string& reason) const {
        base::log_event(load_events::database_condition_changed, {{"service", view_->service_},
                                                                  {"database", one.listing()->id_},
                                                                  {"state", state},
                                                                  {"reason", reason}});
    }

    /// Grants what can be granted, in the order of the queue.
    void dispatch(base::clock::time_point now) {
        std::vector<ticket*> granted;
        for (auto position = queue_.begin(); position != queue_.end();) {
            auto& waiting = *position->second;
            auto result = try_grant(waiting, now);
            if (!result) {
                ++position;
                continue;
            }
            waiting.result_ = std::move(result);
            granted.push_back(&waiting);
            position = queue_.erase(position);
        }
        for (auto* waiting : granted) {
            waiting->signal_.notify_all();
        }
    }

    void start_opening(const member_pointer& one) {
        one->note_opening();
        boost::asio::co_spawn(executor_, open_connection(this->shared_from_this(), one),
                              boost::asio::detached);
    }

    static boost::asio::awaitable<void> open_connection(std::shared_ptr<service_group> self,
                                                        member_pointer one) {
        open_failure failure;
        const auto requested_at = base::clock::now();
        const connection_timeouts times;
        auto listing = one->listing();
        auto opened = co_await statement_connection<Protocol>::open(self->executor_, std::move(listing),
                                                                    times, failure);
        const auto now = base::clock::now();
        if (opened) {
            const auto& position = opened->first_position();
            if (position && self->is_usable_primary(one->listing()->id_, now)) {
                self->positions_.note(*position, requested_at);
            }
            if (one->is_failing()) {
                self->log_condition(*one, "answers", {});
            }
            one->add(std::move(opened), now);
        } else if (failure.status_ == statement_status::connection_limit) {
            one->note_refused(now);
        } else {
            if (!one->is_failing()) {
                self->log_condition(*one, "failing", failure.detail_);
            }
            one->note_open_failed(now);
        }
        self->dispatch(now);
    }

    /// A connection that broke says little of the database; a fresh one shows whether it still answers.
    void note_lost(const grant& granted, base::clock::time_point now) {
        if (granted.member_->opening() == 0 && granted.member_->may_open(connection_pressure::waiting, now)) {
            start_opening(granted.member_);
        }
    }

    void probe_if_silent(const member_pointer& one, base::clock::time_point now) {
        const bool is_silent = one->silent_for(now) > silence_before_probe;
        const bool is_failing_primary = one->is_failing() && one->listing()->id_ == view_->primary_;
        if ((is_silent || is_failing_primary || (one->is_failing() && !queue_.empty())) &&
            one->opening() == 0 && one->may_open(connection_pressure::waiting, now)) {
            start_opening(one);
        }
    }

    // A statement under way ends within this time on most days, and its connection is free again.
    static constexpr base::clock::duration wait_before_pressure{10};
    // Time for a new connection after a broken one. While no database may serve it, a statement is worth more
    // to its client refused at once than late.
    static constexpr int patience_divisor = 8;
    // The rest of the objective is for the statement itself, the database's own queue and the network. A
    // longer queue would only make all of its statements late.
    static constexpr int wait_percent = 70;
    // Several times the longest statement of today's services.
    static constexpr base::clock::duration silence_before_probe{200};

    boost::asio::any_io_executor executor_;
    std::string failure_domain_;
    const published_lease& published_lease_;
    service_view view_;
    std::map<std::string, member_pointer> members_;
    position_history positions_;
    wait_estimate durations_;
    std::map<order_key, ticket*> queue_;
    std::uint64_t last_ticket_ = 0;
    http::wait_signal changed_;
};

} // namespace backends
