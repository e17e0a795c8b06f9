#include <proxy/ignored_entries.hpp>

#include <base/event.hpp>
#include <proxy/events.hpp>

namespace proxy {

namespace {

constexpr std::size_t max_logged_bytes = 120;

std::string shorten(const std::string& text) {
    return text.size() <= max_logged_bytes ? text : text.substr(0, max_logged_bytes) + "...";
}

} // namespace

bool ignored_entries::report(const std::string& key, base::store_revision revision, const std::string& reason,
                             base::clock::time_point now) {
    const auto known = reported_.find(key);
    if (known != reported_.end() && known->second == revision) {
        return false;
    }
    if (known == reported_.end() && reported_.size() >= max_remembered_keys) {
        reported_.clear();
    }
    reported_.insert_or_assign(key, revision);
    total_.fetch_add(1, std::memory_order_relaxed);
    if (limiter_.allows(now)) {
        base::log_event(events::store_entry_ignored, {{"key", shorten(key)},
                                                      {"revision", std::to_string(revision.number())},
                                                      {"reason", shorten(reason)}});
    }
    return true;
}

} // namespace proxy
