#pragma once

#include <backends/database_line.hpp>
#include <backends/database_listing.hpp>
#include <backends/statement_connection.hpp>
#include <base/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// Sends a request about its role to a database on a separate connection. Returns what it reports, or nothing
/// when it does not answer in time or its response cannot be decoded. Thread safety: runs on the thread of
/// `context`.
template <typename Protocol>
[[nodiscard]] boost::asio::awaitable<std::optional<backends::database_report>>
ask_database(boost::asio::io_context& context, backends::database_listing database, std::string message) {
    constexpr base::clock::duration timeout{300};
    backends::open_failure failure;
    backends::connection_timeouts times;
    times.open_timeout_ = timeout;
    const auto opened = co_await backends::statement_connection<Protocol>::open(context.get_executor(),
                                                                                database, {}, times, failure);
    if (!opened) {
        co_return std::nullopt;
    }
    const auto deadline = base::clock::now() + timeout;
    const auto response = co_await opened->run(std::move(message), 1, deadline);
    opened->close();
    if (response.status_ != backends::statement_status::done || response.rows_.empty()) {
        co_return std::nullopt;
    }
    co_return Protocol::decode_report(response.rows_.front());
}

} // namespace proxy
