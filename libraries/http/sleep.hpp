#pragma once

#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>

namespace http {

/// Suspends the calling coroutine for `length` without holding its thread.
[[nodiscard]] boost::asio::awaitable<void> sleep_for(base::clock::duration length);

} // namespace http
