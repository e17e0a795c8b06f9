#include <daemons/primary_lease.hpp>

#include <algorithm>

namespace daemons {

void primary_lease::note_store_read(base::clock::time_point requested_at) noexcept {
    store_read_ = store_read_ ? std::max(*store_read_, requested_at) : requested_at;
    seen_ = seen_ ? std::max(*seen_, requested_at) : requested_at;
    listed_ = listed_ ? std::max(*listed_, requested_at) : requested_at;
}

void primary_lease::note_peer(base::clock::time_point requested_at, base::clock::duration age,
                              peer_list list) noexcept {
    const auto shown = requested_at - age;
    seen_ = seen_ ? std::max(*seen_, shown) : shown;
    if (list == peer_list::same) {
        listed_ = listed_ ? std::max(*listed_, shown) : shown;
    }
}

void primary_lease::note_peer_round(base::clock::time_point requested_at) noexcept {
    if (!listed_) {
        return;
    }
    const auto end = std::min(requested_at + limits_.valid_for_, *listed_ + limits_.peer_rounds_valid_for_);
    peer_round_expiry_ = std::max(peer_round_expiry_, end);
}

void primary_lease::clear() noexcept {
    store_read_.reset();
    seen_.reset();
    listed_.reset();
    peer_round_expiry_ = {};
}

base::clock::time_point primary_lease::expiry() const noexcept {
    if (!seen_) {
        return {};
    }
    return std::max(*seen_ + limits_.valid_for_, peer_round_expiry_);
}

std::optional<base::clock::duration> primary_lease::age(base::clock::time_point now) const noexcept {
    return seen_ ? std::optional{now - *seen_} : std::nullopt;
}

std::optional<base::clock::duration> primary_lease::store_age(base::clock::time_point now) const noexcept {
    return store_read_ ? std::optional{now - *store_read_} : std::nullopt;
}

std::optional<base::clock::duration> primary_lease::list_age(base::clock::time_point now) const noexcept {
    return listed_ ? std::optional{now - *listed_} : std::nullopt;
}

} // namespace daemons
