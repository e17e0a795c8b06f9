#pragma once

#include <utilities/history/database_log.hpp>
#include <utilities/history/request_record.hpp>
#include <utilities/history/statement.hpp>
#include <utilities/history/violation.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace history {

/// The requests of one service beside the log that its group ended with. Thread safety: used by one thread.
/// Lifetime: refers to the records and the log that it was made from.
class service_history {
public:
    service_history(std::string service, const std::vector<const request_record*>& records,
                    const database_log& log);

    /// Returns every violation of the rules about one log.
    [[nodiscard]] std::vector<violation> check();

private:
    /// A write as its key or, without one, its first `set` statement identifies it.
    using identity = std::pair<std::string, std::string>;
    using entry_numbers = std::vector<std::size_t>;
    /// A key of the database and a value that was written to it.
    using written_value = std::pair<std::string, std::string>;
    /// A session and a key of the database.
    using session_key = std::pair<std::string, std::string>;
    struct acknowledged_write {
        std::int64_t answered_us_ = 0;
        std::size_t entry_ = 0;
    };

    void index_entry(std::size_t number);
    void index_record(const request_record& record);
    void index_acknowledged(const request_record& record, std::size_t entry);
    [[nodiscard]] const entry_numbers& entries_of(const request_record& record) const;

    void check_lost(const request_record& record);
    void check_not_run();
    void check_doubled();
    void check_mixed(std::size_t number);
    void check_response(const request_record& record);
    void check_reads(const request_record& record);
    void check_read(const request_record& record, const std::string& key, const std::string& value);
    [[nodiscard]] bool is_plausible(const statement& asked, const std::string& result) const;
    [[nodiscard]] std::size_t last_own_write(const request_record& record, const std::string& key) const;
    void report(rule broken, std::string message);

    std::string service_;
    std::vector<const request_record*> records_;
    const database_log* log_;
    std::map<identity, entry_numbers> entries_;
    std::map<identity, std::vector<const request_record*>> submissions_;
    std::map<std::string, const request_record*> by_statement_;
    /// The number of the entry that wrote a value, counted from 1.
    std::map<written_value, std::size_t> written_at_;
    std::set<written_value> known_values_;
    /// Keys that `add` or `append` changes; what a read of them returns is not a value of one request.
    std::set<std::string> accumulating_keys_;
    std::map<session_key, std::vector<acknowledged_write>> acknowledged_;
    std::vector<violation> found_;
};

} // namespace history
