#include <utilities/sassafras_load/caller_codec.hpp>

#include <boost/json.hpp>

#include <exception>

namespace sassafras_load {

namespace {

namespace json = boost::json;

std::string text_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr ? std::string{} : json::value_to<std::string>(*value);
}

base::outcome to_outcome(std::string_view name) {
    if (name == "done") {
        return base::outcome::done;
    }
    return name == "not_run" ? base::outcome::not_run : base::outcome::unknown;
}

base::database_role to_role(std::string_view name) {
    if (name == "primary") {
        return base::database_role::primary;
    }
    return name == "replica" ? base::database_role::replica : base::database_role::none;
}

caller_response to_caller_response(const json::object& object) {
    caller_response_fields response{.outcome_ = to_outcome(text_at(object, "outcome")),
                                    .served_by_ = to_role(text_at(object, "served_by")),
                                    .token_ = text_at(object, "session")};
    if (const auto* results = object.if_contains("results")) {
        response.results_ = json::value_to<std::vector<std::string>>(*results);
    }
    if (const auto* error = object.if_contains("error")) {
        response.error_ = base::error_kind_from_name(text_at(error->as_object(), "kind"));
    }
    return response;
}

} // namespace

http::request encode_submission(const submission& request) {
    const auto& work = request->work_;
    json::object body{{"service", work->service_},
                      {"tenant", request->tenant_},
                      {"rank", work->rank_},
                      {"access", work->access_ == base::access::write ? "write" : "read"},
                      {"statements", json::array(request->statements_.begin(), request->statements_.end())},
                      {"deadline_ms", work->deadline_.count()}};
    if (!request->key_.empty()) {
        body["idempotency_key"] = request->key_;
    }
    if (!work->read_class_.empty()) {
        body["read_class"] = work->read_class_;
    }
    if (!request->session_.empty()) {
        body["session"] = request->token_;
    }
    return http::json_post("/v1/request", json::serialize(body));
}

caller_response decode_response(std::string_view body) {
    try {
        const auto value = json::parse(body);
        return to_caller_response(value.as_object());
    } catch (const std::exception&) {
        return caller_response_fields{.error_ = base::error_kind::internal};
    }
}

} // namespace sassafras_load
