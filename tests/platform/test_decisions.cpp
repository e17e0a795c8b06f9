#include <platform/call_failure.hpp>
#include <platform/reconnect_backoff.hpp>
#include <platform/store_codec.hpp>
#include <platform/watch_progress.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace {

using namespace platform;
using base::clock;

const base::error refused{base::error_kind::connection_failed, "refused"};

http::response response_with(unsigned status, std::vector<http::header> headers = {}) {
    return http::response_fields{status, std::move(headers), {}};
}

} // namespace

// Guards against delays that grow without bound, are zero, or are the same for all clients.
RC_GTEST_PROP(reconnect_backoff, delay_is_bounded_and_jittered, (std::vector<std::uint64_t> numbers)) {
    const backoff_limits limits{clock::duration{100}, clock::duration{3'000}};
    reconnect_backoff backoff{limits};
    clock::duration bound{100};
    for (const auto number : numbers) {
        backoff = backoff.after_failure(number);
        RC_ASSERT(backoff.delay() >= bound / 2);
        RC_ASSERT(backoff.delay() <= bound);
        bound = std::min(bound * 2, limits.max_);
    }
    RC_ASSERT(backoff.after_failure(0).delay() > backoff.after_failure(49).delay());
    RC_ASSERT(backoff.after_success() == reconnect_backoff{limits});
}

// Guards against a client that retries before the delay that the store requested, and against a faulty
// response that stops a client for hours.
TEST(reconnect_backoff, requested_delay_is_bounded) {
    const reconnect_backoff backoff{{clock::duration{100}, clock::duration{3'000}}};
    EXPECT_GE(backoff.after_refusal(clock::duration{2'000}, 7).delay(), clock::duration{2'000});
    EXPECT_LE(backoff.after_refusal(clock::duration{4'000'000'000}, 123'456'789).delay(),
              clock::duration{12'000});
}

// Guards against a burst of calls during or after an outage of one hour: there is one attempt per delay.
RC_GTEST_PROP(watch_progress, outage_of_an_hour_causes_no_burst, (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    const backoff_limits limits;
    watch_progress progress{7, limits};
    std::int64_t attempts = 0;
    const clock::duration hour{3'600'000};
    for (clock::duration elapsed{0}; elapsed < hour; elapsed += progress.delay()) {
        progress = progress.advance(refused, clock::duration{0}, clock::duration{5'000}, random());
        RC_ASSERT(progress.delay() <= limits.max_);
        ++attempts;
    }
    RC_ASSERT(attempts <= hour / (limits.max_ / 2) + 10);
    const stored_value newer{true, "text", 8};
    progress = progress.advance(newer, clock::duration{0}, clock::duration{5'000}, random());
    RC_ASSERT(progress.delay() == clock::duration{0});
    RC_ASSERT(progress.revision() == 8U);
}

// Guards against a watcher that returns to an older revision, or that loops on responses without an update.
TEST(watch_progress, only_greater_revisions_are_updates) {
    const watch_progress progress{7};
    const clock::duration wait{5'000};
    const base::result<stored_value> older{stored_value{true, "text", 6}};
    const base::result<stored_value> same{stored_value{true, "text", 7}};
    const base::result<stored_value> absent{stored_value{}};
    EXPECT_EQ(progress.classify(older), watch_outcome::older);
    EXPECT_EQ(progress.classify(same), watch_outcome::none);
    EXPECT_EQ(progress.classify(absent), watch_outcome::absent);
    for (const auto& response : {older, same, absent}) {
        const auto next = progress.advance(response, clock::duration{1}, wait, 1);
        EXPECT_EQ(next.revision(), 7U);
        EXPECT_GT(next.delay().count(), 0);
    }
    EXPECT_EQ(progress.advance(same, wait, wait, 1).delay().count(), 0);
}

// Guards against a change that is reported as not applied although it may have been, and the reverse.
TEST(call_failure, lost_responses_and_refusals_are_distinguished) {
    const auto kind_of = [](unsigned status, call_effect effect) {
        return response_error(response_with(status), effect)->kind();
    };
    EXPECT_FALSE(response_error(response_with(200), call_effect::changes));
    EXPECT_EQ(kind_of(429, call_effect::changes), base::error_kind::overloaded);
    EXPECT_EQ(kind_of(413, call_effect::changes), base::error_kind::too_large);
    EXPECT_EQ(kind_of(400, call_effect::changes), base::error_kind::invalid_request);
    EXPECT_EQ(kind_of(500, call_effect::changes), base::error_kind::answer_lost);
    EXPECT_EQ(kind_of(503, call_effect::reads), base::error_kind::platform_unavailable);
    EXPECT_EQ(no_response_error(call_effect::changes, refused).kind(), base::error_kind::answer_lost);
    EXPECT_EQ(unsent_call_error(refused).kind(), base::error_kind::platform_unavailable);
}

// Guards against a Retry-After header that is ignored or misread.
TEST(call_failure, retry_after_header_is_parsed) {
    EXPECT_EQ(retry_after(response_with(429, {{"retry-after", "3"}})), clock::duration{3'000});
    EXPECT_EQ(retry_after(response_with(429, {{"Retry-After", "soon"}})), clock::duration{1'000});
    EXPECT_EQ(retry_after(response_with(500)), clock::duration{0});
}

// Guards against responses that are accepted although a field is missing or has the wrong type.
TEST(store_codec, malformed_responses_are_errors) {
    EXPECT_EQ(store_codec::decode_value(R"({"found":true,"value":"ä","revision":4,"changed":true})").value(),
              (stored_value{true, "ä", 4}));
    EXPECT_EQ(store_codec::decode_put_result(R"({"applied":false,"revision":9})").value(),
              (put_result{false, 9}));
    EXPECT_EQ(store_codec::decode_lease(R"({"lease":3,"held":true})").value(), (lease_state{3, true}));
    for (const auto* body : {"", "[]", "{}", "{\"found\":1,\"value\":\"\",\"revision\":1}",
                             "{\"found\":true,\"value\":\"\",\"revision\":-1}"}) {
        EXPECT_FALSE(store_codec::decode_value(body)) << body;
        EXPECT_FALSE(store_codec::decode_put_result(body)) << body;
    }
    const auto hosts = store_codec::decode_hosts(
        R"({"hosts":[{"address":"127.0.0.1:1","state":"live"},{"address":"127.0.0.1:2","state":"lost"}]})");
    ASSERT_TRUE(hosts);
    EXPECT_EQ((*hosts)[0], (listed_host{"127.0.0.1:1", host_state::live}));
    EXPECT_EQ((*hosts)[1].state_, host_state::leaving);
}
