#include <backends/statement_response.hpp>

namespace backends {

std::string_view name_of(statement_status status) noexcept {
    switch (status) {
    case statement_status::done:
        return "done";
    case statement_status::overloaded:
        return "overloaded";
    case statement_status::aborted:
        return "aborted";
    case statement_status::behind:
        return "behind";
    case statement_status::not_primary:
        return "not_primary";
    case statement_status::wrong_database:
        return "wrong_database";
    case statement_status::connection_limit:
        return "connection_limit";
    case statement_status::unknown_prepared:
        return "unknown_prepared";
    case statement_status::failed:
        return "failed";
    case statement_status::timed_out:
        return "timed_out";
    case statement_status::malformed:
        return "malformed";
    case statement_status::no_database:
        return "no_database";
    case statement_status::unauthorised:
        return "unauthorised";
    case statement_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace backends
