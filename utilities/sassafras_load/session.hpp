#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sassafras_load {

/// What one session of a caller remembers between its requests. A session has one request under way at a
/// time, so its latest token is its greatest. Thread safety: used by one thread.
struct session {
    std::string name_;
    std::uint64_t sequence_ = 0;
    /// The latest token by service.
    std::map<std::string, std::string> tokens_;
    /// The number of the key that was written last, by service and key pattern.
    std::map<std::string, std::uint64_t> own_keys_;
};

} // namespace sassafras_load
