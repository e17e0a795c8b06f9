#include <daemons/history_confirmation.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace {

using daemons::confirmation_state;
using daemons::confirmation_step;
using daemons::next_confirmation_step;

constexpr base::clock::duration ms(std::int64_t count) {
    return base::clock::duration{count};
}

// Guards against callers that wait longer than needed: the leader that wrote all records is still there.
TEST(history_confirmation, IsDueAtOnceForTheLeaderOfTheEarlierHistory) {
    confirmation_state state;
    state.has_led_until_return_ = true;
    state.unheard_daemons_ = 4;
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::confirm);
    state.has_active_takeover_ = true;
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::ask_daemons);
}

TEST(history_confirmation, IsDueOnceAllKnownDaemonsHaveAnswered) {
    confirmation_state state;
    state.knew_earlier_daemons_ = true;
    state.unheard_daemons_ = 1;
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::ask_daemons);
    state.unheard_daemons_ = 0;
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::confirm);
}

// Guards against a database that an earlier leader promotes after another one was confirmed: a process that
// has just started does not know who led before, and so cannot ask.
TEST(history_confirmation, WaitsForLatePromotionsWhenTheEarlierDaemonsAreNotKnown) {
    confirmation_state state;
    state.has_databases_ = true;
    state.since_acquired_ = ms(2'400);
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::ask_daemons);
    state.since_acquired_ = ms(2'500);
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::compare_and_confirm);
    state.has_databases_ = false;
    EXPECT_EQ(next_confirmation_step(state), confirmation_step::ask_daemons);
}

daemons::takeover_record record(std::string service, std::uint64_t era, std::uint64_t number) {
    return daemons::takeover_record{daemons::takeover_record_fields{
        std::move(service), daemons::takeover_phase::settled, "a", "b", {base::store_era{era}, number}, 2}};
}

// Guards against a takeover that is undone with the store, and against a record that is written again
// although the store has it.
TEST(history_confirmation, FindsTheRecordsThatTheCopyLacks) {
    const std::vector<daemons::takeover_record> stored{record("kept", 1, 40), record("older", 1, 41),
                                                       record("newer", 2, 45)};
    const std::vector<daemons::takeover_record> known{record("kept", 1, 40), record("older", 1, 82),
                                                      record("newer", 1, 90), record("lost", 1, 83)};
    EXPECT_EQ(daemons::find_undone(known, stored),
              (std::vector<daemons::takeover_record>{record("older", 1, 82), record("lost", 1, 83)}));
    EXPECT_TRUE(daemons::find_undone({}, stored).empty());
}

} // namespace
