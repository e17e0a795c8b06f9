#pragma once

#include <base/clock.hpp>
#include <base/store_revision.hpp>

#include <algorithm>
#include <compare>

namespace proxy {

/// The newest change of a part of the store that a peer has reported, and since when such a change has been
/// owed. Thread safety: immutable value.
class reported_change {
public:
    /// Returns the state after a peer's report of a change at a revision of the store.
    [[nodiscard]] reported_change after_report(base::store_revision revision,
                                               base::clock::time_point now) const noexcept {
        if (!revision.is_later_than(revision_)) {
            return *this;
        }
        const bool is_owed = revision_.is_later_than(received_);
        return reported_change{revision, received_, is_owed ? reported_at_ : now};
    }

    /// Returns the state after this daemon has received the changes up to a revision.
    [[nodiscard]] reported_change after_received(base::store_revision revision) const noexcept {
        return revision.is_later_than(received_) ? reported_change{revision_, revision, reported_at_} : *this;
    }

    /// Returns the state after a read that showed the store at a revision. A report of a later one is
    /// discarded, because nothing would ever confirm it if it were wrong; a peer that is right repeats it.
    [[nodiscard]] reported_change after_read(base::store_revision revision) const noexcept {
        return revision_.is_later_than(revision) ? reported_change{} : *this;
    }

    [[nodiscard]] base::store_revision revision() const noexcept { return revision_; }
    /// Returns when the first report arrived of a change that has not been received since.
    [[nodiscard]] base::clock::time_point reported_at() const noexcept { return reported_at_; }

    reported_change() = default;
    friend auto operator<=>(const reported_change&, const reported_change&) = default;

private:
    reported_change(base::store_revision revision, base::store_revision received,
                    base::clock::time_point reported_at) noexcept
        : revision_{revision}, received_{received}, reported_at_{reported_at} {}

    base::store_revision revision_;
    base::store_revision received_;
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
