#pragma once

#include <base/clock.hpp>
#include <base/event_limiter.hpp>
#include <base/store_revision.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace proxy {

/// Reports entries of the store that cannot be used, for example those of another writer: counts and logs
/// each once for every change of the entry. Thread safety: owned by the control thread.
class ignored_entries {
public:
    /// `total` is the counter to increase; it outlives this object.
    explicit ignored_entries(std::atomic<std::uint64_t>& total) noexcept : total_{total} {}

    /// Reports an entry at a revision of the store; number 0 if the revision is unknown. Returns whether this
    /// state of the entry was not reported before.
    bool report(const std::string& key, base::store_revision revision, const std::string& reason,
                base::clock::time_point now);

private:
    // A hostile writer may add any number of keys.
    static constexpr std::size_t max_remembered_keys = 1'000;
    static constexpr std::uint32_t max_lines_per_second = 10;

    std::atomic<std::uint64_t>& total_;
    /// The reported revision of each key.
    std::map<std::string, base::store_revision> reported_;
    base::event_limiter limiter_{max_lines_per_second};
};

} // namespace proxy
