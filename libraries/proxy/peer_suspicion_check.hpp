#pragma once

#include <backends/failure_detector.hpp>
#include <base/clock.hpp>
#include <daemons/owner_choice.hpp>
#include <daemons/peer_client.hpp>
#include <operators/service_declaration.hpp>
#include <proxy/daemon_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// Asks a daemon in another failure domain whether it can reach a suspected database. Satisfies
/// `backends::suspicion_check`. Thread safety: used by one thread only. Lifetime: the references outlive it.
class peer_suspicion_check {
public:
    peer_suspicion_check(daemon_state& state, daemons::peer_client& peers, std::string group)
        : state_{&state}, peers_{&peers}, group_{std::move(group)} {}

    /// Returns the result of the other daemon; `no_daemon` if no daemon could be asked.
    [[nodiscard]] boost::asio::awaitable<backends::suspicion_result>
    operator()(operators::database_declaration database);

private:
    [[nodiscard]] std::optional<daemons::member> choose_daemon() const;

    daemon_state* state_;
    daemons::peer_client* peers_;
    std::string group_;
};

} // namespace proxy
