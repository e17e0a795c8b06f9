#pragma once

#include <stand_ins/database/outcome.hpp>
#include <stand_ins/database/state_change.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins::database {

/// Everything that a database knows: its term, its log, and the values and outcomes that follow from the log.
///
/// It changes only by `apply`, so a database that applies the same changes again after a restart is the same.
/// Thread safety: used by one thread.
class database_state {
public:
    [[nodiscard]] const term_record& terms() const noexcept { return terms_; }
    [[nodiscard]] const std::vector<log_entry>& entries() const noexcept { return entries_; }
    /// Returns the position of the last entry, position 0 of term 0 for an empty log.
    [[nodiscard]] base::log_position last() const noexcept;
    /// Returns the term of the entry at an index; nothing when there is none. Index 0 has term 0.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const noexcept;

    [[nodiscard]] std::optional<std::string> value(const std::string& key) const;
    /// Returns the index of the entry that last wrote the key, 0 when none did.
    [[nodiscard]] std::uint64_t version(const std::string& key) const;
    /// Returns what is recorded for an idempotency key.
    [[nodiscard]] std::optional<outcome> find_outcome(const std::string& key) const;

    /// Makes a change. Precondition: an entry has the index after the last one.
    void apply(const state_change& change);
    void apply(const state_changes& changes);

private:
    struct versioned_value {
        std::string text_;
        std::uint64_t version_ = 0;
    };

    void append(const log_entry& entry);
    void apply_entry(const log_entry& entry);
    void truncate_after(std::uint64_t index);

    term_record terms_;
    std::vector<log_entry> entries_;
    std::map<std::string, versioned_value> values_;
    std::map<std::string, outcome> outcomes_;
};

} // namespace stand_ins::database
