#pragma once

#include <http/listener.hpp>

#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <utility>

/// A listener for a test, with the address that it is bound to.
struct test_listener {
    http::listener socket_;
    base::endpoint address_;

    /// Opens a listener on a port from 19400 to 19499. The range is below the ephemeral ports, because
    /// outgoing connections had occupied single ports of that range. The process id separates parallel runs.
    static test_listener open(const boost::asio::any_io_executor& executor) {
        static unsigned next = static_cast<unsigned>(::getpid());
        for (int attempt = 0; attempt < 100; ++attempt) {
            const base::endpoint address{"127.0.0.1", static_cast<std::uint16_t>(19'400 + next++ % 100)};
            if (auto opened = http::listener::open(executor, address)) {
                return {std::move(*opened), address};
            }
        }
        throw std::runtime_error{"no free port between 19400 and 19499"};
    }
};
