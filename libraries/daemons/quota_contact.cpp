#include <daemons/quota_contact.hpp>

#include <algorithm>
#include <utility>

namespace daemons {

namespace {

// Longer than a response may take to be of use.
constexpr base::clock::duration max_pending_age{3'000};
// Requests are sent at most every 25 ms.
constexpr std::size_t max_pending = 128;
// The registration of a process that has run for this long is known to every daemon that reaches the store.
constexpr base::clock::duration start_without_leader{5'000};

} // namespace

void quota_contact::note_request(std::uint64_t number, base::clock::time_point now) {
    while (!pending_.empty() &&
           (now - pending_.front().sent_at_ > max_pending_age || pending_.size() >= max_pending)) {
        pending_.pop_front();
    }
    pending_.push_back({number, now});
}

std::optional<base::clock::time_point> quota_contact::note_response(std::uint64_t number, std::uint64_t epoch,
                                                                    std::uint64_t leader_time_ms,
                                                                    base::clock::time_point now) {
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [number](const auto& request) { return request.number_ == number; });
    if (found == pending_.end() || epoch < epoch_) {
        return std::nullopt;
    }
    const auto expiry = found->sent_at_ + lent_token_lifetime;
    pending_.erase(found);
    if (epoch > epoch_) {
        if (responded_at_) {
            previous_leader_until_ = std::max(previous_leader_until_, *responded_at_ + quota_contact_timeout);
        }
        epoch_ = epoch;
        leader_time_ms_ = 0;
    }
    leader_time_ms_ = std::max(leader_time_ms_, leader_time_ms);
    responded_at_ = now;
    return now < expiry ? std::optional{expiry} : std::nullopt;
}

double quota_contact::fill_part(base::clock::time_point now) const noexcept {
    if (has_leader(now)) {
        return local_part;
    }
    if (responded_at_ || now - started_at_ >= start_without_leader) {
        return 1;
    }
    if (!was_registered_) {
        return 0;
    }
    return now - started_at_ >= quota_contact_timeout ? 1 : local_part;
}

base::clock::time_point quota_contact::fills_from() const noexcept {
    return was_registered_ ? started_at_ : started_at_ + start_without_leader;
}

double quota_contact::part_until(base::clock::time_point now) noexcept {
    const auto part = fill_part(now);
    return std::min(part, std::exchange(last_part_, part));
}

bool quota_contact::has_leader(base::clock::time_point now) const noexcept {
    return responded_at_ && now - *responded_at_ < quota_contact_timeout;
}

void quota_contact::acknowledge(quota_part_fields& request, base::clock::time_point now) const noexcept {
    const bool may_be_counted = has_leader(now) && now >= previous_leader_until_;
    request.epoch_ = may_be_counted ? epoch_ : 0;
    request.leader_time_ms_ = may_be_counted ? leader_time_ms_ : 0;
}

} // namespace daemons
