#include <http/server.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace http {

namespace {

constexpr unsigned bad_request_status = 400;
constexpr unsigned too_large_status = 413;

} // namespace

response error_response(const base::error& reason) {
    boost::json::object description;
    description["kind"] = base::name_of(reason.kind());
    description["message"] = reason.message();
    description["remedy"] = reason.remedy();
    boost::json::object body;
    body["outcome"] = "not_run";
    body["error"] = std::move(description);
    const auto status = reason.kind() == base::error_kind::too_large ? too_large_status : bad_request_status;
    return json_response(status, boost::json::serialize(body));
}

} // namespace http
