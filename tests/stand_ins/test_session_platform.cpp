#include <adapter/store_connection.hpp>
#include <http/line_socket.hpp>
#include <http/sleep.hpp>
#include <stand_ins/session_platform/line_database.hpp>
#include <stand_ins/session_platform/store_server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;

constexpr base::clock::duration limit{2'000};
constexpr std::size_t max_line_bytes = 4'096;

/// Runs a coroutine to its end.
void run(asio::io_context& context, asio::awaitable<void> work) {
    bool is_done = false;
    asio::co_spawn(context, std::move(work), [&context, &is_done](const std::exception_ptr& failure) {
        EXPECT_FALSE(failure);
        is_done = true;
        context.stop();
    });
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(is_done);
}

/// Sends statements to a database on one connection, in order.
asio::awaitable<void> send(base::endpoint database, std::vector<std::string> texts) {
    http::line_socket socket{co_await asio::this_coro::executor};
    const bool is_connected = co_await socket.connect(std::move(database), limit, limit);
    EXPECT_TRUE(is_connected);
    std::string lines{"START svc test\r\n"};
    for (const auto& text : texts) {
        lines += "QUERY " + text + "\r\n";
    }
    const bool is_sent = co_await socket.write(std::move(lines));
    EXPECT_TRUE(is_sent);
    for (std::size_t ready = 0; ready <= texts.size();) {
        const auto line = co_await socket.read_line(max_line_bytes);
        if (!line) {
            ADD_FAILURE() << "the database ended the connection";
            co_return;
        }
        ready += line->starts_with("READY") ? 1 : 0;
    }
}

std::vector<std::string> values(const std::vector<stand_ins::logged_write>& log) {
    std::vector<std::string> all;
    all.reserve(log.size());
    for (const auto& one : log) {
        all.push_back(one.value_);
    }
    return all;
}

using texts = std::vector<std::string>;

// Guards against a stand-in that keeps writes without a commit: every check of the soak rests on its log.
TEST(line_database, KeepsWhatWasCommittedOnly) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'801};
    const auto database = std::make_shared<stand_ins::line_database>(context.get_executor(), "svc", "i-0");
    ASSERT_TRUE(database->listen(address));
    database->set_primary(true, 1);
    run(context, send(address, {"a STORE k v1", "- BEGIN", "b STORE k v2", "- ROLLBACK", "- BEGIN",
                                "c STORE k v3", "- COMMIT", "- BEGIN", "d STORE k v4"}));
    EXPECT_EQ(values(database->log()), (texts{"v1", "v3"}));
}

// Guards against a stand-in that accepts a name of several fields: the incident lumipaiva-prepared-names went
// unnoticed in all tests, because their shapes were single words.
TEST(line_database, ReadsANameAsOneField) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'811};
    const auto database = std::make_shared<stand_ins::line_database>(context.get_executor(), "svc", "i-0");
    ASSERT_TRUE(database->listen(address));
    database->set_primary(true, 1);
    const texts refused{"PREPARE rq2c abc FETCH q2c abc",
                        "PREPARE  s FETCH q",
                        "PREPARE s\tt FETCH q",
                        "PREPARE s FETCH",
                        "PREPARE s",
                        "EXECUTE s k",
                        "EXECUTE  s k",
                        "DEALLOC s",
                        "SET  v",
                        "FETCH ",
                        "STORE k",
                        "COMMIT now"};
    texts all;
    for (const auto& text : refused) {
        all.push_back("a " + text);
    }
    run(context, send(address, all));
    EXPECT_TRUE(database->seen().empty());
    texts found;
    for (const auto& one : database->refused()) {
        found.push_back(one.text_);
        const bool is_unknown_name = one.text_ == "EXECUTE s k" || one.text_ == "DEALLOC s";
        EXPECT_EQ(one.code_, is_unknown_name ? "NOSTMT" : "MALFORMED") << one.text_;
    }
    EXPECT_EQ(found, refused);
}

// Guards against a stand-in that loses blanks of a last field, or what an execution ran: the soak compares
// both.
TEST(line_database, RecordsTextValuesAndShapeOfWhatItRan) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'813};
    const auto database = std::make_shared<stand_ins::line_database>(context.get_executor(), "svc", "i-0");
    ASSERT_TRUE(database->listen(address));
    database->set_primary(true, 1);
    run(context,
        send(address, {"- SET note two  blanks ", "- PREPARE s STORE q2d STORE  mc ", "b EXECUTE s k v  1 ",
                       "- PREPARE s FETCH q\tr", "c AFTER 1.1 EXECUTE s k", "- DEALLOC s", "d EXECUTE s k",
                       "- PREPARE s FETCH q", "- RESET", "e EXECUTE s k", "f FETCH k"}));
    const std::map<std::string, std::string> set{{"note", "two  blanks "}};
    auto seen = database->seen();
    for (auto& one : seen) {
        EXPECT_NE(one.ran_at_, base::clock::time_point{});
        one.ran_at_ = {};
    }
    EXPECT_EQ(seen, (std::vector<stand_ins::seen_statement>{
                        {"b", "EXECUTE s k v  1 ", set, "STORE q2d STORE  mc ", "test"},
                        {"c", "EXECUTE s k", set, "FETCH q\tr", "test"},
                        {"f", "FETCH k", {}, {}, "test"}}));
    EXPECT_EQ(database->refused(), (std::vector<stand_ins::refused_statement>{
                                       {"d", "EXECUTE s k", "NOSTMT"}, {"e", "EXECUTE s k", "NOSTMT"}}));
    EXPECT_EQ(values(database->log()), (texts{"v  1 "}));
}

// Guards against a stand-in whose replicas keep what the database that leads does not have.
TEST(line_database, RollsBackWhatTheLeaderDoesNotHave) {
    asio::io_context context;
    const base::endpoint first_address{"127.0.0.1", 20'803};
    const base::endpoint second_address{"127.0.0.1", 20'805};
    const auto first = std::make_shared<stand_ins::line_database>(context.get_executor(), "svc", "i-0");
    const auto second = std::make_shared<stand_ins::line_database>(context.get_executor(), "svc", "i-1");
    ASSERT_TRUE(first->listen(first_address));
    ASSERT_TRUE(second->listen(second_address));
    first->set_primary(true, 1);
    run(context, send(first_address, {"a STORE k v1"}));
    second->follow(*first, base::clock::now());
    context.restart();
    run(context, send(first_address, {"b STORE k v2"}));
    second->follow(*first, base::clock::now() - base::clock::duration{60'000});
    EXPECT_EQ(values(second->log()), (texts{"v1"}));
    second->set_primary(true, 2);
    context.restart();
    run(context, send(second_address, {"c STORE k v3"}));
    first->set_primary(false, 1);
    first->follow(*second, base::clock::now());
    EXPECT_EQ(values(first->log()), (texts{"v1", "v3"}));
    EXPECT_EQ(values(first->rolled_back()), (texts{"v2"}));
    EXPECT_EQ(first->term(), 2U);
}

asio::awaitable<void> let_a_lease_end(stand_ins::store_server& server, base::endpoint address) {
    platform::store_history history{[](auto, auto, const auto&) {
    }};
    adapter::store_connection store{address, limit, history};
    const auto lease = co_await store.grant_lease(base::clock::duration{100});
    EXPECT_TRUE(lease);
    platform::store_transaction change;
    change.puts_.push_back({"duty", "d0", *lease});
    const auto written = co_await store.change(std::move(change));
    EXPECT_TRUE(written && written->applied_);
    co_await http::sleep_for(base::clock::duration{150});
    const auto kept = co_await store.keep_lease(*lease);
    EXPECT_TRUE(kept && !*kept);
    EXPECT_EQ(server.value_of("duty"), "");
}

// Guards against a store in which a holder that is gone keeps the duty for ever.
TEST(store_server, EndsLeasesThatAreNotRenewed) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'807};
    stand_ins::store_server server{context.get_executor(), [](const std::string&, const std::string&) {
                                       return 200U;
                                   }};
    ASSERT_TRUE(server.listen(address));
    server.set_ending_leases(true);
    run(context, let_a_lease_end(server, address));
}

asio::awaitable<void> watch_before_the_history(base::endpoint address) {
    platform::store_history history{[](auto, auto, const auto&) {
    }};
    adapter::store_connection store{address, limit, history};
    std::string prefix{"k"};
    const auto changes =
        co_await store.watch(std::move(prefix), {base::store_era::unstated, 1}, base::clock::duration{500});
    EXPECT_FALSE(changes);
}

// Guards against watches that miss changes which the store has forgotten.
TEST(store_server, EndsWatchesThatContinueFromForgottenHistory) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'809};
    stand_ins::store_server server{context.get_executor(), [](const std::string&, const std::string&) {
                                       return 200U;
                                   }};
    ASSERT_TRUE(server.listen(address));
    server.put("k", "v");
    server.forget_history();
    run(context, watch_before_the_history(address));
}

asio::awaitable<void> use_revisions_of_an_earlier_history(stand_ins::store_server& server,
                                                          base::endpoint address) {
    std::vector<base::store_era> eras;
    platform::store_history history{[&eras](auto /*before*/, base::store_era now, const auto& /*source*/) {
        eras.push_back(now);
    }};
    adapter::store_connection store{address, limit, history};
    std::string key{"op/k"};
    const auto item = co_await store.get(key);
    EXPECT_TRUE(item);
    server.take_copy();
    server.return_to_copy();
    server.take_copy();
    platform::store_transaction change;
    change.expected_.push_back({"own", {item->revision_.era(), 0}});
    change.puts_.push_back({"own", "v", 0});
    // The condition holds in the next history too, so the store applies the change.
    const auto lost = co_await store.change(change);
    EXPECT_FALSE(lost);
    EXPECT_EQ(lost.last_reason().kind(), base::error_kind::answer_lost);
    EXPECT_EQ(server.value_of("own"), "v");
    const auto calls = server.calls();
    const auto refused = co_await store.change(change);
    EXPECT_FALSE(refused);
    EXPECT_EQ(refused.last_reason().kind(), base::error_kind::history_lost);
    const auto changes = co_await store.watch(key, item->read_at_, base::clock::duration{100});
    EXPECT_FALSE(changes);
    EXPECT_EQ(server.calls(), calls);
    const auto read_again = co_await store.get(key);
    EXPECT_TRUE(read_again);
    EXPECT_EQ(read_again->revision_.era(), base::store_era{2});
    EXPECT_EQ(eras, (std::vector<base::store_era>{base::store_era{1}, base::store_era{2}}));
}

// Guards against a change that counts as done although its conditions were read in another history of the
// store, where the same revisions stand for other contents, and against sending such calls at all.
TEST(store_connection, UsesNoRevisionOfAnEarlierHistory) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'815};
    stand_ins::store_server server{context.get_executor(), [](const std::string&, const std::string&) {
                                       return 200U;
                                   }};
    ASSERT_TRUE(server.listen(address));
    server.state_era(1);
    server.put("op/k", "v");
    run(context, use_revisions_of_an_earlier_history(server, address));
}

asio::awaitable<void> return_to_an_older_copy(stand_ins::store_server& server, base::endpoint address) {
    platform::store_history history{[](auto, auto, const auto&) {
    }};
    adapter::store_connection store{address, limit, history};
    const auto lease = co_await store.grant_lease(base::clock::duration{1'000});
    EXPECT_TRUE(lease);
    server.take_copy();
    platform::store_transaction change;
    change.puts_.push_back({"own", "v", *lease});
    const auto written = co_await store.change(std::move(change));
    EXPECT_TRUE(written);
    server.put("op/k", "newer");
    const auto later = co_await store.grant_lease(base::clock::duration{1'000});
    EXPECT_TRUE(later);
    server.return_to_copy();
    EXPECT_EQ(server.value_of("own"), "");
    EXPECT_EQ(server.value_of("op/k"), "newer");
    std::string key{"op/k"};
    const auto item = co_await store.get(key);
    EXPECT_TRUE(item && item->read_at_.number() <= written->revision_.number());
    const auto kept = co_await store.keep_lease(*lease);
    EXPECT_TRUE(kept && *kept);
    const auto gone = co_await store.keep_lease(*later);
    EXPECT_TRUE(gone && !*gone);
}

// Guards against a stand-in that keeps what a return loses: keys and leases of the system, and its revisions.
TEST(store_server, LosesWhatTheCopyLacks) {
    asio::io_context context;
    const base::endpoint address{"127.0.0.1", 20'817};
    stand_ins::store_server server{context.get_executor(), [](const std::string&, const std::string&) {
                                       return 200U;
                                   }};
    ASSERT_TRUE(server.listen(address));
    server.state_era(1);
    server.put("op/k", "v");
    run(context, return_to_an_older_copy(server, address));
}

} // namespace
