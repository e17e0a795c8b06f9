#include <proxy/peer_suspicion_check.hpp>

namespace proxy {

namespace {

// A little less than the monitor's timeout, so that the response arrives before the monitor stops waiting.
constexpr base::clock::duration peer_check_timeout =
    backends::suspicion_check_timeout - base::clock::duration{50};

} // namespace

boost::asio::awaitable<backends::suspicion_result>
peer_suspicion_check::operator()(operators::database_declaration database) {
    const auto peer = choose_daemon();
    if (!peer) {
        co_return backends::suspicion_result::no_daemon;
    }
    const daemons::suspicion_check request{
        daemons::suspicion_check_fields{.group_ = group_, .database_ = database.address_}};
    const auto found = co_await peers_->check_suspicion((*peer)->address_, request, peer_check_timeout);
    if (!found) {
        co_return backends::suspicion_result::no_daemon;
    }
    co_return *found == daemons::reachability::reachable ? backends::suspicion_result::reached
                                                         : backends::suspicion_result::not_reached;
}

std::optional<daemons::member> peer_suspicion_check::choose_daemon() const {
    const auto members = state_->members().get();
    const auto& settings = state_->settings();
    const auto choice = daemons::choose_owner(*members, settings->region_, group_);
    for (const auto& candidate :
         {choice ? std::optional{choice->owner_} : std::nullopt, choice ? choice->standby_ : std::nullopt}) {
        if (candidate && (*candidate)->failure_domain_ != settings->failure_domain_) {
            return candidate;
        }
    }
    for (const auto& candidate : members->serving()) {
        if (candidate->failure_domain_ != settings->failure_domain_) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace proxy
