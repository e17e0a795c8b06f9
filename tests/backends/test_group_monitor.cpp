#include "group_model.hpp"
#include "test_listener.hpp"

#include <backends/database_client.hpp>
#include <backends/group_monitor.hpp>

#include <http/server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <array>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace backends;
using base::clock;

constexpr clock::duration test_timeout{8'000};

// A database of the group model, served over HTTP.
struct served_database {
    std::string name_;
    group_model::database state_;
    /// Connections up to this number get no response in time.
    std::size_t last_silent_connection_ = 0;
    std::size_t last_connection_ = 0;
    /// Number of status responses that reported the database as leaving.
    std::size_t leaving_responses_ = 0;
};

class test_group;

struct database_handler {
    test_group* group_;
    std::size_t index_;

    asio::awaitable<http::response> operator()(http::request message, std::size_t connection);
};

// Three databases that replicate immediately unless `replicates_` is false.
class test_group {
public:
    explicit test_group(asio::io_context& context) {
        for (std::size_t index = 0; index < databases_.size(); ++index) {
            databases_[index].name_ = "d" + std::to_string(index);
            auto opened = test_listener::open(context.get_executor());
            addresses_[index] = opened.address_;
            servers_[index] = std::make_shared<http::server<database_handler>>(
                context.get_executor(), std::move(opened.socket_), database_handler{this, index},
                http::limits{}, nullptr, 50);
            servers_[index]->start();
        }
    }

    void kill(std::size_t index) {
        servers_[index]->close();
        is_alive_[index] = false;
    }

    void close() {
        for (std::size_t index = 0; index < databases_.size(); ++index) {
            kill(index);
        }
    }

    void replicate(std::size_t from) {
        for (std::size_t index = 0; index < databases_.size(); ++index) {
            if (replicates_ && is_alive_[index] && index != from) {
                databases_[index].state_.replicate(databases_[from].state_.term_,
                                                   databases_[from].state_.log_);
            }
        }
    }

    json::object respond(std::size_t index, const std::string& path, const json::object& request);

    std::array<served_database, 3> databases_;
    std::array<base::endpoint, 3> addresses_;
    std::array<std::shared_ptr<http::server<database_handler>>, 3> servers_;
    std::array<bool, 3> is_alive_{true, true, true};
    bool replicates_ = true;
};

json::object to_json(base::log_position position) {
    return {{"term", position.term()}, {"position", position.index()}};
}

json::object test_group::respond(std::size_t index, const std::string& path, const json::object& request) {
    auto& self = databases_[index];
    auto& state = self.state_;
    const auto term = request.contains("term") ? request.at("term").to_number<std::uint64_t>() : 0;
    const auto proposer = request.contains("proposer") ? std::string{request.at("proposer").as_string()} : "";
    if (path == "/v1/raise") {
        const bool granted = state.raise(term, proposer);
        return {{"granted", granted}, {"term", state.term_}, {"last", to_json(state.last())}};
    }
    if (path == "/v1/promote") {
        const bool promoted = state.promote(term, proposer);
        replicate(index);
        return {{"promoted", promoted}, {"term", state.term_}, {"last", to_json(state.last())}};
    }
    if (path == "/v1/execute") {
        if (!state.is_primary_ || state.term_ != term) {
            return {{"status", "refused"}, {"reason", "not_primary"}, {"term", state.term_}};
        }
        state.log_.push_back({.term_ = term, .key_ = 1});
        replicate(index);
        return {{"status", "done"}, {"position", to_json(state.last())}, {"results", {"ok"}}};
    }
    self.leaving_responses_ += state.is_leaving_ ? 1 : 0;
    return {{"database", self.name_},
            {"term", state.term_},
            {"last", to_json(state.last())},
            {"role", state.is_primary_ ? "primary" : "replica"},
            {"start", 0},
            {"leaving", state.is_leaving_}};
}

asio::awaitable<http::response> database_handler::operator()(http::request message, std::size_t connection) {
    auto& self = group_->databases_[index_];
    self.last_connection_ = std::max(self.last_connection_, connection);
    if (connection <= self.last_silent_connection_) {
        co_await http::sleep_for(clock::duration{1'500});
    }
    const auto request = json::parse(message->body_).as_object();
    if (request.contains("wait")) {
        const auto length = request.at("wait").at("milliseconds").to_number<std::int64_t>();
        co_await http::sleep_for(clock::duration{std::min<std::int64_t>(length, 5)});
    }
    auto response = group_->respond(index_, message->target_, request);
    response["id"] = request.at("id");
    co_return http::json_response(200, json::serialize(response));
}

struct fixed_check {
    suspicion_result* found_;
    int* calls_;

    asio::awaitable<suspicion_result> operator()(operators::database_declaration /*database*/) const {
        ++*calls_;
        co_return *found_;
    }
};

using monitor = group_monitor<database_client_connector, clock, fixed_check>;

// A group of three databases and the monitor under test.
struct running_group {
    test_group databases_;
    suspicion_result found_ = suspicion_result::not_reached;
    int calls_ = 0;
    clock time_;
    std::shared_ptr<monitor> monitor_;

    explicit running_group(asio::io_context& context) : databases_{context} {
        group_monitor_settings settings{.group_ = "ledger", .proposer_ = "home-run-1", .random_seed_ = 7};
        for (std::size_t index = 0; index < 3; ++index) {
            settings.databases_.push_back(
                {.name_ = "d" + std::to_string(index), .address_ = databases_.addresses_[index]});
        }
        monitor_ = std::make_shared<monitor>(context.get_executor(), settings, database_client_connector{},
                                             time_, fixed_check{&found_, &calls_});
        monitor_->start();
    }

    static std::size_t index_of(const primary_location& primary) { return primary.database_[1] - '0'; }

    asio::awaitable<primary_location> find_primary() {
        auto found = co_await monitor_->wait_for_primary(clock::now() + test_timeout);
        EXPECT_TRUE(found);
        co_return found ? *found : primary_location{};
    }

    asio::awaitable<base::log_position> write(primary_location primary) {
        auto connection = co_await database_client::connect(primary.address_, test_timeout);
        EXPECT_TRUE(connection);
        const execute_request request{execute_request_fields{
            .term_ = primary.term_, .access_ = base::access::write, .statements_ = {"set a 1"}}};
        const auto response = co_await connection->run(statement_path::execute, request, test_timeout);
        EXPECT_TRUE(response);
        monitor_->report_response(primary.database_, (*response)->position_);
        co_return (*response)->position_;
    }
};

// Runs the body with three databases and a monitor, and checks that every coroutine ends after `stop`.
template <typename Body>
void run_with_group(Body body) {
    asio::io_context context;
    running_group group{context};
    bool finished = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            co_await body(group);
            finished = true;
            group.monitor_->stop();
            group.databases_.close();
        },
        asio::detached);
    context.run_for(std::chrono::seconds{30});
    EXPECT_TRUE(finished);
    EXPECT_TRUE(context.stopped());
    EXPECT_EQ(group.monitor_.use_count(), 1);
}

} // namespace

// Guards against a group that never gets a first primary, and against waits that never end.
TEST(group_monitor, promotes_a_first_primary_and_releases_what_a_majority_holds) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        EXPECT_EQ(primary.term_, 1U);
        const auto position = co_await group.write(primary);
        const auto deadline = clock::now() + test_timeout;
        const auto released = co_await group.monitor_->wait_until_committed(position, deadline);
        EXPECT_EQ(released, gate_result::released);
        const auto confirmed = co_await group.monitor_->confirm_term(primary.term_, deadline);
        EXPECT_EQ(confirmed, freshness_result::confirmed);
        EXPECT_EQ(group.monitor_->published_view().get()->primary(), primary.database_);
    });
}

// Guards against releasing a write that only the primary holds, and against losing such a write without an
// error.
TEST(group_monitor, replaces_a_dead_primary_and_fails_what_waits_at_the_gate) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        group.databases_.replicates_ = false;
        const auto position = co_await group.write(primary);
        const auto early =
            co_await group.monitor_->wait_until_committed(position, clock::now() + clock::duration{100});
        EXPECT_EQ(early, gate_result::timed_out);
        group.databases_.kill(running_group::index_of(primary));
        group.databases_.replicates_ = true;
        const auto result =
            co_await group.monitor_->wait_until_committed(position, clock::now() + test_timeout);
        EXPECT_EQ(result, gate_result::term_changed);
        const auto next = co_await group.find_primary();
        EXPECT_GT(next.term_, primary.term_);
        EXPECT_NE(next.database_, primary.database_);
        EXPECT_GT(group.calls_, 0);
    });
}

// Guards against replacing a primary that a daemon in another failure domain still reaches.
TEST(group_monitor, keeps_a_primary_that_another_daemon_reaches) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        group.found_ = suspicion_result::reached;
        group.databases_.kill(running_group::index_of(primary));
        co_await http::sleep_for(clock::duration{2'500});
        EXPECT_GT(group.calls_, 0);
        EXPECT_EQ(group.monitor_->view().term(), primary.term_);
        EXPECT_EQ(group.monitor_->view().greatest_term(), primary.term_);
    });
}

// Guards against a daemon that reaches no majority but raises terms at the databases it still reaches.
TEST(group_monitor, raises_no_term_without_a_majority) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        const auto index = running_group::index_of(primary);
        const auto survivor = (index + 2) % 3;
        // Waits until the damping interval after the first takeover has passed, which would hide a second
        // takeover.
        co_await http::sleep_for(takeover_damping::min_interval);
        group.databases_.kill((index + 1) % 3);
        co_await http::sleep_for(clock::duration{1'000});
        group.databases_.kill(index);
        co_await http::sleep_for(clock::duration{2'500});
        EXPECT_EQ(group.databases_.databases_[survivor].state_.term_, primary.term_);
        const auto none = co_await group.monitor_->wait_for_primary(clock::now() + clock::duration{50});
        EXPECT_TRUE(!none || none->term_ == primary.term_);
    });
}

// Guards against treating unresponsive connections as a failed primary while new connections to it work.
TEST(group_monitor, silent_connections_do_not_depose_a_primary) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        for (auto& database : group.databases_.databases_) {
            database.last_silent_connection_ = database.last_connection_;
        }
        co_await http::sleep_for(clock::duration{2'500});
        const auto confirmed =
            co_await group.monitor_->confirm_term(primary.term_, clock::now() + test_timeout);
        EXPECT_EQ(confirmed, freshness_result::confirmed);
        EXPECT_EQ(group.monitor_->view().greatest_term(), primary.term_);
    });
}

// Guards against sending new statements to a leaving primary.
TEST(group_monitor, moves_the_role_away_from_a_leaving_primary) {
    run_with_group([](running_group& group) -> asio::awaitable<void> {
        const auto primary = co_await group.find_primary();
        auto& leaving = group.databases_.databases_[running_group::index_of(primary)];
        leaving.state_.is_leaving_ = true;
        // The first status response takes the primary out of use. The monitor has processed it when it
        // requests the next one.
        const auto end = clock::now() + test_timeout;
        while (leaving.leaving_responses_ < 2 && clock::now() < end) {
            co_await http::sleep_for(clock::duration{5});
        }
        EXPECT_GE(leaving.leaving_responses_, 2U);
        const auto next = co_await group.find_primary();
        EXPECT_NE(next.database_, primary.database_);
        EXPECT_GT(next.term_, primary.term_);
    });
}
