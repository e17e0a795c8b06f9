#include <daemons/owner_choice.hpp>
#include <proxy/owner_cache.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace {

daemons::member member_called(const std::string& name) {
    return daemons::member_fields{.name_ = name, .region_ = "croatia", .failure_domain_ = name};
}

std::shared_ptr<const daemons::member_list> list_of(const std::vector<std::string>& names) {
    std::vector<daemons::member> members;
    members.reserve(names.size());
    for (const auto& name : names) {
        members.push_back(member_called(name));
    }
    return std::make_shared<const daemons::member_list>(std::move(members));
}

} // namespace

// Guards against requests that are still sent to the previous owner after the member list has changed.
TEST(owner_cache, follows_the_member_list) {
    proxy::owner_cache cache;
    for (const auto& members : {list_of({"a", "b", "c"}), list_of({"b", "c"}), list_of({}), list_of({"a"})}) {
        for (const auto* group : {"ledger", "board", "ledger"}) {
            const auto expected = daemons::choose_owner(*members, "croatia", group);
            const auto found = cache.find(members, "croatia", group);
            ASSERT_EQ(found.has_value(), expected.has_value());
            EXPECT_TRUE(!found || *found == expected->owner_);
        }
    }
}
