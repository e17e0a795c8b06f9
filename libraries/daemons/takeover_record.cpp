#include <daemons/takeover_record.hpp>

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace daemons {

namespace json = boost::json;

namespace {

constexpr std::array phase_names{"open", "promoting", "settled"};

std::optional<json::object> parse_object(std::string_view value) {
    boost::system::error_code failure;
    auto parsed = json::parse(json::string_view{value.data(), value.size()}, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

std::optional<std::string> text_of(const json::object& object, const char* name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::optional{std::string{value->as_string()}}
                                                  : std::nullopt;
}

std::optional<std::uint64_t> number_of(const json::object& object, const char* name) {
    const auto* value = object.if_contains(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? std::nullopt : std::optional{number};
}

} // namespace

std::string encode_record(const takeover_record& record) {
    json::object object{{"phase", phase_names.at(static_cast<std::size_t>(record->phase_))},
                        {"replaced", record->replaced_},
                        {"chosen", record->chosen_},
                        {"term", record->primary_term_}};
    if (record->revision_.era() != base::store_era::unstated) {
        object["era"] = base::number_of(record->revision_.era());
    }
    return json::serialize(object);
}

std::optional<takeover_record> decode_record(std::string_view service, std::string_view value,
                                             base::store_revision read) {
    const auto object = parse_object(value);
    const auto phase = object ? text_of(*object, "phase") : std::nullopt;
    auto replaced = object ? text_of(*object, "replaced") : std::nullopt;
    auto chosen = object ? text_of(*object, "chosen") : std::nullopt;
    if (!phase || !replaced || !chosen) {
        return std::nullopt;
    }
    const auto era = static_cast<base::store_era>(number_of(*object, "era").value_or(0));
    if (era > read.era()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < phase_names.size(); ++index) {
        if (*phase == phase_names.at(index)) {
            return takeover_record_fields{std::string{service},
                                          static_cast<takeover_phase>(index),
                                          std::move(*replaced),
                                          std::move(*chosen),
                                          base::store_revision{era, read.number()},
                                          number_of(*object, "term").value_or(unknown_term)};
        }
    }
    return std::nullopt;
}

takeover_record damaged_record(std::string_view service, base::store_revision read) {
    return takeover_record_fields{std::string{service}, takeover_phase::open, {}, {}, read, unknown_term};
}

registration damaged_registration(std::string_view address, base::store_revision revision) {
    return registration_fields{std::string{address}, 0, false, revision};
}

std::string encode_registration(const registration& entry) {
    return json::serialize(json::object{{"run", entry->run_}, {"marked", entry->is_marked_}});
}

std::optional<registration> decode_registration(std::string_view address, std::string_view value,
                                                base::store_revision revision) {
    const auto object = parse_object(value);
    const auto run = object ? number_of(*object, "run") : std::nullopt;
    const auto* marked = object ? object->if_contains("marked") : nullptr;
    if (!run || marked == nullptr || !marked->is_bool()) {
        return std::nullopt;
    }
    return registration_fields{std::string{address}, *run, marked->as_bool(), revision};
}

} // namespace daemons
