#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/request.hpp>
#include <base/response.hpp>
#include <base/result.hpp>
#include <daemons/configuration_offer.hpp>
#include <daemons/frame.hpp>
#include <daemons/peer_limits.hpp>
#include <daemons/suspicion_check.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace daemons {

class peer_link;

/// Returns whether a request that failed with this error may have run at the peer. With every other error it
/// provably did not, so it can be sent to another peer.
[[nodiscard]] bool may_have_run(const base::error& failure) noexcept;

/// Sends requests to other daemons, over one connection to each of them.
///
/// Every request has a timeout. Errors of every request: `answer_lost` when it may have reached the peer;
/// `connection_failed`, `overloaded`, `too_large` or the error of the peer's refusal when it provably did not
/// run. Thread safety: used by the thread of its executor only; each thread has its own. Lifetime: outlives
/// the requests that are sent through it.
class peer_client {
public:
    /// `seed` seeds the jitter of the reconnect backoff and the random admission of throttled requests.
    peer_client(boost::asio::any_io_executor executor, peer_limits limits, std::uint64_t seed);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    /// Forwards a request to the peer that owns the request's group.
    [[nodiscard]] boost::asio::awaitable<base::result<base::response>>
    forward(base::endpoint peer, base::request message, base::clock::duration timeout);

    /// Asks the peer whether it can reach a database that this daemon suspects.
    [[nodiscard]] boost::asio::awaitable<base::result<reachability>>
    check_suspicion(base::endpoint peer, suspicion_check request, base::clock::duration timeout);

    /// Fetches the peer's configuration if that is newer than `known_revision`.
    [[nodiscard]] boost::asio::awaitable<base::result<configuration_offer>>
    fetch_configuration(base::endpoint peer, std::uint64_t known_revision, base::clock::duration timeout);

    /// Decides whether the peer's throttle notices refuse a request of this group and rank that needs a
    /// database of this role. Returns nothing when the request may be forwarded, otherwise the time after
    /// which the caller may retry.
    [[nodiscard]] std::optional<base::clock::duration> find_throttle_delay(const base::endpoint& peer,
                                                                           std::string_view group,
                                                                           std::string_view rank,
                                                                           base::database_role role);

    /// Closes every connection; pending requests end with an error.
    void close();

private:
    boost::asio::awaitable<base::result<frame>> send_request(base::endpoint peer, frame_type type,
                                                             std::string body, base::clock::duration timeout);
    std::shared_ptr<peer_link> link_to(const base::endpoint& peer);

    boost::asio::any_io_executor executor_;
    peer_limits limits_;
    std::mt19937_64 random_;
    std::map<base::endpoint, std::shared_ptr<peer_link>> links_;
};

} // namespace daemons
