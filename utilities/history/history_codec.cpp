#include <utilities/history/history_codec.hpp>

#include <boost/json.hpp>

#include <array>
#include <exception>
#include <stdexcept>
#include <utility>

namespace history {

namespace {

namespace json = boost::json;

template <typename Value, std::size_t Count>
using name_table = std::array<std::pair<Value, std::string_view>, Count>;

constexpr name_table<base::access, 2> access_names{
    {{base::access::read, "read"}, {base::access::write, "write"}}};
constexpr name_table<base::outcome, 3> outcome_names{{{base::outcome::done, "done"},
                                                      {base::outcome::not_run, "not_run"},
                                                      {base::outcome::unknown, "unknown"}}};
constexpr name_table<base::database_role, 3> role_names{{{base::database_role::none, ""},
                                                         {base::database_role::primary, "primary"},
                                                         {base::database_role::replica, "replica"}}};
constexpr name_table<entry_kind, 3> kind_names{{{entry_kind::term_start, "term_start"},
                                                {entry_kind::write, "write"},
                                                {entry_kind::cancellation, "cancellation"}}};

template <typename Value, std::size_t Count>
std::string_view name_in(const name_table<Value, Count>& table, Value value) {
    for (const auto& [known, name] : table) {
        if (known == value) {
            return name;
        }
    }
    throw std::invalid_argument{"a value has no name in the history"};
}

template <typename Value, std::size_t Count>
Value value_in(const name_table<Value, Count>& table, const json::value& text) {
    for (const auto& [value, name] : table) {
        if (std::string_view{text.as_string()} == name) {
            return value;
        }
    }
    throw std::invalid_argument{"the name '" + json::value_to<std::string>(text) + "' is unknown"};
}

json::array from_texts(const std::vector<std::string>& texts) {
    return json::array(texts.begin(), texts.end());
}

std::string text_at(const json::object& object, std::string_view name) {
    return json::value_to<std::string>(object.at(name));
}

std::vector<std::string> texts_at(const json::object& object, std::string_view name) {
    return json::value_to<std::vector<std::string>>(object.at(name));
}

std::int64_t time_at(const json::object& object, std::string_view name) {
    return object.at(name).to_number<std::int64_t>();
}

// Reads an object with `read`, which throws on a field that is absent or of another type.
template <typename Reader>
auto decode_object(std::string_view text, Reader read) -> base::result<decltype(read(json::object{}))> {
    try {
        const auto value = json::parse(text);
        return read(value.as_object());
    } catch (const std::exception& failure) {
        return base::error{base::error_kind::invalid_request, failure.what()};
    }
}

request_record to_record(const json::object& object) {
    const auto error = text_at(object, "error");
    return request_record_fields{.session_ = text_at(object, "session"),
                                 .sequence_ = object.at("sequence").to_number<std::uint64_t>(),
                                 .scheduled_us_ = time_at(object, "scheduled_us"),
                                 .sent_us_ = time_at(object, "sent_us"),
                                 .answered_us_ = time_at(object, "answered_us"),
                                 .work_ = text_at(object, "work"),
                                 .service_ = text_at(object, "service"),
                                 .tenant_ = text_at(object, "tenant"),
                                 .access_ = value_in(access_names, object.at("access")),
                                 .statements_ = texts_at(object, "statements"),
                                 .key_ = text_at(object, "key"),
                                 .outcome_ = value_in(outcome_names, object.at("outcome")),
                                 .error_ = error.empty() ? std::nullopt
                                                         : std::optional{base::error_kind_from_name(error)},
                                 .results_ = texts_at(object, "results"),
                                 .served_by_ = value_in(role_names, object.at("served_by")),
                                 .token_ = text_at(object, "token")};
}

log_entry to_entry(const json::object& object) {
    return log_entry_fields{.position_ = {object.at("term").to_number<std::uint64_t>(),
                                          object.at("position").to_number<std::uint64_t>()},
                            .kind_ = value_in(kind_names, object.at("kind")),
                            .statements_ = texts_at(object, "statements"),
                            .key_ = text_at(object, "key"),
                            .results_ = texts_at(object, "results")};
}

} // namespace

std::string encode_record(const request_record& record) {
    return json::serialize(
        json::object{{"session", record->session_},
                     {"sequence", record->sequence_},
                     {"scheduled_us", record->scheduled_us_},
                     {"sent_us", record->sent_us_},
                     {"answered_us", record->answered_us_},
                     {"work", record->work_},
                     {"service", record->service_},
                     {"tenant", record->tenant_},
                     {"access", name_in(access_names, record->access_)},
                     {"statements", from_texts(record->statements_)},
                     {"key", record->key_},
                     {"outcome", name_in(outcome_names, record->outcome_)},
                     {"error", record->error_ ? base::name_of(*record->error_) : std::string_view{}},
                     {"results", from_texts(record->results_)},
                     {"served_by", name_in(role_names, record->served_by_)},
                     {"token", record->token_}});
}

base::result<request_record> decode_record(std::string_view line) {
    return decode_object(line, to_record);
}

base::result<database_log> decode_log(std::string_view body) {
    return decode_object(body, [](const json::object& object) -> database_log {
        database_log_fields log{.database_ = text_at(object, "database")};
        for (const auto& entry : object.at("entries").as_array()) {
            log.entries_.push_back(to_entry(entry.as_object()));
        }
        return log;
    });
}

} // namespace history
