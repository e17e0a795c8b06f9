#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <platform/reconnect_backoff.hpp>
#include <platform/stored_value.hpp>

#include <compare>
#include <cstdint>

namespace platform {

/// The meaning of a watch response for the watcher.
enum class watch_outcome : std::uint8_t { none, newer, older, absent, failed };

/// The progress of a watcher: the greatest revision that it has seen, and its backoff after failures and
/// early responses without an update. Thread safety: immutable value.
class watch_progress {
public:
    /// `known_revision` is the revision that the watcher's caller already has; 0 for none.
    explicit watch_progress(std::uint64_t known_revision, backoff_limits limits = {}) noexcept
        : revision_{known_revision}, backoff_{limits} {}

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    /// Returns the delay before the next watch request.
    [[nodiscard]] base::clock::duration delay() const noexcept { return backoff_.delay(); }

    /// Classifies a response. A revision below the known one is never an update.
    [[nodiscard]] watch_outcome classify(const base::result<stored_value>& response) const noexcept;

    /// Returns the progress after a response that took `elapsed`. A failure, and a response without an update
    /// before half of `wait` has passed, increase the delay, so that a store that fails or responds
    /// immediately is not called in a tight loop. `random` is uniform over its type.
    [[nodiscard]] watch_progress advance(const base::result<stored_value>& response,
                                         base::clock::duration elapsed, base::clock::duration wait,
                                         std::uint64_t random) const noexcept;

    friend auto operator<=>(const watch_progress&, const watch_progress&) = default;

private:
    std::uint64_t revision_;
    reconnect_backoff backoff_;
};

} // namespace platform
