#include <daemons/membership_service.hpp>

#include <daemons/events.hpp>
#include <daemons/message_codec.hpp>

namespace daemons {

namespace {

const base::event_definition& event_for(const member_change& change) {
    switch (change.now_->state_) {
    case member_state::live:
        return change.from_ ? events::member_returned : events::member_joined;
    case member_state::suspect:
        return events::member_suspected;
    case member_state::leaving:
        return events::member_leaving;
    case member_state::dead:
        return events::member_dead;
    }
    return events::member_dead;
}

} // namespace

std::string encode_datagram(const datagram& message) {
    return encode_message(message);
}

base::result<datagram> decode_datagram(const std::string& bytes) {
    return decode_message<datagram>(bytes);
}

void report_member_change(const member_change& change, const std::string& self) {
    const auto& now = *change.now_;
    const auto& event =
        now.name_ == self && now.state_ == member_state::live ? events::suspicion_refuted : event_for(change);
    base::log_event(event, {{"member", now.name_},
                            {"address", now.address_.to_string()},
                            {"region", now.region_},
                            {"incarnation", std::to_string(now.incarnation_)},
                            {"before", std::string{change.from_ ? name_of(*change.from_) : "unknown"}}});
}

void report_invalid_datagram(const base::error& reason) {
    base::log_event(events::datagram_invalid, {{"reason", reason.message()}});
}

} // namespace daemons
