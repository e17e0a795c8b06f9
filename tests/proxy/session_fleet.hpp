#pragma once

#include <stand_ins/session_platform/line_database.hpp>
#include <stand_ins/session_platform/store_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace tests {

/// A client connection to a session daemon, with blocking calls.
class session_client {
public:
    /// Connects and starts a session. The answer to the start is in `greeting`.
    session_client(std::uint16_t port, const std::string& database);

    /// Sends a statement and returns the lines of its answer, joined with `|`. Empty when the connection
    /// ends.
    [[nodiscard]] std::string run(const std::string& text);
    [[nodiscard]] const std::string& greeting() const noexcept { return greeting_; }
    /// Returns whether the daemon closes the connection within some seconds.
    [[nodiscard]] bool is_closed_by_daemon();

private:
    [[nodiscard]] std::string read_response();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
    std::string greeting_;
    std::uint64_t last_id_ = 0;
};

/// A store, one service with three databases, and session daemons as separate processes.
class session_fleet {
public:
    explicit session_fleet(std::uint16_t first_port);
    ~session_fleet();
    session_fleet(const session_fleet&) = delete;
    session_fleet& operator=(const session_fleet&) = delete;
    session_fleet(session_fleet&&) = delete;
    session_fleet& operator=(session_fleet&&) = delete;

    /// Writes the configuration and the server list.
    void publish_all();
    /// Starts a daemon and returns its number.
    std::size_t start_daemon();
    void signal_daemon(std::size_t number, int signal) const;
    /// Returns the exit code of a daemon that was told to stop.
    [[nodiscard]] std::optional<int> wait_for_exit(std::size_t number);
    /// Returns whether a daemon becomes ready within some seconds.
    [[nodiscard]] bool becomes_ready(std::size_t number) const;
    /// Returns the metrics of a daemon.
    [[nodiscard]] std::string metrics(std::size_t number) const;
    [[nodiscard]] std::uint16_t client_port(std::size_t number) const;

    /// Runs a function on the thread of the stand-ins and waits for it.
    void at_stand_ins(const std::function<void(session_fleet&)>& function);

    [[nodiscard]] stand_ins::store_server& store() noexcept { return *store_; }
    [[nodiscard]] stand_ins::line_database& database(std::size_t number) { return *databases_.at(number); }
    void list_database(std::size_t number, bool is_primary, bool is_draining);
    /// Returns how often each database was promoted.
    [[nodiscard]] const std::vector<std::string>& promotions() const noexcept { return promotions_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::uint16_t first_port_;
    std::unique_ptr<stand_ins::store_server> store_;
    std::vector<std::shared_ptr<stand_ins::line_database>> databases_;
    std::vector<std::string> promotions_;
    std::vector<pid_t> daemons_;
    std::uint64_t term_ = 1;
    std::thread thread_;
};

/// Waits until a condition holds, at most for some seconds.
[[nodiscard]] bool eventually(const std::function<bool()>& condition);

} // namespace tests
