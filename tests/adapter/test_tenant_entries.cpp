#include <adapter/fleet_entries.hpp>
#include <adapter/line_protocol.hpp>

#include <boost/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <variant>

namespace {

using adapter::fleet_entries;
using adapter::line_protocol;
using operators::key_digest;

const std::string first_key = "dedev3nax7u27gxprymh";
const std::string second_key = "2rrytapjsujqurtyiikd";

/// Returns a configuration with one route, whose members end with `of_route`, and these further members.
std::string configuration_with(const std::string& members, const std::string& of_route = {}) {
    return R"({"version":7,"routes":[{"name":"r","database-name":"kafi500","type":"primary","timeout-ms":800,)"
           R"("target-latency-ms":200,"priority":1,"service":"huvo11a")" +
           of_route + R"(}],"services":[{"name":"huvo11a","max-connections":72}])" + members + "}";
}

std::string tenant_with(const std::string& members) {
    return configuration_with(R"(,"tenants":[{"name":"miny420")" + members + "}]");
}

/// Returns the fields of a configuration; empty if it was rejected.
std::optional<operators::session_routes_fields> read(const std::string& text) {
    auto routes = fleet_entries::read_configuration(text);
    return routes ? std::optional{**routes} : std::nullopt;
}

operators::tenant_limits read_tenant(const std::string& members) {
    const auto routes = read(tenant_with(members));
    EXPECT_TRUE(routes) << members;
    return routes ? routes->tenants_.at("miny420") : operators::tenant_limits{};
}

TEST(tenant_entries, DecodesTenantsAndKeys) {
    const auto routes = read(configuration_with(
        R"(,"tenants":[{"name":"miny420","api-keys":["dedev3nax7u27gxprymh","2rrytapjsujqurtyiikd"],"priority":1,"rate-per-s":346,"burst":346},{"name":"koro7","api-keys":["k7"],"priority":2,"rate-per-s":0.5,"burst":2}])"));
    ASSERT_TRUE(routes);
    EXPECT_TRUE(routes->has_tenants_);
    EXPECT_EQ(routes->tenants_.size(), 2U);
    EXPECT_EQ(routes->tenants_.at("miny420"), (operators::tenant_limits{"miny420", 1, 346, 346}));
    EXPECT_EQ(routes->tenants_.at("koro7"), (operators::tenant_limits{"koro7", 2, 0.5, 2}));
    EXPECT_EQ(routes->tenant_of_key_.size(), 3U);
    EXPECT_EQ(routes->tenant_of_key_.at(key_digest::of(first_key)), "miny420");
    EXPECT_EQ(routes->tenant_of_key_.at(key_digest::of(second_key)), "miny420");
    EXPECT_EQ(routes->tenant_of_key_.at(key_digest::of("k7")), "koro7");
}

// Guards against a configuration that is rejected, or loses a limit, because of how its numbers are written.
TEST(configuration_entries, TakesNumbersInAnyNotation) {
    const std::string text{
        R"({"version":7.0,"routes":[{"name":"r","database-name":"kafi500","type":"bounded_staleness","timeout-ms":812.6,)"
        R"("target-latency-ms":2e2,"priority":1.0,"service":"huvo11a","max-staleness-ms":1500.0}],)"
        R"("services":[{"name":"huvo11a","max-connections":72.0}],"limits":{"tx-idle-ms":700.0}})"};
    const auto routes = read(text);
    ASSERT_TRUE(routes);
    EXPECT_EQ(routes->version_, 7U);
    const auto& route = routes->routes_.at("kafi500");
    EXPECT_EQ(route->timeout_, base::clock::duration{813});
    EXPECT_EQ(route->objective_, base::clock::duration{200});
    EXPECT_EQ(route->priority_, 1U);
    EXPECT_EQ(route->staleness_, base::clock::duration{1'500});
    EXPECT_EQ(routes->services_.at("huvo11a").max_connections_, 72U);
    EXPECT_EQ(routes->transaction_idle_, base::clock::duration{700});
    // A version is no amount.
    EXPECT_FALSE(read(R"({"version":7.5,"routes":[],"services":[]})"));
}

// Guards against a limit for tenants that have none.
TEST(tenant_entries, TakesAbsentLimitsForUnlimited) {
    EXPECT_EQ(read_tenant({}), (operators::tenant_limits{"miny420", 0, std::nullopt, 0}));
    EXPECT_EQ(read_tenant(R"(,"rate-per-s":null,"burst":null)"),
              (operators::tenant_limits{"miny420", 0, std::nullopt, 0}));
    EXPECT_EQ(read_tenant(R"(,"rate-per-s":0)").rate_, 0.0);
}

// Guards against limits that are negative, of another type or beyond what is computed with.
TEST(tenant_entries, RejectsOddLimits) {
    for (const auto* odd : {"-1", "-0.5", "\"346\"", "true", "[]", "{}"}) {
        EXPECT_FALSE(read(tenant_with(std::string{R"(,"rate-per-s":)"} + odd))) << odd;
        EXPECT_FALSE(read(tenant_with(std::string{R"(,"burst":)"} + odd))) << odd;
    }
    for (const auto* large : {"1e10", "1e300", "18446744073709551615"}) {
        EXPECT_EQ(read_tenant(std::string{R"(,"rate-per-s":)"} + large).rate_, 1e9) << large;
        EXPECT_EQ(read_tenant(std::string{R"(,"burst":)"} + large).burst_, 1e9) << large;
    }
}

RC_GTEST_PROP(tenant_entries, KeepsLimitsWithinTheirBounds, (double rate)) {
    const auto text = boost::json::serialize(boost::json::value(rate));
    const auto routes = read(tenant_with(R"(,"rate-per-s":)" + text + R"(,"burst":)" + text));
    RC_ASSERT(routes.has_value() == (rate >= 0));
    if (routes) {
        const auto& tenant = routes->tenants_.at("miny420");
        RC_ASSERT(tenant.rate_.has_value() && *tenant.rate_ >= 0 && *tenant.rate_ <= 1e9);
        RC_ASSERT(tenant.burst_ >= 0 && tenant.burst_ <= 1e9);
    }
}

// Guards against a tenant that becomes the most urgent one because its priority has another type.
TEST(tenant_entries, RejectsOddPriorities) {
    for (const auto* odd : {"-1", "1.5", "\"1\"", "[]", "true"}) {
        EXPECT_FALSE(read(tenant_with(std::string{R"(,"priority":)"} + odd))) << odd;
    }
    EXPECT_EQ(read_tenant(R"(,"priority":18446744073709551615)").priority_, 1'000U);
}

// Guards against a name that adds fields or a second message to the line that starts a connection.
TEST(tenant_entries, RejectsNamesThatAreNotOneField) {
    for (const std::string& odd :
         {std::string{}, std::string{" "}, std::string{"a b"}, std::string{"a\r\nQUERY - STORE k v"},
          std::string{"a\tb"}, std::string{"a\0b", 3}, std::string(201, 'a')}) {
        const auto name = boost::json::serialize(boost::json::string{odd});
        EXPECT_FALSE(read(configuration_with(R"(,"tenants":[{"name":)" + name + "}]"))) << odd;
    }
    EXPECT_FALSE(read(configuration_with(R"(,"tenants":[{"api-keys":["k7"]}])")));
    EXPECT_FALSE(read(configuration_with(R"(,"tenants":[{"name":7}])")));
}

// Guards against a list of keys that is taken for another one, so that a key is admitted or refused by
// chance.
TEST(tenant_entries, RejectsOddKeys) {
    for (const auto* odd : {R"("k7")", R"({"k7":1})", "7", "[7]", "[null]", R"([["k7"]])", "true"}) {
        EXPECT_FALSE(read(tenant_with(std::string{R"(,"api-keys":)"} + odd))) << odd;
    }
}

// Guards against a session without a key that is taken for a tenant with an empty key.
TEST(tenant_entries, IgnoresKeysThatNoClientCanPresent) {
    const auto routes = read(tenant_with(R"(,"api-keys":["","a b","a\tb","k7"])"));
    ASSERT_TRUE(routes);
    EXPECT_EQ(routes->tenant_of_key_.size(), 1U);
    EXPECT_TRUE(routes->tenant_of_key_.contains(key_digest::of("k7")));
}

// Guards against a configuration that is rejected, and whose withdrawals do not take effect, because of a
// tenant without keys.
TEST(tenant_entries, AcceptsTenantsWithoutKeys) {
    for (const auto* none : {"", R"(,"api-keys":[])", R"(,"api-keys":null)"}) {
        const auto routes = read(tenant_with(none));
        ASSERT_TRUE(routes) << none;
        EXPECT_TRUE(routes->tenant_of_key_.empty());
        EXPECT_TRUE(routes->tenants_.contains("miny420"));
    }
}

// Guards against a configuration without tenants in which keys are checked, and one with an empty list in
// which they are not.
TEST(tenant_entries, TellsNoTenantsFromAnEmptyList) {
    EXPECT_FALSE(read(configuration_with({})).value().has_tenants_);
    EXPECT_FALSE(read(configuration_with(R"(,"tenants":null)")).value().has_tenants_);
    EXPECT_TRUE(read(configuration_with(R"(,"tenants":[])")).value().has_tenants_);
    for (const auto* odd : {"{}", "7", "[7]", R"(["miny420"])", "[null]", "[[]]"}) {
        EXPECT_FALSE(read(configuration_with(std::string{R"(,"tenants":)"} + odd))) << odd;
    }
}

// Guards against a route that needs no key because another writer left an odd value.
TEST(tenant_entries, TakesOnlyTrueForPublic) {
    const auto is_public = [](const std::string& member) {
        return read(configuration_with({}, member)).value().routes_.at("kafi500")->is_public_;
    };
    EXPECT_TRUE(is_public(R"(,"public":true)"));
    for (const auto* other : {"false", "null", "1", "\"true\"", "\"false\"", "[]", "{}"}) {
        EXPECT_FALSE(is_public(std::string{R"(,"public":)"} + other)) << other;
    }
    EXPECT_FALSE(is_public({}));
}

RC_GTEST_PROP(tenant_entries, SurvivesArbitraryTenants, (const std::string& bytes)) {
    const auto text = boost::json::serialize(boost::json::string{bytes});
    for (const auto& tenants : {bytes, text, "[" + text + "]", "[{\"name\":" + text + "}]"}) {
        const auto routes = read(configuration_with(R"(,"tenants":)" + tenants));
        RC_ASSERT(!routes || routes->tenants_.size() <= 1U);
    }
}

// Guards against an error text, which is logged, that contains a key.
TEST(tenant_entries, NamesNoKeyInErrors) {
    for (const auto* odd :
         {R"(,"api-keys":["dedev3nax7u27gxprymh",7])", R"(,"api-keys":"dedev3nax7u27gxprymh")",
          R"(,"api-keys":["dedev3nax7u27gxprymh"],"rate-per-s":-1)"}) {
        const auto routes = fleet_entries::read_configuration(tenant_with(odd));
        ASSERT_FALSE(routes) << odd;
        EXPECT_EQ(routes.last_reason().to_string().find(first_key), std::string::npos);
    }
    const auto damaged = tenant_with(R"(,"api-keys":["dedev3nax7u27gxprymh"])").substr(0, 260);
    const auto routes = fleet_entries::read_configuration(damaged);
    ASSERT_FALSE(routes);
    EXPECT_EQ(routes.last_reason().to_string().find(first_key), std::string::npos);
}

/// Returns the key in the first message of a client.
std::string key_in(const std::string& line) {
    const auto message = line_protocol::decode_client(line);
    const auto* start = std::get_if<callers::session_start>(&message);
    EXPECT_NE(start, nullptr) << line;
    return start == nullptr ? std::string{} : start->api_key_;
}

// Guards against a key that contains a part of its line and is then not found.
TEST(tenant_lines, DecodesTheKeyOfAClient) {
    EXPECT_EQ(key_in("START kafi500 u3f1"), "u3f1");
    EXPECT_EQ(key_in("START kafi500 u3f1 more"), "u3f1");
    EXPECT_EQ(key_in("START kafi500"), "");
    EXPECT_EQ(key_in("START kafi500 "), "");
    EXPECT_EQ(key_in("START kafi500  u3f1"), "");
}

// Guards against a client without a tenant that is answered as if it might try again with the same key.
TEST(tenant_lines, EncodesTheRefusalOfAnUnknownKey) {
    EXPECT_TRUE(line_protocol::encode_start_refused(backends::statement_status::unauthorised, "no tenant")
                    .starts_with("ERROR UNAUTH "));
}

TEST(tenant_lines, NamesTheTenantToDatabases) {
    EXPECT_EQ(line_protocol::start_connection("huvo11a", "miny420", "i-7f3a91c2"),
              "START huvo11a miny420 i-7f3a91c2\r\n");
    EXPECT_EQ(line_protocol::start_connection("huvo11a", "", "i-7f3a91c2"),
              "START huvo11a sassafrasdeal i-7f3a91c2\r\n");
}

} // namespace
