#include <proxy/throttle_decision.hpp>

#include <daemons/throttle_table.hpp>

#include <algorithm>

namespace proxy {

using base::clock;
using daemons::throttle_notice;
using daemons::throttle_notice_fields;

namespace {

constexpr std::uint32_t all_percent = 100;

std::uint32_t percent_for(clock::duration wait, clock::duration deadline) {
    const auto half = std::max(deadline / 2, clock::duration{1});
    if (wait <= half) {
        return all_percent;
    }
    if (wait >= deadline) {
        return 0;
    }
    return static_cast<std::uint32_t>(all_percent * (deadline - wait).count() / half.count());
}

} // namespace

std::vector<throttle_notice> decide_throttling(const operators::service_declaration& declaration,
                                               base::database_role role, const backends::queue_load& load) {
    std::vector<throttle_notice> notices;
    for (const auto& rank : declaration->ranks_) {
        const auto found = std::find_if(load->ranks_.begin(), load->ranks_.end(),
                                        [&](const auto& loaded) { return loaded.rank_ == rank.name_; });
        const auto wait = found == load->ranks_.end() ? clock::duration{0} : found->expected_wait_;
        notices.emplace_back(
            throttle_notice_fields{.group_ = declaration->name_,
                                   .rank_ = rank.name_,
                                   .role_ = role,
                                   .percent_ = percent_for(wait, rank.deadline_),
                                   .valid_for_ = std::min(wait / 2, daemons::max_throttle_duration)});
    }
    return notices;
}

std::vector<throttle_notice> select_notices(std::span<const throttle_notice> previous,
                                            std::span<const throttle_notice> present) {
    std::vector<throttle_notice> selected;
    for (std::size_t index = 0; index < present.size(); ++index) {
        const bool was_throttled = index < previous.size() && previous[index]->percent_ < all_percent;
        if (was_throttled || present[index]->percent_ < all_percent) {
            selected.push_back(present[index]);
        }
    }
    return selected;
}

base::database_role needed_role(const routed_request& routed) noexcept {
    const auto& request = routed->request_;
    const bool may_use_replica =
        request->access_ == base::access::read && request->step_ == base::transaction_step::none &&
        request->session_ != base::session_state::without_token && routed->staleness_ > clock::duration{0};
    return may_use_replica ? base::database_role::replica : base::database_role::primary;
}

bool may_be_throttled(const base::request& request) noexcept {
    return request->access_ != base::access::settle && (request->step_ == base::transaction_step::none ||
                                                        request->step_ == base::transaction_step::begin);
}

} // namespace proxy
