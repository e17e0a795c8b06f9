#include <stand_ins/database/database_codec.hpp>

#include <boost/json.hpp>

#include <exception>

namespace stand_ins::database {

namespace json = boost::json;

namespace {

base::error invalid_message(std::string_view cause) {
    return base::error{base::error_kind::invalid_request, "the message is not valid: " + std::string{cause}};
}

// Reads a message with `read`, which throws on a field of the wrong type.
template <typename Reader>
auto decode_object(std::string_view body, Reader read) -> base::result<decltype(read(json::object{}))> {
    try {
        const auto value = json::parse(body);
        return read(value.as_object());
    } catch (const std::exception& failure) {
        return invalid_message(failure.what());
    }
}

std::string text_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || value->is_null() ? std::string{} : json::value_to<std::string>(*value);
}

std::uint64_t number_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || value->is_null() ? 0 : value->to_number<std::uint64_t>();
}

bool flag_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->as_bool();
}

std::vector<std::string> texts_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || value->is_null() ? std::vector<std::string>{}
                                                : json::value_to<std::vector<std::string>>(*value);
}

base::log_position to_position(const json::object& object) {
    return {number_at(object, "term"), number_at(object, "position")};
}

base::log_position position_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || value->is_null() ? base::log_position{} : to_position(value->as_object());
}

json::object from_position(base::log_position position) {
    return {{"term", position.term()}, {"position", position.index()}};
}

json::array from_texts(const std::vector<std::string>& texts) {
    return json::array(texts.begin(), texts.end());
}

std::string_view name_of(entry_kind kind) {
    switch (kind) {
    case entry_kind::term_start:
        return "term_start";
    case entry_kind::write:
        return "write";
    case entry_kind::cancellation:
        return "cancellation";
    }
    return "write";
}

entry_kind entry_kind_from(std::string_view name) {
    if (name == "term_start") {
        return entry_kind::term_start;
    }
    return name == "cancellation" ? entry_kind::cancellation : entry_kind::write;
}

json::object from_entry(const log_entry& entry) {
    auto object = from_position(entry->position_);
    object["kind"] = name_of(entry->kind_);
    object["statements"] = from_texts(entry->statements_);
    object["key"] = entry->key_;
    object["fingerprint"] = entry->fingerprint_;
    object["results"] = from_texts(entry->results_);
    return object;
}

log_entry to_entry(const json::object& object) {
    return log_entry_fields{.position_ = to_position(object),
                            .kind_ = entry_kind_from(text_at(object, "kind")),
                            .statements_ = texts_at(object, "statements"),
                            .key_ = text_at(object, "key"),
                            .fingerprint_ = text_at(object, "fingerprint"),
                            .results_ = texts_at(object, "results")};
}

json::array from_entries(const std::vector<log_entry>& entries) {
    json::array array;
    array.reserve(entries.size());
    for (const auto& entry : entries) {
        array.emplace_back(from_entry(entry));
    }
    return array;
}

json::object response_to(const database_request& request) {
    return {{"id", json::parse(request->id_)}};
}

std::string encode_takeover_response(const database_request& request, const database_state& state,
                                     std::string_view name, bool value) {
    auto object = response_to(request);
    object[name] = value;
    object["term"] = state.terms().term();
    object["last"] = from_position(state.last());
    return json::serialize(object);
}

database_request to_request(const json::object& object) {
    database_request_fields fields;
    if (const auto* id = object.if_contains("id")) {
        fields.id_ = json::serialize(*id);
    }
    fields.term_ = number_at(object, "term");
    fields.proposer_ = text_at(object, "proposer");
    fields.access_ = text_at(object, "access") == "write" ? access_kind::write : access_kind::read;
    fields.statements_ = texts_at(object, "statements");
    fields.key_ = text_at(object, "key");
    fields.fingerprint_ = text_at(object, "fingerprint");
    fields.minimum_ = position_at(object, "minimum");
    const auto* wait = object.if_contains("wait");
    if (wait != nullptr && !wait->is_null()) {
        fields.beyond_ = position_at(wait->as_object(), "beyond");
        fields.wait_ =
            base::clock::duration{static_cast<std::int64_t>(number_at(wait->as_object(), "milliseconds"))};
    }
    return fields;
}

} // namespace

base::result<database_request> decode_request(std::string_view body) {
    return decode_object(body, to_request);
}

std::string encode_status(const database_request& request, const database_state& state,
                          const status_report& report) {
    auto object = response_to(request);
    object["database"] = report.database_;
    object["term"] = state.terms().term();
    object["role"] = state.terms().is_primary() ? "primary" : "replica";
    object["last"] = from_position(state.last());
    object["start"] = state.terms().start();
    object["leaving"] = report.leaving_;
    return json::serialize(object);
}

std::string encode_raise(const database_request& request, const database_state& state, bool granted) {
    return encode_takeover_response(request, state, "granted", granted);
}

std::string encode_promote(const database_request& request, const database_state& state, bool promoted) {
    return encode_takeover_response(request, state, "promoted", promoted);
}

std::string encode_response(const database_request& request, const database_response& answer) {
    auto object = response_to(request);
    object["term"] = answer.term_;
    if (answer.refusal_) {
        object["status"] = "refused";
        object["reason"] = stand_ins::database::name_of(*answer.refusal_);
        return json::serialize(object);
    }
    object["status"] = "done";
    object["position"] = from_position(answer.position_);
    object["results"] = from_texts(answer.results_);
    object["replayed"] = answer.replayed_;
    if (answer.outcome_) {
        object["outcome"] = *answer.outcome_ == outcome::kind::done ? "done" : "cancelled";
    }
    return json::serialize(object);
}

std::string encode_push(const replication_push& push) {
    return json::serialize(json::object{{"term", push.term_},
                                        {"previous", from_position(push.previous_)},
                                        {"entries", from_entries(push.entries_)}});
}

base::result<replication_push> decode_push(std::string_view body) {
    return decode_object(body, [](const json::object& object) {
        replication_push push{.term_ = number_at(object, "term"),
                              .previous_ = position_at(object, "previous")};
        for (const auto& entry : object.at("entries").as_array()) {
            push.entries_.push_back(to_entry(entry.as_object()));
        }
        return push;
    });
}

std::string encode_push_response(const replication_response& answer) {
    return json::serialize(json::object{{"accepted", answer.accepted_},
                                        {"matched", answer.matched_},
                                        {"term", answer.term_},
                                        {"last", from_position(answer.last_)},
                                        {"lag_ms", answer.lag_ms_}});
}

base::result<replication_response> decode_push_response(std::string_view body) {
    return decode_object(body, [](const json::object& object) {
        return replication_response{.accepted_ = flag_at(object, "accepted"),
                                    .matched_ = flag_at(object, "matched"),
                                    .term_ = number_at(object, "term"),
                                    .last_ = position_at(object, "last"),
                                    .lag_ms_ = number_at(object, "lag_ms")};
    });
}

std::string encode_log(std::string_view database, const database_state& state) {
    return json::serialize(json::object{
        {"database", database}, {"term", state.terms().term()}, {"entries", from_entries(state.entries())}});
}

std::string encode_change(const state_change& change) {
    if (const auto* record = std::get_if<term_record>(&change)) {
        return json::serialize(json::object{{"change", "term"},
                                            {"term", record->term()},
                                            {"proposer", record->proposer()},
                                            {"start", record->start()}});
    }
    if (const auto* entry = std::get_if<log_entry>(&change)) {
        return json::serialize(json::object{{"change", "entry"}, {"entry", from_entry(*entry)}});
    }
    return json::serialize(
        json::object{{"change", "truncation"}, {"last_kept", std::get<truncation>(change).last_kept_}});
}

base::result<state_change> decode_change(std::string_view line) {
    return decode_object(line, [](const json::object& object) -> state_change {
        const auto change = text_at(object, "change");
        if (change == "term") {
            return term_record{number_at(object, "term"), text_at(object, "proposer"),
                               number_at(object, "start")};
        }
        if (change == "entry") {
            return to_entry(object.at("entry").as_object());
        }
        return truncation{object.at("last_kept").to_number<std::uint64_t>()};
    });
}

} // namespace stand_ins::database
