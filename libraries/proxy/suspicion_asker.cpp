#include <proxy/suspicion_asker.hpp>

namespace proxy {

namespace {

// A little less than the monitor allows, so that the answer is in before the monitor's own limit.
constexpr base::clock::duration response_timeout =
    backends::suspicion_check_timeout - base::clock::duration{50};

} // namespace

boost::asio::awaitable<backends::suspicion_result>
suspicion_asker::operator()(operators::database_declaration database) {
    const auto asked = choose_daemon();
    if (!asked) {
        co_return backends::suspicion_result::no_daemon;
    }
    const daemons::suspicion_check check{
        daemons::suspicion_check_fields{.group_ = group_, .database_ = database.address_}};
    const auto found = co_await peers_->check_suspicion((*asked)->address_, check, response_timeout);
    if (!found) {
        co_return backends::suspicion_result::no_daemon;
    }
    co_return *found == daemons::reachability::reachable ? backends::suspicion_result::reached
                                                         : backends::suspicion_result::not_reached;
}

std::optional<daemons::member> suspicion_asker::choose_daemon() const {
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
