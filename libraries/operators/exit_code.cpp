#include <operators/exit_code.hpp>

namespace operators {

exit_code exit_code_for(base::error_kind kind) noexcept {
    switch (kind) {
    case base::error_kind::invalid_request:
        return exit_code::usage;
    case base::error_kind::settings_invalid:
    case base::error_kind::declaration_invalid:
    case base::error_kind::too_large:
        return exit_code::invalid_file;
    case base::error_kind::publish_conflict:
        return exit_code::conflict;
    case base::error_kind::platform_unavailable:
        return exit_code::store_unavailable;
    case base::error_kind::answer_lost:
        return exit_code::unresolved;
    case base::error_kind::connection_failed:
    case base::error_kind::timeout:
        return exit_code::daemon_unreachable;
    case base::error_kind::internal:
        return exit_code::internal;
    default:
        return exit_code::refused;
    }
}

std::string_view exit_code_help() noexcept {
    return "  0  success\n"
           "  1  the command line is wrong\n"
           "  2  a settings or declaration file is invalid, or the configuration is too large\n"
           "  3  another operator's configuration is in force\n"
           "  4  the platform's store does not answer; nothing was published\n"
           "  5  an answer was lost and its effect could not be confirmed; repeat the command\n"
           "  6  the daemon cannot be reached or does not answer in time\n"
           "  7  the daemon refused the request\n"
           "  8  internal error\n";
}

} // namespace operators
