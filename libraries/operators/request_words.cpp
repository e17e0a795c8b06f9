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

// Returns the reason why a word cannot be added.
std::optional<base::error> add_word(json::object& body, json::array& statements, std::string_view word) {
    const auto equals = word.find('=');
    const auto field = word.substr(0, equals);
    if (equals == std::string_view::npos || !is_utf8(word)) {
        return invalid("'" + std::string{word} + "' is not of the form field=value");
    }
    const auto value = word.substr(equals + 1);
    if (field == "statement") {
        statements.emplace_back(json::string{value});
        return std::nullopt;
    }
    if (body.contains(field)) {
        return invalid("the field " + std::string{field} + " stands twice");
    }
    if (field == "deadline_ms") {
        std::uint32_t number = 0;
        const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (status != std::errc{} || end != value.data() + value.size()) {
            return invalid("deadline_ms is not a whole number of milliseconds");
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

base::result<std::string> encode_explain_arguments(const std::vector<std::string>& words) {
    if (words.size() == 1 && words.front().starts_with('{')) {
        return check_body(words.front());
    }
    json::object body;
    json::array statements;
    for (const auto& word : words) {
        if (auto reason = add_word(body, statements, word)) {
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
