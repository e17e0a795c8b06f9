#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <platform/reconnect_backoff.hpp>
#include <platform/stored_value.hpp>

#include <compare>
#include <cstdint>

namespace platform {

/// What an answer to a watch means for the watcher.
enum class watch_news : std::uint8_t { none, newer, older, absent, failed };

/// How far a watcher has come: the greatest revision that it has seen, and its pauses after answers that
/// bring nothing too soon. Thread safety: immutable value.
class watch_progress {
public:
    /// `known_revision` is the revision that the watcher's owner already has, 0 for none.
    explicit watch_progress(std::uint64_t known_revision, backoff_limits limits = {}) noexcept
        : revision_{known_revision}, backoff_{limits} {}

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    /// Returns how long to wait before the next watch.
    [[nodiscard]] base::clock::duration delay() const noexcept { return backoff_.delay(); }

    /// Returns what an answer brings. A revision below the known one is never news.
    [[nodiscard]] watch_news news_in(const base::result<stored_value>& response) const noexcept;

    /// Returns the progress after an answer that took `elapsed`. A failure, and an answer without news before
    /// half of `wait` was over, are followed by a growing pause: a store that fails at once, or that answers
    /// watches at once, is not asked in a tight loop. `random` is uniform over its type.
    [[nodiscard]] watch_progress after(const base::result<stored_value>& response,
                                       base::clock::duration elapsed, base::clock::duration wait,
                                       std::uint64_t random) const noexcept;

    friend auto operator<=>(const watch_progress&, const watch_progress&) = default;

private:
    std::uint64_t revision_;
    reconnect_backoff backoff_;
};

} // namespace platform
