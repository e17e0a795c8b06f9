#include <stand_ins/database/decisions.hpp>
#include <stand_ins/database/transaction.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace stand_ins::database;

database_state primary_of_term_one() {
    database_state state;
    state.apply(start_group());
    return state;
}

database_request write_request(std::vector<std::string> statements, std::string key = {},
                               std::string fingerprint = {}) {
    return database_request_fields{.term_ = 1,
                                   .access_ = access_kind::write,
                                   .statements_ = std::move(statements),
                                   .key_ = std::move(key),
                                   .fingerprint_ = std::move(fingerprint)};
}

database_response execute(database_state& state, const database_request& request) {
    auto decided = decide_execute(state, request);
    state.apply(decided.changes_);
    return decided.answer_;
}

// Reads a number and writes its successor, as a caller does that needs isolation.
std::optional<transaction> increment_by_hand(const database_state& state, const transaction& open,
                                             const std::string& key) {
    const auto read = continue_transaction(state, open, write_request({"get " + key}));
    if (!read.next_) {
        return std::nullopt;
    }
    const auto& text = read.answer_.results_.front();
    const auto successor = std::to_string((text.empty() ? 0 : std::stoi(text)) + 1);
    return continue_transaction(state, *read.next_, write_request({"set " + key + " " + successor})).next_;
}

database_response settle(database_state& state, const database_request& request) {
    auto decided = decide_settle(state, request);
    state.apply(decided.changes_);
    return decided.answer_;
}

} // namespace

// Guards against a term that is granted to two proposers or that goes down, which would allow two primaries.
RC_GTEST_PROP(terms, a_term_is_granted_once, ()) {
    term_record record;
    std::map<std::uint64_t, std::string> granted;
    for (int step = 0; step < 60; ++step) {
        const auto before = record.term();
        const auto term = *rc::gen::inRange<std::uint64_t>(0, 12);
        const auto proposer = *rc::gen::element<std::string>("p", "q", "");
        const auto action = *rc::gen::inRange(0, 3);
        const auto next = action == 0   ? grant_term(record, term, proposer)
                          : action == 1 ? promote_in_term(record, term, proposer, 7)
                                        : follow_term(record, term);
        if (next && action == 0) {
            RC_ASSERT(granted.try_emplace(term, proposer).first->second == proposer);
        }
        if (next && action == 1) {
            RC_ASSERT(granted.contains(term) && granted[term] == proposer);
        }
        record = next.value_or(record);
        RC_ASSERT(record.term() >= before);
    }
}

// Guards against a keyed request that runs twice, and against a cancelled one that runs at all.
RC_GTEST_PROP(outcomes, a_key_is_run_once_or_cancelled, ()) {
    auto state = primary_of_term_one();
    std::map<std::string, bool> was_run;
    for (int step = 0; step < 40; ++step) {
        const auto key = *rc::gen::element<std::string>("a", "b", "c", "d");
        const bool settles = *rc::gen::arbitrary<bool>();
        const auto request = write_request({"add " + key + " 1"}, key, "content of " + key);
        const auto answer = settles ? settle(state, request) : execute(state, request);
        const bool is_first = was_run.try_emplace(key, !settles).second;
        if (settles) {
            RC_ASSERT(answer.outcome_ == (was_run[key] ? outcome::kind::done : outcome::kind::cancelled));
        } else {
            RC_ASSERT(answer.refusal_.has_value() != was_run[key]);
            RC_ASSERT(answer.replayed_ == (was_run[key] && !is_first));
        }
        RC_ASSERT(state.value(key).value_or("0") == (was_run[key] ? "1" : "0"));
    }
}

// Guards against an idempotency key that covers two different requests.
TEST(outcomes, another_fingerprint_conflicts) {
    auto state = primary_of_term_one();
    EXPECT_FALSE(execute(state, write_request({"set k 1"}, "key", "one")).refusal_);
    EXPECT_EQ(execute(state, write_request({"set k 2"}, "key", "two")).refusal_,
              refusal_reason::key_conflict);
    EXPECT_EQ(settle(state, write_request({}, "key", "two")).refusal_, refusal_reason::key_conflict);
    EXPECT_EQ(state.value("k"), "1");
}

// Guards against the release of an old outcome before a majority holds an entry of the current term.
TEST(outcomes, replay_in_a_later_term_waits_for_that_term) {
    auto state = primary_of_term_one();
    execute(state, write_request({"set k 1"}, "key"));
    state.apply(decide_raise(state, database_request_fields{.term_ = 4, .proposer_ = "p"}).changes_);
    state.apply(decide_promote(state, database_request_fields{.term_ = 4, .proposer_ = "p"}).changes_);
    const auto later = write_request({"set k 1"}, "key").with([](auto& fields) { fields.term_ = 4; });
    const auto replay = execute(state, later);
    EXPECT_TRUE(replay.replayed_);
    EXPECT_EQ(replay.position_, (base::log_position{4, 3}));
    EXPECT_EQ(execute(state, write_request({"set k 2"})).refusal_, refusal_reason::term_stale);
}

// Guards against stale reads from a replica that misses the caller's write or entries of the term.
TEST(decisions, replica_refuses_reads_that_it_must_not_serve) {
    auto replica = primary_of_term_one();
    replica.apply(term_record{1, "", 0});
    const database_request read{
        database_request_fields{.term_ = 1, .statements_ = {"get k"}, .minimum_ = {1, 2}}};
    EXPECT_EQ(execute(replica, read).refusal_, refusal_reason::behind);
    EXPECT_EQ(execute(replica, write_request({"set k 1"})).refusal_, refusal_reason::not_primary);
    replica.apply(term_record{2, "", 0});
    const auto newer = read.with([](auto& fields) { fields.term_ = 2; });
    EXPECT_EQ(execute(replica, newer).refusal_, refusal_reason::term_stale);
}

// Guards against statements that take effect although a later one of the request is invalid.
TEST(decisions, invalid_statement_leaves_no_effect) {
    auto state = primary_of_term_one();
    const std::vector<std::string> invalid{"add k x", "add k 9223372036854775808", "drop k", "set"};
    for (const auto& statement : invalid) {
        EXPECT_EQ(execute(state, write_request({"set k 1", statement})).refusal_,
                  refusal_reason::bad_statement);
    }
    EXPECT_FALSE(state.value("k"));
    const database_request read{database_request_fields{.term_ = 1, .statements_ = {"set k 1"}}};
    EXPECT_EQ(execute(state, read).refusal_, refusal_reason::bad_statement);
}

// Guards against lost updates and mixed statements: concurrent transactions leave a result that running the
// committed ones one after another also leaves.
RC_GTEST_PROP(transactions, committed_increments_are_all_kept, ()) {
    auto state = primary_of_term_one();
    std::map<int, transaction> open;
    std::map<std::string, int> added;
    std::map<int, std::vector<std::string>> touched;
    for (int step = 0; step < 60; ++step) {
        const auto client = *rc::gen::inRange(0, 3);
        const auto key = *rc::gen::element<std::string>("x", "y");
        const auto found = open.find(client);
        if (found == open.end()) {
            open.emplace(client, *begin_transaction(state, write_request({})).next_);
            touched[client].clear();
        } else if (*rc::gen::inRange(0, 3) > 0) {
            const auto next = increment_by_hand(state, found->second, key);
            touched[client].push_back(key);
            open.erase(found);
            if (next) {
                open.emplace(client, *next);
            }
        } else {
            const auto decided = commit_transaction(state, found->second, write_request({}));
            state.apply(decided.changes_);
            open.erase(found);
            for (const auto& one : decided.answer_.refusal_ ? std::vector<std::string>{} : touched[client]) {
                ++added[one];
            }
        }
        for (const auto& [name, count] : added) {
            RC_ASSERT(state.value(name).value_or("0") == std::to_string(count));
        }
    }
}

// Guards against dirty reads, and against a transaction that does not see its own writes.
TEST(transactions, writes_are_visible_inside_only_until_commit) {
    auto state = primary_of_term_one();
    const auto begun = begin_transaction(state, write_request({"set k 5"}));
    const auto read = continue_transaction(state, *begun.next_, write_request({"get k"}));
    EXPECT_EQ(read.answer_.results_, std::vector<std::string>{"5"});
    EXPECT_FALSE(state.value("k"));
    const auto committed = commit_transaction(state, *read.next_, write_request({}, "key"));
    state.apply(committed.changes_);
    EXPECT_EQ(state.value("k"), "5");
    const auto late = begin_transaction(state, write_request({"set k 6"}));
    const auto repeated = commit_transaction(state, *late.next_, write_request({}, "key"));
    EXPECT_TRUE(repeated.answer_.replayed_);
    EXPECT_TRUE(repeated.changes_.empty());
}

// Guards against a commit that is based on values which another request has replaced, or on a replaced term.
TEST(transactions, conflict_or_new_term_ends_a_transaction) {
    auto state = primary_of_term_one();
    const auto begun = begin_transaction(state, write_request({"get k"}));
    auto other = state;
    execute(other, write_request({"set k 7"}));
    EXPECT_EQ(commit_transaction(other, *begun.next_, write_request({})).answer_.refusal_,
              refusal_reason::write_conflict);
    state.apply(term_record{2, "p", 2});
    const auto later = write_request({}).with([](auto& fields) { fields.term_ = 2; });
    EXPECT_EQ(commit_transaction(state, *begun.next_, later).answer_.refusal_,
              refusal_reason::no_transaction);
}
