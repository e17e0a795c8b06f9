#include <proxy/ignored_entries.hpp>
#include <proxy/stored_fleet.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <string>

namespace {

using proxy::stored_fleet;

constexpr base::store_revision revision{base::store_era{1}, 412};

std::optional<std::string> decode(const std::string& key, const std::string& value, stored_fleet& fleet) {
    return proxy::decode_item(platform::store_item{key, value, revision, {}}, fleet);
}

// Values that another writer may leave under any key.
const std::vector<std::string>& odd_values() {
    static const std::vector<std::string> values{"",
                                                 "null",
                                                 "[]",
                                                 "{}",
                                                 "7",
                                                 "{\"run\"",
                                                 std::string(100'000, '['),
                                                 std::string(1'000'000, 'x'),
                                                 "\xff\xfe",
                                                 R"({"run":-1,"marked":false})",
                                                 R"({"run":18446744073709551616,"marked":false})",
                                                 R"({"phase":"closed","replaced":"a","chosen":"b"})",
                                                 R"({"phase":1,"replaced":2,"chosen":3})"};
    return values;
}

// Guards against a leader's key that no daemon can replace, because the conditional write expects it to be
// absent: the fleet would have no leader any more.
TEST(stored_fleet, KeepsTheRevisionOfADamagedLeadersEntry) {
    for (const auto& value : odd_values()) {
        stored_fleet fleet;
        EXPECT_TRUE(decode("sassafrasdeal/duty", value, fleet)) << value.substr(0, 40);
        EXPECT_EQ(fleet.leadership_revision_, revision);
        EXPECT_FALSE(fleet.leadership_);
        EXPECT_EQ(fleet.leader_, "");
    }
}

// Guards against a daemon that never registers again, and against a takeover that does not wait for it, after
// another writer has overwritten its registration.
TEST(stored_fleet, CountsADaemonWithADamagedRegistration) {
    for (const auto& value : odd_values()) {
        stored_fleet fleet;
        EXPECT_TRUE(decode("sassafrasdeal/daemons/10.1.0.8:7440", value, fleet)) << value.substr(0, 40);
        const auto& entry = fleet.registrations_.at("10.1.0.8:7440");
        EXPECT_EQ(entry->run_, 0U);
        EXPECT_EQ(entry->revision_, revision);
    }
}

// Guards against rounds and takeovers that wait for daemons that cannot exist.
TEST(stored_fleet, CountsNoDaemonWithoutAnAddress) {
    for (const auto* address : {"", "10.1.0.8", "10.1.0.8:0", "10.1.0.8:65536", "10.1.0.8:-1", "10.1.0.8:+1",
                                "10.1.0.8: 1", ":7440", "10.1.0.8:07440"}) {
        stored_fleet fleet;
        EXPECT_TRUE(
            decode(std::string{"sassafrasdeal/daemons/"} + address, R"({"run":5,"marked":false})", fleet))
            << address;
        EXPECT_TRUE(fleet.registrations_.empty()) << address;
    }
}

// Guards against using a replaced primary again, which is still listed as the primary, after another writer
// has overwritten the takeover record.
TEST(stored_fleet, TakesADamagedRecordAsAnOpenTakeover) {
    for (const auto& value : odd_values()) {
        stored_fleet fleet;
        EXPECT_TRUE(decode("sassafrasdeal/takeovers/svc", value, fleet)) << value.substr(0, 40);
        ASSERT_EQ(fleet.records_.size(), 1U);
        EXPECT_EQ(fleet.records_[0]->service_, "svc");
        EXPECT_EQ(fleet.records_[0]->phase_, daemons::takeover_phase::open);
        EXPECT_EQ(fleet.records_[0]->revision_, revision);
    }
}

TEST(stored_fleet, DecodesWhatDaemonsWrite) {
    stored_fleet fleet;
    EXPECT_FALSE(decode("sassafrasdeal/daemons/10.1.0.8:7440", R"({"run":5,"marked":true})", fleet));
    EXPECT_FALSE(decode("sassafrasdeal/duty", R"(10.1.0.8:7440 {"run":5,"marked":false})", fleet));
    EXPECT_FALSE(
        decode("sassafrasdeal/takeovers/svc", R"({"phase":"settled","replaced":"a","chosen":"b"})", fleet));
    EXPECT_TRUE(fleet.registrations_.at("10.1.0.8:7440")->is_marked_);
    EXPECT_EQ(fleet.leader_, "10.1.0.8:7440");
    EXPECT_EQ((*fleet.leadership_)->run_, 5U);
    EXPECT_EQ(fleet.records_[0]->chosen_, "b");
}

RC_GTEST_PROP(stored_fleet, SurvivesAnyItem, (const std::string& suffix, const std::string& value)) {
    for (const auto* prefix : {"", "sassafrasdeal/", "sassafrasdeal/daemons/", "sassafrasdeal/takeovers/"}) {
        stored_fleet fleet;
        static_cast<void>(decode(prefix + suffix, value, fleet));
    }
}

// Guards against a log that is flooded by one odd entry, which every read of the store shows again.
TEST(ignored_entries, ReportsEachChangeOnce) {
    std::atomic<std::uint64_t> total{0};
    proxy::ignored_entries entries{total};
    const base::clock::time_point now{};
    EXPECT_TRUE(entries.report("servers/odd", {base::store_era{1}, 7}, "no JSON", now));
    EXPECT_FALSE(entries.report("servers/odd", {base::store_era{1}, 7}, "no JSON", now));
    EXPECT_TRUE(entries.report("servers/odd", {base::store_era{1}, 8}, "no JSON", now));
    EXPECT_EQ(total.load(), 2U);
}

// Guards against memory that grows with the number of keys of another writer.
TEST(ignored_entries, RemembersALimitedNumberOfKeys) {
    std::atomic<std::uint64_t> total{0};
    proxy::ignored_entries entries{total};
    const base::clock::time_point now{};
    for (int number = 0; number <= 1'000; ++number) {
        entries.report("servers/" + std::to_string(number), {base::store_era{1}, 1}, "no JSON", now);
    }
    EXPECT_TRUE(entries.report("servers/0", {base::store_era{1}, 1}, "no JSON", now));
}

// Guards against evidence from a store whose records nobody has confirmed since it came back from a copy.
TEST(stored_fleet, ReadsTheConfirmedHistory) {
    stored_fleet fleet;
    EXPECT_FALSE(decode("sassafrasdeal/era", "7", fleet));
    EXPECT_EQ(fleet.confirmed_era_, base::store_era{7});
    for (const auto* odd : {"", "0", "-1", "7 ", "x", "9000001", "18446744073709551616"}) {
        stored_fleet other;
        EXPECT_TRUE(decode("sassafrasdeal/era", odd, other)) << odd;
        EXPECT_EQ(other.confirmed_era_, base::store_era::unstated);
    }
}

} // namespace
