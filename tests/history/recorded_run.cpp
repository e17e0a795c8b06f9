#include <tests/history/recorded_run.hpp>

namespace recorded {

using history::entry_kind;

void run::append(history::log_entry_fields entry) {
    entry.position_ = {1, entries_.size() + 1};
    entries_.emplace_back(std::move(entry));
}

history::request_record_fields run::next_record(unsigned session) {
    time_us_ += 10;
    return {.session_ = "s" + std::to_string(session),
            .sequence_ = records_.size(),
            .scheduled_us_ = time_us_,
            .sent_us_ = time_us_,
            .answered_us_ = time_us_ + 5,
            .service_ = "ledger",
            .tenant_ = "zagreb"};
}

void run::write(unsigned session, unsigned key, step what) {
    auto record = next_record(session);
    const auto name = "k" + std::to_string(key);
    const auto value = "v" + std::to_string(record.sequence_);
    record.access_ = base::access::write;
    record.statements_ = {"set " + name + " " + value, "get " + name};
    record.key_ = what == step::write ? "" : "key-" + std::to_string(record.sequence_);
    if (what == step::refused || what == step::cancelled) {
        record.outcome_ = base::outcome::not_run;
        record.error_ =
            what == step::refused ? base::error_kind::overloaded : base::error_kind::key_cancelled;
        if (what == step::cancelled) {
            append({.kind_ = entry_kind::cancellation, .key_ = history::recorded_key(record)});
        }
    } else {
        append({.statements_ = record.statements_,
                .key_ = history::recorded_key(record),
                .results_ = {value, value}});
        values_[name] = value;
        record.outcome_ = what == step::lost_response ? base::outcome::unknown : base::outcome::done;
        record.results_ =
            what == step::lost_response ? std::vector<std::string>{} : std::vector<std::string>{value, value};
    }
    records_.emplace_back(std::move(record));
}

void run::read(unsigned session, unsigned key) {
    auto record = next_record(session);
    const auto name = "k" + std::to_string(key);
    record.statements_ = {"get " + name};
    record.outcome_ = base::outcome::done;
    record.results_ = {values_[name]};
    records_.emplace_back(std::move(record));
}

// Repeats the last keyed write under its key: one that ran is answered from its outcome, others still run
// not.
void run::repeat() {
    for (auto found = records_.rbegin(); found != records_.rend(); ++found) {
        if (!(*found)->key_.empty()) {
            auto record = **found;
            time_us_ += 10;
            record.sequence_ = records_.size();
            record.sent_us_ = time_us_;
            record.answered_us_ = time_us_ + 5;
            records_.emplace_back(std::move(record));
            return;
        }
    }
}

void run::perform(step what, unsigned session, unsigned key) {
    if (what == step::read) {
        read(session, key);
    } else if (what == step::repeat) {
        repeat();
    } else {
        write(session, key, what);
    }
}

std::vector<history::violation> run::check() const {
    const std::vector<history::database_log> logs{
        history::database_log_fields{"ledger_1", entries_},
        history::database_log_fields{"ledger_2", {entries_.begin(), entries_.end() - 1}},
        history::database_log_fields{"ledger_3", {entries_.begin(), entries_.begin() + 1}}};
    return history::check_history(records_, logs);
}

std::set<history::rule> run::broken_rules() const {
    std::set<history::rule> rules;
    for (const auto& found : check()) {
        rules.insert(found.rule_);
    }
    return rules;
}

} // namespace recorded
