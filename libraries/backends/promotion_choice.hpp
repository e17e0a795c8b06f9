#pragma once

#include <backends/database_line.hpp>
#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace backends {

/// A database that may lead its service, as it answered.
struct promotion_candidate {
    std::string id_;
    database_report report_;

    friend auto operator<=>(const promotion_candidate&, const promotion_candidate&) = default;
};

/// What is known in the middle of a takeover.
struct promotion_state {
    /// The database that was last ordered to lead; an order may take effect later.
    std::optional<std::string> target_;
    /// Whether `target_` was seen to lead, or lists itself as the primary.
    bool is_target_leading_ = false;
    /// Whether the platform refused the last order for `target_`, so that it will not take effect.
    bool is_target_refused_ = false;
    /// Databases that the platform has refused.
    std::set<std::string> refused_;
    /// Where the log of the replaced primary ended, if it said so.
    std::optional<base::log_position> final_position_;
    /// Whether there is time left for replicas to receive all of it.
    bool may_wait_ = false;
    std::vector<promotion_candidate> candidates_;

    friend auto operator<=>(const promotion_state&, const promotion_state&) = default;
};

/// What comes next in a takeover.
enum class promotion_step : std::uint8_t {
    /// Nothing can be done now.
    wait,
    /// Order the database to lead.
    request,
    /// The database leads; record it.
    complete,
};

struct promotion_choice {
    promotion_step step_ = promotion_step::wait;
    std::string database_;

    friend auto operator<=>(const promotion_choice&, const promotion_choice&) = default;
};

/// Chooses the next step. A database that was ordered to lead stays the only choice until the platform
/// refuses it: its order may take effect at any time, and a second database would lead beside it. Otherwise
/// the replica that has received most is chosen. Thread safety: pure.
[[nodiscard]] promotion_choice choose_promotion(const promotion_state& state);

/// Returns whether a refusal of an order shows that the ordered database will not lead. It does not while an
/// earlier order for it, of this daemon or of the holder before, may still take effect: the platform refuses
/// a second order in the meantime. `since_earlier_order` is empty when there was none. Thread safety: pure.
[[nodiscard]] bool is_refusal_final(std::optional<base::clock::duration> since_earlier_order) noexcept;

} // namespace backends
