#include <backends/database_status.hpp>

#include <algorithm>

namespace backends {

database_status merge(const database_status& earlier, const database_status& later) {
    if (earlier->term_ != later->term_) {
        return earlier->term_ > later->term_ ? earlier : later;
    }
    return later.with([&earlier](database_status_fields& fields) {
        fields.last_ = std::max(fields.last_, earlier->last_);
        fields.start_ = std::max(fields.start_, earlier->start_);
    });
}

bool holds(const database_status& status, base::log_position position) noexcept {
    return status->term_ == position.term() && status->last_.term() == position.term() &&
           status->last_ >= position;
}

} // namespace backends
