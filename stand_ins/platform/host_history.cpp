#include <stand_ins/platform/host_history.hpp>

#include <algorithm>

namespace stand_ins::platform {

void host_history::set(host_items hosts, base::clock::time_point now) {
    changes_.emplace_back(now, std::move(hosts));
}

const host_items& host_history::visible(base::clock::time_point now) const {
    const auto newest = std::find_if(changes_.rbegin(), changes_.rend(),
                                     [&](const auto& change) { return change.first + lag_ <= now; });
    return newest == changes_.rend() ? initial_ : newest->second;
}

} // namespace stand_ins::platform
