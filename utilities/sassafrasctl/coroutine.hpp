#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <optional>
#include <utility>

namespace sassafrasctl {

/// Awaits a coroutine and keeps its value, because `co_spawn` itself takes only values with a default.
template <typename T>
[[nodiscard]] boost::asio::awaitable<void> keep_value(boost::asio::awaitable<T> body,
                                                      std::optional<T>& into) {
    into = co_await std::move(body);
}

/// Runs one coroutine to its end on the calling thread and returns its value. Throws what it throws.
template <typename T>
[[nodiscard]] T run_coroutine(boost::asio::awaitable<T> body) {
    boost::asio::io_context context{1};
    std::optional<T> value;
    auto finished =
        boost::asio::co_spawn(context, keep_value(std::move(body), value), boost::asio::use_future);
    context.run();
    finished.get();
    return std::move(*value);
}

} // namespace sassafrasctl
