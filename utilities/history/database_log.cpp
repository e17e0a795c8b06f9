#include <utilities/history/database_log.hpp>

namespace history {

std::string service_of(const database_log& log) {
    return log->database_.substr(0, log->database_.rfind('_'));
}

base::log_position last_of(const database_log& log) noexcept {
    return log->entries_.empty() ? base::log_position{} : log->entries_.back()->position_;
}

} // namespace history
