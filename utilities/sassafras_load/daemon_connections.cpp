#include <utilities/sassafras_load/daemon_connections.hpp>

#include <utilities/sassafras_load/caller_codec.hpp>

#include <utility>

namespace sassafras_load {

namespace asio = boost::asio;

namespace {

constexpr base::clock::duration connect_timeout{2'000};

} // namespace

daemon_connections::daemon_connections(std::vector<base::endpoint> daemons)
    : daemons_{std::move(daemons)}, idle_(daemons_.size()) {}

asio::awaitable<std::optional<http::client_connection>> daemon_connections::open(std::size_t daemon) {
    if (!idle_[daemon].empty()) {
        std::optional<http::client_connection> kept{std::move(idle_[daemon].back())};
        idle_[daemon].pop_back();
        co_return kept;
    }
    auto connected = co_await http::client_connection::connect(daemons_[daemon], connect_timeout);
    if (!connected) {
        co_return std::nullopt;
    }
    co_return std::optional<http::client_connection>{std::move(*connected)};
}

asio::awaitable<caller_response> daemon_connections::ask(std::size_t preference, http::request message,
                                                         base::clock::duration timeout) {
    for (std::size_t attempt = 0; attempt < daemons_.size(); ++attempt) {
        const auto daemon = (preference + attempt) % daemons_.size();
        auto connection = co_await open(daemon);
        if (!connection) {
            continue;
        }
        const auto response = co_await connection->exchange(message, timeout);
        if (!response) {
            // The other idle connections to this daemon are as likely to be closed.
            idle_[daemon].clear();
            const caller_response_fields lost{.error_ = response.last_reason().kind()};
            co_return caller_response{lost};
        }
        if (connection->is_usable()) {
            idle_[daemon].push_back(std::move(*connection));
        }
        co_return decode_response((*response)->body_);
    }
    const caller_response_fields unreachable{.outcome_ = base::outcome::not_run,
                                             .error_ = base::error_kind::connection_failed};
    co_return caller_response{unreachable};
}

} // namespace sassafras_load
