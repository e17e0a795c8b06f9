#include <adapter/fleet_entries.hpp>
#include <adapter/store_messages.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr base::store_era era{3};

RC_GTEST_PROP(base64, RoundTrips, (const std::string& bytes)) {
    const auto text = adapter::encode_base64(bytes);
    RC_ASSERT(text.size() % 4 == 0U);
    RC_ASSERT(adapter::decode_base64(text) == bytes);
}

TEST(base64, RejectsOtherText) {
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

TEST(store_messages, EncodesATransaction) {
    platform::store_transaction change;
    change.expected_ = {{"a", {era, 0}}};
    change.puts_ = {{"a", "node-1", 77}};
    change.removals_ = {"b"};
    EXPECT_EQ(
        adapter::change_request(change)->body_,
        R"({"expected":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"bm9kZS0x","lease":77}],"deletes":["b"]})");
}

TEST(store_messages, DecodesItemsPagesAndChanges) {
    const auto item = adapter::decode_item(
        R"({"key":"k","value":"bm9kZS0x","revision":412,"created":412,"lease":7,"at":530})", era);
    ASSERT_TRUE(item);
    EXPECT_EQ(*item, (platform::store_item{"k", "node-1", {era, 412}, {era, 530}}));
    EXPECT_FALSE(adapter::decode_item(R"({"key":"k","value":"bm9kZS0x","revision":412})", era));
    const auto page = adapter::decode_page(
        R"({"items":[{"key":"k","value":"","revision":1,"created":1,"lease":0}],"has-more":true,"at":530})",
        era);
    ASSERT_TRUE(page);
    EXPECT_TRUE(page->has_more_);
    EXPECT_EQ(page->at_, (base::store_revision{era, 530}));
    const auto changes = adapter::decode_changes(
        R"({"events":[{"key":"k","value":"bm9kZS0x","revision":412,"created":1,"lease":0},{"key":"o","revision":413,"deleted":true}],"at":413})",
        era);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->events_.size(), 2U);
    EXPECT_EQ(changes->events_[0].value_, "node-1");
    EXPECT_EQ(changes->events_[1], (platform::store_event{"o", {era, 413}, std::nullopt}));
}

// Guards against a malformed response of the store that is decoded as an empty one.
RC_GTEST_PROP(store_messages, RejectsMalformedBodies, (const std::string& body)) {
    RC_ASSERT(!adapter::decode_item(body, era));
    RC_ASSERT(!adapter::decode_page(body, era));
    RC_ASSERT(!adapter::decode_changes(body, era));
    RC_ASSERT(!adapter::decode_lease(body));
}

const std::string entry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"zg-centar","version":"v1","slots":2,"state":"ready","cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":1700000000000})";

TEST(fleet_entries, DecodesADatabase) {
    const auto database = adapter::fleet_entries::read_database("servers/i-1", entry);
    ASSERT_TRUE(database);
    EXPECT_EQ((*database)->id_, "i-1");
    EXPECT_EQ((*database)->service_, "huvo11a");
    EXPECT_EQ((*database)->slots_, 2U);
    EXPECT_EQ((*database)->started_at_, 1'700'000'000'000);
    EXPECT_EQ((*database)->role_, backends::listed_role::replica);
}

// Guards against malformed entries, or entries of other writers, that are used as databases.
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

/// Returns the entry with one member set to another JSON value.
std::string entry_with(const std::string& member, const std::string& value) {
    const auto name = "\"" + member + "\":";
    const auto start = entry.find(name) + name.size();
    const auto end = entry.find_first_of(",}", start);
    return entry.substr(0, start) + value + entry.substr(end);
}

// Guards against one odd entry that ends the process or is used as a database. Other operators reported
// processes that ended again and again because of a deep nesting, a large number or a port out of range.
TEST(fleet_entries, IgnoresOddValuesOfEachMember) {
    const auto accepts = [](const std::string& member, const std::string& value) {
        return adapter::fleet_entries::read_database("servers/i-1", entry_with(member, value))
            .value()
            .has_value();
    };
    ASSERT_TRUE(accepts("slots", "3"));
    for (const auto* number : {"18446744073709551616", "1e400", "-1", "2.5", "1e2", "4294967297",
                               "4294967295", "9223372036854775808", "\"2\"", "null", "[]", "{}", "true"}) {
        EXPECT_FALSE(accepts("slots", number)) << number;
        const bool is_in_range_elsewhere =
            std::string_view{number} == "4294967297" || std::string_view{number} == "4294967295";
        EXPECT_EQ(accepts("born", number), is_in_range_elsewhere) << number;
        EXPECT_FALSE(accepts("cold-remaining-ms", number)) << number;
    }
    for (const auto* address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80",
                                "10.0.0.1:80 ", ":80", "host:80", "10.0.0.1", "10.0.0.256:80", ""}) {
        EXPECT_FALSE(accepts("address", "\"" + std::string{address} + "\"")) << address;
    }
    EXPECT_FALSE(accepts("service", "\"" + std::string(1'000'000, 's') + "\""));
    EXPECT_FALSE(accepts("zone", "\"" + std::string(300, 'z') + "\""));
}

// Guards against a name of another writer that adds fields or a second message to the line that starts a
// connection to a database.
TEST(fleet_entries, IgnoresNamesThatAreNotOneField) {
    const std::vector<std::string> odd_names{
        "", " ", "a b", " a", "a ", "a\r\nQUERY - STORE k v", "a\nb", "a\rb", "a\tb", {"a\0b", 3}, "a\x7F"};
    for (const auto& odd : odd_names) {
        EXPECT_FALSE(adapter::fleet_entries::read_database("servers/" + odd, entry)) << odd;
        const auto service = boost::json::serialize(boost::json::string{odd});
        EXPECT_FALSE(adapter::fleet_entries::read_database("servers/i-1", entry_with("service", service)))
            << odd;
    }
    EXPECT_TRUE(adapter::fleet_entries::read_database("servers/i/1%2.\xC4\x8D", entry));
}

// Guards against recursion that exhausts the stack.
TEST(fleet_entries, IgnoresDeeplyNestedEntries) {
    for (const std::size_t depth : {10U, 32U, 1'000U, 100'000U}) {
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        EXPECT_FALSE(adapter::fleet_entries::read_database("servers/i-1", nested));
        EXPECT_FALSE(adapter::fleet_entries::read_database("servers/i-1", entry_with("slots", nested)));
        EXPECT_FALSE(adapter::fleet_entries::read_configuration("{\"version\":" + nested + "}"));
    }
    EXPECT_TRUE(adapter::fleet_entries::read_database("servers/i-1", entry.substr(0, entry.size() - 1) +
                                                                         R"(,"other":[[[[[[[[1]]]]]]]]})"));
}

RC_GTEST_PROP(fleet_entries, SurvivesAnyNumberInAnyMember, (std::int64_t number)) {
    for (const auto* member : {"slots", "cold-remaining-ms", "born", "sequence"}) {
        const auto database =
            adapter::fleet_entries::read_database("servers/i-1", entry_with(member, std::to_string(number)));
        if (database) {
            RC_ASSERT((*database)->slots_ > 0U);
            RC_ASSERT((*database)->started_at_ >= 0);
            RC_ASSERT((*database)->warm_up_left_.count() >= 0);
        }
    }
}

// Guards against a server list that is no longer followed while one of its items cannot be decoded.
TEST(store_messages, KeepsTheOtherItemsOfAPage) {
    const auto page = adapter::decode_page(
        R"({"items":[{"key":"a","value":"bm9kZS0x","revision":1},{"key":"b","value":"?","revision":2},{"key":"c","revision":3},{"key":"d","value":"","revision":-4}],"has-more":true,"at":5})",
        era);
    ASSERT_TRUE(page);
    ASSERT_EQ(page->items_.size(), 1U);
    EXPECT_EQ(page->undecodable_keys_, (std::vector<std::string>{"b", "c", "d"}));
    EXPECT_EQ(page->last_key_, "d");
    const auto changes = adapter::decode_changes(
        R"({"events":[{"key":"a","value":7,"revision":1},{"key":"b","revision":2,"deleted":true}],"at":2})",
        era);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->events_.size(), 1U);
    EXPECT_EQ(changes->undecodable_keys_, (std::vector<std::string>{"a"}));
}

RC_GTEST_PROP(fleet_entries, IgnoresTruncatedAndArbitraryEntries, (const std::string& bytes)) {
    RC_ASSERT(!adapter::fleet_entries::read_database("servers/i-1", bytes));
    const auto length = *rc::gen::inRange<std::size_t>(0, entry.size());
    RC_ASSERT(!adapter::fleet_entries::read_database("servers/i-1", entry.substr(0, length)));
}

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","database-name":"lepu270","prefix":"/","type":"read_your_writes","timeout-ms":800,"target-latency-ms":200,"priority":1,"service":"huvo11a","max-attempts":2,"max-staleness-ms":2500}],"services":[{"name":"huvo11a","max-connections":16,"sync-replicas":0}],"limits":{"tx-idle-ms":2500}})";

TEST(fleet_entries, DecodesAConfiguration) {
    const auto routes = adapter::fleet_entries::read_configuration(configuration);
    ASSERT_TRUE(routes);
    EXPECT_EQ((*routes)->version_, 7U);
    EXPECT_EQ((*routes)->services_.at("huvo11a").max_connections_, 16U);
    EXPECT_EQ((*routes)->transaction_idle_, base::clock::duration{2'500});
    const auto& route = (*routes)->routes_.at("lepu270");
    EXPECT_EQ(route->consistency_, operators::consistency::read_your_writes);
    EXPECT_EQ(route->staleness_, base::clock::duration{2'500});
    EXPECT_EQ(route->max_attempts_, 2U);
}

// Guards against time limits of clients that are not applied, and against a limit of 0 that closes
// everything.
TEST(fleet_entries, ReadsTheTimeLimitsOfClients) {
    auto text = configuration;
    const std::string limits = R"("tx-idle-ms":2500)";
    text.replace(text.find(limits), limits.size(), R"("header-timeout-ms":3000,"idle-timeout-ms":15000)");
    const auto routes = adapter::fleet_entries::read_configuration(text);
    ASSERT_TRUE(routes);
    EXPECT_EQ((*routes)->start_timeout_, base::clock::duration{3'000});
    EXPECT_EQ((*routes)->client_idle_, base::clock::duration{15'000});
    text.replace(text.find(":3000"), 5, ":0");
    const auto absent = adapter::fleet_entries::read_configuration(text);
    ASSERT_TRUE(absent);
    EXPECT_FALSE((*absent)->start_timeout_);
    EXPECT_FALSE((*adapter::fleet_entries::read_configuration(configuration))->client_idle_);
}

// Guards against durations that overflow when a time is added to them, and against numbers cut to 32 bits.
TEST(fleet_entries, LimitsTheNumbersOfAConfiguration) {
    const std::string largest = "18446744073709551615";
    auto large = configuration;
    for (const auto* member : {"timeout-ms\":800", "target-latency-ms\":200", "priority\":1",
                               "max-connections\":16", "tx-idle-ms\":2500"}) {
        const auto start = large.find(':', large.find(member)) + 1;
        const auto end = large.find_first_of(",}", start);
        large.replace(start, end - start, largest);
    }
    const auto routes = adapter::fleet_entries::read_configuration(large);
    ASSERT_TRUE(routes);
    const auto& route = (*routes)->routes_.at("lepu270");
    const base::clock::duration day{24 * 60 * 60 * 1000};
    EXPECT_EQ(route->timeout_, day);
    EXPECT_EQ(route->objective_, day);
    EXPECT_EQ(route->priority_, 1'000U);
    EXPECT_EQ((*routes)->services_.at("huvo11a").max_connections_, 1'000'000U);
    EXPECT_EQ((*routes)->transaction_idle_, day);
}

TEST(fleet_entries, RejectsAnInvalidConfiguration) {
    EXPECT_FALSE(adapter::fleet_entries::read_configuration("{}"));
    for (std::size_t length = 0; length < configuration.size(); length += 7) {
        EXPECT_FALSE(adapter::fleet_entries::read_configuration(configuration.substr(0, length)));
    }
}

} // namespace
