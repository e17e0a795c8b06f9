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

/// A database that may become the primary of its service, with the report that it sent.
struct promotion_candidate {
    std::string id_;
    database_report report_;
    /// Whether it is about to leave. It still receives commits and counts as a synchronous replica.
    bool is_draining_ = false;

    friend auto operator<=>(const promotion_candidate&, const promotion_candidate&) = default;
};

/// A database that may hold acknowledged commits and has not reported what it received.
struct missing_report {
    std::string id_;
    /// Why the last request had no result; empty while the first one is under way.
    std::string reason_;
    /// For how long its report has been missing.
    base::clock::duration age_{0};

    friend auto operator<=>(const missing_report&, const missing_report&) = default;
};

/// The state of a takeover between two promotion requests.
struct promotion_state {
    /// The database of the last promotion request, which may still take effect or have done so unnoticed.
    std::optional<std::string> target_;
    /// Whether `target_` was observed to be the primary, or lists itself as the primary.
    bool is_target_leading_ = false;
    /// Whether the platform refused the last request for `target_` or requests for it proved futile, so that
    /// none will take effect.
    bool is_target_refused_ = false;
    /// How many requests for `target_` in a row the platform accepted although the database still reported
    /// itself as a replica when their effect was due.
    std::uint32_t ineffective_requests_ = 0;
    /// The term of the last known primary; 0 if no promotion was ever requested for the service.
    std::uint64_t primary_term_ = 0;
    /// Databases that the platform has refused, and those whose requests proved futile.
    std::set<std::string> refused_;
    std::set<std::string> futile_;
    /// The end of the replaced primary's log, if that primary reported it.
    std::optional<base::log_position> final_position_;
    /// Whether the replaced primary led until it reported `final_position_`, so that no acknowledged commit
    /// is later.
    bool is_final_position_complete_ = false;
    /// Whether the replaced primary was asked for the end of its log and has not answered.
    bool is_final_position_missing_ = false;
    /// Whether there is time left for replicas to receive the log up to `final_position_`.
    bool may_wait_ = false;
    /// Whether there is time left for missing reports that no rule requires.
    bool may_wait_for_reports_ = false;
    /// How many replicas have received a commit when it is acknowledged.
    std::uint32_t sync_replicas_ = 0;
    std::vector<promotion_candidate> candidates_;
    std::vector<missing_report> missing_;
    /// The replaced primary, if it reports that it leads and no promotion was requested since: it still has
    /// all of its log.
    std::optional<promotion_candidate> returned_primary_;

    friend auto operator<=>(const promotion_state&, const promotion_state&) = default;
};

/// The next step of a takeover.
enum class promotion_step : std::uint8_t {
    /// No database can be promoted now.
    wait,
    /// Request the promotion of the database.
    request,
    /// The database is the primary; record it.
    complete,
};

struct promotion_choice {
    promotion_step step_ = promotion_step::wait;
    std::string database_;

    friend auto operator<=>(const promotion_choice&, const promotion_choice&) = default;
};

/// Returns whether a candidate that reports itself as the primary may be one that was replaced: its term is
/// older than that of the last known primary, or the promotion of another database was requested and may have
/// taken effect. It keeps the role until it reaches its successor. Thread safety: pure function.
[[nodiscard]] bool may_be_replaced_primary(const promotion_state& state,
                                           const promotion_candidate& candidate);

/// Returns whether databases that have not reported may hold acknowledged commits that a candidate lacks.
/// Every acknowledged commit is at `sync_replicas_` replicas at least, so it is known if fewer reports than
/// that are missing, where a database that was refused counts as missing; it is also known if the candidate
/// reached the end of the replaced primary's log. Without synchronous replicas no number of reports is
/// enough, and they are missed only as long as `may_wait_for_reports_`. Precondition: all reports were
/// requested after the last statement at the replaced primary was acknowledged. Thread safety: pure function.
[[nodiscard]] bool may_lack_acknowledged_commits(const promotion_state& state,
                                                 const promotion_candidate& candidate);

/// Chooses the next step. A database whose promotion was requested remains the only choice until the platform
/// refuses it or requests for it prove futile: the request may take effect at any time, and the group would
/// then have a second primary. Otherwise the candidate whose received position is greatest is chosen, except
/// one that may be a replaced primary: its role would be taken as proof that its promotion took effect.
///
/// Waits while a missing report may show acknowledged commits that the candidate lacks, see
/// `may_lack_acknowledged_commits`; the replaced primary is kept if it leads again meanwhile. A draining
/// database is chosen only if a synchronous service would lose commits otherwise. Thread safety: pure
/// function.
[[nodiscard]] promotion_choice choose_promotion(const promotion_state& state);

/// Returns the database that leads a service by what its databases report: the only one that is the primary
/// of the greatest term that any of them has heard of. Returns nothing if there is none, or if a database has
/// been the primary of a later term, `known_term`, and does not answer; 0 or the greatest number if the term
/// of the last known primary is not known. Thread safety: pure function.
[[nodiscard]] std::optional<promotion_candidate> find_leading(const std::vector<promotion_candidate>& reports,
                                                              std::uint64_t known_term);

/// Returns whether the refusal of a request shows that the database will not become the primary. It does not
/// while an earlier request for the same database, of this daemon or of the previous leader, may still take
/// effect: the platform refuses a second request during that time. `since_earlier_request` is the time since
/// the earlier request; empty when there was none. Thread safety: pure function.
[[nodiscard]] bool is_refusal_final(std::optional<base::clock::duration> since_earlier_request) noexcept;

/// Returns whether accepted requests without effect show that the database will not become the primary. The
/// platform accepts a request for the database that it promoted last and changes nothing, also if that one
/// has stepped down since. A single request may take effect late. Thread safety: pure function.
[[nodiscard]] bool is_promotion_futile(std::uint32_t ineffective_requests) noexcept;

} // namespace backends
