#include <daemons/takeover_decision.hpp>

namespace daemons {

namespace {

// Covers two refused attempts to connect, or one that got no response.
constexpr base::clock::duration min_failure_duration{120};
// Applies when no peer confirms the failure: longer than a burst of lost packets or a full accept queue.
constexpr base::clock::duration min_unconfirmed_failure_duration{1'500};
// Longer than a short suspension of a daemon, and a small part of the time for which a leaving database
// serves.
constexpr base::clock::duration max_planned_delay{1'500};
// The entries of live databases that expired while the store was away are back two seconds after its return.
constexpr base::clock::duration min_unknown_duration{3'000};
// A database that restarts in place is listed as primary again sooner than this.
constexpr base::clock::duration min_demotion_duration{1'000};

} // namespace

takeover_decision decide_takeover(const primary_condition& condition) noexcept {
    if (condition.is_being_replaced_) {
        return takeover_decision::finish;
    }
    if (condition.unknown_for_ && *condition.unknown_for_ >= min_unknown_duration) {
        return takeover_decision::replace_failed;
    }
    const bool is_planned_due = condition.draining_for_ && (condition.unheard_peers_ == 0 ||
                                                            *condition.draining_for_ >= max_planned_delay);
    if (is_planned_due) {
        return takeover_decision::replace_planned;
    }
    if (condition.demoted_for_ && *condition.demoted_for_ >= min_demotion_duration) {
        return takeover_decision::replace_demoted;
    }
    if (!condition.failing_for_ || *condition.failing_for_ < min_failure_duration) {
        return condition.failing_for_ || condition.unlisted_for_ ? takeover_decision::ask_peers
                                                                 : takeover_decision::nothing;
    }
    if (condition.peers_reaching_ > 0) {
        return takeover_decision::ask_peers;
    }
    const bool is_confirmed = condition.peers_failing_ > 0;
    const bool may_decide_alone = condition.peers_ == 0 || condition.unlisted_for_;
    if (is_confirmed || (may_decide_alone && *condition.failing_for_ >= min_unconfirmed_failure_duration)) {
        return takeover_decision::replace_failed;
    }
    return takeover_decision::ask_peers;
}

} // namespace daemons
