#include <callers/response_codec.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <utility>

namespace callers {

namespace {

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

json::object describe(const base::error& reason) {
    json::object description;
    description["kind"] = base::name_of(reason.kind());
    description["message"] = reason.message();
    description["remedy"] = reason.remedy();
    return description;
}

void add_served_by(json::object& body, base::database_role role) {
    if (role != base::database_role::none) {
        body["served_by"] = role == base::database_role::primary ? "primary" : "replica";
    }
}

// Rounds up, because a caller that comes back too early is refused again.
std::string to_whole_seconds(base::clock::duration wait) {
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

unsigned status_for(base::outcome outcome, const std::optional<base::error>& reason) noexcept {
    if (outcome == base::outcome::done) {
        return status_ok;
    }
    if (outcome == base::outcome::unknown || !reason) {
        return status_gateway_timeout;
    }
    switch (reason->kind()) {
    case base::error_kind::invalid_request:
    case base::error_kind::token_invalid:
    case base::error_kind::token_foreign:
    case base::error_kind::unknown_rank:
    case base::error_kind::statement_invalid:
        return status_bad_request;
    case base::error_kind::unknown_service:
    case base::error_kind::unknown_transaction:
    case base::error_kind::not_found:
        return status_not_found;
    case base::error_kind::key_conflict:
    case base::error_kind::key_cancelled:
    case base::error_kind::transaction_aborted:
        return status_conflict;
    case base::error_kind::too_large:
        return status_too_large;
    case base::error_kind::overloaded:
        return status_too_many_requests;
    default:
        return status_unavailable;
    }
}

http::response encode_response(const base::response& response, const std::string& service,
                               const token_signer& signer) {
    json::object body;
    body["outcome"] = base::name_of(response->outcome_);
    json::array results;
    for (const auto& result : response->results_) {
        results.emplace_back(result);
    }
    body["results"] = std::move(results);
    add_served_by(body, response->served_by_);
    if (!response->transaction_.empty()) {
        body["handle"] = response->transaction_;
    }
    http::response_fields response{.status_ = status_for(response->outcome_, response->error_),
                                   .headers_ = {{"Content-Type", "application/json"}}};
    if (response->position_) {
        const auto token = signer.encode(session_token{service, *response->position_});
        body["session"] = token;
        response.headers_.push_back({"Sassafrasdeal-Session", token});
        response.headers_.push_back({"Set-Cookie", "sassafrasdeal_session=" + token + "; Path=/; HttpOnly"});
    }
    if (response->error_) {
        body["error"] = describe(*response->error_);
    }
    if (response->retry_after_ > base::clock::duration{0}) {
        response.headers_.push_back({"Retry-After", to_whole_seconds(response->retry_after_)});
    }
    response.body_ = json::serialize(body);
    return response;
}

http::response encode_refusal(const base::error& reason) {
    json::object body;
    body["outcome"] = base::name_of(base::outcome::not_run);
    body["results"] = json::array{};
    body["error"] = describe(reason);
    const auto status = status_for(base::outcome::not_run, reason);
    return http::json_response(status, json::serialize(body));
}

} // namespace callers
