#include <proxy/fleet_knowledge.hpp>

#include <gtest/gtest.h>

#include <algorithm>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

/// Returns a revision in the first history of a store.
constexpr base::store_revision revision_at(std::uint64_t number) {
    return {base::store_era{1}, number};
}

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

constexpr base::clock::duration grace{5'000};

backends::database_listing listing(std::string id, backends::listed_role role) {
    backends::database_listing_fields fields;
    fields.id_ = std::move(id);
    fields.service_ = "svc";
    fields.role_ = role;
    return backends::database_listing{std::move(fields)};
}

daemons::takeover_record record(daemons::takeover_phase phase, std::string chosen, std::uint64_t revision) {
    return daemons::takeover_record{
        daemons::takeover_record_fields{"svc", phase, "i-1", std::move(chosen), revision_at(revision)}};
}

proxy::fleet_knowledge make_knowledge() {
    proxy::fleet_knowledge knowledge;
    knowledge.set_databases(
        {listing("i-1", backends::listed_role::primary), listing("i-2", backends::listed_role::replica)},
        at(0));
    return knowledge;
}

TEST(fleet_knowledge, UsesTheListedPrimaryBeforeTheFirstTakeover) {
    const auto view = make_knowledge().view_of("svc", 16);
    EXPECT_EQ(view->primary_, "i-1");
    EXPECT_EQ(view->primary_state_, backends::primary_state::usable);
}

TEST(fleet_knowledge, KnowsNoPrimaryWhileTwoDatabasesAreListedAsPrimary) {
    auto knowledge = make_knowledge();
    knowledge.update_database(listing("i-2", backends::listed_role::primary));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_state_, backends::primary_state::unknown);
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_, "");
}

// Guards against using a replaced primary because its entry in the server list still shows the primary role.
TEST(fleet_knowledge, FollowsTheRecordAndNotTheListedRole) {
    auto knowledge = make_knowledge();
    EXPECT_TRUE(knowledge.adopt(record(daemons::takeover_phase::open, "", 5)));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_state_, backends::primary_state::being_replaced);
    EXPECT_TRUE(knowledge.adopt(record(daemons::takeover_phase::settled, "i-2", 7)));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_, "i-2");
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_state_, backends::primary_state::usable);
}

// Guards against an outdated record from a peer that makes a replaced primary usable again.
TEST(fleet_knowledge, NeverGoesBackToAnOlderRecord) {
    auto knowledge = make_knowledge();
    EXPECT_TRUE(knowledge.adopt(record(daemons::takeover_phase::settled, "i-2", 7)));
    EXPECT_FALSE(knowledge.adopt(record(daemons::takeover_phase::open, "", 5)));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_, "i-2");
}

// Guards against a service that loses its primary because the entry of a live database has expired. In the
// incident lumipaiva inc-e1bb the entry came back after 3.4 s, but the primary had been removed after 2.6 s.
TEST(fleet_knowledge, KeepsADatabaseWhoseEntryIsGoneForAWhile) {
    auto knowledge = make_knowledge();
    knowledge.mark_vanished("i-1", at(1'000));
    knowledge.mark_vanished("i-1", at(2'000));
    EXPECT_FALSE(knowledge.remove_vanished(grace, at(5'999)));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_, "i-1");
    EXPECT_TRUE(knowledge.remove_vanished(grace, at(6'000)));
    EXPECT_EQ(knowledge.view_of("svc", 16)->primary_, "");
}

TEST(fleet_knowledge, ClearsTheVanishedMarkWhenTheEntryIsBack) {
    auto knowledge = make_knowledge();
    knowledge.set_databases({listing("i-2", backends::listed_role::replica)}, at(1'000));
    EXPECT_EQ(knowledge.vanished_since("i-1"), at(1'000));
    knowledge.update_database(listing("i-1", backends::listed_role::primary));
    EXPECT_FALSE(knowledge.remove_vanished(grace, at(60'000)));
}

std::map<std::string, daemons::registration>
registered(const std::vector<std::pair<std::string, std::uint64_t>>& entries) {
    std::map<std::string, daemons::registration> all;
    for (const auto& [address, revision] : entries) {
        all.emplace(address, daemons::registration{
                                 daemons::registration_fields{address, 1, false, revision_at(revision)}});
    }
    return all;
}

// Guards against treating two lists of registered daemons as the same version although a daemon was added,
// removed, marked or restarted in between.
TEST(fleet_knowledge, DistinguishesListsOfRegisteredDaemons) {
    const auto version_of = [](const std::vector<std::pair<std::string, std::uint64_t>>& entries) {
        proxy::fleet_knowledge knowledge;
        knowledge.set_daemons(registered(entries), {}, revision_at(0));
        return knowledge.possible_leaders_version();
    };
    const auto first = version_of({{"a", 5}, {"b", 7}});
    EXPECT_EQ(first, version_of({{"a", 5}, {"b", 7}}));
    EXPECT_NE(first, version_of({{"a", 5}, {"b", 7}, {"c", 9}}));
    EXPECT_NE(first, version_of({{"b", 7}}));
    EXPECT_NE(first, version_of({{"b", 7}, {"c", 9}}));
    EXPECT_NE(first, version_of({{"a", 9}, {"b", 7}}));
}

// Guards against peer rounds that do not ask a leader that is no candidate: it may have begun a takeover.
TEST(fleet_knowledge, CountsTheLeaderAmongThePossibleLeaders) {
    constexpr std::size_t daemons = 117;
    std::vector<std::pair<std::string, std::uint64_t>> entries;
    entries.reserve(daemons);
    for (std::size_t number = 0; number < daemons; ++number) {
        entries.emplace_back("10.1.0." + std::to_string(number) + ":7440", 5);
    }
    proxy::fleet_knowledge knowledge;
    knowledge.set_daemons(registered(entries), {}, revision_at(0));
    const auto candidates = knowledge.leader_candidates();
    EXPECT_EQ(knowledge.possible_leaders(), candidates);
    const auto without_leader = knowledge.possible_leaders_version();

    knowledge.set_daemons(registered(entries), candidates[0], revision_at(9));
    EXPECT_EQ(knowledge.possible_leaders(), candidates);
    EXPECT_NE(knowledge.possible_leaders_version(), without_leader);

    const auto other = std::find_if(entries.begin(), entries.end(), [&candidates](const auto& entry) {
        return std::find(candidates.begin(), candidates.end(), entry.first) == candidates.end();
    });
    knowledge.set_daemons(registered(entries), other->first, revision_at(10));
    EXPECT_EQ(knowledge.possible_leaders().size(), candidates.size() + 1);
    EXPECT_EQ(knowledge.possible_leaders().back(), other->first);
}

daemons::takeover_record record_of_era(std::uint64_t era, std::uint64_t number, std::string chosen) {
    return daemons::takeover_record{daemons::takeover_record_fields{"svc",
                                                                    daemons::takeover_phase::settled,
                                                                    "i-1",
                                                                    std::move(chosen),
                                                                    {base::store_era{era}, number},
                                                                    2}};
}

// Guards against a record of an earlier history that hides the one that was confirmed, so that the service is
// never taken over again.
TEST(fleet_knowledge, ReplacesItsRecordsByConfirmedOnes) {
    auto knowledge = make_knowledge();
    EXPECT_TRUE(knowledge.adopt(record_of_era(1, 82, "i-2")));
    EXPECT_FALSE(knowledge.adopt(record_of_era(1, 40, "i-1")));
    knowledge.replace_records({record_of_era(1, 40, "i-1")}, base::store_era{2});
    EXPECT_EQ(knowledge.record_of("svc"), record_of_era(1, 40, "i-1"));
    EXPECT_TRUE(knowledge.adopt(record_of_era(2, 30, "i-2")));
    knowledge.replace_records({record_of_era(1, 40, "i-1")}, base::store_era{2});
    EXPECT_EQ(knowledge.record_of("svc"), record_of_era(2, 30, "i-2"));
}

} // namespace
