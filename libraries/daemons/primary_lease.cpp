#include <daemons/primary_lease.hpp>

#include <algorithm>

namespace daemons {

void primary_lease::note_store_read(base::clock::time_point requested_at) noexcept {
    own_store_read_ = own_store_read_ ? std::max(*own_store_read_, requested_at) : requested_at;
    last_known_store_read_ =
        last_known_store_read_ ? std::max(*last_known_store_read_, requested_at) : requested_at;
    list_confirmed_at_ = list_confirmed_at_ ? std::max(*list_confirmed_at_, requested_at) : requested_at;
}

void primary_lease::note_peer(base::clock::time_point requested_at, base::clock::duration age,
                              peer_list list) noexcept {
    const auto shown = requested_at - age;
    last_known_store_read_ = last_known_store_read_ ? std::max(*last_known_store_read_, shown) : shown;
    if (list == peer_list::same) {
        list_confirmed_at_ = list_confirmed_at_ ? std::max(*list_confirmed_at_, shown) : shown;
    }
}

void primary_lease::note_peer_round(base::clock::time_point requested_at) noexcept {
    if (!list_confirmed_at_) {
        return;
    }
    const auto end =
        std::min(requested_at + limits_.valid_for_, *list_confirmed_at_ + limits_.peer_rounds_valid_for_);
    peer_round_expiry_ = std::max(peer_round_expiry_, end);
}

void primary_lease::note_store_return() noexcept {
    own_store_read_.reset();
    list_confirmed_at_.reset();
}

void primary_lease::clear() noexcept {
    own_store_read_.reset();
    last_known_store_read_.reset();
    list_confirmed_at_.reset();
    peer_round_expiry_ = {};
}

base::clock::time_point primary_lease::expiry() const noexcept {
    if (!last_known_store_read_) {
        return {};
    }
    return std::max(*last_known_store_read_ + limits_.valid_for_, peer_round_expiry_);
}

std::optional<base::clock::duration> primary_lease::age(base::clock::time_point now) const noexcept {
    return last_known_store_read_ ? std::optional{now - *last_known_store_read_} : std::nullopt;
}

std::optional<base::clock::duration> primary_lease::store_age(base::clock::time_point now) const noexcept {
    return own_store_read_ ? std::optional{now - *own_store_read_} : std::nullopt;
}

std::optional<base::clock::duration> primary_lease::list_age(base::clock::time_point now) const noexcept {
    return list_confirmed_at_ ? std::optional{now - *list_confirmed_at_} : std::nullopt;
}

} // namespace daemons
