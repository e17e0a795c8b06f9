#include <utilities/sassafras_load/session_pool.hpp>

#include <utility>

namespace sassafras_load {

session_pool::session_pool(std::string prefix, std::size_t count) : prefix_{std::move(prefix)} {
    while (opened_ < count) {
        idle_.push_back(open());
    }
}

session session_pool::take() {
    if (idle_.empty()) {
        return open();
    }
    auto longest_idle = std::move(idle_.front());
    idle_.pop_front();
    return longest_idle;
}

void session_pool::give_back(session idle) {
    idle_.push_back(std::move(idle));
}

session session_pool::open() {
    return {.name_ = prefix_ + std::to_string(opened_++)};
}

} // namespace sassafras_load
