#include <stand_ins/database/control_request.hpp>

#include <boost/json.hpp>

#include <exception>

namespace stand_ins::database {

namespace {

base::result<cut_direction> to_direction(std::string_view name) {
    if (name == "in") {
        return cut_direction::in;
    }
    if (name == "out") {
        return cut_direction::out;
    }
    if (name == "both") {
        return cut_direction::both;
    }
    return base::error{base::error_kind::invalid_request, "direction is none of: in, out, both"};
}

base::result<control_request> to_control_request(const boost::json::object& object) {
    control_request request;
    if (const auto* milliseconds = object.if_contains("milliseconds")) {
        request.milliseconds_ = base::clock::duration{milliseconds->to_number<std::int64_t>()};
    }
    if (const auto* peer = object.if_contains("peer")) {
        request.peer_ = boost::json::value_to<std::string>(*peer);
    }
    if (const auto* direction = object.if_contains("direction")) {
        const auto read = to_direction(boost::json::value_to<std::string>(*direction));
        if (!read) {
            return read.last_reason();
        }
        request.direction_ = *read;
    }
    return request;
}

} // namespace

base::result<control_request> decode_control_request(std::string_view body) {
    if (body.empty()) {
        return control_request{};
    }
    try {
        const auto value = boost::json::parse(body);
        return to_control_request(value.as_object());
    } catch (const std::exception& failure) {
        return base::error{base::error_kind::invalid_request, failure.what()};
    }
}

} // namespace stand_ins::database
