#include <daemons/owner_choice.hpp>
#include <daemons/owner_table.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace daemons;

std::shared_ptr<const member_list> make_list(const std::vector<member>& members) {
    return std::make_shared<const member_list>(members);
}

member make_member(int number, int regions, int domains, member_state state) {
    return member_fields{.name_ = "entry-" + std::to_string(number),
                         .address_ = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
                         .region_ = "region-" + std::to_string(number % regions),
                         .failure_domain_ = "domain-" + std::to_string(number % domains),
                         .state_ = state};
}

std::string group_at(int number) {
    return "ledger-" + std::to_string(number);
}

owner_names choose_names(const member_list& members, const std::string& region, const std::string& group) {
    const auto choice = choose_owner(members, region, group);
    if (!choice) {
        return {};
    }
    return {choice->owner_->name_, choice->standby_ ? (*choice->standby_)->name_ : std::string{}};
}

} // namespace

// Guards against an outdated choice of owner after any series of changes, including regions without members
// and members that return in another failure domain.
TEST(owner_table, equals_choose_owner_after_any_changes) {
    EXPECT_TRUE(rc::check("same owner and standby", [] {
        owner_table table;
        for (auto rounds = *rc::gen::inRange(1, 8); rounds > 0; --rounds) {
            const auto domains = *rc::gen::inRange(1, 4);
            std::vector<member> members;
            for (int number = 0; number < 8; ++number) {
                const auto state = *rc::gen::element(member_state::live, member_state::suspect,
                                                     member_state::leaving, member_state::dead);
                if (*rc::gen::arbitrary<bool>()) {
                    members.push_back(make_member(number, 2, domains, state));
                }
            }
            const auto list = make_list(members);
            table.update(list);
            for (int group = 0; group < 20; ++group) {
                const auto region = "region-" + std::to_string(group % 3);
                RC_ASSERT(table.find(region, group_at(group)) ==
                          choose_names(*list, region, group_at(group)));
            }
        }
    }));
}

// Guards against a cost of services times members at each change: with 12,000 services and 700 members in a
// region, a new choice for every group takes 200 ms of CPU time.
TEST(owner_table, recomputes_only_the_groups_of_a_removed_member) {
    constexpr int groups = 500;
    std::vector<member> members;
    members.reserve(50);
    for (int number = 0; number < 50; ++number) {
        members.push_back(make_member(number, 1, 5, member_state::live));
    }
    const auto all = make_list(members);
    owner_table table;
    table.update(all);
    const auto ask_all = [&] {
        const auto before = table.full_choices();
        for (int group = 0; group < groups; ++group) {
            static_cast<void>(table.find("region-0", group_at(group)));
        }
        return table.full_choices() - before;
    };
    EXPECT_EQ(ask_all(), groups);
    EXPECT_EQ(ask_all(), 0U);
    const auto lost = members.back();
    std::uint64_t touched = 0;
    for (int group = 0; group < groups; ++group) {
        const auto names = choose_names(*all, "region-0", group_at(group));
        touched += names.owner_ == lost->name_ || names.standby_ == lost->name_ ? 1 : 0;
    }
    ASSERT_GT(touched, 0U);
    members.back() = make_member(49, 1, 5, member_state::dead);
    table.update(make_list(members));
    EXPECT_EQ(ask_all(), touched);
    // A suspicion changes no choice, because a suspect still serves.
    members.front() = make_member(0, 1, 5, member_state::suspect);
    table.update(make_list(members));
    EXPECT_EQ(ask_all(), 0U);
    table.update(all);
    EXPECT_LE(ask_all(), groups / 5U);
}

// Guards against memory that grows with every service ever declared.
TEST(owner_table, removes_groups_that_are_not_requested) {
    owner_table table;
    table.update(make_list({make_member(1, 1, 1, member_state::live)}));
    for (int group = 0; group < 10; ++group) {
        static_cast<void>(table.find("region-0", group_at(group)));
    }
    table.remove_unused();
    EXPECT_EQ(table.size(), 10U);
    static_cast<void>(table.find("region-0", group_at(3)));
    table.remove_unused();
    EXPECT_EQ(table.size(), 1U);
}
