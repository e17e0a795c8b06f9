#include <backends/connection_pool.hpp>
#include <backends/pooled_connections.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using backends::connection_pool;
using backends::connection_pool_limits_fields;
using backends::connection_use;
using backends::lease_end;
using base::clock;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

/// What the stand-in for a database sees of its connections.
struct fake_database {
    bool is_refusing_ = false;
    int opened_ = 0;
    int open_ = 0;
    int most_open_ = 0;
    int connecting_ = 0;
    int most_connecting_ = 0;
};

class fake_connection {
public:
    fake_connection(fake_database& database, int number)
        : database_{&database,
                    [](auto* seen) {
                        --seen->open_;
                    }},
          number_{number} {
        database.most_open_ = std::max(database.most_open_, ++database.open_);
    }
    [[nodiscard]] bool is_usable() const { return database_ != nullptr; }
    void close() { database_.reset(); }
    [[nodiscard]] int number() const { return number_; }

private:
    std::shared_ptr<fake_database> database_;
    int number_;
};

struct fake_opener {
    fake_database* database_;

    boost::asio::awaitable<base::result<fake_connection>> connect(clock::duration /*timeout*/) {
        auto& seen = *database_;
        seen.most_connecting_ = std::max(seen.most_connecting_, ++seen.connecting_);
        boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, clock::duration{1}};
        co_await timer.async_wait(boost::asio::use_awaitable);
        --seen.connecting_;
        if (seen.is_refusing_) {
            co_return base::error{base::error_kind::connection_failed, "refused"};
        }
        co_return fake_connection{seen, ++seen.opened_};
    }
};

using fake_pool = backends::pooled_connections<fake_connection, fake_opener>;

} // namespace

// Guards against more connections or running statements than the database accepts, and against a discarded
// connection that is given out again, for any order of calls.
TEST(connection_pool, limits_hold_and_discarded_connections_never_return) {
    EXPECT_TRUE(rc::check("pool limits", [] {
        connection_pool_limits_fields limits;
        limits.connections_ = *rc::gen::inRange<std::uint32_t>(1, 9);
        limits.reserved_for_control_ = *rc::gen::inRange<std::uint32_t>(0, 3);
        limits.slots_ = *rc::gen::inRange<std::uint32_t>(1, 5);
        limits.idle_after_ = clock::duration{20};
        const auto usable = limits.connections_ - std::min(limits.connections_, limits.reserved_for_control_);
        connection_pool pool{limits, *rc::gen::arbitrary<std::uint64_t>()};
        std::set<std::uint64_t> connecting;
        std::set<std::uint64_t> idle;
        std::map<std::uint64_t, bool> leased;
        std::set<std::uint64_t> gone;
        std::int64_t now = 0;
        const auto steps = *rc::gen::inRange(1, 300);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 20);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                for (const auto id : pool.open(at(now), *rc::gen::inRange<std::uint32_t>(0, 9))) {
                    RC_ASSERT(gone.count(id) == 0U && connecting.insert(id).second);
                }
                break;
            case 1:
                if (!connecting.empty()) {
                    const auto id = *connecting.begin();
                    connecting.erase(connecting.begin());
                    if (*rc::gen::inRange(0, 4) == 0) {
                        pool.note_connect_failed(id, at(now));
                        RC_ASSERT(pool.open(at(now), 9).empty());
                        gone.insert(id);
                    } else if (pool.note_connected(id, at(now))) {
                        idle.insert(id);
                    }
                }
                break;
            case 2:
                if (const auto id = pool.acquire(
                        *rc::gen::element(connection_use::statement, connection_use::transaction))) {
                    RC_ASSERT(idle.erase(*id) == 1U);
                    leased.emplace(*id, true);
                }
                break;
            case 3:
                if (!leased.empty()) {
                    const auto id = leased.begin()->first;
                    const auto end = *rc::gen::element(lease_end::reuse, lease_end::discard);
                    leased.erase(id);
                    const bool kept = pool.release(id, at(now), end);
                    RC_ASSERT(!kept || end == lease_end::reuse);
                    (kept ? idle : gone).insert(id);
                }
                break;
            case 4:
                if (!leased.empty()) {
                    const auto id = leased.rbegin()->first;
                    pool.pause(id);
                    static_cast<void>(*rc::gen::arbitrary<bool>() && pool.resume(id));
                }
                break;
            default:
                for (const auto id : pool.close_idle(at(now))) {
                    RC_ASSERT(idle.erase(id) == 1U);
                    gone.insert(id);
                }
            }
            const auto counts = pool.counts();
            RC_ASSERT(counts->connecting_ == connecting.size());
            RC_ASSERT(counts->idle_ == idle.size());
            RC_ASSERT(counts->leased_ == leased.size());
            RC_ASSERT(counts->connecting_ + counts->idle_ + counts->leased_ <= usable);
            RC_ASSERT(counts->running_ <= limits.slots_);
        }
    }));
}

// Guards against all waiting requests connecting at once when a database returns or a home is handed over.
TEST(connection_pool, connects_start_with_one_and_double) {
    connection_pool pool{connection_pool_limits_fields{.slots_ = 8}, 1};
    const auto first = pool.open(at(0), 8);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(pool.open(at(0), 8).empty());
    EXPECT_TRUE(pool.note_connected(first[0], at(12)));
    const auto second = pool.open(at(12), 8);
    EXPECT_EQ(second.size(), 2U);
    pool.note_connect_failed(second[0], at(24));
    EXPECT_TRUE(pool.open(at(24), 8).empty()) << "backoff";
    ASSERT_TRUE(pool.next_connect(at(24)));
    EXPECT_TRUE(pool.note_connected(second[1], at(24)));
    EXPECT_LE(pool.open(*pool.next_connect(at(24)), 8).size(), 2U);
}

// Guards against reconnects that go on at the first pace, or stop, while a database stays away.
TEST(connection_pool, backoff_grows_to_its_bound) {
    const connection_pool_limits_fields limits;
    connection_pool pool{limits, 7};
    auto now = at(0);
    for (int failure = 0; failure < 20; ++failure) {
        const auto opened = pool.open(now, 1);
        ASSERT_EQ(opened.size(), 1U);
        pool.note_connect_failed(opened[0], now);
        const auto next = pool.next_connect(now);
        ASSERT_TRUE(next);
        EXPECT_LE(*next - now, limits.longest_backoff_);
        if (failure > 10) {
            EXPECT_GE(*next - now, limits.longest_backoff_ / 2);
        }
        now = *next;
    }
}

// Guards against idle transactions that take every connection from plain statements.
TEST(connection_pool, transactions_leave_connections_for_the_slots) {
    connection_pool pool{
        connection_pool_limits_fields{.connections_ = 4, .reserved_for_control_ = 0, .slots_ = 2}, 1};
    for (int round = 0; round < 8; ++round) {
        for (const auto id : pool.open(at(round), 4)) {
            EXPECT_TRUE(pool.note_connected(id, at(round)));
        }
        if (const auto id = pool.acquire(connection_use::transaction)) {
            pool.pause(*id);
        }
    }
    EXPECT_EQ(pool.counts()->pinned_, 2U);
    EXPECT_TRUE(pool.acquire(connection_use::statement));
}

// Guards against lost wake-ups and exceeded limits when many coroutines share few connections.
TEST(connection_pool, coroutines_share_the_connections) {
    boost::asio::io_context io;
    fake_database database;
    fake_pool pool{io.get_executor(), fake_opener{&database},
                   connection_pool_limits_fields{.connections_ = 6, .slots_ = 2}, "ledger-1", 1};
    int served = 0;
    int running = 0;
    int max_running = 0;
    const auto serve = [&](int number) -> boost::asio::awaitable<void> {
        auto taken = co_await pool.acquire(clock::now() + std::chrono::seconds{30});
        if (!taken) {
            co_return;
        }
        max_running = std::max(max_running, ++running);
        boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, clock::duration{1}};
        co_await timer.async_wait(boost::asio::use_awaitable);
        --running;
        ++served;
        // Each fourth request ends without an answer.
        if (number % 4 != 0) {
            taken->give_back();
        }
    };
    for (int number = 0; number < 100; ++number) {
        boost::asio::co_spawn(io, serve(number), boost::asio::detached);
    }
    io.run();
    EXPECT_EQ(served, 100);
    EXPECT_EQ(max_running, 2);
    EXPECT_LE(database.most_open_, 3);
    EXPECT_LE(database.most_connecting_, 3);
    EXPECT_GE(database.opened_, 25) << "a discarded connection was used again";
    EXPECT_EQ(pool.waiting(), 0U);
    pool.close();
    EXPECT_EQ(database.open_, 0);
}

// Guards against a waiter that nobody wakes while the database refuses connects, and one that is not told
// why.
TEST(connection_pool, waiter_gets_the_reason_or_the_connection_after_failures) {
    boost::asio::io_context io;
    fake_database database{.is_refusing_ = true};
    fake_pool pool{io.get_executor(), fake_opener{&database},
                   connection_pool_limits_fields{.first_backoff_ = clock::duration{2}}, "ledger-1", 1};
    std::optional<base::error> reason;
    bool was_served = false;
    const auto wait_short = [&]() -> boost::asio::awaitable<void> {
        auto taken = co_await pool.acquire(clock::now() + std::chrono::milliseconds{300});
        reason = taken ? std::nullopt : std::optional{taken.last_reason()};
        database.is_refusing_ = false;
    };
    const auto wait_long = [&]() -> boost::asio::awaitable<void> {
        auto taken = co_await pool.acquire(clock::now() + std::chrono::seconds{30});
        was_served = taken.has_value();
    };
    boost::asio::co_spawn(io, wait_short(), boost::asio::detached);
    boost::asio::co_spawn(io, wait_long(), boost::asio::detached);
    io.run();
    ASSERT_TRUE(reason);
    EXPECT_EQ(reason->kind(), base::error_kind::connection_failed);
    EXPECT_TRUE(was_served);
}

// Guards against a transaction that keeps its slot while its caller thinks, and one that loses its
// connection.
TEST(connection_pool, paused_transaction_frees_its_slot_and_keeps_its_connection) {
    boost::asio::io_context io;
    fake_database database;
    fake_pool pool{io.get_executor(), fake_opener{&database}, connection_pool_limits_fields{.slots_ = 1},
                   "ledger-1", 1};
    std::vector<std::string> order;
    const auto work = [&]() -> boost::asio::awaitable<void> {
        const auto deadline = clock::now() + std::chrono::seconds{30};
        auto transaction = co_await pool.acquire(deadline, connection_use::transaction);
        const auto number = (*transaction)->number();
        transaction->pause();
        auto statement = co_await pool.acquire(deadline);
        order.emplace_back((*statement)->number() == number ? "shared" : "statement");
        EXPECT_TRUE(co_await transaction->resume(clock::now() + std::chrono::milliseconds{5}));
        statement->give_back();
        EXPECT_FALSE(co_await transaction->resume(deadline));
        order.emplace_back((*transaction)->number() == number ? "resumed" : "other connection");
        transaction->give_back();
    };
    boost::asio::co_spawn(io, work(), boost::asio::detached);
    io.run();
    EXPECT_EQ(order, (std::vector<std::string>{"statement", "resumed"}));
}
