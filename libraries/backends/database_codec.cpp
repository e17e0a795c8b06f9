#include <backends/database_codec.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace backends {

namespace json = boost::json;

namespace {

constexpr std::array refusal_names{
    std::pair{refusal::term_stale, std::string_view{"term_stale"}},
    std::pair{refusal::not_primary, std::string_view{"not_primary"}},
    std::pair{refusal::behind, std::string_view{"behind"}},
    std::pair{refusal::cancelled, std::string_view{"cancelled"}},
    std::pair{refusal::key_conflict, std::string_view{"key_conflict"}},
    std::pair{refusal::slots_busy, std::string_view{"slots_busy"}},
    std::pair{refusal::leaving, std::string_view{"leaving"}},
    std::pair{refusal::bad_statement, std::string_view{"bad_statement"}},
    std::pair{refusal::no_transaction, std::string_view{"no_transaction"}},
    std::pair{refusal::write_conflict, std::string_view{"write_conflict"}},
};

json::object to_json(base::log_position position) {
    return {{"term", position.term()}, {"position", position.index()}};
}

// Boost.JSON reads a non-negative integer as int64 where it fits, so both forms are one number here.
std::uint64_t read_number(const json::value& value) {
    return value.to_number<std::uint64_t>();
}

std::uint64_t read_number(const json::object& object, std::string_view name) {
    return read_number(object.at(name));
}

std::string read_text(const json::object& object, std::string_view name) {
    return std::string{object.at(name).as_string()};
}

base::log_position read_position(const json::object& object, std::string_view name) {
    const auto& position = object.at(name).as_object();
    return {read_number(position, "term"), read_number(position, "position")};
}

std::vector<std::string> read_texts(const json::object& object, std::string_view name) {
    std::vector<std::string> texts;
    for (const auto& text : object.at(name).as_array()) {
        texts.emplace_back(text.as_string());
    }
    return texts;
}

refusal read_refusal(const json::object& object) {
    const auto name = read_text(object, "reason");
    const auto* found = std::find_if(refusal_names.begin(), refusal_names.end(),
                                     [&name](const auto& known) { return known.second == name; });
    if (found == refusal_names.end()) {
        throw std::invalid_argument{"unknown reason " + name};
    }
    return found->first;
}

bool is_refused(const json::object& object) {
    const auto* status = object.if_contains("status");
    return status != nullptr && status->as_string() == "refused";
}

// Parses the body and hands it to `read`. A fault in a message must end as a typed error, whatever it is.
template <typename Value, typename Read>
base::result<Value> decode(std::uint64_t id, std::string_view body, Read read) {
    try {
        const auto parsed = json::parse(body);
        const auto& object = parsed.as_object();
        if (read_number(object, "id") != id) {
            throw std::invalid_argument{"the answer carries the id of another request"};
        }
        return read(object);
    } catch (const std::exception& fault) {
        return base::error{base::error_kind::backend_unavailable,
                           std::string{"malformed answer of a database: "} + fault.what()};
    }
}

} // namespace

std::string encode_status_request(std::uint64_t id, const std::optional<status_wait>& wait) {
    json::object message{{"id", id}};
    if (wait) {
        message["wait"] =
            json::object{{"beyond", to_json(wait->beyond_)}, {"milliseconds", wait->time_.count()}};
    }
    return json::serialize(message);
}

std::string encode_term_request(std::uint64_t id, const takeover_request& request) {
    return json::serialize(
        json::object{{"id", id}, {"term", request.term_}, {"proposer", request.proposer_}});
}

std::string encode_execute_request(std::uint64_t id, const execute_request& request) {
    json::object message{
        {"id", id},
        {"term", request->term_},
        {"access", request->access_ == base::access::read ? "read" : "write"},
        {"statements", json::array(request->statements_.begin(), request->statements_.end())}};
    if (request->key_) {
        message["key"] = *request->key_;
        message["fingerprint"] = request->fingerprint_;
    }
    if (request->minimum_) {
        message["minimum"] = to_json(*request->minimum_);
    }
    return json::serialize(message);
}

std::string encode_settle_request(std::uint64_t id, const settle_request& request) {
    return json::serialize(json::object{{"id", id},
                                        {"term", request->term_},
                                        {"key", request->key_},
                                        {"fingerprint", request->fingerprint_}});
}

base::result<database_status> decode_status(std::uint64_t id, std::string_view body) {
    return decode<database_status>(id, body, [](const json::object& object) {
        const auto role = read_text(object, "role");
        if (role != "primary" && role != "replica") {
            throw std::invalid_argument{"unknown role " + role};
        }
        return database_status{database_status_fields{
            .database_ = read_text(object, "database"),
            .term_ = read_number(object, "term"),
            .role_ = role == "primary" ? base::database_role::primary : base::database_role::replica,
            .last_ = read_position(object, "last"),
            .start_ = read_number(object, "start"),
            .leaving_ = object.at("leaving").as_bool()}};
    });
}

base::result<term_response> decode_term_response(std::uint64_t id, takeover_step step,
                                                 std::string_view body) {
    return decode<term_response>(id, body, [step](const json::object& object) {
        const auto* name = step == takeover_step::raise ? "granted" : "promoted";
        return term_response{.accepted_ = object.at(name).as_bool(),
                             .term_ = read_number(object, "term"),
                             .last_ = read_position(object, "last")};
    });
}

base::result<execute_response> decode_execute_response(std::uint64_t id, std::string_view body) {
    return decode<execute_response>(id, body, [](const json::object& object) -> execute_response {
        if (is_refused(object)) {
            return execute_response_fields{.refusal_ = read_refusal(object),
                                           .term_ = read_number(object, "term")};
        }
        if (read_text(object, "status") != "done") {
            throw std::invalid_argument{"unknown status"};
        }
        const auto position = read_position(object, "position");
        const auto* replayed = object.if_contains("replayed");
        return execute_response_fields{.refusal_ = {},
                                       .term_ = position.term(),
                                       .position_ = position,
                                       .results_ = read_texts(object, "results"),
                                       .replayed_ = replayed != nullptr && replayed->as_bool()};
    });
}

base::result<settle_response> decode_settle_response(std::uint64_t id, std::string_view body) {
    return decode<settle_response>(id, body, [](const json::object& object) -> settle_response {
        if (is_refused(object)) {
            return settle_response_fields{.refusal_ = read_refusal(object),
                                          .term_ = read_number(object, "term")};
        }
        const auto outcome = read_text(object, "outcome");
        if (outcome != "done" && outcome != "cancelled") {
            throw std::invalid_argument{"unknown outcome " + outcome};
        }
        const bool done = outcome == "done";
        const auto position = read_position(object, "position");
        return settle_response_fields{.refusal_ = {},
                                      .term_ = position.term(),
                                      .outcome_ = done ? settled_outcome::done : settled_outcome::cancelled,
                                      .results_ =
                                          done ? read_texts(object, "results") : std::vector<std::string>{},
                                      .position_ = position};
    });
}

std::string_view name_of(refusal reason) noexcept {
    const auto* found = std::find_if(refusal_names.begin(), refusal_names.end(),
                                     [reason](const auto& known) { return known.first == reason; });
    return found == refusal_names.end() ? std::string_view{"unknown"} : found->second;
}

} // namespace backends
