#include <callers/request_codec.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace callers {

namespace {

namespace json = boost::json;

constexpr std::string_view session_header = "Sassafrasdeal-Session";
constexpr std::string_view session_cookie = "sassafrasdeal_session=";

constexpr std::array request_keys{"service",     "tenant",          "rank",    "access",     "statements",
                                  "deadline_ms", "idempotency_key", "session", "read_class", "transaction"};
constexpr std::array outcome_keys{"service", "tenant", "idempotency_key", "deadline_ms"};

base::error invalid(std::string message) {
    return base::error{base::error_kind::invalid_request, std::move(message)};
}

base::error invalid_field(std::string_view name, std::string_view what) {
    return invalid("field '" + std::string{name} + "' " + std::string{what});
}

base::result<json::object> parse_object(const std::string& body, std::span<const char* const> known_keys) {
    boost::system::error_code failure;
    auto value = json::parse(body, failure);
    if (failure) {
        return invalid("the body is not JSON: " + failure.message());
    }
    if (!value.is_object()) {
        return invalid("the body is not a JSON object");
    }
    for (const auto& member : value.get_object()) {
        const bool is_known = std::any_of(known_keys.begin(), known_keys.end(),
                                          [&member](const char* known) { return member.key() == known; });
        if (!is_known) {
            return invalid_field(member.key(), "is unknown");
        }
    }
    return std::move(value.get_object());
}

enum class presence { required, optional };

// Returns an empty string if an optional field is absent.
base::result<std::string> read_text(const json::object& body, std::string_view name,
                                    presence required_presence, std::size_t max_bytes) {
    const auto* value = body.if_contains(name);
    if (value == nullptr) {
        if (required_presence == presence::required) {
            return invalid_field(name, "is missing");
        }
        return std::string{};
    }
    if (!value->is_string()) {
        return invalid_field(name, "is not a string");
    }
    const std::string_view text{value->get_string()};
    if (text.size() > max_bytes) {
        return invalid_field(name, "is longer than " + std::to_string(max_bytes) + " bytes");
    }
    if (required_presence == presence::required && text.empty()) {
        return invalid_field(name, "is empty");
    }
    return std::string{text};
}

base::result<std::vector<std::string>> read_statements(const json::object& body) {
    std::vector<std::string> statements;
    const auto* value = body.if_contains("statements");
    if (value == nullptr) {
        return statements;
    }
    if (!value->is_array() || value->get_array().size() > max_statements) {
        return invalid_field("statements",
                             "is not an array of at most " + std::to_string(max_statements) + " strings");
    }
    for (const auto& statement : value->get_array()) {
        if (!statement.is_string()) {
            return invalid_field("statements", "contains an element that is not a string");
        }
        statements.emplace_back(std::string_view{statement.get_string()});
    }
    return statements;
}

base::result<base::clock::duration> read_deadline(const json::object& body) {
    const auto* value = body.if_contains("deadline_ms");
    if (value == nullptr) {
        return base::clock::duration{0};
    }
    if (!value->is_int64() || value->get_int64() <= 0 || value->get_int64() > max_deadline.count()) {
        return invalid_field("deadline_ms",
                             "is not a whole number from 1 to " + std::to_string(max_deadline.count()));
    }
    return base::clock::duration{value->get_int64()};
}

base::result<base::access> read_access(const json::object& body) {
    const auto text = read_text(body, "access", presence::required, max_name_bytes);
    if (!text) {
        return text.last_reason();
    }
    if (*text == "read") {
        return base::access::read;
    }
    if (*text == "write") {
        return base::access::write;
    }
    return invalid_field("access", "is neither 'read' nor 'write'");
}

struct transaction_part {
    base::transaction_step step_ = base::transaction_step::none;
    std::string handle_;
};

base::result<base::transaction_step> to_step(std::string_view name) {
    constexpr std::array<std::pair<std::string_view, base::transaction_step>, 4> steps{{
        {"begin", base::transaction_step::begin},
        {"statement", base::transaction_step::statement},
        {"commit", base::transaction_step::commit},
        {"rollback", base::transaction_step::rollback},
    }};
    const auto* found =
        std::find_if(steps.begin(), steps.end(), [name](const auto& step) { return step.first == name; });
    if (found == steps.end()) {
        return invalid_field("transaction.step", "is not one of begin, statement, commit, rollback");
    }
    return found->second;
}

base::result<transaction_part> read_transaction(const json::object& body) {
    const auto* value = body.if_contains("transaction");
    if (value == nullptr) {
        return transaction_part{};
    }
    if (!value->is_object()) {
        return invalid_field("transaction", "is not an object");
    }
    const auto& part = value->get_object();
    const auto name = read_text(part, "step", presence::required, max_name_bytes);
    const auto handle = read_text(part, "handle", presence::optional, max_key_bytes);
    if (!name || !handle) {
        return name ? handle.last_reason() : name.last_reason();
    }
    const auto step = to_step(*name);
    if (!step) {
        return step.last_reason();
    }
    const bool needs_handle = *step != base::transaction_step::begin;
    if (needs_handle == handle->empty()) {
        return invalid_field("transaction.handle",
                             needs_handle ? "is missing" : "is not allowed with step 'begin'");
    }
    return transaction_part{*step, *handle};
}

std::string_view trim_start(std::string_view text) {
    const auto first = text.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view{} : text.substr(first);
}

std::optional<std::string_view> find_cookie(const http::request& message) {
    auto cookies = http::find_header(message->headers_, "Cookie").value_or("");
    while (!cookies.empty()) {
        const auto end = std::min(cookies.find(';'), cookies.size());
        const auto cookie = trim_start(cookies.substr(0, end));
        if (cookie.starts_with(session_cookie)) {
            return cookie.substr(session_cookie.size());
        }
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
    }
    return std::nullopt;
}

struct session_part {
    base::session_state state_ = base::session_state::none;
    base::log_position token_;
};

session_part merge(const session_part& known, base::log_position position) {
    return {base::session_state::with_token, std::max(known.token_, position)};
}

// Merges the tokens of the body, the header and the cookie. A cookie that was issued for another service is
// ignored, because a browser sends the same cookie to every service on one host name.
base::result<session_part> read_session(const json::object& body, const http::request& message,
                                        std::string_view service, const token_signer& signer) {
    session_part session;
    const auto in_body = read_text(body, "session", presence::optional, max_key_bytes * 2);
    if (!in_body) {
        return in_body.last_reason();
    }
    const auto in_header = http::find_header(message->headers_, session_header);
    const auto in_cookie = find_cookie(message);
    if (body.contains("session") || in_header || in_cookie) {
        session.state_ = base::session_state::without_token;
    }
    for (const auto& text : {std::string_view{*in_body}, in_header.value_or("")}) {
        if (text.empty()) {
            continue;
        }
        const auto token = signer.decode(text);
        if (!token) {
            return token.last_reason();
        }
        if (token->group() != service) {
            return base::error{base::error_kind::token_foreign,
                               "the session token was issued for service '" + token->group() + "'"};
        }
        session = merge(session, token->position());
    }
    const auto cookie_token = signer.decode(in_cookie.value_or(""));
    if (cookie_token && cookie_token->group() == service) {
        session = merge(session, cookie_token->position());
    }
    return session;
}

base::result<base::request> check_combination(base::request_fields fields) {
    if (fields.idempotency_key_ && fields.access_ == base::access::read) {
        return invalid_field("idempotency_key", "is only allowed with write access");
    }
    const bool may_lack_statements = fields.step_ == base::transaction_step::begin ||
                                     fields.step_ == base::transaction_step::commit ||
                                     fields.step_ == base::transaction_step::rollback;
    if (fields.statements_.empty() && !may_lack_statements) {
        return invalid_field("statements", "is missing or empty");
    }
    const bool is_key_premature =
        fields.idempotency_key_ &&
        (fields.step_ == base::transaction_step::begin || fields.step_ == base::transaction_step::statement);
    if (is_key_premature) {
        return invalid_field("idempotency_key", "is only allowed on the commit of a transaction");
    }
    return base::request{std::move(fields)};
}

} // namespace

base::result<base::request> decode_request(const http::request& message, const token_signer& signer) {
    const auto body = parse_object(message->body_, request_keys);
    if (!body) {
        return body.last_reason();
    }
    const auto service = read_text(*body, "service", presence::required, max_name_bytes);
    const auto tenant = read_text(*body, "tenant", presence::required, max_name_bytes);
    const auto rank = read_text(*body, "rank", presence::required, max_name_bytes);
    const auto read_class = read_text(*body, "read_class", presence::optional, max_name_bytes);
    const auto key = read_text(*body, "idempotency_key", presence::optional, max_key_bytes);
    for (const auto* text : {&service, &tenant, &rank, &read_class, &key}) {
        if (!*text) {
            return text->last_reason();
        }
    }
    const auto requested_access = read_access(*body);
    if (!requested_access) {
        return requested_access.last_reason();
    }
    const auto statements = read_statements(*body);
    if (!statements) {
        return statements.last_reason();
    }
    const auto deadline = read_deadline(*body);
    if (!deadline) {
        return deadline.last_reason();
    }
    const auto transaction = read_transaction(*body);
    if (!transaction) {
        return transaction.last_reason();
    }
    const auto session = read_session(*body, message, *service, signer);
    if (!session) {
        return session.last_reason();
    }
    return check_combination({
        .service_ = *service,
        .tenant_ = *tenant,
        .rank_ = *rank,
        .access_ = *requested_access,
        .statements_ = *statements,
        .read_class_ = *read_class,
        .idempotency_key_ = key->empty() ? std::nullopt : std::optional{*key},
        .session_ = session->state_,
        .token_ = session->token_,
        .step_ = transaction->step_,
        .transaction_ = transaction->handle_,
        .time_left_ = *deadline,
    });
}

base::result<base::request> decode_outcome_request(const http::request& message) {
    const auto body = parse_object(message->body_, outcome_keys);
    if (!body) {
        return body.last_reason();
    }
    const auto service = read_text(*body, "service", presence::required, max_name_bytes);
    const auto tenant = read_text(*body, "tenant", presence::required, max_name_bytes);
    const auto key = read_text(*body, "idempotency_key", presence::required, max_key_bytes);
    for (const auto* text : {&service, &tenant, &key}) {
        if (!*text) {
            return text->last_reason();
        }
    }
    const auto deadline = read_deadline(*body);
    if (!deadline) {
        return deadline.last_reason();
    }
    return base::request{base::request_fields{
        .service_ = *service,
        .tenant_ = *tenant,
        .access_ = base::access::settle,
        .idempotency_key_ = *key,
        .time_left_ = *deadline,
    }};
}

} // namespace callers
