#include <backends/hold_back.hpp>

#include <algorithm>

namespace backends {

using base::clock;

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

std::vector<hold_back_notice> decide_hold_back(const operators::service_declaration& declaration,
                                               const queue_load& load) {
    std::vector<hold_back_notice> notices;
    for (const auto& rank : declaration->ranks_) {
        const auto found = std::find_if(load->ranks_.begin(), load->ranks_.end(),
                                        [&](const auto& loaded) { return loaded.rank_ == rank.name_; });
        const auto wait = found == load->ranks_.end() ? clock::duration{0} : found->expected_wait_;
        notices.emplace_back(hold_back_notice_fields{.group_ = declaration->name_,
                                                     .rank_ = rank.name_,
                                                     .percent_ = percent_for(wait, rank.deadline_),
                                                     .valid_for_ = std::min(wait / 2, longest_hold_back)});
    }
    return notices;
}

} // namespace backends
