#pragma once

#include <base/error_kind.hpp>
#include <base/immutable.hpp>
#include <base/request.hpp>
#include <base/response.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace history {

/// One submission of a request and its answer, as the caller saw them. Times are microseconds on one clock
/// since the start of the run.
struct request_record_fields {
    /// Empty for a request outside any session.
    std::string session_;
    /// Number of the submission in its session, or in the run when it is outside any session.
    std::uint64_t sequence_ = 0;
    std::int64_t scheduled_us_ = 0;
    std::int64_t sent_us_ = 0;
    std::int64_t answered_us_ = 0;
    std::string work_;
    std::string service_;
    std::string tenant_;
    base::access access_ = base::access::read;
    std::vector<std::string> statements_;
    /// The idempotency key; empty for none.
    std::string key_;
    base::outcome outcome_ = base::outcome::unknown;
    std::optional<base::error_kind> error_;
    std::vector<std::string> results_;
    base::database_role served_by_ = base::database_role::none;
    /// The session token of the answer; empty for none.
    std::string token_;

    friend auto operator<=>(const request_record_fields&, const request_record_fields&) = default;
    friend bool operator==(const request_record_fields&, const request_record_fields&) = default;
};

using request_record = base::immutable<request_record_fields>;

/// Returns the key under which the databases record the outcome of a request; empty for a request without an
/// idempotency key. Keys of two tenants are two keys, so it starts with the length and the name of the
/// tenant.
[[nodiscard]] std::string recorded_key(const request_record& record);

} // namespace history
