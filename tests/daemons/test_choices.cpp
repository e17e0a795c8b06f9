#include <daemons/configuration_spread.hpp>
#include <daemons/connection_health.hpp>
#include <daemons/owner_choice.hpp>
#include <daemons/reconnect_backoff.hpp>
#include <daemons/rendezvous.hpp>
#include <daemons/watcher_choice.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace daemons;
using base::clock;

member make_member(int number, const std::string& region = "zagreb",
                   member_state state = member_state::live) {
    return member_fields{.name_ = "daemon-" + std::to_string(number),
                         .address_ = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
                         .region_ = region,
                         .failure_domain_ = "domain-" + std::to_string(number % 4),
                         .state_ = state};
}

std::vector<member> make_members(int count) {
    std::vector<member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        members.push_back(make_member(number));
    }
    return members;
}

std::string group_at(int number) {
    return "group-" + std::to_string(number);
}

constexpr int groups = 300;

// Simulates the configuration spread of a fleet in rounds: each daemon receives the announcement of one
// random other, and its fetch succeeds or is lost.
class spread_fleet {
public:
    spread_fleet(int size, std::uint64_t seed) : states_(static_cast<std::size_t>(size)), random_{seed} {
        for (auto& state : states_) {
            state.phase_ = spread_phase::ready;
        }
    }

    void take(std::size_t daemon, const spread_event& event) {
        const auto before = states_[daemon].revision_;
        auto next = step(states_[daemon], event, now_);
        RC_ASSERT(next.state_.revision_ >= before);
        RC_ASSERT((next.verdict_ == spread_step::verdict::accept) == (next.state_.revision_ > before));
        states_[daemon] = std::move(next.state_);
        if (next.fetch_) {
            finish_fetch(daemon, *next.fetch_);
        }
    }

    void round(int lost_percent) {
        now_ += min_fetch_interval;
        lost_percent_ = lost_percent;
        for (std::size_t daemon = 0; daemon < states_.size(); ++daemon) {
            const auto other = draw(states_.size());
            take(daemon, revision_announced{{address_of(other), states_[other].revision_}});
            take(daemon, spread_time_passed{});
        }
    }

    bool all_have(std::uint64_t revision) const {
        return std::ranges::all_of(states_,
                                   [revision](const auto& one) { return one.revision_ == revision; });
    }

    std::size_t draw(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
    }

private:
    static base::endpoint address_of(std::size_t daemon) {
        return {"127.0.0.1", static_cast<std::uint16_t>(daemon + 1)};
    }

    void finish_fetch(std::size_t daemon, const base::endpoint& peer) {
        if (static_cast<int>(draw(100)) < lost_percent_) {
            take(daemon, fetch_failed{});
        } else {
            take(daemon, fetch_succeeded{states_[peer.port() - 1U].revision_});
        }
    }

    std::vector<spread_state> states_;
    std::mt19937_64 random_;
    clock::time_point now_{};
    int lost_percent_ = 0;
};

} // namespace

// Guards against a hash that differs between hosts or builds: two daemons would then both act as owner of a
// group permanently.
TEST(rendezvous, weights_are_fixed_for_all_hosts) {
    // The daemons of a running fleet have to agree on this value, so changing it needs a new protocol
    // version.
    EXPECT_EQ(rendezvous_weight("ledger", "daemon-1"), 7'110'800'491'095'946'352U);
}

// Guards against moving more groups than necessary after the loss of a member: each move opens connections
// and starts with no observed state.
TEST(owner_choice, only_groups_of_a_lost_member_move) {
    EXPECT_TRUE(rc::check("owners stay", [] {
        auto members = make_members(*rc::gen::inRange(2, 30));
        const member_list before{members};
        const auto lost = *rc::gen::elementOf(members);
        std::erase(members, lost);
        const member_list after{members};
        for (int number = 0; number < groups; ++number) {
            const auto old_choice = choose_owner(before, "zagreb", group_at(number));
            const auto new_choice = choose_owner(after, "zagreb", group_at(number));
            RC_ASSERT(old_choice.has_value() && new_choice.has_value());
            if (old_choice->owner_ != lost) {
                RC_ASSERT(new_choice->owner_ == old_choice->owner_);
            }
        }
    }));
}

// Guards against an owner and a standby in the same failure domain, and against sending work to leaving or
// dead members.
TEST(owner_choice, standby_is_elsewhere_and_both_serve) {
    EXPECT_TRUE(rc::check("owner and standby are in different failure domains", [] {
        auto members = make_members(12);
        for (auto& one : members) {
            const auto state = *rc::gen::element(member_state::live, member_state::suspect,
                                                 member_state::leaving, member_state::dead);
            one = one.with([state](member_fields& fields) { fields.state_ = state; });
        }
        const member_list list{members};
        const auto choice = choose_owner(list, "zagreb", "ledger");
        RC_ASSERT(choice.has_value() == !list.serving().empty());
        if (!choice) {
            return;
        }
        RC_ASSERT(is_serving(choice->owner_));
        const auto domain = choice->owner_->failure_domain_;
        const bool other_domain = std::ranges::any_of(
            list.serving(), [&](const member& one) { return one->failure_domain_ != domain; });
        RC_ASSERT(choice->standby_.has_value() == (list.serving().size() > 1));
        if (other_domain) {
            RC_ASSERT(is_serving(*choice->standby_) && (*choice->standby_)->failure_domain_ != domain);
        }
    }));
}

// Guards against one member owning most of the groups.
TEST(owner_choice, groups_spread_over_the_members) {
    const member_list list{make_members(10)};
    std::map<std::string, int> owners;
    for (int number = 0; number < 3'000; ++number) {
        ++owners[choose_owner(list, "zagreb", group_at(number))->owner_->name_];
    }
    ASSERT_EQ(owners.size(), 10U);
    // 300 each on average with a standard deviation of 16; the tolerance is six of them.
    for (const auto& [name, count] : owners) {
        EXPECT_NEAR(count, 300, 100) << name;
    }
}

// Guards against a group without an owner while its region is down, and against an owner in the wrong region.
TEST(owner_choice, falls_back_to_other_regions_only_without_a_serving_member) {
    auto members = make_members(3);
    members.push_back(make_member(10, "split"));
    EXPECT_EQ(choose_owner(member_list{members}, "split", "g")->owner_->region_, "split");
    members.back() = make_member(10, "split", member_state::dead);
    EXPECT_EQ(choose_owner(member_list{members}, "split", "g")->owner_->region_, "zagreb");
    EXPECT_FALSE(choose_owner(member_list{}, "split", "g"));
}

// Guards against a store load that grows with the fleet: each region has two watchers, however many members.
TEST(watcher_choice, two_members_of_each_region_watch) {
    auto members = make_members(40);
    members.push_back(make_member(50, "split"));
    const member_list list{members};
    EXPECT_EQ(choose_watchers(list, "zagreb").size(), watchers_for_each_region);
    EXPECT_EQ(choose_watchers(list, "split").size(), 1U);
    const auto watching =
        std::ranges::count_if(members, [&list](const member& one) { return is_watcher(list, one->name_); });
    EXPECT_EQ(watching, 3);
}

// Guards against a return to an older revision when events arrive in any order.
TEST(configuration_spread, revisions_only_increase_and_reach_all_within_the_bound) {
    EXPECT_TRUE(rc::check("revisions only rise and spread", [] {
        const auto size = *rc::gen::inRange(2, 200);
        spread_fleet daemons{size, *rc::gen::arbitrary<std::uint64_t>()};
        const auto lost = *rc::gen::inRange(0, 50);
        for (std::uint64_t revision = 1; revision <= 5; ++revision) {
            daemons.take(daemons.draw(static_cast<std::size_t>(size)), store_responded{revision});
            daemons.take(0, store_responded{revision - 1});
            daemons.round(lost);
        }
        // A round corresponds to one second of the target of 13 s. 30 rounds bound the tail with half of the
        // fetches lost.
        int rounds = 0;
        while (!daemons.all_have(5) && rounds < 30) {
            daemons.round(lost);
            ++rounds;
        }
        RC_ASSERT(daemons.all_have(5));
    }));
}

// Guards against a fleet-wide spread that exceeds the target of 13 s without loss; a round corresponds to one
// second.
TEST(configuration_spread, reaches_thousands_of_daemons_within_13_rounds) {
    spread_fleet daemons{4'900, 3};
    daemons.take(0, store_responded{1});
    for (int round = 0; round < 13; ++round) {
        daemons.round(0);
    }
    EXPECT_TRUE(daemons.all_have(1));
}

// Guards against a restarted daemon that serves without a configuration while a peer has one, and against one
// that never reads the store when no peer has one.
TEST(configuration_spread, a_restarted_daemon_asks_peers_then_the_store) {
    const std::vector<base::endpoint> peers{{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    const auto start = step({}, spread_started{peers}, clock::time_point{});
    EXPECT_EQ(start.fetch_, peers[0]);
    const auto second = step(start.state_, fetch_failed{}, clock::time_point{});
    EXPECT_EQ(second.fetch_, peers[1]);
    EXPECT_EQ(second.state_.phase_, spread_phase::asking_peers);
    const auto found = step(second.state_, fetch_succeeded{4}, clock::time_point{});
    EXPECT_EQ(found.state_.phase_, spread_phase::ready);
    EXPECT_EQ(found.verdict_, spread_step::verdict::accept);
    const auto empty = step(second.state_, fetch_succeeded{0}, clock::time_point{});
    EXPECT_EQ(empty.state_.phase_, spread_phase::asking_store);
    EXPECT_EQ(step(empty.state_, store_responded{0}, clock::time_point{}).state_.phase_, spread_phase::ready);
}

// Guards against unresponsive connections that stay in use, and against unused ones that are kept forever.
TEST(connection_health, unresponsive_and_unused_connections_are_closed) {
    const peer_limits limits;
    const clock::time_point start{};
    connection_activity activity{.pending_requests_ = 1};
    EXPECT_EQ(decide_health(activity, limits, start).next_check_, start + limits.busy_heartbeat_interval_);
    const auto quiet = start + limits.busy_heartbeat_interval_;
    EXPECT_EQ(decide_health(activity, limits, quiet).action_, health_action::send_heartbeat);
    activity.heartbeat_sent_ = quiet;
    EXPECT_EQ(decide_health(activity, limits, quiet).action_, health_action::none);
    EXPECT_EQ(decide_health(activity, limits, quiet + limits.heartbeat_timeout_).action_,
              health_action::close_silent);
    const connection_activity idle{.last_received_ = start + limits.unused_timeout_};
    EXPECT_EQ(decide_health(idle, limits, start + limits.unused_timeout_).action_,
              health_action::close_unused);
}

// Guards against reconnect delays that shrink, grow without bound, or are the same for all clients.
TEST(reconnect_backoff, delays_double_up_to_their_maximum) {
    EXPECT_TRUE(rc::check("delays are bounded and jittered", [] {
        const peer_limits limits;
        const clock::time_point now{};
        reconnect_backoff backoff;
        auto delay = limits.initial_reconnect_delay_;
        const auto failures = *rc::gen::inRange(1, 20);
        for (int failure = 0; failure < failures; ++failure) {
            backoff = backoff.after_failure(limits, now, *rc::gen::arbitrary<std::uint64_t>());
            RC_ASSERT(!backoff.allows_attempt(now + delay / 2));
            RC_ASSERT(backoff.allows_attempt(now + delay));
            delay = std::min(2 * delay, limits.max_reconnect_delay_);
        }
    }));
}
