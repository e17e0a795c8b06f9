#include <proxy/operator_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

// Guards against an explanation for another deadline or access than the operator specified.
TEST(operator_codec, a_request_to_explain_keeps_its_fields) {
    const auto request = proxy::decode_explained_request(
        R"({"service":"ledger","tenant":"t","rank":"payout","access":"write","deadline_ms":70})");
    ASSERT_TRUE(request);
    EXPECT_EQ((*request)->access_, base::access::write);
    EXPECT_EQ((*request)->time_left_, base::clock::duration{70});
    for (const auto* body :
         {"[]", "{", R"({"service":"ledger"})", R"({"service":"l","tenant":"t","rank":"r","access":"look"})",
          R"({"service":"l","tenant":"t","rank":"r","deadline_ms":"soon"})"}) {
        EXPECT_FALSE(proxy::decode_explained_request(body)) << body;
    }
}

// Guards against a daemon that crashes on malformed input from an operator.
TEST(operator_codec, arbitrary_bodies_never_crash) {
    EXPECT_TRUE(rc::check("no crash", [](const std::string& body) {
        static_cast<void>(proxy::decode_explained_request(body));
    }));
}

// Guards against statistics that omit an outcome or the histogram bounds.
TEST(operator_codec, statistics_name_outcomes_and_bounds) {
    const base::metric_key key{base::metric_key_fields{
        .service_ = "ledger", .tenant_ = "t", .rank_ = "payout", .outcome_ = base::outcome::not_run}};
    const auto text = proxy::encode_stats({{key, base::latency_buckets{}}});
    EXPECT_NE(text.find(R"("outcome":"not_run")"), std::string::npos);
    EXPECT_NE(text.find(R"("up_to_us":500)"), std::string::npos);
}
