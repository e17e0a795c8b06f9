#include <utilities/history/checker.hpp>
#include <utilities/history/history_codec.hpp>

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

DEFINE_string(history, "", "history file of sassafras_load (required)");
DEFINE_string(database_log, "",
              "answer of /control/log of a database; more files follow as plain arguments (required)");

namespace {

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;

int report_usage(const std::string& message) {
    std::cerr << "sassafras_check: " << message << '\n';
    return exit_usage;
}

base::result<std::vector<history::request_record>> read_history(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        return base::error{base::error_kind::not_found, path + " cannot be opened"};
    }
    std::vector<history::request_record> records;
    for (std::string line; std::getline(file, line);) {
        auto record = history::decode_record(line);
        if (!record) {
            return base::error{record.last_reason().kind(), path + ":" + std::to_string(records.size() + 1) +
                                                                ": " + record.last_reason().message()};
        }
        records.push_back(std::move(*record));
    }
    return records;
}

base::result<std::vector<history::database_log>> read_logs(const std::vector<std::string>& paths) {
    std::vector<history::database_log> logs;
    for (const auto& path : paths) {
        std::ifstream file{path};
        const std::string body{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
        auto log = history::decode_log(body);
        if (!log) {
            return base::error{log.last_reason().kind(), path + ": " + log.last_reason().message()};
        }
        logs.push_back(std::move(*log));
    }
    return logs;
}

int check(const std::vector<history::request_record>& records,
          const std::vector<history::database_log>& logs) {
    const auto violations = history::check_history(records, logs);
    for (const auto& found : violations) {
        std::cout << history::name_of(found.rule_) << ": " << found.service_ << ": " << found.message_
                  << '\n';
    }
    std::cout << records.size() << " requests, " << logs.size() << " logs, " << violations.size()
              << " violations\n";
    return violations.empty() ? 0 : exit_violation;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Checks a history against database logs: sassafras_check --history FILE "
                            "--database_log FILE [FILE...]");
    gflags::SetVersionString(SASSAFRASDEAL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_history.empty() || FLAGS_database_log.empty()) {
        return report_usage("--history and --database_log are required");
    }
    std::vector<std::string> paths{FLAGS_database_log};
    paths.insert(paths.end(), argv + 1, argv + argc);
    const auto records = read_history(FLAGS_history);
    if (!records) {
        return report_usage(records.last_reason().message());
    }
    const auto logs = read_logs(paths);
    return logs ? check(*records, *logs) : report_usage(logs.last_reason().message());
}
