#include <utilities/history/history_codec.hpp>
#include <utilities/sassafras_load/load_thread.hpp>
#include <utilities/sassafras_load/profile_reader.hpp>
#include <utilities/sassafras_load/report.hpp>
#include <utilities/sassafras_load/text_list.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>
#include <thread>

DEFINE_string(profile, "", "INI file that describes the load (required)");
DEFINE_string(daemons, "", "callers' addresses of daemons: address:port,... (required)");
DEFINE_string(result, "", "file for the result as JSON");
DEFINE_string(history, "",
              "file for every request and answer, one JSON object a line, written at the end of the run");
DEFINE_double(scale, 1, "factor for all rates");
DEFINE_string(work_scale, "", "factors for single work classes: NAME=FACTOR,...");
DEFINE_uint64(seconds, 0, "length of the run instead of the profile's; 0 keeps it");
DEFINE_int64(one_way_ms, 0, "injected latency between caller and daemon, each way");
DEFINE_uint64(threads, 2, "threads that send requests");
DEFINE_uint64(most_open, 4000, "requests that one thread has open at most");

namespace {

using namespace sassafras_load;

constexpr int exit_usage = 2;
constexpr std::chrono::milliseconds start_delay{100};

base::result<profile> load_profile() {
    const auto document = base::ini_document::load(FLAGS_profile);
    if (!document) {
        return document.last_reason();
    }
    auto read = read_profile(*document);
    if (!read) {
        return read;
    }
    auto scaled = scale_rates(*read, FLAGS_scale, FLAGS_work_scale);
    if (!scaled || FLAGS_seconds == 0) {
        return scaled;
    }
    return scaled->with([](auto& fields) { fields.seconds_ = FLAGS_seconds; });
}

base::result<std::vector<base::endpoint>> read_daemons() {
    std::vector<base::endpoint> daemons;
    for (const auto& text : split_list(FLAGS_daemons, ',')) {
        const auto daemon = base::endpoint::parse(text);
        if (!daemon) {
            return daemon.last_reason();
        }
        daemons.push_back(*daemon);
    }
    if (daemons.empty()) {
        return base::error{base::error_kind::settings_invalid, "--daemons is missing"};
    }
    return daemons;
}

base::result<load_plan> make_plan() {
    const auto offered = load_profile();
    const auto daemons = read_daemons();
    if (!offered || !daemons) {
        return offered ? daemons.last_reason() : offered.last_reason();
    }
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return load_plan{load_plan_fields{
        .profile_ = *offered,
        .daemons_ = *daemons,
        .threads_ = std::max<std::size_t>(FLAGS_threads, 1),
        .one_way_ = base::clock::duration{FLAGS_one_way_ms},
        .most_open_ = FLAGS_most_open,
        .run_name_ = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()),
        .history_ = FLAGS_history.empty() ? history_use::none : history_use::keep,
        .start_ = std::chrono::steady_clock::now() + start_delay}};
}

std::deque<load_thread> run(const load_plan& plan) {
    std::deque<load_thread> parts;
    for (std::size_t number = 0; number < plan->threads_; ++number) {
        parts.emplace_back(plan, number);
    }
    std::vector<std::jthread> threads;
    threads.reserve(parts.size());
    for (auto& part : parts) {
        threads.emplace_back([&part] { part.run(); });
    }
    threads.clear();
    return parts;
}

void write_history(const std::deque<load_thread>& parts) {
    std::ofstream file{FLAGS_history};
    for (const auto& part : parts) {
        for (const auto& record : part.records()) {
            file << history::encode_record(record) << '\n';
        }
    }
}

void report(const load_plan& plan, const std::deque<load_thread>& parts) {
    std::vector<work_result> results(plan->profile_->work_.size());
    for (const auto& part : parts) {
        for (std::size_t index = 0; index < results.size(); ++index) {
            results[index].merge(part.results()[index]);
        }
    }
    std::cout << render_table(plan->profile_, results);
    if (!FLAGS_result.empty()) {
        std::ofstream{FLAGS_result} << encode_results(plan, results) << '\n';
    }
    if (!FLAGS_history.empty()) {
        write_history(parts);
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Offers load to daemons: sassafras_load --profile=FILE --daemons=ADDRESS,...");
    gflags::SetVersionString(SASSAFRASDEAL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto plan = make_plan();
    if (!plan) {
        std::cerr << "sassafras_load: " << plan.last_reason().to_string() << '\n';
        return exit_usage;
    }
    report(*plan, run(*plan));
    return 0;
}
