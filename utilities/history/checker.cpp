#include <utilities/history/checker.hpp>

#include <utilities/history/service_history.hpp>

#include <algorithm>
#include <map>

namespace history {

namespace {

struct service_input {
    std::vector<const request_record*> records_;
    std::vector<const database_log*> logs_;
};

bool is_shorter(const database_log* one, const database_log* other) noexcept {
    return last_of(*one) < last_of(*other);
}

// Two logs may differ only after the last position that they share.
void compare_logs(const std::string& service, const database_log& one, const database_log& other,
                  std::vector<violation>& found) {
    auto common = std::min(one->entries_.size(), other->entries_.size());
    while (common > 0 && one->entries_[common - 1]->position_ != other->entries_[common - 1]->position_) {
        --common;
    }
    for (std::size_t index = 0; index < common; ++index) {
        if (one->entries_[index] != other->entries_[index]) {
            found.push_back({rule::logs_disagree, service,
                             one->database_ + " and " + other->database_ + " differ at entry " +
                                 std::to_string(index + 1)});
        }
    }
}

void check_service(const std::string& service, const service_input& input, std::vector<violation>& found) {
    if (input.logs_.empty()) {
        found.push_back({rule::logs_missing, service, "no log was given"});
        return;
    }
    const auto* longest = *std::max_element(input.logs_.begin(), input.logs_.end(), is_shorter);
    for (const auto* log : input.logs_) {
        compare_logs(service, *longest, *log, found);
    }
    auto violations = service_history{service, input.records_, *longest}.check();
    found.insert(found.end(), violations.begin(), violations.end());
}

} // namespace

std::vector<violation> check_history(const std::vector<request_record>& records,
                                     const std::vector<database_log>& logs) {
    std::map<std::string, service_input> services;
    for (const auto& record : records) {
        services[record->service_].records_.push_back(&record);
    }
    for (const auto& log : logs) {
        services[service_of(log)].logs_.push_back(&log);
    }
    std::vector<violation> found;
    for (const auto& [service, input] : services) {
        check_service(service, input, found);
    }
    return found;
}

} // namespace history
