#include <operators/request_words.hpp>

#include <operators/text_check.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace operators {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 7> text_fields{"service",         "tenant",  "rank",      "access",
                                                      "idempotency_key", "session", "read_class"};
constexpr std::array<std::string_view, 3> required_fields{"service", "tenant", "rank"};
constexpr std::string_view field_names =
    "service, tenant, rank, access, read_class, session, idempotency_key, deadline_ms or statement";

base::error invalid(std::string message) {
    return base::error{base::error_kind::invalid_request, std::move(message)};
}

base::result<std::string> check_body(const std::string& text) {
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return invalid("the request is not a JSON object");
    }
    return text;
}

// Adds one argument to the body. Returns an error if the argument is invalid.
std::optional<base::error> add_argument(json::object& body, json::array& statements,
                                        std::string_view argument) {
    const auto equals = argument.find('=');
    const auto field = argument.substr(0, equals);
    if (equals == std::string_view::npos || !is_utf8(argument)) {
        return invalid("'" + std::string{argument} + "' is not of the form field=value");
    }
    const auto value = argument.substr(equals + 1);
    if (field == "statement") {
        statements.emplace_back(json::string{value});
        return std::nullopt;
    }
    if (body.contains(field)) {
        return invalid("the field " + std::string{field} + " is set twice");
    }
    if (field == "deadline_ms") {
        std::uint32_t number = 0;
        const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (status != std::errc{} || end != value.data() + value.size()) {
            return invalid("deadline_ms is not an integer number of milliseconds");
        }
        body[field] = number;
        return std::nullopt;
    }
    if (std::find(text_fields.begin(), text_fields.end(), field) == text_fields.end()) {
        return invalid("the field '" + std::string{field} + "' is not one of " + std::string{field_names});
    }
    body[field] = json::string{value};
    return std::nullopt;
}

} // namespace

base::result<std::string> encode_explain_arguments(const std::vector<std::string>& arguments) {
    if (arguments.size() == 1 && arguments.front().starts_with('{')) {
        return check_body(arguments.front());
    }
    json::object body;
    json::array statements;
    for (const auto& argument : arguments) {
        if (auto reason = add_argument(body, statements, argument)) {
            return *std::move(reason);
        }
    }
    for (const auto field : required_fields) {
        if (!body.contains(field)) {
            return invalid("the field " + std::string{field} + " is missing");
        }
    }
    if (!body.contains("access")) {
        body["access"] = "read";
    }
    body["statements"] = std::move(statements);
    return json::serialize(body);
}

} // namespace operators
