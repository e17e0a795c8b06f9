#include <base/answer.hpp>

namespace base {

answer not_run(error reason, clock::duration retry_after) {
    return answer_fields{.outcome_ = outcome::not_run,
                         .results_ = {},
                         .position_ = {},
                         .served_by_ = database_role::none,
                         .transaction_ = {},
                         .error_ = std::move(reason),
                         .retry_after_ = retry_after};
}

answer unknown(error reason) {
    return answer_fields{.outcome_ = outcome::unknown,
                         .results_ = {},
                         .position_ = {},
                         .served_by_ = database_role::none,
                         .transaction_ = {},
                         .error_ = std::move(reason),
                         .retry_after_ = clock::duration{0}};
}

} // namespace base
