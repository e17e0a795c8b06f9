#include <platform/store_codec.hpp>

#include <boost/json.hpp>

#include <exception>

namespace platform::store_codec {

namespace json = boost::json;

namespace {

// Reads an answer with `read`, which throws when a field is missing or of the wrong type.
template <typename Reader>
auto decode_response(std::string_view body, Reader read) -> base::result<decltype(read(json::object{}))> {
    try {
        const auto value = json::parse(body);
        return read(value.as_object());
    } catch (const std::exception& failure) {
        return base::error{base::error_kind::platform_unavailable,
                           "the store's answer is not of the published form: " + std::string{failure.what()}};
    }
}

std::uint64_t number_at(const json::object& object, std::string_view name) {
    return object.at(name).to_number<std::uint64_t>();
}

listed_host to_host(const json::object& object) {
    return {json::value_to<std::string>(object.at("address")),
            object.at("state").as_string() == "live" ? host_state::live : host_state::leaving};
}

} // namespace

std::string encode_get(std::string_view key) {
    json::object object;
    object["key"] = key;
    return json::serialize(object);
}

std::string encode_put_if(std::string_view key, std::string_view value, std::uint64_t expected_revision,
                          std::optional<std::uint64_t> lease) {
    json::object object;
    object["key"] = key;
    object["value"] = value;
    object["expected_revision"] = expected_revision;
    if (lease) {
        object["lease"] = *lease;
    }
    return json::serialize(object);
}

std::string encode_watch(std::string_view key, std::uint64_t after_revision, base::clock::duration wait) {
    json::object object;
    object["key"] = key;
    object["after_revision"] = after_revision;
    object["milliseconds"] = wait.count();
    return json::serialize(object);
}

std::string encode_lease(base::clock::duration length) {
    json::object object;
    object["milliseconds"] = length.count();
    return json::serialize(object);
}

std::string encode_renew(std::uint64_t lease) {
    json::object object;
    object["lease"] = lease;
    return json::serialize(object);
}

base::result<stored_value> decode_value(std::string_view body) {
    return decode_response(body, [](const json::object& object) {
        return stored_value{object.at("found").as_bool(), json::value_to<std::string>(object.at("value")),
                            number_at(object, "revision")};
    });
}

base::result<put_result> decode_put_result(std::string_view body) {
    return decode_response(body, [](const json::object& object) {
        return put_result{object.at("applied").as_bool(), number_at(object, "revision")};
    });
}

base::result<lease_state> decode_lease(std::string_view body) {
    return decode_response(body, [](const json::object& object) {
        return lease_state{number_at(object, "lease"), object.at("held").as_bool()};
    });
}

base::result<std::vector<listed_host>> decode_hosts(std::string_view body) {
    return decode_response(body, [](const json::object& object) {
        std::vector<listed_host> hosts;
        for (const auto& host : object.at("hosts").as_array()) {
            hosts.push_back(to_host(host.as_object()));
        }
        return hosts;
    });
}

} // namespace platform::store_codec
