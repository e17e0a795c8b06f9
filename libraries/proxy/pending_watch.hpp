#pragma once

#include <base/clock.hpp>
#include <base/store_revision.hpp>

#include <algorithm>
#include <compare>

namespace proxy {

/// The newest change of a part of the store that a peer has reported. Thread safety: immutable value.
class reported_change {
public:
    /// Returns the state after a peer's report of a change at a revision of the store.
    [[nodiscard]] reported_change after_report(base::store_revision revision,
                                               base::clock::time_point now) const noexcept {
        return revision.is_later_than(revision_) ? reported_change{revision, now} : *this;
    }

    /// Returns the state after a read that showed the store at a revision. A report of a later one is
    /// discarded, because nothing would ever confirm it if it were wrong; a peer that is right repeats it.
    [[nodiscard]] reported_change after_read(base::store_revision revision) const noexcept {
        return revision_.is_later_than(revision) ? reported_change{} : *this;
    }

    [[nodiscard]] base::store_revision revision() const noexcept { return revision_; }
    [[nodiscard]] base::clock::time_point reported_at() const noexcept { return reported_at_; }

    reported_change() = default;
    friend auto operator<=>(const reported_change&, const reported_change&) = default;

private:
    reported_change(base::store_revision revision, base::clock::time_point now) noexcept
        : revision_{revision}, reported_at_{now} {}

    base::store_revision revision_;
    base::clock::time_point reported_at_{};
};

/// A watch that waits for changes after a revision of the store.
struct pending_watch {
    base::store_revision after_;
    base::clock::time_point sent_at_{};

    friend auto operator<=>(const pending_watch&, const pending_watch&) = default;
};

/// Returns whether the response to a watch is lost: a peer has received a change that the watch has to
/// deliver, and the store would have responded by now. A store that was silent for a moment never responds to
/// the watches that it received meanwhile. Thread safety: pure function.
[[nodiscard]] inline bool is_overdue(const pending_watch& watch, const reported_change& change,
                                     base::clock::time_point now) noexcept {
    // The time after which any other call to the store counts as lost.
    constexpr base::clock::duration response_limit{700};
    return change.revision().is_later_than(watch.after_) &&
           now - std::max(watch.sent_at_, change.reported_at()) >= response_limit;
}

} // namespace proxy
