#include <stand_ins/platform/platform_codec.hpp>

#include <boost/json.hpp>

#include <exception>

namespace stand_ins::platform {

namespace json = boost::json;

namespace {

void read_text(const json::object& object, std::string_view name, std::string& target) {
    if (const auto* value = object.if_contains(name)) {
        target = json::value_to<std::string>(*value);
    }
}

std::optional<std::uint64_t> number_at(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || value->is_null() ? std::nullopt
                                                : std::optional{value->to_number<std::uint64_t>()};
}

std::optional<base::clock::duration> duration_at(const json::object& object, std::string_view name) {
    const auto number = number_at(object, name);
    return number ? std::optional{base::clock::duration{static_cast<std::int64_t>(*number)}} : std::nullopt;
}

std::optional<host_items> hosts_at(const json::object& object) {
    const auto* value = object.if_contains("hosts");
    if (value == nullptr) {
        return std::nullopt;
    }
    host_items hosts;
    for (const auto& element : value->as_array()) {
        host_item host;
        read_text(element.as_object(), "address", host.address_);
        read_text(element.as_object(), "state", host.state_);
        hosts.push_back(std::move(host));
    }
    return hosts;
}

platform_request to_request(const json::object& object) {
    platform_request request;
    read_text(object, "key", request.key_);
    read_text(object, "value", request.value_);
    request.expected_revision_ = number_at(object, "expected_revision").value_or(0);
    request.after_revision_ = number_at(object, "after_revision").value_or(0);
    request.lease_ = number_at(object, "lease");
    request.milliseconds_ = duration_at(object, "milliseconds");
    request.count_ = number_at(object, "count");
    read_text(object, "mode", request.mode_);
    request.hosts_ = hosts_at(object);
    request.lag_ = duration_at(object, "lag_ms");
    return request;
}

json::object from_item(const stored_item& item) {
    return {{"found", item.found_}, {"value", item.value_}, {"revision", item.revision_}};
}

} // namespace

base::result<platform_request> decode_request(std::string_view body) {
    if (body.empty()) {
        return platform_request{};
    }
    try {
        const auto value = json::parse(body);
        return to_request(value.as_object());
    } catch (const std::exception& failure) {
        return base::error{base::error_kind::invalid_request, failure.what()};
    }
}

std::string encode_item(const stored_item& item) {
    return json::serialize(from_item(item));
}

std::string encode_watch(const stored_item& item, bool changed) {
    auto object = from_item(item);
    object["changed"] = changed;
    return json::serialize(object);
}

std::string encode_swap(const swap_result& result) {
    return json::serialize(json::object{{"applied", result.applied_}, {"revision", result.revision_}});
}

std::string encode_lease(std::uint64_t lease, bool held) {
    return json::serialize(json::object{{"lease", lease}, {"held", held}});
}

std::string encode_hosts(const host_items& hosts) {
    json::array array;
    for (const auto& host : hosts) {
        array.emplace_back(json::object{{"address", host.address_}, {"state", host.state_}});
    }
    json::object object;
    object["hosts"] = std::move(array);
    return json::serialize(object);
}

std::string encode_counts(const std::map<std::string, std::uint64_t>& counts) {
    json::object object;
    for (const auto& [name, count] : counts) {
        object[name] = count;
    }
    return json::serialize(object);
}

} // namespace stand_ins::platform
