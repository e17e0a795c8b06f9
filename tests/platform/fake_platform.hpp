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

/// The response of the fake server to the next request.
struct scripted_response {
    unsigned status_ = 200;
    std::string body_;
    std::vector<http::header> headers_;
    /// Closes the connection without a response.
    bool is_lost_ = false;
};

/// The requests that the fake server received, as `path body`.
using received_requests = std::vector<std::string>;

/// A coroutine that makes calls with a client.
using client_calls = std::function<boost::asio::awaitable<void>(platform::store_client& client)>;

/// Runs calls against a fake server on loopback that sends the scripted responses in order and status 500
/// after them. Returns the requests that it received.
received_requests run_against_fake_platform(std::deque<scripted_response> script, const client_calls& calls);

/// Expects that a put fails with the error `kind`.
boost::asio::awaitable<void> expect_put_error(platform::store_client& client, std::string value,
                                              base::error_kind kind);

} // namespace tests
