#include <backends/promotion_choice.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace {

using backends::choose_promotion;
using backends::promotion_step;
using base::log_position;

backends::promotion_candidate replica(std::string id, std::uint64_t received, bool is_draining = false) {
    return {std::move(id), {backends::listed_role::replica, 3, log_position{3, received}}, is_draining};
}

backends::missing_report missing(std::string id) {
    return {std::move(id), "connection_limit", base::clock::duration{400}};
}

// Guards against a wait after a planned stop, and against believing the position of a replaced primary that
// may have started again without its log.
TEST(choose_promotion, NeedsNoFurtherReportsAtTheEndOfThePrimarysLog) {
    backends::promotion_state state;
    state.sync_replicas_ = 1;
    state.candidates_ = {replica("a", 9)};
    state.missing_ = {missing("b")};
    state.final_position_ = log_position{3, 9};
    EXPECT_EQ(choose_promotion(state).step_, promotion_step::wait);
    state.is_final_position_complete_ = true;
    EXPECT_EQ(choose_promotion(state).database_, "a");
    state.candidates_ = {replica("a", 8)};
    EXPECT_EQ(choose_promotion(state).step_, promotion_step::wait);
}

// Guards against losing what an asynchronous replica received because its report came late, and against a
// service that waits for it for ever.
TEST(choose_promotion, WaitsABoundedTimeForReportsOfAsynchronousReplicas) {
    backends::promotion_state state;
    state.candidates_ = {replica("deaf", 3)};
    state.missing_ = {missing("full")};
    state.may_wait_for_reports_ = true;
    EXPECT_EQ(choose_promotion(state).step_, promotion_step::wait);
    state.may_wait_for_reports_ = false;
    EXPECT_EQ(choose_promotion(state).database_, "deaf");
}

// Guards against the loss of commits that only a draining replica has, and against a database that leads for
// a moment without need.
TEST(choose_promotion, TakesADrainingReplicaOnlyForItsCommits) {
    backends::promotion_state state;
    state.candidates_ = {replica("leaving", 9, true), replica("staying", 8)};
    EXPECT_EQ(choose_promotion(state).database_, "staying");
    state.sync_replicas_ = 1;
    EXPECT_EQ(choose_promotion(state).database_, "leaving");
    state.may_wait_ = true;
    EXPECT_EQ(choose_promotion(state).step_, promotion_step::wait);
    state.candidates_ = {replica("leaving", 9, true), replica("staying", 9)};
    EXPECT_EQ(choose_promotion(state).database_, "staying");
}

// Guards against the loss of commits because the platform refused to promote the replica that has them.
TEST(choose_promotion, TakesARefusedReplicaForAMissingOne) {
    backends::promotion_state state;
    state.candidates_ = {replica("full", 9), replica("deaf", 3)};
    state.refused_ = {"full"};
    EXPECT_EQ(choose_promotion(state).database_, "deaf");
    state.sync_replicas_ = 1;
    EXPECT_EQ(choose_promotion(state).step_, promotion_step::wait);
}

// Guards against a service without a primary although the replaced one leads again with all of its log.
TEST(choose_promotion, KeepsAReturnedPrimaryWhileReportsAreMissing) {
    backends::promotion_state state;
    state.sync_replicas_ = 1;
    state.candidates_ = {replica("deaf", 3)};
    state.missing_ = {missing("full")};
    state.returned_primary_ =
        backends::promotion_candidate{"old", {backends::listed_role::primary, 3, log_position{3, 9}}};
    EXPECT_EQ(choose_promotion(state), (backends::promotion_choice{promotion_step::request, "old"}));
    state.candidates_.push_back(replica("full", 9));
    state.missing_.clear();
    EXPECT_EQ(choose_promotion(state).database_, "full");
}

// Guards against any choice that loses an acknowledged commit, whichever reports are missing.
RC_GTEST_PROP(choose_promotion, LosesNoCommitThatSynchronousReplicasAcknowledged, ()) {
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    const auto sync_replicas = *rc::gen::inRange<std::size_t>(1, count + 1);
    const auto positions =
        *rc::gen::container<std::vector<std::uint64_t>>(count, rc::gen::inRange<std::uint64_t>(1, 20));
    const auto has_reported = *rc::gen::container<std::vector<bool>>(count, rc::gen::arbitrary<bool>());
    const auto is_draining = *rc::gen::container<std::vector<bool>>(count, rc::gen::arbitrary<bool>());
    // A commit is acknowledged once so many replicas have received it.
    auto sorted = positions;
    std::sort(sorted.rbegin(), sorted.rend());
    const auto acknowledged = sorted.at(sync_replicas - 1);
    backends::promotion_state state;
    state.sync_replicas_ = static_cast<std::uint32_t>(sync_replicas);
    state.may_wait_ = *rc::gen::arbitrary<bool>();
    for (std::size_t index = 0; index < count; ++index) {
        const auto id = std::to_string(index);
        if (has_reported.at(index)) {
            state.candidates_.push_back(replica(id, positions.at(index), is_draining.at(index)));
        } else {
            state.missing_.push_back(missing(id));
        }
    }
    const auto choice = choose_promotion(state);
    if (choice.step_ == promotion_step::request) {
        RC_ASSERT(positions.at(std::stoul(choice.database_)) >= acknowledged);
    } else {
        RC_ASSERT(choice.step_ == promotion_step::wait);
        RC_ASSERT(state.missing_.size() >= sync_replicas || state.may_wait_ || state.candidates_.empty());
    }
}

} // namespace
