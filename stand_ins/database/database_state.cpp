#include <stand_ins/database/database_state.hpp>

#include <stand_ins/database/statements.hpp>

namespace stand_ins::database {

base::log_position database_state::last() const noexcept {
    return entries_.empty() ? base::log_position{} : entries_.back()->position_;
}

std::optional<std::uint64_t> database_state::term_at(std::uint64_t index) const noexcept {
    if (index == 0) {
        return 0;
    }
    return index <= entries_.size() ? std::optional{entries_[index - 1]->position_.term()} : std::nullopt;
}

std::optional<std::string> database_state::value(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::optional{found->second.text_};
}

std::uint64_t database_state::version(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.version_;
}

std::optional<outcome> database_state::find_outcome(const std::string& key) const {
    const auto found = outcomes_.find(key);
    return found == outcomes_.end() ? std::nullopt : std::optional{found->second};
}

void database_state::apply(const state_change& change) {
    if (const auto* record = std::get_if<term_record>(&change)) {
        terms_ = *record;
    } else if (const auto* entry = std::get_if<log_entry>(&change)) {
        append(*entry);
    } else {
        truncate_after(std::get<truncation>(change).last_kept_);
    }
}

void database_state::apply(const state_changes& changes) {
    for (const auto& change : changes) {
        apply(change);
    }
}

void database_state::append(const log_entry& entry) {
    entries_.push_back(entry);
    apply_entry(entry);
}

void database_state::apply_entry(const log_entry& entry) {
    const auto index = entry->position_.index();
    const auto read_value = [this](const std::string& key) {
        return value(key);
    };
    const auto effect = evaluate_statements(entry->statements_, access_kind::write, read_value);
    if (effect) {
        for (const auto& [key, text] : effect->writes_) {
            values_[key] = {text, index};
        }
    }
    if (!entry->key_.empty()) {
        const auto kind =
            entry->kind_ == entry_kind::cancellation ? outcome::kind::cancelled : outcome::kind::done;
        outcomes_.try_emplace(entry->key_, outcome{kind, entry->fingerprint_, entry->results_, index});
    }
}

void database_state::truncate_after(std::uint64_t index) {
    entries_.resize(index);
    // Truncation happens once in a takeover at most, so values are rebuilt rather than kept in versions.
    values_.clear();
    outcomes_.clear();
    for (const auto& entry : entries_) {
        apply_entry(entry);
    }
}

} // namespace stand_ins::database
