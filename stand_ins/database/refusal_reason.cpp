#include <stand_ins/database/refusal_reason.hpp>

namespace stand_ins::database {

std::string_view name_of(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::term_stale:
        return "term_stale";
    case refusal_reason::not_primary:
        return "not_primary";
    case refusal_reason::behind:
        return "behind";
    case refusal_reason::cancelled:
        return "cancelled";
    case refusal_reason::key_conflict:
        return "key_conflict";
    case refusal_reason::slots_busy:
        return "slots_busy";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::bad_statement:
        return "bad_statement";
    case refusal_reason::no_transaction:
        return "no_transaction";
    case refusal_reason::write_conflict:
        return "write_conflict";
    }
    return "bad_statement";
}

} // namespace stand_ins::database
