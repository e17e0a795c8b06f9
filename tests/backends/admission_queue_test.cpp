#include "tests/backends/admission_queue_simulation.hpp"

#include <backends/admission_queue.hpp>
#include <backends/first_come_first_served_queue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace {

using backends::admission_queue;
using base::clock;

clock::time_point at(std::int64_t ms) {
    return clock::time_point{clock::duration{ms}};
}

backends::queue_item item(std::uint64_t id, std::string rank, std::string tenant = "a",
                          std::int64_t deadline_ms = 10'000, std::uint64_t bytes = 10) {
    return backends::queue_item_fields{id, std::move(rank), std::move(tenant), bytes, at(deadline_ms)};
}

std::vector<simulation::burst> any_bursts() {
    return *rc::gen::container<std::vector<simulation::burst>>(rc::gen::exec([] {
        const auto begin = *rc::gen::inRange(0, 1'500);
        return simulation::burst{.rank_ = *rc::gen::inRange<std::size_t>(0, 4),
                                 .begin_ms_ = begin,
                                 .end_ms_ = begin + *rc::gen::inRange(1, 3'000),
                                 .items_per_ms_ = *rc::gen::inRange(1, 4),
                                 .tenants_ = *rc::gen::inRange(1, 5)};
    }));
}

} // namespace

// Guards against a flood of any rank, including the most urgent one, that takes slots guaranteed to another
// rank.
TEST(admission_queue, least_shares_hold_for_any_arrivals) {
    EXPECT_TRUE(rc::check("least shares", [] {
        const simulation::run_settings settings{.slots_ = *rc::gen::inRange<std::uint32_t>(1, 9),
                                                .seed_ = *rc::gen::arbitrary<std::uint32_t>()};
        admission_queue queue{simulation::declare(settings.slots_)};
        const auto history = simulation::run(queue, settings, any_bursts());
        RC_ASSERT(simulation::keeps_least_shares(history, settings.slots_, admission_queue::urgent_burst));
    }));
}

// Guards against a flood of each rank in turn while all other ranks request more than their share.
TEST(admission_queue, least_shares_hold_when_every_rank_floods) {
    for (std::size_t flooding = 0; flooding < simulation::rank_names.size(); ++flooding) {
        std::vector<simulation::burst> bursts;
        for (std::size_t rank = 0; rank < simulation::rank_names.size(); ++rank) {
            bursts.push_back({.rank_ = rank, .end_ms_ = 5'000, .items_per_ms_ = rank == flooding ? 20 : 1});
        }
        const simulation::run_settings settings{.slots_ = 2, .length_ms_ = 5'000};
        admission_queue queue{simulation::declare(settings.slots_)};
        EXPECT_TRUE(simulation::keeps_least_shares(simulation::run(queue, settings, bursts), settings.slots_,
                                                   admission_queue::urgent_burst))
            << simulation::rank_names[flooding];
    }
}

// Guards against a check of least shares that cannot fail: without ranks, a flood does take the guaranteed
// slots.
TEST(admission_queue, first_come_first_served_violates_the_least_shares) {
    const simulation::run_settings settings{.slots_ = 2};
    backends::first_come_first_served_queue queue{simulation::declare(settings.slots_)};
    const std::vector<simulation::burst> bursts{{.rank_ = 0, .end_ms_ = 3'000, .items_per_ms_ = 20},
                                                {.rank_ = 1, .end_ms_ = 3'000, .items_per_ms_ = 1}};
    EXPECT_FALSE(simulation::keeps_least_shares(simulation::run(queue, settings, bursts), settings.slots_,
                                                admission_queue::urgent_burst));
}

// Guards against items that are started twice or lost, and against a queue that exceeds its limits.
TEST(admission_queue, every_item_is_removed_once_and_limits_hold) {
    EXPECT_TRUE(rc::check("conservation and bounds", [] {
        constexpr std::uint32_t max_items = 12;
        admission_queue queue{simulation::declare(2, max_items)};
        std::set<std::uint64_t> waiting;
        std::set<std::uint64_t> running;
        std::int64_t now = 0;
        const auto expect_removed = [&](std::uint64_t id) {
            RC_ASSERT(waiting.erase(id) == 1U);
        };
        const auto steps = *rc::gen::inRange(1, 200);
        for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(steps); ++id) {
            now += *rc::gen::inRange(0, 12);
            const auto offered =
                item(id, simulation::rank_names[*rc::gen::inRange<std::size_t>(0, 4)],
                     *rc::gen::element<std::string>("a", "b"), now + *rc::gen::inRange(0, 200),
                     *rc::gen::inRange<std::uint64_t>(0, 400));
            const auto outcome = queue.offer(offered, at(now));
            std::for_each(outcome->displaced_.begin(), outcome->displaced_.end(),
                          [&](const auto& displaced) { expect_removed(displaced->id_); });
            if (!outcome->refused_) {
                waiting.insert(id);
            }
            RC_ASSERT(queue.load()->queued_ <= max_items);
            RC_ASSERT(queue.load()->bytes_ <= max_items * 100);
            if (!waiting.empty() && *rc::gen::inRange(0, 10) == 0) {
                const auto withdrawn = *waiting.begin();
                if (queue.withdraw(withdrawn)) {
                    expect_removed(withdrawn);
                }
            }
            const auto free = *rc::gen::inRange<std::uint32_t>(0, 3);
            const auto started = queue.next(at(now), free);
            RC_ASSERT(started.size() <= free);
            for (const auto next : started) {
                expect_removed(next);
                RC_ASSERT(running.insert(next).second);
            }
            for (const auto& late : queue.expire(at(now))) {
                expect_removed(late->id_);
            }
            if (!running.empty() && *rc::gen::inRange(0, 2) == 0) {
                queue.finish(*running.begin(), at(now));
                running.erase(running.begin());
            }
            RC_ASSERT(queue.load()->queued_ == waiting.size());
            RC_ASSERT(queue.load()->running_ == running.size());
        }
        for (const auto& late : queue.expire(at(now + 1'000))) {
            expect_removed(late->id_);
        }
        RC_ASSERT(waiting.empty());
    }));
}

// Guards against an urgent request that waits behind a backlog of other ranks.
TEST(admission_queue, urgent_item_goes_before_a_backlog) {
    admission_queue queue{simulation::declare(1)};
    for (std::uint64_t id = 1; id <= 50; ++id) {
        EXPECT_FALSE(queue.offer(item(id, id % 2 == 0 ? "low" : "normal"), at(0))->refused_);
    }
    ASSERT_EQ(queue.next(at(0), 1).size(), 1U);
    EXPECT_FALSE(queue.offer(item(99, "urgent"), at(5))->refused_);
    queue.finish(1, at(20));
    EXPECT_EQ(queue.next(at(20), 1), (std::vector<std::uint64_t>{99}));
}

// Guards against a tenant's backlog that delays the single request of another tenant.
TEST(admission_queue, tenants_are_served_round_robin) {
    admission_queue queue{simulation::declare(3)};
    for (std::uint64_t id = 1; id <= 20; ++id) {
        static_cast<void>(queue.offer(item(id, "urgent", "heavy"), at(0)));
    }
    static_cast<void>(queue.offer(item(21, "urgent", "light"), at(0)));
    EXPECT_EQ(queue.next(at(0), 3), (std::vector<std::uint64_t>{1, 21, 2}));
}

// Guards against a full queue that refuses urgent requests, and against displaced items that are not
// reported.
TEST(admission_queue, urgent_item_displaces_the_newest_least_urgent_one) {
    admission_queue queue{simulation::declare(1, 20)};
    std::uint64_t id = 0;
    while (!queue.offer(item(++id, "bulk"), at(0))->refused_) {
    }
    const auto outcome = queue.offer(item(100, "urgent"), at(0));
    EXPECT_FALSE(outcome->refused_);
    EXPECT_TRUE(outcome->displaced_.empty()) << "the rank's reserve has free capacity";
    std::vector<backends::queue_refusal> displaced;
    for (std::uint64_t urgent = 101; displaced.empty() && urgent < 200; ++urgent) {
        displaced = queue.offer(item(urgent, "urgent"), at(0))->displaced_;
    }
    ASSERT_EQ(displaced.size(), 1U);
    EXPECT_EQ(displaced[0]->id_, id - 1);
    EXPECT_EQ(displaced[0]->reason_.kind(), base::error_kind::overloaded);
    EXPECT_GT(displaced[0]->retry_after_.count(), 0);
}

// Guards against requests that are queued although their deadline will pass first, and against an estimate
// that refuses every request permanently after the database was stalled.
TEST(admission_queue, request_beyond_the_estimate_is_refused_except_for_one_trial) {
    admission_queue queue{simulation::declare(1)};
    static_cast<void>(queue.offer(item(1, "low", "a", 5'000), at(0)));
    ASSERT_EQ(queue.next(at(0), 1).size(), 1U);
    queue.finish(1, at(3'000));
    EXPECT_FALSE(queue.offer(item(2, "low", "a", 3'600), at(3'100))->refused_) << "trial";
    const auto refused = queue.offer(item(3, "low", "a", 3'600), at(3'100))->refused_;
    ASSERT_TRUE(refused);
    EXPECT_EQ((*refused)->reason_.kind(), base::error_kind::overloaded);
    EXPECT_GT((*refused)->retry_after_.count(), 0);
}

// Guards against a tenant without its own limit that is not bound by the default one, and against counts that
// are not decremented.
TEST(admission_queue, tenant_limit_counts_queued_and_running) {
    const auto declaration = simulation::declare(2).with([](auto& fields) {
        fields.tenants_ = {{.name_ = "default", .most_in_flight_ = 2},
                           {.name_ = "big", .most_in_flight_ = 3}};
    });
    admission_queue queue{declaration};
    EXPECT_FALSE(queue.offer(item(1, "low"), at(0))->refused_);
    ASSERT_EQ(queue.next(at(0), 1).size(), 1U);
    EXPECT_FALSE(queue.offer(item(2, "low"), at(0))->refused_);
    EXPECT_TRUE(queue.offer(item(3, "low"), at(0))->refused_);
    EXPECT_FALSE(queue.offer(item(4, "low", "big"), at(0))->refused_);
    queue.finish(1, at(1));
    EXPECT_FALSE(queue.offer(item(5, "low"), at(1))->refused_);
}

// Guards against a tenant whose flood of a less urgent rank blocks its own more urgent requests.
TEST(admission_queue, tenant_limit_applies_to_each_rank_separately) {
    const auto declaration = simulation::declare(2).with(
        [](auto& fields) { fields.tenants_ = {{.name_ = "default", .most_in_flight_ = 2}}; });
    admission_queue queue{declaration};
    EXPECT_FALSE(queue.offer(item(1, "low"), at(0))->refused_);
    EXPECT_FALSE(queue.offer(item(2, "low"), at(0))->refused_);
    EXPECT_TRUE(queue.offer(item(3, "low"), at(0))->refused_);
    EXPECT_FALSE(queue.offer(item(4, "normal"), at(0))->refused_);
}

// Guards against statements that are counted instead of measured: a rank with long statements would exceed
// its share.
TEST(admission_queue, long_statements_of_a_flooding_rank_leave_the_others_their_share) {
    admission_queue queue{simulation::declare(1)};
    std::uint64_t id = 0;
    std::int64_t now = 0;
    std::map<std::string, std::int64_t> used;
    while (now < 20'000) {
        for (const auto* rank : {"normal", "low"}) {
            static_cast<void>(queue.offer(item(++id, rank, rank, 100'000), at(now)));
        }
        const auto before = queue.load();
        const auto started = queue.next(at(now), 1);
        ASSERT_EQ(started.size(), 1U);
        const bool is_low = before->ranks_[2].queued_ != queue.load()->ranks_[2].queued_;
        const std::int64_t length = is_low ? 10 : 200;
        used[is_low ? "low" : "normal"] += length;
        now += length;
        queue.finish(started[0], at(now));
    }
    // Weights 3 and 2: surplus capacity is divided in slot time, not in statements.
    EXPECT_GT(used["low"], now * 3 / 10);
    EXPECT_GT(used["normal"], now * 5 / 10);
}

// Guards against statements that exceed their estimate and are charged only when they end: until then, a rank
// could take one slot after another.
TEST(admission_queue, statements_beyond_their_estimate_are_charged_while_they_run) {
    constexpr std::uint32_t slots = 4;
    admission_queue queue{simulation::declare(slots)};
    std::uint64_t id = 0;
    std::map<std::uint64_t, std::int64_t> ends;
    std::set<std::uint64_t> low;
    std::uint32_t long_ones = 0;
    for (std::int64_t now = 0; now < 2'000; ++now) {
        while (!ends.empty() && ends.begin()->second <= now) {
            queue.finish(ends.begin()->first, at(now));
            ends.erase(ends.begin());
        }
        static_cast<void>(queue.offer(item(++id, "normal", "n", 100'000), at(now)));
        low.insert(++id);
        static_cast<void>(queue.offer(item(id, "low", "l", 100'000), at(now)));
        const bool is_flood = now >= 1'000;
        for (int more = 0; is_flood && more < 8; ++more) {
            static_cast<void>(queue.offer(item(++id, "normal", "n", 100'000), at(now)));
        }
        const auto busy = static_cast<std::uint32_t>(ends.size()) + long_ones;
        for (const auto started : queue.next(at(now), slots - busy)) {
            if (is_flood && low.contains(started)) {
                ++long_ones;
            } else {
                ends.emplace(started, now + 1);
            }
        }
    }
    // The least share of the other rank is one of the four slots.
    EXPECT_LE(long_ones, 3U);
    EXPECT_GE(long_ones, 1U);
}
