#include <callers/events.hpp>
#include <callers/front_end.hpp>
#include <callers/request_codec.hpp>
#include <callers/response_codec.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace {

const callers::token_signer signer{"a secret of enough characters"};

http::request post(std::string body, std::vector<http::header> headers = {}) {
    return http::request_fields{.method_ = "POST",
                                .target_ = "/v1/request",
                                .headers_ = std::move(headers),
                                .body_ = std::move(body)};
}

std::string body_with(const std::string& more) {
    return R"({"service":"ledger","tenant":"zagreb","rank":"payout","access":"read","statements":["get a"])" +
           more + "}";
}

std::string token_for(const std::string& group, base::log_position position) {
    return signer.encode(callers::session_token{group, position});
}

struct recording_service {
    boost::asio::awaitable<base::response> respond(base::request request) {
        last_request_ = request;
        base::response response{base::response_fields{.outcome_ = base::outcome::done,
                                                      .results_ = {"1"},
                                                      .position_ = base::log_position{2, 7},
                                                      .served_by_ = base::database_role::primary}};
        co_return response;
    }

    base::request last_request_;
};

} // namespace

// Guards against accepting a token that was altered or signed with another secret.
TEST(session_token, changed_text_is_refused) {
    const auto text = token_for("ledger", {3, 41});
    ASSERT_TRUE(signer.decode(text));
    EXPECT_EQ(signer.decode(text)->position(), (base::log_position{3, 41}));
    for (std::size_t index = 0; index < text.size(); ++index) {
        auto changed = text;
        changed[index] = changed[index] == '0' ? '1' : '0';
        EXPECT_FALSE(signer.decode(changed)) << changed;
    }
    EXPECT_FALSE(callers::token_signer{"another secret of enough length"}.decode(text));
}

// Guards against splitting a token at the wrong separator if the group name contains dots.
TEST(session_token, round_trip_keeps_every_part) {
    EXPECT_TRUE(rc::check("round trip", [](std::uint64_t term, std::uint64_t index) {
        const callers::session_token token{"a.b-c", {term, index}};
        RC_ASSERT(*signer.decode(signer.encode(token)) == token);
    }));
}

// Guards against input from a caller that crashes the decoder.
TEST(session_token, arbitrary_text_is_refused) {
    EXPECT_TRUE(rc::check("no crash", [](const std::string& text) { RC_ASSERT(!signer.decode(text)); }));
}

// Guards against a session that reads older data because the latest of several tokens was not used.
TEST(request_codec, merges_tokens_of_body_header_and_cookie) {
    const auto request = callers::decode_request(
        post(body_with(R"(,"session":")" + token_for("ledger", {2, 5}) + "\""),
             {{"Sassafrasdeal-Session", token_for("ledger", {2, 9})},
              {"Cookie", "a=b; sassafrasdeal_session=" + token_for("ledger", {1, 99}) + "; c=d"}}),
        signer);
    ASSERT_TRUE(request);
    EXPECT_EQ((*request)->session_, base::session_state::with_token);
    EXPECT_EQ((*request)->token_, (base::log_position{2, 9}));
}

// Guards against losing read-your-writes because another cookie, whose name or value contains the name of the
// session's cookie, is read in its place.
TEST(request_codec, finds_the_session_cookie_by_its_whole_name) {
    const auto cookie = "sassafrasdeal_session=" + token_for("ledger", {2, 5});
    for (const auto& cookies : {"old_sassafrasdeal_session=x; " + cookie,
                                "a=sassafrasdeal_session=x;" + cookie, cookie + "; b=c"}) {
        const auto request = callers::decode_request(post(body_with(""), {{"Cookie", cookies}}), signer);
        ASSERT_TRUE(request);
        EXPECT_EQ((*request)->token_, (base::log_position{2, 5})) << cookies;
    }
    for (const auto* cookies : {"", ";", "; ", "a=b;", "old_sassafrasdeal_session=x"}) {
        const auto request = callers::decode_request(post(body_with(""), {{"Cookie", cookies}}), signer);
        ASSERT_TRUE(request);
        EXPECT_EQ((*request)->session_, base::session_state::none) << cookies;
    }
}

// Guards against losing read-your-writes because an empty session field is not recognised as a session.
TEST(request_codec, empty_session_is_a_session_without_token) {
    EXPECT_EQ((*callers::decode_request(post(body_with(R"(,"session":"")")), signer))->session_,
              base::session_state::without_token);
    EXPECT_EQ((*callers::decode_request(post(body_with("")), signer))->session_, base::session_state::none);
}

// Guards against comparing the position in one group's token with the log of another group.
TEST(request_codec, token_of_another_service_is_an_error_but_its_cookie_is_ignored) {
    const auto foreign = token_for("board", {9, 9});
    const auto refused = callers::decode_request(post(body_with(R"(,"session":")" + foreign + "\"")), signer);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.last_reason().kind(), base::error_kind::token_foreign);
    const auto accepted = callers::decode_request(
        post(body_with(""), {{"Cookie", "sassafrasdeal_session=" + foreign}}), signer);
    ASSERT_TRUE(accepted);
    EXPECT_EQ((*accepted)->session_, base::session_state::without_token);
}

// Guards against partially accepted invalid input; every error names the invalid field.
TEST(request_codec, names_the_invalid_field) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"[1]", "object"},
        {"{", "JSON"},
        {"\"\xff\"", "JSON"},
        {R"({"service":"x"})", "tenant"},
        {body_with(R"(,"colour":1)"), "colour"},
        {body_with(R"(,"deadline_ms":0)"), "deadline_ms"},
        {body_with(R"(,"deadline_ms":1e9)"), "deadline_ms"},
        {body_with(R"(,"idempotency_key":"k")"), "idempotency_key"},
        {body_with(R"(,"transaction":{"step":"end"})"), "transaction.step"},
        {body_with(R"(,"transaction":{"step":"commit"})"), "transaction.handle"},
        {R"({"service":"x","tenant":"t","rank":"r","access":"look","statements":["a"]})", "access"},
        {R"({"service":"x","tenant":"t","rank":"r","access":"read","statements":[1]})", "statements"},
        {R"({"service":"x","tenant":"t","rank":"r","access":"read"})", "statements"},
        {R"({"service":"","tenant":"t","rank":"r","access":"read","statements":["a"]})", "service"},
    };
    for (const auto& [body, part] : cases) {
        const auto request = callers::decode_request(post(body), signer);
        ASSERT_FALSE(request) << body;
        EXPECT_EQ(request.last_reason().kind(), base::error_kind::invalid_request);
        EXPECT_NE(request.last_reason().message().find(part), std::string::npos)
            << request.last_reason().message();
    }
}

// Guards against input from a caller that crashes the decoder.
TEST(request_codec, arbitrary_bodies_never_crash) {
    EXPECT_TRUE(rc::check("no crash", [](const std::string& body) {
        static_cast<void>(callers::decode_request(post(body), signer));
        static_cast<void>(callers::decode_outcome_request(post(body)));
    }));
}

// Guards against an HTTP status that reports an unknown outcome as a success or a rejection.
TEST(response_codec, status_distinguishes_outcomes) {
    const base::error lost{base::error_kind::answer_lost, "lost"};
    EXPECT_EQ(callers::status_for(base::outcome::done, {}), 200U);
    EXPECT_EQ(callers::status_for(base::outcome::unknown, lost), 504U);
    EXPECT_EQ(callers::status_for(base::outcome::not_run, base::error{base::error_kind::overloaded, "full"}),
              429U);
}

// Guards against a Retry-After that is rounded down, so that callers retry too early.
TEST(response_codec, retry_after_is_rounded_up) {
    const auto response = callers::encode_response(
        base::not_run(base::error{base::error_kind::overloaded, "full"}, base::clock::duration{1'001}),
        "ledger", signer);
    EXPECT_EQ(http::find_header(response->headers_, "retry-after"), "2");
    EXPECT_NE(response->body_.find("remedy"), std::string::npos);
}

// Guards against a front end that drops the request's fields or the response's session token.
TEST(front_end, passes_request_and_response_through) {
    recording_service service;
    callers::front_end<recording_service> front{service,
                                                std::make_shared<const callers::token_signer>(signer)};
    boost::asio::io_context context;
    http::response response;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            auto message = post(body_with(""));
            response = co_await front(message, 1);
        },
        boost::asio::detached);
    context.run();
    EXPECT_EQ(service.last_request_->service_, "ledger");
    EXPECT_EQ(response->status_, 200U);
    const auto token = http::find_header(response->headers_, "Sassafrasdeal-Session");
    ASSERT_TRUE(token);
    EXPECT_EQ(signer.decode(*token)->position(), (base::log_position{2, 7}));
}

// Guards against events that are missing from docs/events.md or differ from it.
TEST(events, catalogue_lists_every_definition) {
    support::expect_catalogue(callers::events::all, 200, 299);
}
