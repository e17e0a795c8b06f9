#include <utilities/sassafras_load/report.hpp>

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace sassafras_load {

namespace {

namespace json = boost::json;

constexpr double median = 0.5;
constexpr double quantile_99 = 0.99;
constexpr double all_percent = 100;

double per_second(std::uint64_t count, const profile& offered) {
    return offered->seconds_ == 0 ? 0 : static_cast<double>(count) / static_cast<double>(offered->seconds_);
}

double replica_percent(const work_result& result) {
    return result.done() == 0 ? 0
                              : all_percent * static_cast<double>(result.served_by_replicas()) /
                                    static_cast<double>(result.done());
}

// Returns `kind=count,...`, or `-` without errors.
std::string list_errors(const work_result& result) {
    std::string text;
    for (const auto& [kind, count] : result.errors()) {
        text += fmt::format("{}{}={}", text.empty() ? "" : ",", kind, count);
    }
    return text.empty() ? "-" : text;
}

json::object encode_errors(const work_result& result) {
    json::object object;
    for (const auto& [kind, count] : result.errors()) {
        object[kind] = count;
    }
    return object;
}

json::object encode_work(const work_class& work, const work_result& result, const profile& offered) {
    return {{"work", work->name_},
            {"service", work->service_},
            {"rank", work->rank_},
            {"rate", work->rate_},
            {"offered", result.offered()},
            {"unsent", result.unsent()},
            {"repeats", result.repeats()},
            {"done", result.done()},
            {"not_run", result.not_run()},
            {"unknown", result.unknown()},
            {"done_per_second", per_second(result.done_in_run(), offered)},
            {"median_ms", result.latency_ms(median)},
            {"quantile_99_ms", result.latency_ms(quantile_99)},
            {"longest_ms", result.latency_ms(1)},
            {"replica_percent", replica_percent(result)},
            {"errors", encode_errors(result)}};
}

} // namespace

std::string render_table(const profile& offered, const std::vector<work_result>& results) {
    auto table = fmt::format("{:<26}{:<22}{:>9}{:>8}{:>9}{:>9}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}  {}\n",
                             "work", "rank", "offered", "unsent", "done", "not_run", "unknown", "done/s",
                             "p50 ms", "p99 ms", "max ms", "replica %", "errors");
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto& work = offered->work_[index];
        const auto& result = results[index];
        table += fmt::format(
            "{:<26}{:<22}{:>9}{:>8}{:>9}{:>9}{:>9}{:>10.1f}{:>10.1f}{:>10.1f}{:>10.1f}{:>10.1f}  {}\n",
            work->name_, work->rank_, result.offered(), result.unsent(), result.done(), result.not_run(),
            result.unknown(), per_second(result.done_in_run(), offered), result.latency_ms(median),
            result.latency_ms(quantile_99), result.latency_ms(1), replica_percent(result),
            list_errors(result));
    }
    return table;
}

std::string encode_results(const load_plan& plan, const std::vector<work_result>& results) {
    json::array work;
    for (std::size_t index = 0; index < results.size(); ++index) {
        work.emplace_back(encode_work(plan->profile_->work_[index], results[index], plan->profile_));
    }
    return json::serialize(json::object{{"version", SASSAFRASDEAL_VERSION},
                                        {"build", SASSAFRASDEAL_BUILD_FLAGS},
                                        {"seed", plan->profile_->seed_},
                                        {"seconds", plan->profile_->seconds_},
                                        {"threads", plan->threads_},
                                        {"daemons", plan->daemons_.size()},
                                        {"one_way_ms", plan->one_way_.count()},
                                        {"work", std::move(work)}});
}

} // namespace sassafras_load
