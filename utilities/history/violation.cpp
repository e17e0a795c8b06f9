#include <utilities/history/violation.hpp>

namespace history {

std::string_view name_of(rule broken) noexcept {
    switch (broken) {
    case rule::acknowledged_write_lost:
        return "acknowledged_write_lost";
    case rule::write_doubled:
        return "write_doubled";
    case rule::statements_mixed:
        return "statements_mixed";
    case rule::not_run_ran:
        return "not_run_ran";
    case rule::stale_read:
        return "stale_read";
    case rule::foreign_answer:
        return "foreign_answer";
    case rule::logs_disagree:
        return "logs_disagree";
    case rule::logs_missing:
        return "logs_missing";
    }
    return "unknown";
}

} // namespace history
