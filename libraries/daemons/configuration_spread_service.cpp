#include <daemons/configuration_spread_service.hpp>

#include <daemons/events.hpp>

namespace daemons {

void report_accepted_configuration(std::uint64_t revision, std::string_view source) {
    base::log_event(events::configuration_accepted,
                    {{"revision", std::to_string(revision)}, {"source", std::string{source}}});
}

void report_unreadable_configuration(const base::endpoint& peer, const std::string& reason) {
    base::log_event(events::configuration_unreadable, {{"peer", peer.to_string()}, {"reason", reason}});
}

void report_failed_fetch(const base::endpoint& peer, const base::error& reason) {
    base::log_event(events::configuration_fetch_failed,
                    {{"peer", peer.to_string()}, {"reason", reason.message()}});
}

} // namespace daemons
