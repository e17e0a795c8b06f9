#include <daemons/fleet_message.hpp>
#include <daemons/lease_expiry.hpp>
#include <daemons/message_codec.hpp>
#include <daemons/primary_lease.hpp>
#include <daemons/takeover_claim.hpp>
#include <daemons/takeover_decision.hpp>
#include <daemons/takeover_record.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace {

/// Returns a revision in the first history of a store.
constexpr base::store_revision revision_at(std::uint64_t number) {
    return {base::store_era{1}, number};
}

using daemons::peer_list;
using daemons::primary_lease;
using daemons::takeover_claim;
using daemons::takeover_decision;

base::clock::time_point at(std::int64_t milliseconds) {
    return base::clock::time_point{base::clock::duration{milliseconds}};
}

base::clock::duration ms(std::int64_t count) {
    return base::clock::duration{count};
}

constexpr daemons::primary_lease_limits limits{base::clock::duration{4'000}, base::clock::duration{12'000}};

TEST(primary_lease, HasExpiredInitially) {
    EXPECT_EQ(primary_lease{limits}.expiry(), base::clock::time_point{});
}

// Guards against using a primary because of a response that was in transit while a takeover began.
TEST(primary_lease, CountsFromTheRequest) {
    primary_lease lease{limits};
    lease.note_store_read(at(1'000));
    EXPECT_EQ(lease.expiry(), at(5'000));
    lease.note_store_read(at(500));
    EXPECT_EQ(lease.expiry(), at(5'000));
}

TEST(primary_lease, CountsAPeersResponseFromThePeersOwnRead) {
    primary_lease lease{limits};
    lease.note_peer(at(3'000), ms(1'000), peer_list::same);
    EXPECT_EQ(lease.expiry(), at(6'000));
    EXPECT_EQ(lease.store_age(at(3'500)), std::nullopt);
}

// Guards against daemons that renew each other's leases forever without the store, while a new daemon that is
// unknown to them replaces a primary.
TEST(primary_lease, CountsPeerRoundsOnlyForALimitedTimeAfterTheLastStoreRead) {
    primary_lease lease{limits};
    lease.note_peer_round(at(1'000));
    EXPECT_EQ(lease.expiry(), base::clock::time_point{});
    lease.note_store_read(at(1'000));
    lease.note_peer_round(at(9'000));
    EXPECT_EQ(lease.expiry(), at(13'000));
    lease.note_peer_round(at(11'000));
    EXPECT_EQ(lease.expiry(), at(13'000));
}

// Guards against a later store read that extends a peer round: its expiry is fixed when the round is
// accepted.
TEST(primary_lease, DoesNotExtendAPeerRoundByALaterRead) {
    primary_lease lease{limits};
    lease.note_store_read(at(0));
    lease.note_peer_round(at(11'000));
    EXPECT_EQ(lease.expiry(), at(12'000));
    lease.note_peer(at(11'500), ms(11'000), peer_list::same);
    EXPECT_EQ(lease.expiry(), at(12'000));
}

// Guards against peer rounds that leave out a daemon which has registered since: a daemon without access to
// the store renewed its lease from its peers' responses, and asked only those that it knew from its own last
// read.
TEST(primary_lease, DoesNotExtendPeerRoundsByPeersWithAnotherList) {
    primary_lease lease{limits};
    lease.note_store_read(at(0));
    lease.note_peer(at(10'000), ms(0), peer_list::other);
    EXPECT_EQ(lease.expiry(), at(14'000));
    lease.note_peer_round(at(13'000));
    EXPECT_EQ(lease.expiry(), at(14'000));
    EXPECT_EQ(lease.list_age(at(13'000)), ms(13'000));
    lease.note_peer(at(13'000), ms(0), peer_list::same);
    lease.note_peer_round(at(16'000));
    EXPECT_EQ(lease.expiry(), at(20'000));
}

TEST(primary_lease, IsInvalidatedWhenTheDaemonIsNotRegistered) {
    primary_lease lease{limits};
    lease.note_store_read(at(1'000));
    lease.note_peer_round(at(2'000));
    lease.clear();
    EXPECT_EQ(lease.expiry(), base::clock::time_point{});
}

// Guards against a lease that outlasts what any request has confirmed.
RC_GTEST_PROP(primary_lease, NeverOutlastsTheNewestRequestByMoreThanItsDuration, ()) {
    primary_lease lease{limits};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3'000)));
    std::int64_t now = 100'000;
    for (const auto& [kind, step] : steps) {
        now += step;
        if (kind == 0) {
            lease.note_store_read(at(now));
        } else if (kind == 1) {
            lease.note_peer(at(now), ms(step), peer_list::same);
        } else {
            lease.note_peer_round(at(now));
        }
        RC_ASSERT(lease.expiry() <= at(now) + limits.valid_for_);
    }
}

daemons::primary_condition failing(std::int64_t for_ms) {
    daemons::primary_condition condition;
    condition.failing_for_ = ms(for_ms);
    condition.peers_ = 4;
    return condition;
}

TEST(decide_takeover, KeepsAPrimaryThatResponds) {
    EXPECT_EQ(daemons::decide_takeover({}), takeover_decision::nothing);
}

TEST(decide_takeover, ReplacesAPrimaryThatTwoDaemonsFindFailing) {
    auto condition = failing(500);
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::ask_peers);
    condition.peers_failing_ = 1;
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_failed);
}

// Guards against a takeover by a daemon that is the only one unable to reach a healthy primary.
TEST(decide_takeover, KeepsAPrimaryThatAnyDaemonReaches) {
    auto condition = failing(60'000);
    condition.peers_failing_ = 2;
    condition.peers_reaching_ = 1;
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::ask_peers);
}

TEST(decide_takeover, DoesNotActAloneBeforeTheServerListConfirms) {
    auto condition = failing(10'000);
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::ask_peers);
    condition.unlisted_for_ = ms(0);
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_failed);
}

TEST(decide_takeover, ReplacesADrainingPrimary) {
    daemons::primary_condition condition;
    condition.draining_for_ = base::clock::duration{0};
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_planned);
}

// Guards against a planned takeover that starts beside a daemon that is silent for a moment, and against one
// that never starts beside a daemon that is gone.
TEST(decide_takeover, DelaysThePlannedReplacementBrieflyForSilentDaemons) {
    daemons::primary_condition condition;
    condition.draining_for_ = base::clock::duration{1'400};
    condition.unheard_peers_ = 1;
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::nothing);
    condition.draining_for_ = base::clock::duration{1'500};
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_planned);
}

// Guards against a service that never gets a primary because none is listed and none was recorded, and
// against replacing a primary whose entry is about to come back (review/4).
TEST(decide_takeover, ReplacesAPrimaryThatStaysUnknown) {
    daemons::primary_condition condition;
    condition.unknown_for_ = base::clock::duration{2'900};
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::nothing);
    condition.unknown_for_ = base::clock::duration{3'000};
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_failed);
}

// Guards against waiting for silent daemons while the draining primary has already failed.
TEST(decide_takeover, ReplacesADrainingPrimaryThatFailsAtOnce) {
    auto condition = failing(150);
    condition.draining_for_ = base::clock::duration{0};
    condition.unheard_peers_ = 1;
    condition.peers_failing_ = 1;
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::replace_failed);
}

TEST(decide_takeover, FinishesATakeoverOfAnEarlierLeader) {
    auto condition = failing(500);
    condition.is_being_replaced_ = true;
    condition.draining_for_ = base::clock::duration{0};
    EXPECT_EQ(daemons::decide_takeover(condition), takeover_decision::finish);
}

TEST(takeover_record, RoundTripsThroughTheStore) {
    const daemons::takeover_record record{daemons::takeover_record_fields{
        "svc", daemons::takeover_phase::promoting, "i-1", "i-2", revision_at(17), 4}};
    EXPECT_EQ(daemons::decode_record("svc", daemons::encode_record(record), revision_at(17)), record);
    EXPECT_EQ(daemons::decode_record("svc", "{}", revision_at(17)), std::nullopt);
    EXPECT_EQ(daemons::decode_record("svc", "not json", revision_at(17)), std::nullopt);
    EXPECT_EQ(
        daemons::decode_record("svc", R"({"phase":"other","replaced":"a","chosen":"b"})", revision_at(1)),
        std::nullopt);
}

// Guards against taking any term for a new one when a record does not tell the term of the last primary.
TEST(takeover_record, HasAnUnknownTermUnlessItTellsOne) {
    const auto record =
        daemons::decode_record("svc", R"({"phase":"settled","replaced":"a","chosen":"b"})", revision_at(17));
    ASSERT_TRUE(record);
    EXPECT_EQ((*record)->primary_term_, daemons::unknown_term);
    EXPECT_EQ(daemons::damaged_record("svc", revision_at(17))->primary_term_, daemons::unknown_term);
}

TEST(registration, RoundTripsThroughTheStore) {
    const daemons::registration entry{
        daemons::registration_fields{"10.0.0.1:7440", 18446744073709551615ULL, true, revision_at(5)}};
    EXPECT_EQ(
        daemons::decode_registration("10.0.0.1:7440", daemons::encode_registration(entry), revision_at(5)),
        entry);
    EXPECT_EQ(daemons::decode_registration("a", R"({"run":-1,"marked":true})", revision_at(5)), std::nullopt);
}

daemons::fleet_message sample_message() {
    daemons::fleet_message_fields fields;
    fields.kind_ = daemons::fleet_message_kind::response;
    fields.number_ = 42;
    fields.sender_ = "10.0.0.1:7440";
    fields.run_ = 7;
    fields.era_ = base::store_era{1};
    fields.store_read_age_ = ms(120);
    fields.known_run_ = 9;
    fields.possible_leaders_ = {31, revision_at(77)};
    fields.registered_daemons_ = 117;
    fields.records_ = {daemons::takeover_record{
        daemons::takeover_record_fields{"svc", daemons::takeover_phase::open, "i-1", "", revision_at(3)}}};
    fields.leader_ = "10.0.0.2:7440";
    fields.leader_revision_ = revision_at(76);
    fields.records_digest_ = daemons::digest_of(fields.records_);
    fields.grace_ = ms(400);
    fields.active_takeovers_ = {"svc"};
    fields.received_ = {revision_at(81), revision_at(64)};
    fields.configuration_version_ = 22;
    fields.primaries_ = {daemons::observed_primary{
        daemons::observed_primary_fields{"svc", "i-1", daemons::primary_observation::fails}}};
    return daemons::fleet_message{fields};
}

TEST(fleet_message, RoundTripsThroughTheEncoding) {
    const auto bytes = daemons::encode_message(sample_message());
    const auto decoded = daemons::decode_message<daemons::fleet_message>(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, sample_message());
}

// Guards against accepting a truncated or foreign datagram as a message.
TEST(fleet_message, RefusesEveryPrefix) {
    const auto bytes = daemons::encode_message(sample_message());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(daemons::decode_message<daemons::fleet_message>(bytes.substr(0, length))) << length;
    }
}

// Guards against a takeover that does not wait for daemons that ask others about takeovers, but not this one:
// a leader that is no candidate, or a candidate that has displaced another one only now.
TEST(latest_lease_expiry, WaitsUntilAllDaemonsKnowTheLeader) {
    const daemons::primary_lease_limits limits{ms(2'500), ms(12'000)};
    daemons::takeover_times times;
    times.recorded_at_ = at(100'000);
    times.registered_at_ = at(1'000);
    times.acquired_at_ = at(99'000);
    EXPECT_EQ(daemons::latest_lease_expiry(times, limits), at(99'000 + 12'000 + 2'500));
    times.candidate_since_ = at(1'000);
    EXPECT_EQ(daemons::latest_lease_expiry(times, limits), at(102'500));
    times.candidate_since_ = at(98'000);
    EXPECT_EQ(daemons::latest_lease_expiry(times, limits), at(98'000 + 12'000 + 2'500));
    times.acquired_at_ = at(50'000);
    EXPECT_EQ(daemons::latest_lease_expiry(times, limits), at(102'500));
}

// Guards against a takeover by a daemon that has just registered, which the others do not ask yet.
TEST(latest_lease_expiry, WaitsForNewcomers) {
    const daemons::primary_lease_limits limits{ms(2'500), ms(12'000)};
    daemons::takeover_times times;
    times.recorded_at_ = at(100'000);
    times.registered_at_ = at(95'000);
    times.candidate_since_ = at(95'000);
    times.acquired_at_ = at(96'000);
    EXPECT_EQ(daemons::latest_lease_expiry(times, limits), at(95'000 + 12'000 + 2'500));
}

// Guards against a takeover that waits for unresponsive daemons while its daemon loses the leadership and
// acquires it again: the leader in between has finished the takeover, and continuing would promote a second
// database next to the one in use.
TEST(takeover_claim, EndsWithTheLeadershipEvenIfItIsAcquiredAgain) {
    const takeover_claim claim{revision_at(7), revision_at(10)};
    EXPECT_TRUE(is_current(claim, revision_at(7), revision_at(10)));
    EXPECT_FALSE(is_current(claim, std::nullopt, revision_at(10)));
    EXPECT_FALSE(is_current(claim, revision_at(25), revision_at(10)));
}

// Guards against a takeover of a primary that another leader has replaced in the meantime.
TEST(takeover_claim, EndsWithARecordOfAnotherLeader) {
    const takeover_claim claim{revision_at(7), revision_at(10)};
    EXPECT_FALSE(is_current(claim, revision_at(7), revision_at(20)));
    EXPECT_FALSE(is_current(claim, revision_at(25), revision_at(20)));
}

// Guards against a record that a daemon of one history of the store wrote and that is taken for one of
// another.
TEST(takeover_record, StatesTheHistoryInWhichItWasWritten) {
    const daemons::takeover_record written{daemons::takeover_record_fields{
        "svc", daemons::takeover_phase::settled, "i-1", "i-2", {base::store_era{3}, 0}, 4}};
    const auto value = daemons::encode_record(written);
    const auto read_later = daemons::decode_record("svc", value, {base::store_era{5}, 17});
    ASSERT_TRUE(read_later);
    EXPECT_EQ((*read_later)->revision_, (base::store_revision{base::store_era{3}, 17}));
    EXPECT_FALSE(daemons::decode_record("svc", value, {base::store_era{2}, 17}));
}

// Guards against evidence of an earlier history of the store that is extended by peers after its return, and
// against callers who lose the primary as soon as a daemon learns of it.
TEST(primary_lease, KeepsButDoesNotExtendEvidenceFromBeforeAReturnOfTheStore) {
    daemons::primary_lease lease{{ms(2'500), ms(12'000)}};
    lease.note_store_read(at(1'000));
    lease.note_store_return();
    EXPECT_EQ(lease.expiry(), at(3'500));
    EXPECT_FALSE(lease.store_age(at(1'100)));
    lease.note_peer_round(at(3'000));
    EXPECT_EQ(lease.expiry(), at(3'500));
    lease.note_store_read(at(3'200));
    EXPECT_EQ(lease.expiry(), at(5'700));
}

} // namespace
