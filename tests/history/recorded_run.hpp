#pragma once

#include <utilities/history/checker.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace recorded {

/// What one step of a generated run does.
enum class step : std::uint8_t { read, write, keyed_write, repeat, refused, cancelled, lost_response };

/// A correct run of some sessions against one group: each step takes effect in the order of its calls.
class run {
public:
    run() { append({.kind_ = history::entry_kind::term_start}); }

    /// Performs a step of a session on a key of the database.
    void perform(step what, unsigned session, unsigned key);

    /// Returns the violations that the checker finds, with copies of the log as the logs of three databases.
    [[nodiscard]] std::vector<history::violation> check() const;

    /// Returns the names of the rules that the checker finds broken.
    [[nodiscard]] std::set<history::rule> broken_rules() const;

    std::vector<history::request_record> records_;
    std::vector<history::log_entry> entries_;

private:
    void append(history::log_entry_fields entry);
    history::request_record_fields next_record(unsigned session);
    void write(unsigned session, unsigned key, step what);
    void read(unsigned session, unsigned key);
    void repeat();

    std::map<std::string, std::string> values_;
    std::int64_t time_us_ = 0;
};

} // namespace recorded
