#include <operators/events.hpp>
#include <operators/exit_code.hpp>
#include <operators/json_text.hpp>
#include <operators/request_words.hpp>
#include <tests/operators/samples.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace {} // namespace

// Guards against a request that is explained other than it was typed.
TEST(command_texts, request_words_become_the_body_of_a_request) {
    const auto body = operators::encode_explain_arguments(
        {"service=ledger", "tenant=Županja", "rank=member_standing", "statement=get a=b", "deadline_ms=20"});
    ASSERT_TRUE(body) << body.last_reason().to_string();
    EXPECT_EQ(*body, R"({"service":"ledger","tenant":"Županja","rank":"member_standing","deadline_ms":20,)"
                     R"("access":"read","statements":["get a=b"]})");
    EXPECT_EQ(*operators::encode_explain_arguments({"{\"service\":1}"}), "{\"service\":1}");
    const std::vector<std::vector<std::string>> wrong{{},
                                                      {"{"},
                                                      {"[1]"},
                                                      {"service"},
                                                      {"service=a", "service=b", "tenant=t", "rank=r"},
                                                      {"service=a", "tenant=t", "rank=r", "deadline_ms=soon"},
                                                      {"service=a", "tenant=t", "rank=r", "colour=red"},
                                                      {"service=\xFF", "tenant=t", "rank=r"}};
    for (const auto& words : wrong) {
        const auto refused = operators::encode_explain_arguments(words);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.last_reason().kind(), base::error_kind::invalid_request);
    }
}

// Guards against unreadable answers and against texts that control the operator's terminal.
TEST(command_texts, json_is_rendered_as_indented_lines) {
    const auto text =
        operators::render_json(R"({"name":"a\u001b[2J","members":[{"state":"live"},3],"groups":[]})");
    ASSERT_TRUE(text);
    EXPECT_EQ(*text, "name: a [2J\nmembers:\n  -\n    state: live\n  - 3\ngroups: none\n");
    EXPECT_FALSE(operators::render_json("<html>"));
}

// Guards against an error of the daemon that loses its kind, and with it its exit code, on the way.
TEST(command_texts, an_error_response_keeps_its_kind) {
    const auto known = operators::read_error_response(
        404, R"({"error":{"kind":"unknown_service","message":"no service x","remedy":"r"}})");
    EXPECT_EQ(known, (base::error{base::error_kind::unknown_service, "no service x"}));
    for (const auto* text : {"", "{}", "[]", R"({"error":{"kind":1,"message":""}})"}) {
        EXPECT_EQ(operators::read_error_response(500, text).kind(), base::error_kind::internal);
    }
}

// Guards against exit codes that scripts rely on but nobody documents.
TEST(command_texts, every_exit_code_is_documented) {
    const auto page = samples::read_source_file("docs/operators.md");
    const std::string help{operators::exit_code_help()};
    for (int kind = 0; kind <= static_cast<int>(base::error_kind::internal); ++kind) {
        const auto code =
            std::to_string(static_cast<int>(operators::exit_code_for(static_cast<base::error_kind>(kind))));
        EXPECT_NE(help.find("  " + code + "  "), std::string::npos) << code;
    }
    EXPECT_NE(page.find(help), std::string::npos);
}

// Guards against a catalogue that differs from the events that are logged.
TEST(operator_events, the_catalogue_lists_every_event) {
    support::expect_catalogue(operators::events::all, 500, 599);
}
