#pragma once

#include <backends/group_view.hpp>

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace backends {

/// Why a group needs a new term.
enum class takeover_reason : std::uint8_t {
    primary_failed,
    primary_leaving,
    /// A majority answers and none of it is the primary of the greatest term.
    no_primary,
    /// A database has granted a term above the primary's, so it no longer accepts the primary's entries.
    term_split,
};

/// Returns the name of a reason for the log.
[[nodiscard]] std::string_view name_of(takeover_reason reason) noexcept;

enum class takeover_phase : std::uint8_t {
    /// An orderly takeover waits until a database that stays holds all that the primary holds.
    catching_up,
    raising,
    promoting,
    won,
    failed,
};

/// What a takeover asks of a database.
enum class takeover_step : std::uint8_t { raise, promote };

/// A request of a takeover. Both steps are idempotent for the same term and proposer.
struct takeover_request {
    takeover_step step_ = takeover_step::raise;
    std::uint64_t term_ = 0;
    std::string proposer_;

    friend auto operator<=>(const takeover_request&, const takeover_request&) = default;
};

/// One takeover of a database group: raise a new term at a majority, then promote the database that has the
/// greatest last entry among those that granted it.
///
/// Any majority that granted the term contains a database that holds each acknowledged write, because a write
/// is acknowledged only when a majority holds it and a database accepts no entry below a term it granted. A
/// term for which a promotion was sent is never used for another database. A request that got no answer is
/// simply due again. Thread safety: immutable value.
class takeover {
public:
    /// Starts a takeover with a term above all that `view` knows and above `last_used_term`.
    /// Preconditions: `proposer` is used by no other process and no earlier run of this one; `last_used_term`
    /// is at least `term()` of every earlier takeover of this proposer. A failed takeover may have promoted a
    /// database without the view having heard of its term, so the same term must not come up again. `jitter`
    /// is random and spreads the retries of racing homes.
    [[nodiscard]] static takeover begin(const group_view& view, takeover_reason reason, std::string proposer,
                                        std::uint64_t last_used_term, base::clock::time_point now,
                                        base::clock::duration jitter);

    /// Returns the request that is due to a database now; empty when none is.
    [[nodiscard]] std::optional<takeover_request> next_request(std::string_view database,
                                                               base::clock::time_point now) const;

    /// Takes a grant of `term` by a database whose last entry was `last`.
    [[nodiscard]] takeover record_grant(std::string_view database, std::uint64_t term,
                                        base::log_position last) const;

    /// Takes the refusal of a raise or promote of `term`; `known_term` is the database's own.
    [[nodiscard]] takeover record_refusal(std::string_view database, std::uint64_t term,
                                          std::uint64_t known_term, base::clock::time_point now) const;

    /// Takes the answer that a database is now primary of `term`.
    [[nodiscard]] takeover with_promotion(std::string_view database, std::uint64_t term) const;

    /// Moves on with what is known at `now`: ends when another home has won or the time is up, ends the wait
    /// for a catch-up, and chooses a database once enough have granted the term.
    [[nodiscard]] takeover advance(const group_view& view, base::clock::time_point now) const;

    [[nodiscard]] takeover_phase phase() const noexcept { return phase_; }
    [[nodiscard]] takeover_reason reason() const noexcept { return reason_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] bool is_over() const noexcept {
        return phase_ == takeover_phase::won || phase_ == takeover_phase::failed;
    }
    /// Returns the database that is being or was promoted; empty before.
    [[nodiscard]] const std::string& chosen_database() const noexcept { return chosen_; }

    friend auto operator<=>(const takeover&, const takeover&) = default;

private:
    struct grant {
        std::string database_;
        base::log_position last_;
        bool leaving_ = false;

        friend auto operator<=>(const grant&, const grant&) = default;
    };

    void choose(const group_view& view, base::clock::time_point now);
    void retry_with_higher_term(std::uint64_t known_term, base::clock::time_point now);

    takeover_phase phase_ = takeover_phase::raising;
    takeover_reason reason_ = takeover_reason::primary_failed;
    std::uint64_t term_ = 0;
    std::string proposer_;
    base::clock::time_point started_at_{};
    base::clock::duration jitter_{0};
    /// No request is due before; set when a higher term is tried after a refusal.
    base::clock::time_point not_before_{};
    std::uint32_t retries_ = 0;
    std::size_t group_size_ = 0;
    std::vector<grant> grants_;
    std::vector<std::string> refusals_;
    std::uint64_t greatest_refused_term_ = 0;
    std::string chosen_;
};

/// How long a takeover may take before it counts as failed. With detection (at most 1.75 s) and one retry
/// after the damping interval of 2 s it stays inside the 6 s that a change of primary may take.
inline constexpr base::clock::duration takeover_timeout{2'000};
/// How long an orderly takeover waits for a database that stays to catch up, and then for its grant.
inline constexpr base::clock::duration catch_up_time{1'000};
inline constexpr base::clock::duration orderly_grant_time{250};
/// Pause before a higher term is tried, to which the jitter is added.
inline constexpr base::clock::duration takeover_retry_delay{30};

} // namespace backends
