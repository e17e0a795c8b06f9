#include <stand_ins/database/database_counts.hpp>

#include <boost/json.hpp>

namespace stand_ins::database {

namespace {

boost::json::object from_map(const std::map<std::string, std::uint64_t>& numbers) {
    boost::json::object object;
    for (const auto& [name, number] : numbers) {
        object[name] = number;
    }
    return object;
}

} // namespace

std::string encode_counts(const database_counts& counts) {
    boost::json::object object;
    object["requests"] = from_map(counts.requests_by_path_);
    object["refusals"] = from_map(counts.refusals_by_reason_);
    object["replayed"] = counts.replayed_;
    object["statements_run"] = counts.statements_run_;
    object["connections"] = counts.connections_;
    object["connections_peak"] = counts.connections_peak_;
    object["connections_refused"] = counts.connections_refused_;
    object["slots_busy"] = counts.slots_busy_;
    object["slots_peak"] = counts.slots_peak_;
    object["slots_waited"] = counts.slots_waited_;
    object["transactions_open"] = counts.transactions_open_;
    object["transactions_rolled_back"] = counts.transactions_rolled_back_;
    object["work_after_leaving"] = counts.work_after_leaving_;
    object["last_work_after_leaving_ms"] = counts.last_work_after_leaving_.count();
    return boost::json::serialize(object);
}

} // namespace stand_ins::database
