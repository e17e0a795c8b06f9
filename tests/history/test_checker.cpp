#include <tests/history/recorded_run.hpp>
#include <utilities/history/history_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace {

using history::rule;
using recorded::step;

using rules = std::set<rule>;

// A run with every kind of step, around whose middle a test plants one violation.
recorded::run generate_run() {
    recorded::run generated;
    const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 7U));
    for (const auto number : steps) {
        generated.perform(static_cast<step>(number), *rc::gen::inRange(0U, 4U), *rc::gen::inRange(0U, 3U));
    }
    return generated;
}

// Performs one step with a session and a key that the generator does not use.
void perform_apart(recorded::run& generated, step what) {
    generated.perform(what, 9, 9);
}

history::request_record& last_record(recorded::run& generated) {
    return generated.records_.back();
}

template <typename Change>
void change_last_record(recorded::run& generated, Change change) {
    last_record(generated) = last_record(generated).with(change);
}

template <typename Change>
void change_last_entry(recorded::run& generated, Change change) {
    generated.entries_.back() = generated.entries_.back().with(change);
}

void append_copy(recorded::run& generated, history::log_entry entry) {
    generated.entries_.push_back(entry.with([&generated](auto& fields) {
        fields.position_ = {1, generated.entries_.size() + 1};
    }));
}

// Guards against a checker that reports correct runs.
RC_GTEST_PROP(checker, accepts_correct_runs, ()) {
    const auto generated = generate_run();
    RC_ASSERT(generated.check().empty());
}

// Guards against an acknowledged write that is in no log after a change of primary.
RC_GTEST_PROP(checker, finds_a_lost_write, ()) {
    auto generated = generate_run();
    perform_apart(generated, *rc::gen::element(step::write, step::keyed_write));
    generated.entries_.pop_back();
    RC_ASSERT(generated.broken_rules() == rules{rule::acknowledged_write_lost});
}

// Guards against a retry that runs a request a second time, with and without a key.
RC_GTEST_PROP(checker, finds_a_doubled_write, ()) {
    auto generated = generate_run();
    perform_apart(generated, *rc::gen::element(step::write, step::keyed_write, step::lost_response));
    append_copy(generated, generated.entries_.back());
    RC_ASSERT(generated.broken_rules() == rules{rule::write_doubled});
}

// Guards against a transaction that takes in a statement of another request.
RC_GTEST_PROP(checker, finds_mixed_statements, ()) {
    auto generated = generate_run();
    const auto what = *rc::gen::element(step::write, step::keyed_write);
    perform_apart(generated, what);
    const auto foreign = last_record(generated)->statements_.front();
    generated.perform(what, 8, 8);
    change_last_entry(generated, [&foreign](auto& fields) { fields.statements_.push_back(foreign); });
    RC_ASSERT(generated.broken_rules() == rules{rule::statements_mixed});
}

// Guards against an entry that holds only a part of its request.
RC_GTEST_PROP(checker, finds_a_partial_entry, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::keyed_write);
    change_last_entry(generated, [](auto& fields) { fields.statements_.pop_back(); });
    RC_ASSERT(generated.broken_rules() == rules{rule::statements_mixed});
}

// Guards against a request that was reported as not run although a database had run it.
RC_GTEST_PROP(checker, finds_a_not_run_that_ran, ()) {
    auto generated = generate_run();
    perform_apart(generated, *rc::gen::element(step::write, step::keyed_write));
    change_last_record(generated, [](auto& fields) {
        fields.outcome_ = base::outcome::not_run;
        fields.error_ = base::error_kind::overloaded;
        fields.results_.clear();
    });
    RC_ASSERT(generated.broken_rules() == rules{rule::not_run_ran});
}

// Guards against a cancelled key that runs after all, which the outcome of another submission cannot excuse.
RC_GTEST_PROP(checker, finds_a_cancelled_key_that_ran, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::keyed_write);
    generated.perform(step::repeat, 9, 9);
    change_last_record(generated, [](auto& fields) {
        fields.outcome_ = base::outcome::not_run;
        fields.error_ = base::error_kind::key_cancelled;
        fields.results_.clear();
    });
    RC_ASSERT(generated.broken_rules() == rules{rule::not_run_ran});
}

// Guards against counting the refusal of one submission against the key that another submission ran.
RC_GTEST_PROP(checker, accepts_a_refused_repeat, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::keyed_write);
    generated.perform(step::repeat, 9, 9);
    change_last_record(generated, [](auto& fields) {
        fields.outcome_ = base::outcome::not_run;
        fields.error_ = base::error_kind::overloaded;
        fields.results_.clear();
    });
    RC_ASSERT(generated.check().empty());
}

// Guards against a lagging replica that serves a session which has written since.
RC_GTEST_PROP(checker, finds_a_stale_read, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::write);
    const auto older = last_record(generated)->results_.front();
    perform_apart(generated, step::write);
    perform_apart(generated, step::read);
    const auto seen = *rc::gen::element(older, std::string{});
    change_last_record(generated, [&seen](auto& fields) { fields.results_ = {seen}; });
    RC_ASSERT(generated.broken_rules() == rules{rule::stale_read});
}

// Guards against demanding more than read-your-writes: another session, and a read sent before the answer.
RC_GTEST_PROP(checker, accepts_an_older_value_where_nothing_newer_was_promised, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::write);
    const auto older = last_record(generated)->results_.front();
    perform_apart(generated, step::write);
    const auto sent = last_record(generated)->sent_us_;
    const bool other_session = *rc::gen::arbitrary<bool>();
    generated.perform(step::read, other_session ? 8 : 9, 9);
    change_last_record(generated, [&older, sent, other_session](auto& fields) {
        fields.results_ = {older};
        fields.sent_us_ = other_session ? fields.sent_us_ : sent;
    });
    RC_ASSERT(generated.check().empty());
}

// Guards against an answer that is handed to the wrong request: another value, another key, another length.
RC_GTEST_PROP(checker, finds_a_foreign_response, ()) {
    auto generated = generate_run();
    perform_apart(generated, step::write);
    const auto foreign = last_record(generated)->results_;
    const auto what = *rc::gen::element(step::write, step::read);
    generated.perform(what, 8, 8);
    const auto longer = *rc::gen::arbitrary<bool>();
    change_last_record(generated, [&foreign, longer](auto& fields) {
        if (longer) {
            fields.results_.push_back(foreign.front());
        } else {
            fields.results_.front() = foreign.front();
        }
    });
    RC_ASSERT(generated.broken_rules() == rules{rule::foreign_answer});
}

// Guards against taking one database's word when another holds something else at the same position.
TEST(checker, finds_logs_that_disagree) {
    recorded::run generated;
    generated.perform(step::write, 1, 1);
    const auto other = generated.entries_.back().with([](auto& fields) { fields.results_ = {"other"}; });
    const std::vector<history::database_log> logs{
        history::database_log_fields{"ledger_1", generated.entries_},
        history::database_log_fields{"ledger_2", {generated.entries_.front(), other}}};
    const auto found = history::check_history(generated.records_, logs);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().rule_, rule::logs_disagree);
}

// Guards against a pass because the log of a service was not read.
TEST(checker, finds_a_missing_log) {
    recorded::run generated;
    generated.perform(step::write, 1, 1);
    const auto found = history::check_history(generated.records_, {});
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().rule_, rule::logs_missing);
}

// Guards against a key that is looked for in another form than the daemons give it to the databases.
TEST(checker, knows_the_form_of_recorded_keys) {
    const history::request_record keyed{
        history::request_record_fields{.tenant_ = "zagreb", .key_ = "warm-up"}};
    EXPECT_EQ(history::recorded_key(keyed), "6:zagrebwarm-up");
    EXPECT_EQ(history::recorded_key(history::request_record{}), "");
}

// Guards against a key of one tenant that is taken for the same key of another.
TEST(checker, keeps_the_keys_of_tenants_apart) {
    recorded::run generated;
    generated.perform(step::keyed_write, 1, 1);
    const auto number = generated.records_.size();
    generated.perform(step::keyed_write, 1, 1);
    generated.records_[number] = generated.records_[number].with([&generated](auto& fields) {
        fields.tenant_ = "split";
        fields.key_ = generated.records_.front()->key_;
    });
    const auto key = history::recorded_key(generated.records_[number]);
    change_last_entry(generated, [&key](auto& fields) { fields.key_ = key; });
    EXPECT_TRUE(generated.check().empty());
}

// Guards against losing a field between the load tool and the checker.
RC_GTEST_PROP(history_codec, returns_the_record_it_wrote, ()) {
    const auto generated = generate_run();
    for (const auto& record : generated.records_) {
        const auto read = history::decode_record(history::encode_record(record));
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == record);
    }
}

// Guards against a change of the format of `/control/log`.
TEST(history_codec, reads_a_log_of_the_stand_in) {
    const auto log = history::decode_log(
        R"({"database":"ledger_zagreb_1","term":2,"entries":[)"
        R"({"term":1,"position":1,"kind":"term_start","statements":[],"key":"","fingerprint":"","results":[]},)"
        R"({"term":2,"position":2,"kind":"write","statements":["set k v"],"key":"a","fingerprint":"f","results":["v"]}]})");
    ASSERT_TRUE(log.has_value());
    EXPECT_EQ(history::service_of(*log), "ledger_zagreb");
    EXPECT_EQ(history::last_of(*log), (base::log_position{2, 2}));
    EXPECT_EQ((*log)->entries_.back()->statements_, std::vector<std::string>{"set k v"});
}

// Guards against a damaged line that is read as an empty record.
TEST(history_codec, refuses_a_damaged_line) {
    EXPECT_FALSE(history::decode_record(R"({"session":"s1")").has_value());
    EXPECT_FALSE(history::decode_record("{}").has_value());
}

} // namespace
