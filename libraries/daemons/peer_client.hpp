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

/// Returns whether a question that ended with this error may have reached the peer. For every other error it
/// provably did not, so that the question can be asked elsewhere.
[[nodiscard]] bool may_have_run(const base::error& failure) noexcept;

/// Asks other daemons, over one connection to each of them.
///
/// Every question has a time limit. Errors of every question: `answer_lost` when it may have reached the
/// peer; `connection_failed`, `overloaded`, `too_large` or what the peer refused with when it provably did
/// not run. Thread safety: used by the thread of its executor only; each thread has its own. Lifetime:
/// outlives the questions that are asked through it.
class peer_client {
public:
    /// `seed` places the pauses between attempts to reconnect.
    peer_client(boost::asio::any_io_executor executor, peer_limits limits, std::uint64_t seed);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    /// Has the peer, which is the home of the request's group, run the request.
    [[nodiscard]] boost::asio::awaitable<base::result<base::response>>
    forward(base::endpoint peer, base::request message, base::clock::duration timeout);

    /// Has the peer try a database that this daemon suspects.
    [[nodiscard]] boost::asio::awaitable<base::result<reachability>>
    check_suspicion(base::endpoint peer, suspicion_check request, base::clock::duration timeout);

    /// Fetches the peer's configuration if that is newer than `known_revision`.
    [[nodiscard]] boost::asio::awaitable<base::result<configuration_offer>>
    fetch_configuration(base::endpoint peer, std::uint64_t known_revision, base::clock::duration timeout);

    /// Decides whether the peer asked this daemon to hold back a request of this group and rank that needs a
    /// database of this role. Returns nothing when it may be forwarded, otherwise after which time the caller
    /// may try again.
    [[nodiscard]] std::optional<base::clock::duration> find_throttle_delay(const base::endpoint& peer,
                                                                           std::string_view group,
                                                                           std::string_view rank,
                                                                           base::database_role role);

    /// Closes every connection; unanswered questions end with an error.
    void close();

private:
    boost::asio::awaitable<base::result<frame>> ask(base::endpoint peer, frame_type type, std::string body,
                                                    base::clock::duration timeout);
    std::shared_ptr<peer_link> link_to(const base::endpoint& peer);

    boost::asio::any_io_executor executor_;
    peer_limits limits_;
    std::mt19937_64 random_;
    std::map<base::endpoint, std::shared_ptr<peer_link>> links_;
};

} // namespace daemons
