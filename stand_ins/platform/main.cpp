#include <http/server.hpp>
#include <stand_ins/platform/platform_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:19510", "address:port of the platform interface and the control paths");
DEFINE_uint64(reads_per_second, 2000, "reads a second; a waiting watch counts as one read a second");
DEFINE_uint64(writes_per_second, 400, "writes a second");
DEFINE_string(hosts, "", "host list at the start: address:port,...");
DEFINE_int64(hosts_lag_ms, 0, "how long a change of the host list takes to show");

namespace {

using namespace stand_ins::platform;

struct platform_handler {
    std::shared_ptr<platform_server> server_;

    boost::asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        return server_->answer(std::move(message));
    }
};

platform_settings settings_from_flags() {
    platform_settings settings{.reads_per_second_ = FLAGS_reads_per_second,
                               .writes_per_second_ = FLAGS_writes_per_second,
                               .hosts_lag_ = base::clock::duration{FLAGS_hosts_lag_ms}};
    std::istringstream hosts{FLAGS_hosts};
    for (std::string address; std::getline(hosts, address, ',');) {
        settings.hosts_.push_back({address, "live"});
    }
    return settings;
}

int fail(const base::error& reason) {
    std::cerr << "stand_in_platform: " << reason.to_string() << '\n';
    return 1;
}

// A value of 1 MiB grows when JSON escapes it.
constexpr http::limits wide_limits{.body_bytes_ = 16ULL * 1024 * 1024,
                                   .idle_timeout_ = base::clock::duration{3'600'000}};
constexpr std::size_t most_connections = 100'000;

int run() {
    boost::asio::io_context context{1};
    const auto local = base::endpoint::parse(FLAGS_listen);
    if (!local) {
        return fail(local.last_reason());
    }
    auto socket = http::listener::open(context.get_executor(), *local);
    if (!socket) {
        return fail(socket.last_reason());
    }
    const platform_handler handler{std::make_shared<platform_server>(settings_from_flags())};
    std::make_shared<http::server<platform_handler>>(context.get_executor(), std::move(*socket), handler,
                                                     wide_limits, nullptr, most_connections)
        ->start();
    boost::asio::co_spawn(context, handler.server_->expire_leases(), boost::asio::detached);
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the platform's store and host list, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
