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

/// The reason for which a database group needs a new term.
enum class takeover_reason : std::uint8_t {
    primary_failed,
    primary_leaving,
    /// A majority responds and none of these databases is the primary of the greatest term.
    no_primary,
    /// A database has granted a term above the primary's, so it no longer accepts the primary's entries.
    term_split,
};

/// Returns the name of a reason, as it appears in the log.
[[nodiscard]] std::string_view name_of(takeover_reason reason) noexcept;

enum class takeover_phase : std::uint8_t {
    /// A planned takeover waits until a database that is not leaving holds everything that the primary holds.
    catching_up,
    raising,
    promoting,
    won,
    failed,
};

/// The kind of request that a takeover sends to a database.
enum class takeover_step : std::uint8_t { raise, promote };

/// A request that a takeover sends to a database. Both kinds are idempotent for the same term and proposer.
struct takeover_request {
    takeover_step step_ = takeover_step::raise;
    std::uint64_t term_ = 0;
    std::string proposer_;

    friend auto operator<=>(const takeover_request&, const takeover_request&) = default;
};

/// The state machine of one takeover of a database group: it raises a new term at a majority, then promotes
/// the database with the greatest last entry among those that granted the term.
///
/// Every majority that granted the term contains, for each acknowledged write, a database that holds it: a
/// write is acknowledged only when a majority holds it, and a database accepts no entry of a term below the
/// one it has granted. A term for which a promotion was sent is never used for another database. A request
/// without a response is sent again. Thread safety: immutable value.
class takeover {
public:
    /// Starts a takeover with a term above every term in `view` and above `last_used_term`.
    /// Preconditions: `proposer` is used by no other process and by no earlier run of this one;
    /// `last_used_term` is at least `term()` of every earlier takeover of this proposer. A failed takeover
    /// may have promoted a database without the view containing its term, so its term must not be used again.
    /// `jitter` is a random delay that spreads the retries of owners that take over at the same time.
    [[nodiscard]] static takeover begin(const group_view& view, takeover_reason reason, std::string proposer,
                                        std::uint64_t last_used_term, base::clock::time_point now,
                                        base::clock::duration jitter);

    /// Returns the request to send to a database at `now`; empty when there is none.
    [[nodiscard]] std::optional<takeover_request> next_request(std::string_view database,
                                                               base::clock::time_point now) const;

    /// Records that a database whose last entry was `last` granted `term`.
    [[nodiscard]] takeover record_grant(std::string_view database, std::uint64_t term,
                                        base::log_position last) const;

    /// Records that a database refused a raise or promote request for `term`; `database_term` is its own
    /// term.
    [[nodiscard]] takeover record_refusal(std::string_view database, std::uint64_t term,
                                          std::uint64_t database_term, base::clock::time_point now) const;

    /// Records that a database has become the primary of `term`.
    [[nodiscard]] takeover record_promotion(std::string_view database, std::uint64_t term) const;

    /// Advances to `now`: the takeover ends when another owner has won or the timeout has expired, a planned
    /// takeover stops waiting for a catch-up, and a database is chosen once enough of them have granted the
    /// term.
    [[nodiscard]] takeover advance(const group_view& view, base::clock::time_point now) const;

    [[nodiscard]] takeover_phase phase() const noexcept { return phase_; }
    [[nodiscard]] takeover_reason reason() const noexcept { return reason_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] bool is_finished() const noexcept {
        return phase_ == takeover_phase::won || phase_ == takeover_phase::failed;
    }
    /// Returns the name of the database that is being or was promoted; empty until one is chosen.
    [[nodiscard]] const std::string& chosen_database() const noexcept { return chosen_; }

    friend auto operator<=>(const takeover&, const takeover&) = default;

private:
    struct grant {
        std::string database_;
        base::log_position last_;
        bool leaving_ = false;

        friend auto operator<=>(const grant&, const grant&) = default;
    };

    void choose_database(const group_view& view, base::clock::time_point now);
    void retry_with_higher_term(std::uint64_t database_term, base::clock::time_point now);

    takeover_phase phase_ = takeover_phase::raising;
    takeover_reason reason_ = takeover_reason::primary_failed;
    std::uint64_t term_ = 0;
    std::string proposer_;
    base::clock::time_point started_at_{};
    base::clock::duration jitter_{0};
    /// No request is sent before this time; set when a higher term is tried after a refusal.
    base::clock::time_point not_before_{};
    std::uint32_t retries_ = 0;
    std::size_t group_size_ = 0;
    std::vector<grant> grants_;
    std::vector<std::string> refusals_;
    std::uint64_t max_refused_term_ = 0;
    std::string chosen_;
};

/// How long a takeover may take before it counts as failed. Failure detection takes at most 1.75 s, so that
/// even with one retry after the damping interval of 2 s a change of primary takes less than the required 6
/// s.
inline constexpr base::clock::duration takeover_timeout{2'000};
/// How long a planned takeover waits for a database that is not leaving to catch up, and then for its grant.
inline constexpr base::clock::duration catch_up_timeout{1'000};
inline constexpr base::clock::duration planned_grant_timeout{250};
/// Delay before a higher term is tried, multiplied by the number of retries; the jitter is added to it.
inline constexpr base::clock::duration takeover_retry_delay{30};

} // namespace backends
