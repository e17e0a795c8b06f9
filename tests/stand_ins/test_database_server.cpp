#include <http/server.hpp>
#include <stand_ins/database/database_server.hpp>
#include <stand_ins/database/decisions.hpp>
#include <tests/stand_ins/conversation.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;
using namespace stand_ins::database;

struct database_handler {
    std::shared_ptr<database_server> server_;

    asio::awaitable<http::response> operator()(http::request message, std::size_t connection) {
        return server_->answer(std::move(message), connection);
    }
    void on_close(std::size_t connection) { server_->forget(connection); }
};

// Holds a conversation with a primary that allows two connections.
void talk_to_database(std::vector<tests::conversation_step> steps) {
    const base::endpoint local{"127.0.0.1", 19'520};
    auto opened = database_node::open({.name_ = "a", .connections_ = 2}, {});
    ASSERT_TRUE(opened);
    auto node = std::make_shared<database_node>(std::move(*opened));
    node->commit(start_group());
    asio::io_context context;
    auto socket = http::listener::open(context.get_executor(), local);
    ASSERT_TRUE(socket);
    const database_handler handler{std::make_shared<database_server>(node)};
    std::make_shared<http::server<database_handler>>(context.get_executor(), std::move(*socket), handler,
                                                     http::limits{}, nullptr, 100)
        ->start();
    bool finished = false;
    asio::co_spawn(context, tests::hold_conversation(local, std::move(steps)),
                   [&](std::exception_ptr failure) {
                       finished = !failure;
                       context.stop();
                   });
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}

const std::string write_k = R"({"id":1,"term":1,"access":"write","statements":["set k 1"]})";
const std::string read_k = R"({"id":1,"term":1,"access":"read","statements":["get k"]})";
const std::string raise_to_two = R"({"id":1,"term":2,"proposer":"p"})";

} // namespace

// Guards against a transaction that survives its connection, and one that others see before its commit.
TEST(database_server, closed_connection_rolls_back) {
    talk_to_database({{1, "/v1/begin", write_k, R"("status":"done")"},
                      {2, "/v1/execute", read_k, R"("results":[""])"},
                      {1, "close"},
                      {2, "/v1/execute", read_k, R"("results":[""])"},
                      {2, "/control/counts", "", R"("transactions_open":0,"transactions_rolled_back":1)"}});
}

// Guards against a limit of connections that is not enforced, or that also shuts out status and control.
TEST(database_server, connection_above_the_limit_is_closed) {
    talk_to_database({{1, "/v1/execute", write_k, "done"},
                      {2, "/v1/execute", write_k, "done"},
                      {3, "/v1/status", "{}", "primary"},
                      {3, "/v1/execute", write_k, "connection_failed"},
                      {1, "close"},
                      {4, "/v1/execute", write_k, "done"}});
}

// Guards against a frozen database that answers, and against a late request that runs under a replaced term.
TEST(database_server, request_held_by_a_freeze_is_refused_in_a_new_term) {
    talk_to_database({{1, "/control/freeze", "", "{}"},
                      {2, "/v1/raise", raise_to_two, "timeout"},
                      {3, "/v1/execute", write_k, "timeout"},
                      {1, "/control/thaw", "", "{}"},
                      {1, "/v1/status", "{}", R"("term":2)"},
                      {1, "/v1/execute", write_k, "term_stale"},
                      {1, "/control/counts", "", R"("refusals":{"term_stale":2})"}});
}

// Guards against a cut that loses its direction: a request that arrives is run although its answer is lost.
TEST(database_server, cut_of_responses_still_runs_requests) {
    talk_to_database({{1, "/control/cut", R"({"direction":"out"})", "{}"},
                      {2, "/v1/execute", write_k, "timeout"},
                      {1, "/control/heal", "", "{}"},
                      {1, "/v1/execute", read_k, R"("results":["1"])"},
                      {1, "/control/cut", R"({"direction":"in"})", "{}"},
                      {1, "/v1/status", "{}", "timeout"},
                      {3, "/control/log", "", R"("position":2)"}});
}

// Guards against silence on new connections, and against silent connections that use up the limit.
TEST(database_server, silence_hits_open_connections_only) {
    talk_to_database({{1, "/v1/execute", write_k, "done"},
                      {2, "/v1/execute", write_k, "done"},
                      {2, "/control/silence", "", "{}"},
                      {1, "/v1/status", "{}", "timeout"},
                      {3, "/v1/execute", write_k, "done"}});
}
