#pragma once

#include <base/endpoint.hpp>
#include <http/message.hpp>
#include <platform/store_client.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace tests {

/// What the fake server does with the next request that reaches it.
struct scripted_response {
    unsigned status_ = 200;
    std::string body_;
    std::vector<http::header> headers_;
    /// Closes the connection without an answer.
    bool is_lost_ = false;
};

/// The requests that reached the fake server, as `path body`.
using seen_requests = std::vector<std::string>;

/// A sequence of calls of a client.
using client_calls = std::function<boost::asio::awaitable<void>(platform::store_client& client)>;

/// Runs calls against a fake server on loopback that gives the scripted answers in order and status 500 after
/// them. Returns what it has seen.
seen_requests run_against_fake_platform(std::deque<scripted_response> script, const client_calls& calls);

/// Expects that a put has the error `kind`.
boost::asio::awaitable<void> expect_put_error(platform::store_client& client, std::string value,
                                              base::error_kind kind);

} // namespace tests
