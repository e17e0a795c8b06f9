#include <tests/proxy/session_fleet.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

// The environment of this process, which its daemons inherit.
extern char** environ; // NOLINT(readability-redundant-declaration)

namespace tests {

namespace asio = boost::asio;

namespace {

constexpr int response_timeout_s = 12;
constexpr mode_t owner_may_read_and_write = 0600;
constexpr std::size_t database_count = 3;
// Port offsets: of the store, the databases, the link to the store and the daemons from the first port of the
// fleet, and of each daemon's other listeners from its client port.
constexpr std::uint16_t store_offset = 0;
constexpr std::uint16_t database_offset = 1;
constexpr std::uint16_t link_offset = 4;
constexpr std::uint16_t daemon_offset = 10;
constexpr std::uint16_t ports_of_daemon = 4;
constexpr std::uint16_t readiness_offset = 1;
constexpr std::uint16_t peer_offset = 2;
constexpr std::uint16_t metrics_offset = 3;

std::string local_address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

asio::ip::tcp::endpoint endpoint_of(std::uint16_t port) {
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// Waits for bytes from the peer for at most `response_timeout_s` and appends them to `input`. A receive
/// timeout of the socket is not enough: Asio waits on without a limit when it expires.
boost::system::error_code read_available(asio::ip::tcp::socket& socket, std::string& input) {
    constexpr int milliseconds_per_second = 1000;
    pollfd readable{socket.native_handle(), POLLIN, 0};
    if (::poll(&readable, 1, response_timeout_s * milliseconds_per_second) <= 0) {
        return asio::error::timed_out;
    }
    std::array<char, 4096> bytes{};
    boost::system::error_code failure;
    const auto count = socket.read_some(asio::buffer(bytes), failure);
    input.append(bytes.data(), count);
    return failure;
}

} // namespace

bool eventually(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{response_timeout_s};
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return condition();
}

session_client::session_client(std::uint16_t port, const std::string& database, const std::string& key)
    : socket_{context_} {
    socket_.connect(endpoint_of(port));
    asio::write(socket_, asio::buffer("START " + database + " " + key + "\r\n"));
    greeting_ = read_response();
}

std::string session_client::run(const std::string& text) {
    return send(text) ? read_response() : std::string{};
}

bool session_client::send(const std::string& text) {
    boost::system::error_code failure;
    const auto line = "QUERY id" + std::to_string(++last_id_) + " " + text + "\r\n";
    asio::write(socket_, asio::buffer(line), failure);
    return !failure;
}

std::string session_client::read_response() {
    std::string response;
    for (;;) {
        const auto end = input_.find("\r\n");
        if (end == std::string::npos) {
            if (read_available(socket_, input_)) {
                return response;
            }
            continue;
        }
        const auto line = input_.substr(0, end);
        input_.erase(0, end + 2);
        response.append(response.empty() ? "" : "|").append(line);
        if (line.starts_with("READY")) {
            return response;
        }
    }
}

bool session_client::is_closed_by_daemon() {
    const auto failure = read_available(socket_, input_);
    return failure == asio::error::eof || failure == asio::error::connection_reset;
}

bool session_client::has_ended() {
    char byte = 0;
    const auto length = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length == 0 || (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

session_fleet::session_fleet(std::uint16_t first_port)
    : guard_{asio::make_work_guard(context_)}, first_port_{first_port} {
    const auto promote = [this](const std::string& /*service*/, const std::string& id) -> unsigned {
        if (id == last_promoted_) {
            return 200;
        }
        last_promoted_ = id;
        promotions_.push_back(id);
        ++term_;
        for (std::size_t number = 0; number < database_count; ++number) {
            const bool is_chosen = id == "i-" + std::to_string(number);
            databases_.at(number)->set_primary(is_chosen, term_);
            if (is_chosen) {
                list_database(number, true, false);
            }
        }
        return 200;
    };
    store_ = std::make_unique<stand_ins::store_server>(context_.get_executor(), promote);
    const base::endpoint store_address{"127.0.0.1", static_cast<std::uint16_t>(first_port_ + store_offset)};
    EXPECT_TRUE(store_->listen(store_address));
    link_ = std::make_shared<stand_ins::fault_link>(context_.get_executor(), store_address);
    EXPECT_TRUE(link_->listen({"127.0.0.1", static_cast<std::uint16_t>(first_port_ + link_offset)}));
    for (std::size_t number = 0; number < database_count; ++number) {
        const auto port = static_cast<std::uint16_t>(first_port_ + database_offset + number);
        auto database = std::make_shared<stand_ins::line_database>(context_.get_executor(), "svc",
                                                                   "i-" + std::to_string(number));
        EXPECT_TRUE(database->listen({"127.0.0.1", port}));
        database->set_primary(number == 0, term_);
        databases_.push_back(std::move(database));
    }
    thread_ = std::thread{[this] {
        context_.run();
    }};
}

session_fleet::~session_fleet() {
    for (const auto process : daemons_) {
        if (process > 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    context_.stop();
    thread_.join();
}

void session_fleet::publish_all(std::uint32_t sync_replicas) {
    run_on_stand_in_thread([sync_replicas](session_fleet& fleet) {
        for (std::size_t number = 0; number < database_count; ++number) {
            fleet.list_database(number, number == 0, false);
        }
        fleet.store().put(
            "op/config",
            R"({"version":3,"routes":[)"
            R"({"name":"p","database-name":"payouts","type":"primary","timeout-ms":3000,"target-latency-ms":1000,"priority":0,"service":"svc","max-attempts":2},)"
            R"({"name":"b","database-name":"batches","type":"read_your_writes","timeout-ms":3000,"target-latency-ms":1000,"priority":1,"service":"svc","max-attempts":2,"max-staleness-ms":2500}],)"
            R"("services":[{"name":"svc","max-connections":16,"sync-replicas":)" +
                std::to_string(sync_replicas) + R"(}],"limits":{"tx-idle-ms":600}})");
    });
}

void session_fleet::publish_tenants(std::uint64_t version, const std::string& tenants) {
    const auto route = [](const std::string& name, const std::string& more) {
        return R"({"name":")" + name + R"(","database-name":")" + name +
               R"(","type":"primary","timeout-ms":8000,"target-latency-ms":40000,"priority":0,)"
               R"("service":"svc","max-attempts":2)" +
               more + "}";
    };
    const auto text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("payouts", "") +
                      "," + route("batches", R"(,"public":false)") + "," +
                      route("notices", R"(,"public":true)") +
                      R"(],"services":[{"name":"svc","max-connections":60,"sync-replicas":0}],"tenants":)" +
                      tenants + R"(,"limits":{"tx-idle-ms":30000}})";
    run_on_stand_in_thread([&text](session_fleet& fleet) { fleet.store().put("op/config", text); });
}

void session_fleet::restart_database(std::size_t number) {
    const auto port = static_cast<std::uint16_t>(first_port_ + database_offset + number);
    EXPECT_TRUE(databases_.at(number)->listen({"127.0.0.1", port}));
}

void session_fleet::list_database(std::size_t number, bool is_primary, bool is_draining) {
    const auto port = static_cast<std::uint16_t>(first_port_ + database_offset + number);
    store_->put(
        "servers/i-" + std::to_string(number),
        R"({"service":"svc","address":")" + local_address(port) +
            R"(","zone":"a","version":"v1","slots":4,"cold-remaining-ms":0,"born":5,"sequence":1,"state":")" +
            (is_draining ? "draining" : "ready") + R"(","db-role":")" + (is_primary ? "primary" : "replica") +
            R"("})");
}

std::size_t session_fleet::start_daemon(const std::string& log_path, const std::string& more_settings,
                                        store_path path_to_store) {
    const auto number = daemons_.size();
    const auto port = client_port(number);
    const auto path = ::testing::TempDir() + "sessiond_" + std::to_string(port) + ".ini";
    std::ofstream settings{path};
    const auto section = [&settings](const char* name, const std::string& address) {
        settings << "[" << name << "]\naddress = " << address << "\n";
    };
    settings << "[daemon]\nname = d" << number
             << "\nfailure_domain = a\nthreads = 2\nlog_level = " << (log_path.empty() ? "error" : "debug")
             << "\n";
    section("clients", local_address(port));
    section("readiness", local_address(port + readiness_offset));
    section("peers", local_address(port + peer_offset));
    section("metrics", local_address(port + metrics_offset));
    section("store",
            local_address(first_port_ + (path_to_store == store_path::link ? link_offset : store_offset)));
    section("promotion", local_address(first_port_ + store_offset));
    settings << "[stop]\ngrace_s = 3\n" << more_settings;
    settings.close();
    std::string program{SASSAFRASDEAL_SESSIOND};
    auto option = "--settings=" + path;
    std::array<char*, 3> arguments{program.data(), option.data(), nullptr};
    pid_t process = 0;
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    if (!log_path.empty()) {
        ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                           O_WRONLY | O_CREAT | O_TRUNC, owner_may_read_and_write);
        ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    }
    // A listening socket of the stand-ins that the daemon inherits takes connections after a stand-in has
    // closed it.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    EXPECT_EQ(::posix_spawn(&process, program.c_str(), &actions, nullptr, arguments.data(), environ), 0);
    ::posix_spawn_file_actions_destroy(&actions);
    daemons_.push_back(process);
    return number;
}

void session_fleet::signal_daemon(std::size_t number, int signal) const {
    ::kill(daemons_.at(number), signal);
}

std::optional<int> session_fleet::wait_for_exit(std::size_t number) {
    int status = 0;
    const bool has_exited = eventually([this, number, &status] {
        return ::waitpid(daemons_.at(number), &status, WNOHANG) == daemons_.at(number);
    });
    if (!has_exited) {
        return std::nullopt;
    }
    daemons_.at(number) = 0;
    return WIFEXITED(status) ? std::optional{WEXITSTATUS(status)} : std::nullopt;
}

bool session_fleet::becomes_ready(std::size_t number) const {
    return eventually([this, number] {
        asio::io_context context;
        asio::ip::tcp::socket socket{context};
        boost::system::error_code failure;
        socket.connect(endpoint_of(client_port(number) + readiness_offset), failure);
        if (failure) {
            return false;
        }
        asio::write(socket, asio::buffer(std::string{"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n"}), failure);
        std::string response;
        asio::read_until(socket, asio::dynamic_buffer(response), "\r\n", failure);
        return response.starts_with("HTTP/1.1 200");
    });
}

std::string session_fleet::metrics(std::size_t number) const {
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(endpoint_of(client_port(number) + metrics_offset));
    asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"}));
    std::string response;
    while (!read_available(socket, response)) {
    }
    return response;
}

std::uint16_t session_fleet::client_port(std::size_t number) const {
    return static_cast<std::uint16_t>(first_port_ + daemon_offset + number * ports_of_daemon);
}

bool session_fleet::has_reached_a_database(const std::string& text) {
    bool is_found = false;
    run_on_stand_in_thread([&text, &is_found](session_fleet& fleet) {
        for (const auto& database : fleet.databases_) {
            const auto& seen = database->seen();
            is_found = is_found || std::any_of(seen.begin(), seen.end(),
                                               [&text](const auto& one) { return one.text_ == text; });
        }
    });
    return is_found;
}

std::optional<std::size_t> session_fleet::leader() {
    std::string entry;
    run_on_stand_in_thread(
        [&entry](session_fleet& fleet) { entry = fleet.store().value_of("sassafrasdeal/duty"); });
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
        const auto address = local_address(static_cast<std::uint16_t>(client_port(number) + peer_offset));
        if (entry.starts_with(address + " ")) {
            return number;
        }
    }
    return std::nullopt;
}

void session_fleet::run_on_stand_in_thread(const std::function<void(session_fleet&)>& function) {
    std::promise<void> done;
    asio::post(context_, [this, &function, &done] {
        function(*this);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace tests
