#include <proxy/database_probe.hpp>

#include <backends/database_client.hpp>

#include <utility>

namespace proxy {

namespace {

// Their sum stays below the time that the monitor of the requesting daemon waits.
constexpr base::clock::duration connect_timeout{200};
constexpr base::clock::duration status_timeout{200};

} // namespace

boost::asio::awaitable<daemons::reachability> probe_database(base::endpoint database, std::string prober) {
    auto client = co_await backends::database_client::connect(database, connect_timeout, std::move(prober));
    if (!client) {
        co_return daemons::reachability::unreachable;
    }
    const auto status = co_await client->status(std::nullopt, status_timeout);
    client->close();
    co_return status ? daemons::reachability::reachable : daemons::reachability::unreachable;
}

} // namespace proxy
