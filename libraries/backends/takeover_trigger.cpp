#include <backends/takeover_trigger.hpp>

#include <algorithm>

namespace backends {

namespace {

std::size_t databases_heard(const group_view& view) {
    return static_cast<std::size_t>(
        std::count_if(view.databases().begin(), view.databases().end(), [](const auto& database) {
            return database.status_ && database.reachability_ == reachability::reachable;
        }));
}

std::optional<takeover_reason> condition_of(const group_view& view) {
    if (databases_heard(view) < view.majority()) {
        return std::nullopt;
    }
    const auto primary = view.primary();
    if (!primary) {
        return takeover_reason::no_primary;
    }
    const auto* known = view.find(*primary);
    const bool another_stays =
        std::any_of(view.databases().begin(), view.databases().end(), [](const auto& candidate) {
            return candidate.reachability_ == reachability::reachable && !candidate.is_leaving();
        });
    if (known->is_leaving() && another_stays) {
        return takeover_reason::primary_leaving;
    }
    if (view.greatest_term() > view.term()) {
        return takeover_reason::term_split;
    }
    return std::nullopt;
}

base::clock::duration least_time_for(takeover_reason reason) {
    switch (reason) {
    case takeover_reason::no_primary:
        return no_primary_delay;
    case takeover_reason::term_split:
        return term_split_time;
    case takeover_reason::primary_leaving:
    case takeover_reason::primary_failed:
        break;
    }
    return base::clock::duration{0};
}

} // namespace

takeover_trigger takeover_trigger::advance(const group_view& view, base::clock::time_point now) const {
    takeover_trigger changed = *this;
    changed.condition_ = condition_of(view);
    changed.since_ = changed.condition_ == condition_ ? since_ : now;
    return changed;
}

std::optional<takeover_reason> takeover_trigger::due_reason(base::clock::time_point now,
                                                            base::clock::duration jitter) const {
    if (condition_ && now >= since_ + least_time_for(*condition_) + jitter) {
        return condition_;
    }
    return std::nullopt;
}

bool is_discovered(const group_view& view) {
    const auto heard = std::count_if(view.databases().begin(), view.databases().end(),
                                     [](const auto& database) { return database.status_.has_value(); });
    return static_cast<std::size_t>(heard) >= view.majority() && view.primary().has_value();
}

} // namespace backends
