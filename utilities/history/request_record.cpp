#include <utilities/history/request_record.hpp>

namespace history {

std::string recorded_key(const request_record& record) {
    if (record->key_.empty()) {
        return {};
    }
    return std::to_string(record->tenant_.size()) + ':' + record->tenant_ + record->key_;
}

} // namespace history
