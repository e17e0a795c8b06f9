#include "test_listener.hpp"

#include <backends/database_client.hpp>
#include <backends/database_codec.hpp>

#include <http/server.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace {

namespace asio = boost::asio;
using namespace backends;

constexpr base::clock::duration time_limit{5'000};

// Answers every request as if it were the one with id 7.
struct wrong_id_handler {
    asio::awaitable<http::response> operator()(http::request /*message*/, std::size_t /*connection*/) {
        co_return http::json_response(200,
                                      R"({"id":7,"granted":true,"term":3,"last":{"term":2,"position":9}})");
    }
};

} // namespace

// Guards against fields that are renamed or dropped: the stand-in and real databases read these bodies.
TEST(database_codec, requests_have_the_documented_fields) {
    EXPECT_EQ(encode_status_request(1, {}), R"({"id":1})");
    EXPECT_EQ(encode_status_request(2, status_wait{.beyond_ = {3, 4}, .time_ = base::clock::duration{50}}),
              R"({"id":2,"wait":{"beyond":{"term":3,"position":4},"milliseconds":50}})");
    EXPECT_EQ(encode_term_request(3, {.step_ = takeover_step::raise, .term_ = 5, .proposer_ = "h"}),
              R"({"id":3,"term":5,"proposer":"h"})");
    EXPECT_EQ(encode_execute_request(4, execute_request_fields{.term_ = 5,
                                                               .access_ = base::access::write,
                                                               .statements_ = {"set a 1"},
                                                               .key_ = "k",
                                                               .fingerprint_ = "f",
                                                               .minimum_ = base::log_position{5, 6}}),
              R"({"id":4,"term":5,"access":"write","statements":["set a 1"],"key":"k","fingerprint":"f",)"
              R"("minimum":{"term":5,"position":6}})");
    EXPECT_EQ(encode_settle_request(5, settle_request_fields{.term_ = 5, .key_ = "k", .fingerprint_ = "f"}),
              R"({"id":5,"term":5,"key":"k","fingerprint":"f"})");
}

// Guards against answers that lose their meaning on the way in.
TEST(database_codec, responses_are_read_completely) {
    const auto status = decode_status(
        1,
        R"({"id":1,"database":"a","term":4,"role":"primary","last":{"term":4,"position":8},"start":7,"leaving":true})");
    ASSERT_TRUE(status);
    EXPECT_EQ(*status, (database_status_fields{.database_ = "a",
                                               .term_ = 4,
                                               .role_ = base::database_role::primary,
                                               .last_ = {4, 8},
                                               .start_ = 7,
                                               .leaving_ = true}));
    const auto done = decode_execute_response(
        2, R"({"id":2,"status":"done","position":{"term":4,"position":8},"results":["1"],"replayed":true})");
    ASSERT_TRUE(done);
    EXPECT_TRUE((*done)->replayed_);
    EXPECT_EQ((*done)->position_, (base::log_position{4, 8}));
    const auto refused =
        decode_execute_response(3, R"({"id":3,"status":"refused","reason":"behind","term":4})");
    ASSERT_TRUE(refused);
    EXPECT_EQ((*refused)->refusal_, refusal::behind);
    const auto settled =
        decode_settle_response(4, R"({"id":4,"outcome":"cancelled","position":{"term":4,"position":9}})");
    ASSERT_TRUE(settled);
    EXPECT_EQ((*settled)->outcome_, settled_outcome::cancelled);
}

// Guards against a malformed answer that is taken for a refusal, which would mean "did not run".
TEST(database_codec, malformed_responses_are_typed_errors) {
    for (const auto* body :
         {"", "[]", "{}", R"({"id":1})", R"({"id":2,"status":"refused","reason":"behind","term":4})",
          R"({"id":1,"status":"refused","reason":"unheard_of","term":4})",
          R"({"id":1,"status":"refused","reason":"behind","term":-4})",
          R"({"id":1,"status":"done","position":{"term":4},"results":[]})",
          R"({"id":1,"status":"done","position":{"term":4,"position":8},"results":[1]})"}) {
        const auto response = decode_execute_response(1, body);
        ASSERT_FALSE(response) << body;
        EXPECT_EQ(response.last_reason().kind(), base::error_kind::backend_unavailable) << body;
    }
}

// Guards against a late answer that is taken for the answer to another request.
TEST(database_client, a_response_with_another_id_closes_the_connection) {
    asio::io_context context;
    auto opened = test_listener::open(context.get_executor());
    auto server = std::make_shared<http::server<wrong_id_handler>>(
        context.get_executor(), std::move(opened.socket_), wrong_id_handler{}, http::limits{}, nullptr, 5);
    server->start();
    bool finished = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto connected = co_await database_client::connect(opened.address_, time_limit);
            EXPECT_TRUE(connected);
            const takeover_request request{.step_ = takeover_step::raise, .term_ = 3, .proposer_ = "home"};
            const auto response = co_await connected->raise(request, time_limit);
            EXPECT_FALSE(response);
            EXPECT_FALSE(connected->is_usable());
            finished = true;
            server->close();
        },
        asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}
