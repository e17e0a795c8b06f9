#include <http/server.hpp>
#include <stand_ins/database/database_server.hpp>
#include <stand_ins/database/decisions.hpp>
#include <stand_ins/database/replication_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

DEFINE_string(name, "", "name of this database in its group");
DEFINE_string(group, "", "name of the database group");
DEFINE_string(listen, "127.0.0.1:19500", "address:port of the database interface and the control paths");
DEFINE_string(peers, "",
              "databases of the group: name=address:port,...; an entry with this name is left out");
DEFINE_uint64(slots, 2, "requests that run statements at a time");
DEFINE_uint64(connections, 16, "connections that may carry statements; one more is closed without an answer");
DEFINE_int64(connect_delay_ms, 12, "delay of the first answer on a connection");
DEFINE_int64(statement_ms, 2, "time that one statement takes");
DEFINE_int64(slot_wait_ms, 200, "how long a request waits for a slot before it is refused as slots_busy");
DEFINE_int64(replication_lag_ms, 0, "how old an entry is before this database takes it from the primary");
DEFINE_int64(leave_grace_ms, 5000, "how long after /control/leave new work is still served");
DEFINE_string(journal, "", "file that keeps log, term and outcomes across a restart; empty keeps nothing");
DEFINE_bool(initial_primary, false, "start as the primary of term 1 if the journal is empty");

namespace {

using namespace stand_ins::database;

struct database_handler {
    std::shared_ptr<database_server> server_;

    boost::asio::awaitable<http::response> operator()(http::request message, std::size_t connection) {
        return server_->answer(std::move(message), connection);
    }
    void on_close(std::size_t connection) { server_->forget(connection); }
};

base::result<database_settings> settings_from_flags() {
    auto listen = base::endpoint::parse(FLAGS_listen);
    if (!listen) {
        return listen.last_reason();
    }
    auto peers = parse_peers(FLAGS_peers, FLAGS_name);
    if (!peers) {
        return peers.last_reason();
    }
    return database_settings{.name_ = FLAGS_name,
                             .group_ = FLAGS_group,
                             .listen_ = std::move(*listen),
                             .peers_ = std::move(*peers),
                             .slots_ = FLAGS_slots,
                             .connections_ = FLAGS_connections,
                             .connect_delay_ = base::clock::duration{FLAGS_connect_delay_ms},
                             .statement_ = base::clock::duration{FLAGS_statement_ms},
                             .slot_wait_ = base::clock::duration{FLAGS_slot_wait_ms},
                             .replication_lag_ = base::clock::duration{FLAGS_replication_lag_ms},
                             .leave_grace_ = base::clock::duration{FLAGS_leave_grace_ms}};
}

int fail(const base::error& reason) {
    std::cerr << "stand_in_database: " << reason.to_string() << '\n';
    return 1;
}

// The limits are wide: this program stages the limits of a database itself.
constexpr http::limits wide_limits{.body_bytes_ = 64ULL * 1024 * 1024,
                                   .idle_timeout_ = base::clock::duration{3'600'000}};
constexpr std::size_t most_connections = 100'000;

int run(std::shared_ptr<database_node> node) {
    boost::asio::io_context context{1};
    auto socket = http::listener::open(context.get_executor(), node->settings().listen_);
    if (!socket) {
        return fail(socket.last_reason());
    }
    const database_handler handler{std::make_shared<database_server>(node)};
    std::make_shared<http::server<database_handler>>(context.get_executor(), std::move(*socket), handler,
                                                     wide_limits, nullptr, most_connections)
        ->start();
    std::vector<std::unique_ptr<replication_client>> clients;
    for (const auto& [name, address] : node->settings().peers_) {
        clients.push_back(std::make_unique<replication_client>(node, address));
        boost::asio::co_spawn(context, clients.back()->run(), [](std::exception_ptr failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
    }
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for one database of a group, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto settings = settings_from_flags();
    if (!settings) {
        return fail(settings.last_reason());
    }
    auto opened = database_node::open(std::move(*settings), FLAGS_journal);
    if (!opened) {
        return fail(opened.last_reason());
    }
    auto node = std::make_shared<database_node>(std::move(*opened));
    if (node->state().terms() == term_record{}) {
        node->commit(FLAGS_initial_primary ? start_group() : join_group());
    }
    return run(std::move(node));
}
