#pragma once

#include <base/endpoint.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace tests {

/// One request on a numbered connection, which is opened when it is first used.
struct conversation_step {
    std::size_t connection_ = 0;
    /// The path to post to, or `close` to close the connection.
    std::string path_;
    std::string body_;
    /// A part of the answer's body, or the name of an error: `timeout` after a short time,
    /// `connection_failed`.
    std::string expected_;
};

/// Makes the steps in order and expects the answer that each one names.
boost::asio::awaitable<void> hold_conversation(base::endpoint peer, std::vector<conversation_step> steps);

} // namespace tests
