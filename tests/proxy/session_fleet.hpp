#pragma once

#include <stand_ins/session_platform/fault_link.hpp>
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

/// A blocking client connection to a session daemon.
class session_client {
public:
    /// Connects and starts a session. `greeting` returns the response to the start.
    session_client(std::uint16_t port, const std::string& database, const std::string& key = "someone");

    /// Sends a statement and returns the lines of its response, joined with `|`. Empty when the connection
    /// has ended.
    [[nodiscard]] std::string run(const std::string& text);
    /// Sends a statement without waiting for its response. Returns whether the connection still was open.
    bool send(const std::string& text);
    /// Returns the response to the oldest statement without one, like `run`.
    [[nodiscard]] std::string read_response();
    [[nodiscard]] const std::string& greeting() const noexcept { return greeting_; }
    /// Returns whether the daemon closes the connection within `response_timeout_s`.
    [[nodiscard]] bool is_closed_by_daemon();
    /// Returns whether the connection has ended, without waiting. Precondition: no response is outstanding.
    [[nodiscard]] bool has_ended();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
    std::string greeting_;
    std::uint64_t last_id_ = 0;
};

/// How a daemon reaches the store.
enum class store_path { direct, link };

/// A test cluster: a stand-in store, one service with three stand-in databases, and session daemons as
/// separate processes on consecutive ports.
class session_fleet {
public:
    explicit session_fleet(std::uint16_t first_port);
    ~session_fleet();
    session_fleet(const session_fleet&) = delete;
    session_fleet& operator=(const session_fleet&) = delete;
    session_fleet(session_fleet&&) = delete;
    session_fleet& operator=(session_fleet&&) = delete;

    /// Writes the configuration and the server list to the store.
    void publish_all(std::uint32_t sync_replicas = 0);
    /// Writes a configuration with these tenants, a JSON array, to the store. Its routes are those of
    /// `publish_all` and the public route `notices`; statements may wait longer and transactions be idle for
    /// half a minute.
    void publish_tenants(std::uint64_t version, const std::string& tenants);
    /// Starts a daemon and returns its number. If `log_path` is given, it logs everything to this file.
    /// `more_settings` is appended to its settings file. Over the link, it reaches the store as `link` says.
    std::size_t start_daemon(const std::string& log_path = {}, const std::string& more_settings = {},
                             store_path path = store_path::direct);
    [[nodiscard]] pid_t process_of(std::size_t number) const { return daemons_.at(number); }
    void signal_daemon(std::size_t number, int signal) const;
    /// Waits until a daemon exits. Returns its exit code, or nothing if it was killed or still runs.
    [[nodiscard]] std::optional<int> wait_for_exit(std::size_t number);
    /// Waits until a daemon reports itself ready. Returns whether it did within `response_timeout_s`.
    [[nodiscard]] bool becomes_ready(std::size_t number) const;
    /// Returns the HTTP response of a daemon's metrics endpoint.
    [[nodiscard]] std::string metrics(std::size_t number) const;
    [[nodiscard]] std::uint16_t client_port(std::size_t number) const;
    /// Returns the number of the daemon that the store shows as the leader, or nothing while there is none.
    [[nodiscard]] std::optional<std::size_t> leader();

    /// Runs a function on the stand-ins' thread and waits for its end.
    void run_on_stand_in_thread(const std::function<void(session_fleet&)>& function);

    [[nodiscard]] stand_ins::store_server& store() noexcept { return *store_; }
    [[nodiscard]] stand_ins::fault_link& link() noexcept { return *link_; }
    [[nodiscard]] stand_ins::line_database& database(std::size_t number) { return *databases_.at(number); }
    /// Makes a database that has crashed listen again, with its log.
    void restart_database(std::size_t number);
    /// Writes the server list entry of a database.
    void list_database(std::size_t number, bool is_primary, bool is_draining);
    /// Returns whether a statement with this text has reached any database.
    [[nodiscard]] bool has_reached_a_database(const std::string& text);
    /// Returns the ids of the promoted databases in order.
    [[nodiscard]] const std::vector<std::string>& promotions() const noexcept { return promotions_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::uint16_t first_port_;
    std::unique_ptr<stand_ins::store_server> store_;
    std::shared_ptr<stand_ins::fault_link> link_;
    std::vector<std::shared_ptr<stand_ins::line_database>> databases_;
    std::vector<std::string> promotions_;
    /// For which the platform accepts a promotion and changes nothing.
    std::string last_promoted_ = "i-0";
    std::vector<pid_t> daemons_;
    std::uint64_t term_ = 1;
    std::thread thread_;
};

/// Polls until a condition holds, for at most `response_timeout_s`. Returns whether it holds.
[[nodiscard]] bool eventually(const std::function<bool()>& condition);

} // namespace tests
