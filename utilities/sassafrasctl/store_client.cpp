#include <utilities/sassafrasctl/store_client.hpp>

#include <http/client_connection.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace sassafrasctl {

namespace {

namespace json = boost::json;

constexpr unsigned ok_status = 200;

base::error unavailable(std::string message) {
    return base::error{base::error_kind::platform_unavailable, std::move(message)};
}

std::optional<std::uint64_t> revision_of(const json::object& body) {
    const auto* value = body.if_contains("revision");
    const auto* number = value == nullptr ? nullptr : value->if_int64();
    if (number == nullptr || *number < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

std::optional<bool> flag_of(const json::object& body, std::string_view name) {
    const auto* value = body.if_contains(name);
    const auto* flag = value == nullptr ? nullptr : value->if_bool();
    return flag == nullptr ? std::nullopt : std::optional{*flag};
}

// Returns an empty object for a text that is not a JSON object.
json::object parse_object(const std::string& text) {
    boost::system::error_code failure;
    auto parsed = json::parse(text, failure);
    return !failure && parsed.is_object() ? std::move(parsed.get_object()) : json::object{};
}

} // namespace

boost::asio::awaitable<base::result<std::string>> store_client::call(http::request message) {
    auto connection = co_await http::client_connection::connect(platform_, timeout_);
    if (!connection) {
        co_return connection.last_reason();
    }
    const auto answer = co_await connection->exchange(std::move(message), timeout_);
    if (!answer) {
        co_return answer.last_reason();
    }
    if ((*answer)->status_ != ok_status) {
        co_return unavailable("the store answered with status " + std::to_string((*answer)->status_));
    }
    co_return (*answer)->body_;
}

boost::asio::awaitable<base::result<read_value>> store_client::get(std::string key) {
    json::object request;
    request["key"] = key;
    auto message = http::json_post("/v1/get", json::serialize(request));
    const auto answer = co_await call(std::move(message));
    if (!answer) {
        co_return answer.last_reason();
    }
    const auto body = parse_object(*answer);
    const auto found = flag_of(body, "found");
    if (found && !*found) {
        co_return read_value{};
    }
    const auto* value = body.if_contains("value");
    const auto revision = revision_of(body);
    if (!found || !revision || value == nullptr || !value->is_string()) {
        co_return unavailable("the store's answer to a read is malformed");
    }
    read_value read;
    read.found_ = true;
    const auto& text = value->get_string();
    read.value_.assign(text.data(), text.size());
    read.revision_ = *revision;
    co_return read;
}

boost::asio::awaitable<base::result<put_value>> store_client::put_if(std::string key, std::string value,
                                                                     std::uint64_t expected_revision) {
    json::object request;
    request["key"] = key;
    request["value"] = value;
    request["expected_revision"] = expected_revision;
    auto message = http::json_post("/v1/put_if", json::serialize(request));
    const auto answer = co_await call(std::move(message));
    if (!answer) {
        co_return answer.last_reason();
    }
    const auto body = parse_object(*answer);
    const auto applied = flag_of(body, "applied");
    const auto revision = revision_of(body);
    if (!applied || !revision) {
        co_return unavailable("the store's answer to a compare-and-swap is malformed");
    }
    put_value put;
    put.applied_ = *applied;
    put.revision_ = *revision;
    co_return put;
}

} // namespace sassafrasctl
