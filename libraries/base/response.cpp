#include <base/response.hpp>

namespace base {

std::string_view name_of(outcome value) noexcept {
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

response not_run(error reason, clock::duration retry_after) {
    return response_fields{.outcome_ = outcome::not_run,
                           .results_ = {},
                           .position_ = {},
                           .served_by_ = database_role::none,
                           .transaction_ = {},
                           .error_ = std::move(reason),
                           .retry_after_ = retry_after};
}

response unknown(error reason) {
    return response_fields{.outcome_ = outcome::unknown,
                           .results_ = {},
                           .position_ = {},
                           .served_by_ = database_role::none,
                           .transaction_ = {},
                           .error_ = std::move(reason),
                           .retry_after_ = clock::duration{0}};
}

} // namespace base
