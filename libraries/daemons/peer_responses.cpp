#include <daemons/peer_responses.hpp>

#include <daemons/events.hpp>
#include <daemons/frame_codec.hpp>
#include <daemons/message_codec.hpp>

namespace daemons {

base::result<base::request> read_request(const frame& request) {
    return decode_message<base::request>(request.body());
}

base::result<suspicion_check> read_suspicion_check(const frame& request) {
    return decode_message<suspicion_check>(request.body());
}

base::result<configuration_fetch> read_configuration_fetch(const frame& request) {
    return decode_message<configuration_fetch>(request.body());
}

frame response_frame(std::uint64_t id, const base::response& response) {
    auto body = encode_message(response);
    if (body.size() > max_body_bytes) {
        const auto shortened = response.with([](base::response_fields& fields) {
            fields.results_.clear();
            fields.error_ = base::error{base::error_kind::too_large,
                                        "the results exceed the maximum size of a frame between daemons"};
        });
        body = encode_message(shortened);
    }
    return frame{frame_type::response, id, std::move(body)};
}

frame response_frame(std::uint64_t id, reachability verdict) {
    return frame{frame_type::suspicion_verdict, id, encode_message(verdict)};
}

frame response_frame(std::uint64_t id, const configuration_offer& offer) {
    auto body = encode_message(offer);
    if (body.size() > max_body_bytes) {
        const refusal reason{
            refusal_fields{base::error_kind::too_large, "the configuration exceeds the maximum frame size"}};
        return frame{frame_type::failure, id, encode_message(reason)};
    }
    return frame{frame_type::configuration_offer, id, std::move(body)};
}

frame refusal_frame(const frame& request, const base::error& reason) {
    if (request.type() == frame_type::request) {
        return response_frame(request.id(), base::not_run(reason));
    }
    const refusal refused{refusal_fields{reason.kind(), reason.message()}};
    return frame{frame_type::failure, request.id(), encode_message(refused)};
}

frame throttle_frame(const throttle_notice& notice) {
    return frame{frame_type::throttle, 0, encode_message(notice)};
}

frame response_after_exception(const frame& request, const char* reason) {
    base::log_event(events::peer_handler_failed, {{"reason", reason}});
    const base::error failure{base::error_kind::internal, "the request handler failed"};
    return request.type() == frame_type::request ? response_frame(request.id(), base::unknown(failure))
                                                 : refusal_frame(request, failure);
}

void report_invalid_frame(const base::error& reason) {
    base::log_event(events::peer_frame_invalid, {{"reason", reason.message()}});
}

} // namespace daemons
