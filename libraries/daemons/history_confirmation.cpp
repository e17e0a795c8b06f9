#include <daemons/history_confirmation.hpp>

#include <daemons/leadership_times.hpp>

#include <algorithm>

namespace daemons {

namespace {

// Covers timers that fire late.
constexpr base::clock::duration confirmation_delay = max_late_promotion + base::clock::duration{300};

} // namespace

confirmation_step next_confirmation_step(const confirmation_state& state) noexcept {
    if (state.has_active_takeover_) {
        return confirmation_step::ask_daemons;
    }
    const bool is_complete = state.knew_earlier_daemons_ && state.unheard_daemons_ == 0;
    if (state.has_led_until_return_ || is_complete) {
        return confirmation_step::confirm;
    }
    const bool is_due = state.since_acquired_ >= confirmation_delay && state.has_databases_;
    return is_due ? confirmation_step::compare_and_confirm : confirmation_step::ask_daemons;
}

std::vector<takeover_record> find_undone(const std::vector<takeover_record>& known,
                                         const std::vector<takeover_record>& stored) {
    std::vector<takeover_record> undone;
    for (const auto& record : known) {
        const auto found = std::find_if(stored.begin(), stored.end(), [&record](const auto& one) {
            return one->service_ == record->service_;
        });
        if (found == stored.end() || record->revision_.is_later_than((*found)->revision_)) {
            undone.push_back(record);
        }
    }
    return undone;
}

} // namespace daemons
