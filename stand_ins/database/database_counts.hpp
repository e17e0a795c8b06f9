#pragma once

#include <base/clock.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace stand_ins::database {

/// What a database has counted since its start, for tests and the load tool.
struct database_counts {
    std::map<std::string, std::uint64_t> requests_by_path_;
    std::map<std::string, std::uint64_t> refusals_by_reason_;
    std::uint64_t replayed_ = 0;
    std::uint64_t statements_run_ = 0;
    std::uint64_t connections_ = 0;
    std::uint64_t connections_peak_ = 0;
    std::uint64_t connections_refused_ = 0;
    std::uint64_t slots_busy_ = 0;
    std::uint64_t slots_peak_ = 0;
    std::uint64_t slots_waited_ = 0;
    std::uint64_t transactions_open_ = 0;
    std::uint64_t transactions_rolled_back_ = 0;
    /// New work since the database began to leave, and how long after that the last of it arrived.
    std::uint64_t work_after_leaving_ = 0;
    base::clock::duration last_work_after_leaving_{0};
};

/// Encodes the counts as a JSON object.
[[nodiscard]] std::string encode_counts(const database_counts& counts);

} // namespace stand_ins::database
