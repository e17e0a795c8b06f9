#pragma once

#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>

namespace http {

/// Suspends the calling coroutine for `duration` without blocking its thread.
[[nodiscard]] boost::asio::awaitable<void> sleep_for(base::clock::duration duration);

} // namespace http
