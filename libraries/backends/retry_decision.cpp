#include <backends/retry_decision.hpp>

namespace backends {

namespace {

// Both replicas and the primary may refuse a read in turn; more tries only add load.
constexpr std::uint32_t most_refusals = 5;

} // namespace

retry_decision decide_retry(statement_status status, statement_effect effect, attempt_counts counts,
                            std::uint32_t most_attempts) noexcept {
    if (has_not_run(status)) {
        if (counts.refused_ >= most_refusals) {
            return retry_decision::refuse;
        }
        const bool may_change_soon =
            status == statement_status::overloaded || status == statement_status::not_primary;
        return may_change_soon && effect == statement_effect::writes ? retry_decision::pause
                                                                     : retry_decision::try_another;
    }
    const bool may_repeat = effect == statement_effect::reads &&
                            (status == statement_status::unknown || status == statement_status::failed);
    if (may_repeat && counts.failed_ < most_attempts) {
        return retry_decision::try_another;
    }
    return retry_decision::response;
}

} // namespace backends
