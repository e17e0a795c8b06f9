#include <backends/retry_decision.hpp>

namespace backends {

namespace {

// Both replicas and the primary may refuse a read in turn; further attempts only add load.
constexpr std::uint32_t max_refusals = 5;

} // namespace

retry_decision decide_retry(statement_status status, statement_effect effect, attempt_counts counts,
                            std::uint32_t max_attempts) noexcept {
    if (has_not_run(status)) {
        if (counts.refused_ >= max_refusals) {
            return retry_decision::refuse;
        }
        if (status == statement_status::unknown_prepared) {
            // The connection was closed, so the statement is prepared again, also at the same database.
            return retry_decision::retry_later;
        }
        const bool may_change_soon =
            status == statement_status::overloaded || status == statement_status::not_primary;
        return may_change_soon && effect == statement_effect::writes ? retry_decision::retry_later
                                                                     : retry_decision::try_another;
    }
    const bool may_repeat = effect == statement_effect::reads &&
                            (status == statement_status::unknown || status == statement_status::failed);
    if (may_repeat && counts.failed_ < max_attempts) {
        return retry_decision::try_another;
    }
    return retry_decision::respond;
}

} // namespace backends
