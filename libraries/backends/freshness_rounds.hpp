#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace backends {

/// How a read's wait for confirmation ended.
enum class freshness_result : std::uint8_t { confirmed, term_changed, timed_out };

/// A read that waits until a majority has confirmed its term in answer to a question sent after it arrived.
struct waiting_read {
    std::uint64_t id_ = 0;
    std::uint64_t term_ = 0;
    base::clock::time_point deadline_{};

    friend auto operator<=>(const waiting_read&, const waiting_read&) = default;
};

/// What was decided about one read.
struct freshness_decision {
    std::uint64_t id_ = 0;
    freshness_result result_ = freshness_result::timed_out;

    friend auto operator<=>(const freshness_decision&, const freshness_decision&) = default;
};

/// Confirms the term for waiting reads by rounds of questions to the whole group (read-index).
///
/// One round is in flight at a time and serves the reads that were waiting when it was sent; later reads wait
/// for the next. Thread safety: immutable value.
class freshness_rounds {
public:
    struct step;

    /// Precondition: `majority` is more than half of the group.
    explicit freshness_rounds(std::size_t majority) : majority_{majority} {}

    /// Adds a read. Precondition: no waiting read has the same id.
    [[nodiscard]] step add_read(waiting_read read, base::clock::time_point now) const;

    /// Takes the answer of a database to the question of round `round`; `term` is the term that it reported.
    [[nodiscard]] step record_response(std::uint64_t round, std::string_view database, std::uint64_t term,
                                       base::clock::time_point now) const;

    /// Ends reads of a replaced term or past their deadline, and a round that got no majority in time.
    [[nodiscard]] step advance(std::uint64_t current_term, base::clock::time_point now) const;

    /// Returns the number of the round in flight; empty when no read waits.
    [[nodiscard]] std::optional<std::uint64_t> round_in_flight() const noexcept;

    friend auto operator<=>(const freshness_rounds&, const freshness_rounds&) = default;

private:
    struct round {
        std::uint64_t number_ = 0;
        std::uint64_t term_ = 0;
        base::clock::time_point sent_at_{};
        std::set<std::string> confirmed_by_;
        std::vector<waiting_read> reads_;

        friend auto operator<=>(const round&, const round&) = default;
    };

    [[nodiscard]] step start_round_if_due(step next, base::clock::time_point now) const;

    std::size_t majority_;
    std::uint64_t last_number_ = 0;
    std::optional<round> in_flight_;
    std::vector<waiting_read> next_;
};

/// The rounds after an event, the reads that no longer wait, and the round to send, if one is due.
struct freshness_rounds::step {
    freshness_rounds rounds_;
    std::vector<freshness_decision> decisions_;
    /// The number of a round whose question has to be sent to every database now.
    std::optional<std::uint64_t> round_to_send_;

    friend auto operator<=>(const step&, const step&) = default;
};

/// How long a round waits for a majority before its reads are asked for again. The same as the time that a
/// fresh connection gets, so that a round outlasts one reconnection.
inline constexpr base::clock::duration freshness_round_timeout{500};

} // namespace backends
