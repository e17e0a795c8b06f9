#include <base/store_revision.hpp>
#include <daemons/fencing_token.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>

namespace {

constexpr base::store_revision revision_at(std::uint64_t era, std::uint64_t number) {
    return {base::store_era{era}, number};
}

// Guards against a lower fencing token after a higher one: the store came back from a copy and gave lower
// revisions out again (review/7).
TEST(fencing_token, RisesWhenTheStoreGoesBack) {
    EXPECT_GT(daemons::fencing_token(revision_at(2, 50)), daemons::fencing_token(revision_at(1, 82)));
    EXPECT_EQ(daemons::fencing_token(revision_at(0, 82)), 82U);
}

RC_GTEST_PROP(fencing_token, RisesWithEachLeader, ()) {
    const auto revision = [] {
        return revision_at(*rc::gen::inRange<std::uint64_t>(0, base::max_store_era),
                           *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000'000));
    };
    const auto first = revision();
    const auto second = revision();
    RC_ASSERT((daemons::fencing_token(first) < daemons::fencing_token(second)) ==
              second.is_later_than(first));
}

// Guards against a revision that is compared with one of another history of the store, where the same numbers
// stand for other changes.
TEST(store_revision, HasNoOrderAcrossHistories) {
    EXPECT_LT(revision_at(1, 50), revision_at(1, 82));
    EXPECT_FALSE(revision_at(1, 82) < revision_at(2, 50));
    EXPECT_FALSE(revision_at(1, 82) > revision_at(2, 50));
    EXPECT_FALSE(revision_at(1, 50) >= revision_at(2, 50));
    EXPECT_NE(revision_at(1, 50), revision_at(2, 50));
    EXPECT_TRUE(revision_at(2, 50).is_later_than(revision_at(1, 82)));
    EXPECT_FALSE(revision_at(1, 82).is_later_than(revision_at(2, 50)));
}

} // namespace
