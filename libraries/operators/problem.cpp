#include <operators/problem.hpp>

#include <operators/events.hpp>

namespace operators {

std::string to_string(const problem& fault) {
    std::string text = fault.file_ + ": ";
    if (!fault.section_.empty()) {
        text.append("[").append(fault.section_).append("] ");
    }
    if (!fault.key_.empty()) {
        text.append(fault.key_).append(": ");
    }
    return text.append(fault.what_).append("; ").append(fault.remedy_);
}

base::error to_error(base::error_kind kind, const std::vector<problem>& problems) {
    std::string message = std::to_string(problems.size()) + (problems.size() == 1 ? " problem" : " problems");
    for (const auto& fault : problems) {
        message.append("\n").append(to_string(fault));
    }
    return base::error{kind, std::move(message)};
}

void log_problems(const std::vector<problem>& problems) {
    for (const auto& fault : problems) {
        base::log_event(events::settings_problem, {{"file", fault.file_},
                                                   {"section", fault.section_},
                                                   {"key", fault.key_},
                                                   {"what", fault.what_},
                                                   {"remedy", fault.remedy_}});
    }
}

} // namespace operators
