#include "group_model.hpp"

#include <algorithm>

namespace group_model {

namespace {

using backends::attempt_end;
using backends::next_step;
using base::clock;

constexpr clock::duration step_time{5};
constexpr clock::duration attempt_time{250};
constexpr clock::duration silence_time{500};
constexpr clock::duration request_time{2'500};

std::vector<std::string> names_of(std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("d" + std::to_string(index));
    }
    return names;
}

std::set<int> writes_in(const std::vector<entry>& log) {
    std::set<int> keys;
    for (const auto& one : log) {
        if (one.key_ != 0 && !one.cancels_) {
            keys.insert(one.key_);
        }
    }
    return keys;
}

} // namespace

base::log_position database::last() const {
    return log_.empty() ? base::log_position{} : base::log_position{log_.back().term_, log_.size()};
}

const entry* database::find(int key) const {
    const auto found =
        std::find_if(log_.begin(), log_.end(), [key](const entry& one) { return one.key_ == key; });
    return found == log_.end() ? nullptr : &*found;
}

bool database::raise(std::uint64_t term, const std::string& proposer) {
    if (term > term_) {
        term_ = term;
        proposer_ = proposer;
        is_primary_ = false;
        return true;
    }
    return term == term_ && proposer == proposer_;
}

bool database::promote(std::uint64_t term, const std::string& proposer) {
    if (term != term_ || proposer != proposer_) {
        return false;
    }
    if (!is_primary_) {
        is_primary_ = true;
        log_.push_back({.term_ = term});
    }
    return true;
}

void database::replicate(std::uint64_t term, const std::vector<entry>& log) {
    if (term < term_ || (term == term_ && is_primary_)) {
        return;
    }
    if (term > term_) {
        term_ = term;
        proposer_.clear();
        is_primary_ = false;
    }
    const bool is_older_message = !log_.empty() && log_.back().term_ == term && log_.size() >= log.size();
    if (!is_older_message) {
        log_ = log;
    }
}

simulation::simulation(rules used, std::uint32_t seed)
    : rules_{used}, random_{seed}, databases_(used.databases_),
      sides_(used.databases_ + 3, 0), turmoil_{static_cast<int>(pick(4))}, read_percent_{chance(50) ? 30
                                                                                                    : 90} {
    for (int number = 0; number < 3; ++number) {
        owner created{.node_ = used.databases_ + static_cast<std::size_t>(number),
                      .name_ = "home" + std::to_string(number),
                      .view_ = backends::group_view::of(names_of(used.databases_))};
        created.rounds_.emplace(created.view_.majority());
        owners_.push_back(std::move(created));
    }
}

void simulation::run(int steps) {
    for (int number = 0; number < steps; ++number) {
        step();
    }
    is_recovering_ = true;
    sides_.assign(sides_.size(), 0);
    // A quiet group: requests in flight end, and one home gives it a last primary.
    for (int number = 0; number < 4 * steps && !(number > 1'000 && network_.empty()); ++number) {
        step();
    }
    check_survivors();
}

bool simulation::chance(int percent) {
    return static_cast<int>(pick(100)) < percent;
}

std::size_t simulation::pick(std::size_t count) {
    return random_() % count;
}

void simulation::send(std::size_t node, std::size_t index, event action, delivery kind) {
    network_.push_back({.node_ = node, .database_ = index, .action_ = std::move(action), .kind_ = kind});
}

void simulation::deliver_one() {
    if (network_.empty()) {
        return;
    }
    std::swap(network_[pick(network_.size())], network_.back());
    auto delivered = std::move(network_.back());
    network_.pop_back();
    if (!is_recovering_ && (sides_[delivered.node_] != sides_[delivered.database_] || chance(2 * turmoil_))) {
        return;
    }
    if (!is_recovering_ && delivered.kind_ == delivery::repeatable && chance(2 * turmoil_)) {
        network_.push_back(delivered);
    }
    delivered.action_();
}

void simulation::step() {
    now_ += step_time;
    if (!is_recovering_) {
        if (pick(500) < 1U + static_cast<std::size_t>(turmoil_)) {
            const int percent = chance(50) ? 40 : 0;
            std::generate(sides_.begin(), sides_.end(), [&] { return chance(percent) ? 1 : 0; });
        }
        if (pick(400) == 0) {
            auto& one = databases_[pick(databases_.size())];
            one.is_leaving_ = !one.is_leaving_;
        }
        if (chance(15)) {
            start_request(owners_[pick(owners_.size())]);
        }
    }
    const auto source = pick(databases_.size());
    if (chance(60)) {
        replicate(source);
    }
    for (auto& self : owners_) {
        tick(self);
    }
    for (int number = 0; number < 6; ++number) {
        deliver_one();
    }
}

void simulation::tick(owner& self) {
    for (std::size_t index = 0; index < databases_.size(); ++index) {
        if (chance(12) && (!is_recovering_ || network_.size() < 20)) {
            ask_status(self, index, self.rounds_->round_in_flight());
        }
    }
    const auto primary = self.view_.primary();
    const bool is_silent = !primary || now_ > self.view_.find(*primary)->heard_at_ + silence_time;
    if (!self.takeover_ &&
        (is_silent ? chance(5) : !is_recovering_ && pick(800) < static_cast<std::size_t>(turmoil_))) {
        const auto reason = chance(50) ? backends::takeover_reason::primary_failed
                                       : backends::takeover_reason::primary_leaving;
        const clock::duration jitter{static_cast<clock::rep>(pick(100))};
        self.takeover_ =
            backends::takeover::begin(self.view_, reason, self.name_, self.last_used_term_, now_, jitter);
    }
    if (self.takeover_) {
        self.takeover_ = self.takeover_->advance(self.view_, now_);
        for (std::size_t index = 0; index < databases_.size(); ++index) {
            const auto request = self.takeover_->next_request("d" + std::to_string(index), now_);
            if (request && chance(40)) {
                ask_step(self, index, *request);
            }
        }
        if (self.takeover_->is_over()) {
            self.last_used_term_ = self.takeover_->term();
            self.takeover_.reset();
        }
    }
    release(self);
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, request] : self.requests_) {
        if (!request.waits_at_gate_ && now_ >= request.sent_at_ + attempt_time) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        const auto& request = self.requests_.at(id);
        finish_attempt(self, id, request.settles_ ? attempt_end::settle_failed : attempt_end::answer_lost);
    }
}

void simulation::ask_status(owner& self, std::size_t index, std::optional<std::uint64_t> round) {
    send(self.node_, index, [this, &self, index, round, requested_at = now_] {
        const auto& one = databases_[index];
        const backends::database_status status{backends::database_status_fields{
            .database_ = "d" + std::to_string(index),
            .term_ = one.term_,
            .role_ = one.is_primary_ ? base::database_role::primary : base::database_role::replica,
            .last_ = one.last(),
            .leaving_ = one.is_leaving_}};
        send(self.node_, index, [this, &self, status, round, requested_at] {
            const auto known = self.view_.committed();
            const auto term = self.view_.term();
            self.view_ = self.view_.record_status(status, requested_at, now_);
            if (self.view_.term() < term || (self.view_.term() == term && self.view_.committed() < known)) {
                violations_.emplace_back("a status moved knowledge back");
            }
            if (round) {
                check_rounds(self,
                             self.rounds_->record_response(*round, status->database_, status->term_, now_));
            }
        });
    });
}

void simulation::ask_step(owner& self, std::size_t index, const backends::takeover_request& request) {
    send(self.node_, index, [this, &self, index, request] {
        auto& one = databases_[index];
        const bool is_raise = request.step_ == backends::takeover_step::raise;
        const bool was_primary = one.is_primary_;
        const bool accepted = is_raise ? one.raise(request.term_, request.proposer_)
                                       : one.promote(request.term_, request.proposer_);
        if (!is_raise && accepted && !was_primary) {
            note_promotion(index);
        }
        const auto name = "d" + std::to_string(index);
        send(self.node_, index,
             [&self, name, request, is_raise, accepted, term = one.term_, last = one.last(), this] {
                 if (!self.takeover_) {
                     return;
                 }
                 auto& current = *self.takeover_;
                 if (!accepted) {
                     current = current.record_refusal(name, request.term_, term, now_);
                 } else if (is_raise) {
                     current = current.record_grant(name, request.term_, last);
                 } else {
                     current = current.with_promotion(name, request.term_);
                 }
             });
    });
}

void simulation::replicate(std::size_t from) {
    const auto& source = databases_[from];
    if (!source.is_primary_) {
        return;
    }
    for (std::size_t index = 0; index < databases_.size(); ++index) {
        if (index != from && chance(60)) {
            send(from, index, [this, index, term = source.term_, log = source.log_] {
                databases_[index].replicate(term, log);
            });
        }
    }
}

void simulation::start_request(owner& self) {
    served_request created{.is_read_ = chance(read_percent_)};
    created.is_repeat_ = !created.is_read_ && !unknown_.empty() && chance(30);
    if (created.is_repeat_) {
        created.key_ = unknown_[pick(unknown_.size())];
    } else if (!created.is_read_) {
        created.key_ = ++last_key_;
        key_of_action_[created.key_] = created.key_;
    }
    created.deadline_ = now_ + request_time;
    created.acknowledged_before_ = acknowledged_.size();
    const auto id = ++last_id_;
    self.requests_.emplace(id, std::move(created));
    start_attempt(self, id);
}

void simulation::start_attempt(owner& self, std::uint64_t id) {
    auto& request = self.requests_.at(id);
    request.sent_at_ = now_;
    request.attempt_ = ++last_id_;
    request.waits_at_gate_ = false;
    request.confirmed_ = request.released_ = false;
    request.seen_.reset();
    const auto primary = self.view_.primary();
    if (!primary) {
        finish_attempt(self, id, request.settles_ ? attempt_end::settle_failed : attempt_end::not_sent);
        return;
    }
    if (request.is_read_ && rules_.read_ == read_rule::round) {
        check_rounds(
            self,
            self.rounds_->add_read(
                {.id_ = request.attempt_, .term_ = self.view_.term(), .deadline_ = request.deadline_}, now_));
    }
    send_attempt(self, id, index_of(*primary), self.view_.term());
}

void simulation::send_attempt(owner& self, std::uint64_t id, std::size_t index, std::uint64_t term) {
    const auto sent = self.requests_.at(id);
    send(
        self.node_, index,
        [this, &self, id, index, term, sent] {
            auto& one = databases_[index];
            const auto respond = [this, &self, id, index, attempt = sent.attempt_](auto take) {
                send(self.node_, index, [&self, id, attempt, take] {
                    const auto found = self.requests_.find(id);
                    if (found != self.requests_.end() && found->second.attempt_ == attempt &&
                        !found->second.waits_at_gate_) {
                        take(found->second);
                    }
                });
            };
            if (!one.is_primary_ || one.term_ != term) {
                respond([this, &self, id](served_request& request) {
                    finish_attempt(self, id,
                                   request.settles_ ? attempt_end::settle_failed : attempt_end::refused,
                                   backends::refusal::term_stale);
                });
                return;
            }
            const auto* known = sent.is_read_ ? nullptr : one.find(sent.key_);
            if (known != nullptr && known->cancels_ && !sent.settles_) {
                respond([this, &self, id](served_request&) {
                    finish_attempt(self, id, attempt_end::refused, backends::refusal::cancelled);
                });
                return;
            }
            // The broken rule reports a replayed outcome at the place of its old entry.
            auto position = one.last();
            if (known != nullptr && rules_.gate_ == gate_rule::any_term) {
                const auto place = static_cast<std::uint64_t>(known - one.log_.data()) + 1;
                position = base::log_position{known->term_, place};
            }
            const bool cancelled = sent.settles_ && (known == nullptr || known->cancels_);
            if (known == nullptr && !sent.is_read_) {
                one.log_.push_back({.term_ = term, .key_ = sent.key_, .cancels_ = cancelled});
                position = one.last();
            }
            respond(
                [this, &self, id, position, cancelled, seen = writes_in(one.log_)](served_request& request) {
                    request.cancelled_ = cancelled;
                    take_done(self, id, position, seen);
                });
        },
        delivery::at_most_once);
}

void simulation::take_done(owner& self, std::uint64_t id, base::log_position position, std::set<int> seen) {
    auto& request = self.requests_.at(id);
    request.seen_ = std::move(seen);
    request.waits_at_gate_ = true;
    request.position_ = position;
    self.gate_ =
        self.gate_.record_response({.id_ = id, .position_ = position, .deadline_ = request.deadline_});
}

// The broken rules. With `any_term` an entry counts as held wherever the last entry is not older.
bool simulation::may_release(const owner& self, base::log_position position) const {
    if (rules_.gate_ == gate_rule::primary_alone) {
        return true;
    }
    const auto& known = self.view_.databases();
    const auto holding = std::count_if(known.begin(), known.end(), [position](const auto& one) {
        return one.status_ && (*one.status_)->last_ >= position;
    });
    return static_cast<std::size_t>(holding) >= self.view_.majority();
}

void simulation::release(owner& self) {
    std::vector<std::uint64_t> released_by_broken_rule;
    for (const auto& [id, request] : self.requests_) {
        if (rules_.gate_ != gate_rule::majority && request.waits_at_gate_ &&
            may_release(self, request.position_)) {
            released_by_broken_rule.push_back(id);
        }
    }
    for (const auto id : released_by_broken_rule) {
        self.gate_ = self.gate_.without_response(id);
        self.requests_.at(id).released_ = true;
        release_read(self, id);
    }
    auto next = self.gate_.advance(self.view_, now_);
    self.gate_ = std::move(next.gate_);
    for (const auto& decision : next.decisions_) {
        auto& request = self.requests_.at(decision.id_);
        if (decision.result_ == backends::gate_result::released) {
            request.released_ = true;
            release_read(self, decision.id_);
            continue;
        }
        const bool changed = decision.result_ == backends::gate_result::term_changed;
        const auto end = changed ? attempt_end::term_changed : attempt_end::gate_timed_out;
        finish_attempt(self, decision.id_, request.settles_ ? attempt_end::settle_failed : end);
    }
    check_rounds(self, self.rounds_->advance(self.view_.term(), now_));
}

// A read needs the gate and the round, in any order; everything else needs the gate.
void simulation::release_read(owner& self, std::uint64_t id) {
    const auto& request = self.requests_.at(id);
    if (!request.released_ || (request.is_read_ && rules_.read_ == read_rule::round && !request.confirmed_)) {
        return;
    }
    if (request.settles_) {
        finish_attempt(self, id,
                       request.cancelled_ ? attempt_end::settled_cancelled : attempt_end::settled_done);
    } else {
        finish_attempt(self, id, attempt_end::released);
    }
}

void simulation::check_rounds(owner& self, backends::freshness_rounds::step next) {
    self.rounds_ = std::move(next.rounds_);
    for (const auto& decision : next.decisions_) {
        const auto found = std::find_if(self.requests_.begin(), self.requests_.end(),
                                        [&](const auto& one) { return one.second.attempt_ == decision.id_; });
        if (found == self.requests_.end()) {
            continue;
        }
        if (decision.result_ == backends::freshness_result::confirmed) {
            found->second.confirmed_ = true;
            release_read(self, found->first);
        } else {
            finish_attempt(self, found->first, attempt_end::term_changed);
        }
    }
}

void simulation::finish_attempt(owner& self, std::uint64_t id, attempt_end end,
                                std::optional<backends::refusal> refusal) {
    self.gate_ = self.gate_.without_response(id);
    auto& request = self.requests_.at(id);
    const bool lost = end == attempt_end::answer_lost || end == attempt_end::term_changed;
    auto decided = backends::decide_outcome(
        {.end_ = end,
         .refusal_ = refusal,
         .access_ = request.is_read_ ? base::access::read : base::access::write,
         .has_key_ = !request.is_read_,
         .earlier_ = request.earlier_,
         .retry_ = chance(70) ? backends::retry_permission::allowed : backends::retry_permission::exhausted,
         .time_left_ = request.deadline_ - now_});
    if (lost && !request.is_read_ && rules_.outcome_ == outcome_rule::guess_not_run) {
        decided.next_ = next_step::respond_not_run;
    }
    if (lost && !request.is_read_ && rules_.outcome_ == outcome_rule::repeat_under_new_key) {
        key_of_action_[++last_key_] = key_of_action_[request.key_];
        request.key_ = last_key_;
        decided.next_ = next_step::retry;
    }
    request.earlier_ = decided.earlier_;
    if (decided.next_ == next_step::retry || decided.next_ == next_step::settle) {
        request.settles_ = decided.next_ == next_step::settle;
        request.waits_at_gate_ = false;
        // The next attempt starts after a pause; until then a late answer belongs to no attempt.
        request.attempt_ = 0;
        request.sent_at_ = now_;
        // Between a node and itself, so that no partition holds it back.
        send(0, 0, [this, &self, id] {
            const auto found = self.requests_.find(id);
            if (found != self.requests_.end() && found->second.attempt_ == 0) {
                start_attempt(self, id);
            }
        });
        return;
    }
    auto ended = std::move(request);
    self.requests_.erase(id);
    if (decided.next_ == next_step::respond_not_run && ended.is_repeat_ &&
        decided.error_ != base::error_kind::key_cancelled) {
        // The repeat did not run; it says nothing about the earlier request with its key.
        decided.next_ = next_step::respond_unknown;
    }
    tell(std::move(ended), decided.next_);
}

void simulation::tell(served_request request, next_step next) {
    if (request.is_read_) {
        if (next != next_step::respond_done) {
            return;
        }
        ++confirmed_reads_;
        for (std::size_t number = 0; number < request.acknowledged_before_; ++number) {
            if (!request.seen_->contains(acknowledged_[number])) {
                violations_.emplace_back("a read missed a write acknowledged before it");
                return;
            }
        }
        return;
    }
    if (next == next_step::respond_done) {
        acknowledged_.push_back(request.key_);
        const auto newest = promoted_.rbegin();
        if (newest != promoted_.rend() && databases_[newest->second].term_ == newest->first &&
            databases_[newest->second].find(request.key_) == nullptr) {
            violations_.emplace_back("an answer of a replaced primary was released");
        }
    } else if (next == next_step::respond_not_run) {
        not_run_.insert(request.key_);
    } else {
        unknown_.push_back(request.key_);
    }
}

void simulation::note_promotion(std::size_t index) {
    const auto& one = databases_[index];
    if (!promoted_.emplace(one.term_, index).second) {
        violations_.emplace_back("two databases became primary of one term");
    }
    const auto written = writes_in(one.log_);
    for (const auto key : acknowledged_) {
        if (!written.contains(key)) {
            violations_.emplace_back("a new primary lacks an acknowledged write");
            return;
        }
    }
}

void simulation::check_survivors() {
    if (promoted_.empty()) {
        return;
    }
    const auto& survivor = databases_[promoted_.rbegin()->second];
    std::map<int, int> executions;
    for (const auto& one : survivor.log_) {
        if (one.key_ != 0 && !one.cancels_) {
            ++executions[key_of_action_.at(one.key_)];
        }
    }
    for (const auto& [action, count] : executions) {
        if (count > 1) {
            violations_.emplace_back("an action ran twice");
        }
    }
    for (const auto key : acknowledged_) {
        if (survivor.find(key) == nullptr || survivor.find(key)->cancels_) {
            violations_.emplace_back("an acknowledged write is lost");
        }
    }
    for (const auto key : not_run_) {
        if (survivor.find(key) != nullptr && !survivor.find(key)->cancels_) {
            violations_.emplace_back("a request told as not run ran");
        }
    }
}

std::size_t simulation::index_of(const std::string& name) const {
    return std::stoul(name.substr(1));
}

} // namespace group_model
