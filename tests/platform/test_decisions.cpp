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

// Guards against pauses that grow without bound, vanish, or are the same for all clients.
RC_GTEST_PROP(reconnect_backoff, pause_is_bounded_and_jittered, (std::vector<std::uint64_t> numbers)) {
    const backoff_limits limits{clock::duration{100}, clock::duration{3'000}};
    reconnect_backoff backoff{limits};
    clock::duration bound{100};
    for (const auto number : numbers) {
        backoff = backoff.after_failure(number);
        RC_ASSERT(backoff.delay() >= bound / 2);
        RC_ASSERT(backoff.delay() <= bound);
        bound = std::min(bound * 2, limits.longest_);
    }
    RC_ASSERT(backoff.after_failure(0).delay() > backoff.after_failure(49).delay());
    RC_ASSERT(backoff.after_success() == reconnect_backoff{limits});
}

// Guards against a client that returns before the time that the store asked for, or that a faulty answer
// stops for hours.
TEST(reconnect_backoff, asked_pause_is_kept_within_bounds) {
    const reconnect_backoff backoff{{clock::duration{100}, clock::duration{3'000}}};
    EXPECT_GE(backoff.after_refusal(clock::duration{2'000}, 7).delay(), clock::duration{2'000});
    EXPECT_LE(backoff.after_refusal(clock::duration{4'000'000'000}, 123'456'789).delay(),
              clock::duration{12'000});
}

// Guards against a burst of calls during an outage of an hour or after it: one attempt for each pause.
RC_GTEST_PROP(watch_progress, outage_of_an_hour_brings_no_burst, (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    const backoff_limits limits;
    watch_progress progress{7, limits};
    std::int64_t attempts = 0;
    const clock::duration hour{3'600'000};
    for (clock::duration elapsed{0}; elapsed < hour; elapsed += progress.delay()) {
        progress = progress.after(refused, clock::duration{0}, clock::duration{5'000}, random());
        RC_ASSERT(progress.delay() <= limits.longest_);
        ++attempts;
    }
    RC_ASSERT(attempts <= hour / (limits.longest_ / 2) + 10);
    const stored_value newer{true, "text", 8};
    progress = progress.after(newer, clock::duration{0}, clock::duration{5'000}, random());
    RC_ASSERT(progress.delay() == clock::duration{0});
    RC_ASSERT(progress.revision() == 8U);
}

// Guards against a watcher that goes back to an older configuration, or that loops on answers without news.
TEST(watch_progress, only_greater_revisions_are_news) {
    const watch_progress progress{7};
    const clock::duration wait{5'000};
    const base::result<stored_value> older{stored_value{true, "text", 6}};
    const base::result<stored_value> same{stored_value{true, "text", 7}};
    const base::result<stored_value> absent{stored_value{}};
    EXPECT_EQ(progress.news_in(older), watch_news::older);
    EXPECT_EQ(progress.news_in(same), watch_news::none);
    EXPECT_EQ(progress.news_in(absent), watch_news::absent);
    for (const auto& response : {older, same, absent}) {
        const auto next = progress.after(response, clock::duration{1}, wait, 1);
        EXPECT_EQ(next.revision(), 7U);
        EXPECT_GT(next.delay().count(), 0);
    }
    EXPECT_EQ(progress.after(same, wait, wait, 1).delay().count(), 0);
}

// Guards against a change reported as not applied although it may have been, and the reverse.
TEST(call_failure, lost_responses_and_refusals_are_told_apart) {
    const auto kind_of = [](unsigned status, call_effect effect) {
        return failure_in(response_with(status), effect)->kind();
    };
    EXPECT_FALSE(failure_in(response_with(200), call_effect::changes));
    EXPECT_EQ(kind_of(429, call_effect::changes), base::error_kind::overloaded);
    EXPECT_EQ(kind_of(413, call_effect::changes), base::error_kind::too_large);
    EXPECT_EQ(kind_of(400, call_effect::changes), base::error_kind::invalid_request);
    EXPECT_EQ(kind_of(500, call_effect::changes), base::error_kind::answer_lost);
    EXPECT_EQ(kind_of(503, call_effect::reads), base::error_kind::platform_unavailable);
    EXPECT_EQ(unanswered_call(call_effect::changes, refused).kind(), base::error_kind::answer_lost);
    EXPECT_EQ(unsent_call(refused).kind(), base::error_kind::platform_unavailable);
}

// Guards against a Retry-After that is ignored or misread.
TEST(call_failure, asked_pause_is_read) {
    EXPECT_EQ(asked_pause(response_with(429, {{"retry-after", "3"}})), clock::duration{3'000});
    EXPECT_EQ(asked_pause(response_with(429, {{"Retry-After", "soon"}})), clock::duration{1'000});
    EXPECT_EQ(asked_pause(response_with(500)), clock::duration{0});
}

// Guards against answers that are taken for valid although a field is missing or of the wrong type.
TEST(store_codec, responses_of_another_form_are_errors) {
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
