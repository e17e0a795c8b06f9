#pragma once

#include <http/listener.hpp>

#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <utility>

/// A listener of a test with the address that it got.
struct test_listener {
    http::listener socket_;
    base::endpoint address_;

    /// Opens a listener on a port of 19400 to 19499. The range lies below the one for outgoing connections,
    /// which had taken single ports; the process number keeps parallel runs apart.
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
