#include <utilities/history/service_history.hpp>

#include <algorithm>
#include <optional>

namespace history {

namespace {

std::string describe(const request_record& record) {
    const auto text = record->key_.empty() && !record->statements_.empty() ? record->statements_.front()
                                                                           : "key " + record->key_;
    return "session '" + record->session_ + "' sequence " + std::to_string(record->sequence_) + " (" + text +
           ")";
}

std::string describe_entry(std::size_t number) {
    return "entry " + std::to_string(number);
}

std::optional<std::string> find_set(const std::vector<std::string>& statements) {
    const auto found = std::find_if(statements.begin(), statements.end(),
                                    [](const auto& text) { return text.starts_with("set "); });
    return found == statements.end() ? std::nullopt : std::optional{*found};
}

std::pair<std::string, std::string> identify(const std::string& key,
                                             const std::vector<std::string>& statements) {
    return key.empty() ? std::pair{std::string{}, find_set(statements).value_or("")}
                       : std::pair{key, std::string{}};
}

bool is_write(const request_record& record) {
    return record->access_ == base::access::write;
}

bool is_done(const request_record& record) {
    return record->outcome_ == base::outcome::done;
}

} // namespace

service_history::service_history(std::string service, const std::vector<const request_record*>& records,
                                 const database_log& log)
    : service_{std::move(service)}, records_{records}, log_{&log} {
    for (std::size_t number = 1; number <= log->entries_.size(); ++number) {
        index_entry(number);
    }
    for (const auto* record : records_) {
        index_record(*record);
    }
}

void service_history::index_entry(std::size_t number) {
    const auto& entry = (*log_)->entries_[number - 1];
    if (entry->kind_ != entry_kind::write) {
        return;
    }
    entries_[identify(entry->key_, entry->statements_)].push_back(number);
    for (const auto& text : entry->statements_) {
        const auto parts = split_statement(text);
        if (parts.verb_ == "set") {
            written_at_[{parts.key_, parts.operand_}] = number;
            known_values_.emplace(parts.key_, parts.operand_);
        } else if (parts.verb_ != "get") {
            accumulating_keys_.insert(parts.key_);
        }
    }
}

void service_history::index_record(const request_record& record) {
    if (!is_write(record)) {
        return;
    }
    const auto name = identify(recorded_key(record), record->statements_);
    if (name != identity{}) {
        submissions_[name].push_back(&record);
    }
    for (const auto& text : record->statements_) {
        const auto parts = split_statement(text);
        if (parts.verb_ == "set") {
            by_statement_.emplace(text, &record);
            known_values_.emplace(parts.key_, parts.operand_);
        } else if (parts.verb_ != "get") {
            accumulating_keys_.insert(parts.key_);
        }
    }
    const auto& entries = entries_of(record);
    if (is_done(record) && !record->session_.empty() && !entries.empty()) {
        index_acknowledged(record, entries.front());
    }
}

void service_history::index_acknowledged(const request_record& record, std::size_t entry) {
    for (const auto& text : record->statements_) {
        const auto parts = split_statement(text);
        if (parts.verb_ == "set") {
            acknowledged_[{record->session_, parts.key_}].push_back({record->answered_us_, entry});
        }
    }
}

const service_history::entry_numbers& service_history::entries_of(const request_record& record) const {
    static const entry_numbers none;
    const auto found = entries_.find(identify(recorded_key(record), record->statements_));
    return found == entries_.end() ? none : found->second;
}

std::vector<violation> service_history::check() {
    for (const auto* record : records_) {
        check_lost(*record);
        check_response(*record);
        check_reads(*record);
    }
    check_not_run();
    check_doubled();
    for (std::size_t number = 1; number <= (*log_)->entries_.size(); ++number) {
        check_mixed(number);
    }
    return std::move(found_);
}

void service_history::check_lost(const request_record& record) {
    const bool is_identified = identify(recorded_key(record), record->statements_) != identity{};
    if (is_write(record) && is_done(record) && is_identified && entries_of(record).empty()) {
        report(rule::acknowledged_write_lost, describe(record) + " has no entry");
    }
}

// Another submission under the same key may have run; a cancelled key never runs.
void service_history::check_not_run() {
    for (const auto& [name, submissions] : submissions_) {
        if (entries_of(*submissions.front()).empty()) {
            continue;
        }
        bool may_have_run = false;
        bool was_cancelled = false;
        for (const auto* record : submissions) {
            may_have_run = may_have_run || (*record)->outcome_ != base::outcome::not_run;
            was_cancelled = was_cancelled || ((*record)->outcome_ == base::outcome::not_run &&
                                              (*record)->error_ == base::error_kind::key_cancelled);
        }
        if (was_cancelled || !may_have_run) {
            report(rule::not_run_ran, describe(*submissions.front()) + " has " +
                                          describe_entry(entries_of(*submissions.front()).front()));
        }
    }
}

void service_history::check_doubled() {
    for (const auto& [name, numbers] : entries_) {
        if (name != identity{} && numbers.size() > 1) {
            report(rule::write_doubled, (name.first.empty() ? name.second : "key " + name.first) + " has " +
                                            std::to_string(numbers.size()) + " entries");
        }
    }
}

void service_history::check_mixed(std::size_t number) {
    const auto& entry = (*log_)->entries_[number - 1];
    if (entry->kind_ != entry_kind::write) {
        return;
    }
    std::set<const request_record*> owners;
    for (const auto& text : entry->statements_) {
        const auto found = by_statement_.find(text);
        if (found != by_statement_.end()) {
            owners.insert(found->second);
        }
    }
    const auto by_key = submissions_.find({entry->key_, {}});
    if (!entry->key_.empty() && by_key != submissions_.end()) {
        owners.insert(by_key->second.front());
    }
    for (const auto* owner : owners) {
        if ((*owner)->statements_ != entry->statements_ || recorded_key(*owner) != entry->key_) {
            report(rule::statements_mixed,
                   describe_entry(number) + " differs from the request of " + describe(*owner));
        }
    }
}

void service_history::check_response(const request_record& record) {
    if (!is_done(record)) {
        return;
    }
    if (record->results_.size() != record->statements_.size()) {
        report(rule::foreign_answer, describe(record) + " has " + std::to_string(record->results_.size()) +
                                         " results for " + std::to_string(record->statements_.size()) +
                                         " statements");
        return;
    }
    for (std::size_t index = 0; index < record->statements_.size(); ++index) {
        if (!is_plausible(split_statement(record->statements_[index]), record->results_[index])) {
            report(rule::foreign_answer, describe(record) + " got '" + record->results_[index] +
                                             "' for statement " + std::to_string(index + 1));
        }
    }
}

bool service_history::is_plausible(const statement& asked, const std::string& result) const {
    if (asked.verb_ == "set") {
        return result == asked.operand_;
    }
    if (accumulating_keys_.contains(asked.key_)) {
        return true;
    }
    return result.empty() || known_values_.contains({asked.key_, result});
}

void service_history::check_reads(const request_record& record) {
    if (is_write(record) || !is_done(record) || record->session_.empty() ||
        record->results_.size() != record->statements_.size()) {
        return;
    }
    for (std::size_t index = 0; index < record->statements_.size(); ++index) {
        const auto parts = split_statement(record->statements_[index]);
        if (parts.verb_ == "get" && !accumulating_keys_.contains(parts.key_)) {
            check_read(record, parts.key_, record->results_[index]);
        }
    }
}

void service_history::check_read(const request_record& record, const std::string& key,
                                 const std::string& value) {
    const auto own = last_own_write(record, key);
    const auto found = written_at_.find({key, value});
    const auto seen = found == written_at_.end() ? 0 : found->second;
    if (seen < own) {
        report(rule::stale_read, describe(record) + " read '" + value + "' of " +
                                     (seen == 0 ? "no entry" : describe_entry(seen)) +
                                     " after the session's own " + describe_entry(own));
    }
}

std::size_t service_history::last_own_write(const request_record& record, const std::string& key) const {
    const auto found = acknowledged_.find({record->session_, key});
    std::size_t last = 0;
    if (found != acknowledged_.end()) {
        for (const auto& write : found->second) {
            if (write.answered_us_ <= record->sent_us_) {
                last = std::max(last, write.entry_);
            }
        }
    }
    return last;
}

void service_history::report(rule broken, std::string message) {
    found_.push_back({broken, service_, std::move(message)});
}

} // namespace history
