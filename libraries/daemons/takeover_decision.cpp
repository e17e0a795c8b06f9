#include <daemons/takeover_decision.hpp>

namespace daemons {

namespace {

// Two refused attempts at a fresh connection, or one that stayed without an answer.
constexpr base::clock::duration failing_before_takeover{120};
// Without a second opinion: longer than a burst of lost packets or a full queue of new connections.
constexpr base::clock::duration failing_alone{1'500};
// A database that restarts in place is listed anew sooner.
constexpr base::clock::duration demoted_before_takeover{1'000};

} // namespace

takeover_decision decide_takeover(const primary_condition& condition) noexcept {
    if (condition.is_being_replaced_) {
        return takeover_decision::finish;
    }
    if (condition.is_draining_) {
        return takeover_decision::replace_planned;
    }
    if (condition.demoted_for_ && *condition.demoted_for_ >= demoted_before_takeover) {
        return takeover_decision::replace_failed;
    }
    if (!condition.failing_for_ || *condition.failing_for_ < failing_before_takeover) {
        return condition.failing_for_ || condition.unlisted_for_ ? takeover_decision::ask_peers
                                                                 : takeover_decision::nothing;
    }
    if (condition.peers_reaching_ > 0) {
        return takeover_decision::ask_peers;
    }
    const bool is_confirmed = condition.peers_failing_ > 0;
    const bool is_alone = condition.peers_ == 0 || condition.unlisted_for_;
    if (is_confirmed || (is_alone && *condition.failing_for_ >= failing_alone)) {
        return takeover_decision::replace_failed;
    }
    return takeover_decision::ask_peers;
}

} // namespace daemons
