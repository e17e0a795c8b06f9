#pragma once

#include <backends/database_line.hpp>
#include <backends/database_listing.hpp>
#include <backends/statement_connection.hpp>
#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// How long a database may take to accept a connection, and again to answer on it.
inline constexpr base::clock::duration default_report_timeout{300};

/// Sends a request about its role to a database on a separate connection. Returns what it reports. Errors:
/// `overloaded` if the database answers but accepts no more connections or statements,
/// `backend_unavailable` if it does not answer in time or its response cannot be decoded. Thread safety: runs
/// on the thread of `context`.
template <typename Protocol>
[[nodiscard]] boost::asio::awaitable<base::result<backends::database_report>>
ask_database(boost::asio::io_context& context, backends::database_listing database, std::string message,
             base::clock::duration timeout = default_report_timeout) {
    const auto error_of = [](backends::statement_status status, const std::string& detail) {
        const bool is_full = status == backends::statement_status::overloaded ||
                             status == backends::statement_status::connection_limit;
        const auto kind = is_full ? base::error_kind::overloaded : base::error_kind::backend_unavailable;
        return base::error{kind, std::string{backends::name_of(status)} + " " + detail};
    };
    backends::open_failure failure;
    backends::connection_timeouts times;
    times.open_timeout_ = timeout;
    const auto opened = co_await backends::statement_connection<Protocol>::open(context.get_executor(),
                                                                                database, {}, times, failure);
    if (!opened) {
        co_return error_of(failure.status_, failure.detail_);
    }
    const auto deadline = base::clock::now() + timeout;
    const auto response = co_await opened->run(std::move(message), 1, deadline);
    opened->close();
    if (response.status_ != backends::statement_status::done) {
        co_return error_of(response.status_, response.detail_);
    }
    const auto report =
        response.rows_.empty() ? std::nullopt : Protocol::decode_report(response.rows_.front());
    if (!report) {
        co_return base::error{base::error_kind::backend_unavailable, "its report cannot be decoded"};
    }
    co_return *report;
}

} // namespace proxy
