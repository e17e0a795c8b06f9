#include <daemons/primary_evidence.hpp>

#include <algorithm>

namespace daemons {

void primary_evidence::note_store_read(base::clock::time_point asked_at) noexcept {
    store_read_ = store_read_ ? std::max(*store_read_, asked_at) : asked_at;
    seen_ = seen_ ? std::max(*seen_, asked_at) : asked_at;
}

void primary_evidence::note_peer(base::clock::time_point asked_at, base::clock::duration age) noexcept {
    const auto shown = asked_at - age;
    seen_ = seen_ ? std::max(*seen_, shown) : shown;
}

void primary_evidence::note_round(base::clock::time_point asked_at) noexcept {
    if (!seen_) {
        return;
    }
    const auto end = std::min(asked_at + limits_.valid_for_, *seen_ + limits_.rounds_for_);
    round_until_ = std::max(round_until_, end);
}

void primary_evidence::clear() noexcept {
    store_read_.reset();
    seen_.reset();
    round_until_ = {};
}

base::clock::time_point primary_evidence::until() const noexcept {
    if (!seen_) {
        return {};
    }
    return std::max(*seen_ + limits_.valid_for_, round_until_);
}

std::optional<base::clock::duration> primary_evidence::age(base::clock::time_point now) const noexcept {
    return seen_ ? std::optional{now - *seen_} : std::nullopt;
}

std::optional<base::clock::duration> primary_evidence::store_age(base::clock::time_point now) const noexcept {
    return store_read_ ? std::optional{now - *store_read_} : std::nullopt;
}

} // namespace daemons
