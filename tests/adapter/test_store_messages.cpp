#include <adapter/fleet_entries.hpp>
#include <adapter/store_messages.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace {

RC_GTEST_PROP(base64, SurvivesTheEncoding, (const std::string& bytes)) {
    const auto text = adapter::encode_base64(bytes);
    RC_ASSERT(text.size() % 4 == 0U);
    RC_ASSERT(adapter::decode_base64(text) == bytes);
}

TEST(base64, RefusesOtherText) {
    EXPECT_EQ(adapter::decode_base64("abc"), std::nullopt);
    EXPECT_EQ(adapter::decode_base64("a$=="), std::nullopt);
    EXPECT_EQ(adapter::decode_base64("bm9kZS0x"), "node-1");
}

TEST(store_messages, EscapesKeys) {
    EXPECT_EQ(adapter::get_request("a b/c&d")->target_, "/kv-key?key=a%20b/c%26d");
    EXPECT_EQ(adapter::list_request("p/", "p/x")->target_, "/kv-range?prefix=p/&after=p/x");
    EXPECT_EQ(adapter::watch_request("p/", 41, base::clock::duration{1500})->target_,
              "/kv-watch?prefix=p/&after=41&wait-ms=1500");
}

TEST(store_messages, WritesATransaction) {
    platform::store_transaction change;
    change.expected_ = {{"a", 0}};
    change.puts_ = {{"a", "node-1", 77}};
    change.removals_ = {"b"};
    EXPECT_EQ(
        adapter::change_request(change)->body_,
        R"({"expected":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"bm9kZS0x","lease":77}],"deletes":["b"]})");
}

TEST(store_messages, ReadsItemsPagesAndChanges) {
    const auto item = adapter::read_item(
        R"({"key":"k","value":"bm9kZS0x","revision":412,"created":412,"lease":7,"at":530})");
    ASSERT_TRUE(item);
    EXPECT_EQ(*item, (platform::store_item{"k", "node-1", 412}));
    const auto page = adapter::read_page(
        R"({"items":[{"key":"k","value":"","revision":1,"created":1,"lease":0}],"has-more":true,"at":530})");
    ASSERT_TRUE(page);
    EXPECT_TRUE(page->has_more_);
    EXPECT_EQ(page->at_, 530U);
    const auto changes = adapter::read_changes(
        R"({"events":[{"key":"k","value":"bm9kZS0x","revision":412,"created":1,"lease":0},{"key":"o","revision":413,"deleted":true}],"at":413})");
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->events_.size(), 2U);
    EXPECT_EQ(changes->events_[0].value_, "node-1");
    EXPECT_EQ(changes->events_[1], (platform::store_event{"o", 413, std::nullopt}));
}

// Guards against a broken answer of the store that is taken for an empty one.
RC_GTEST_PROP(store_messages, RefusesAnyOtherBody, (const std::string& body)) {
    RC_ASSERT(!adapter::read_item(body));
    RC_ASSERT(!adapter::read_page(body));
    RC_ASSERT(!adapter::read_changes(body));
    RC_ASSERT(!adapter::read_lease(body));
}

const std::string entry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"zg-centar","version":"v1","slots":2,"state":"ready","cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":1700000000000})";

TEST(fleet_entries, ReadsADatabase) {
    const auto database = adapter::fleet_entries::read_database("servers/i-1", entry);
    ASSERT_TRUE(database);
    EXPECT_EQ((*database)->id_, "i-1");
    EXPECT_EQ((*database)->service_, "huvo11a");
    EXPECT_EQ((*database)->slots_, 2U);
    EXPECT_EQ((*database)->started_at_, 1'700'000'000'000);
    EXPECT_EQ((*database)->role_, backends::listed_role::replica);
}

// Guards against entries of other writers: they name no database to use.
TEST(fleet_entries, IgnoresForeignEntries) {
    const auto with = [](const std::string& from, const std::string& to) {
        auto changed = entry;
        changed.replace(changed.find(from), from.size(), to);
        return adapter::fleet_entries::read_database("servers/i-1", changed);
    };
    EXPECT_FALSE(with(R"("slots":2)", R"("slots":"2")"));
    EXPECT_FALSE(with(R"("slots":2)", R"("slots":-2)"));
    EXPECT_FALSE(with(R"("slots":2)", R"("slots":0)"));
    EXPECT_FALSE(with(R"("ready")", R"("gone")"));
    EXPECT_FALSE(with(R"("replica")", R"("leader")"));
    EXPECT_FALSE(with("10.128.0.9:8080", "nowhere"));
    EXPECT_FALSE(with(R"("zone")", R"("zona")"));
    EXPECT_FALSE(adapter::fleet_entries::read_database("other/i-1", entry));
    EXPECT_FALSE(adapter::fleet_entries::read_database("servers/", entry));
}

RC_GTEST_PROP(fleet_entries, IgnoresEveryPrefixAndAnyBytes, (const std::string& bytes)) {
    RC_ASSERT(!adapter::fleet_entries::read_database("servers/i-1", bytes));
    const auto length = *rc::gen::inRange<std::size_t>(0, entry.size());
    RC_ASSERT(!adapter::fleet_entries::read_database("servers/i-1", entry.substr(0, length)));
}

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","database-name":"lepu270","prefix":"/","type":"read_your_writes","timeout-ms":800,"target-latency-ms":200,"priority":1,"service":"huvo11a","max-attempts":2,"max-staleness-ms":2500}],"services":[{"name":"huvo11a","max-connections":16,"sync-replicas":0}],"limits":{"tx-idle-ms":2500}})";

TEST(fleet_entries, ReadsAConfiguration) {
    const auto routes = adapter::fleet_entries::read_configuration(configuration);
    ASSERT_TRUE(routes);
    EXPECT_EQ((*routes)->version_, 7U);
    EXPECT_EQ((*routes)->services_.at("huvo11a"), 16U);
    EXPECT_EQ((*routes)->transaction_idle_, base::clock::duration{2'500});
    const auto& route = (*routes)->routes_.at("lepu270");
    EXPECT_EQ(route->consistency_, operators::consistency::read_your_writes);
    EXPECT_EQ(route->staleness_, base::clock::duration{2'500});
    EXPECT_EQ(route->max_attempts_, 2U);
}

TEST(fleet_entries, RefusesAnUnreadableConfiguration) {
    EXPECT_FALSE(adapter::fleet_entries::read_configuration("{}"));
    for (std::size_t length = 0; length < configuration.size(); length += 7) {
        EXPECT_FALSE(adapter::fleet_entries::read_configuration(configuration.substr(0, length)));
    }
}

} // namespace
