#include <callers/session_progress.hpp>

namespace callers {

session_step decide_step(session_phase phase, statement_kind kind) noexcept {
    const bool is_end = kind == statement_kind::commit || kind == statement_kind::rollback;
    if (phase == session_phase::failed) {
        return is_end ? session_step::end_failed : session_step::refuse_malformed;
    }
    const bool is_inside = phase != session_phase::idle;
    switch (kind) {
    case statement_kind::set_value:
        return session_step::store_value;
    case statement_kind::prepare:
        return session_step::store_prepared;
    case statement_kind::deallocate:
        return session_step::remove_prepared;
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        return is_inside ? session_step::refuse_malformed : session_step::begin;
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        return is_inside ? session_step::run_in_transaction : session_step::run_single;
    case statement_kind::commit:
        return is_inside ? session_step::commit : session_step::refuse_malformed;
    case statement_kind::rollback:
        if (phase == session_phase::begun) {
            return session_step::end_unstarted;
        }
        return is_inside ? session_step::rollback : session_step::refuse_malformed;
    case statement_kind::malformed:
        break;
    }
    return session_step::refuse_malformed;
}

} // namespace callers
