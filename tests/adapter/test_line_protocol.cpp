#include <adapter/line_protocol.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace {

using adapter::line_protocol;
using backends::statement_status;
using callers::statement_kind;

callers::statement_fields decode(std::string_view line) {
    const auto message = line_protocol::decode_client(line);
    const auto* statement = std::get_if<callers::statement>(&message);
    EXPECT_NE(statement, nullptr) << line;
    return statement == nullptr ? callers::statement_fields{} : **statement;
}

TEST(line_protocol, DecodesEachKindOfStatement) {
    EXPECT_EQ(decode("QUERY 5c BEGIN").kind_, statement_kind::begin);
    EXPECT_EQ(decode("QUERY 5c BEGIN FETCH").kind_, statement_kind::begin_read_only);
    EXPECT_EQ(decode("QUERY 5c COMMIT").kind_, statement_kind::commit);
    EXPECT_EQ(decode("QUERY 5c ROLLBACK").kind_, statement_kind::rollback);
    EXPECT_EQ(decode("QUERY 5c FETCH 1a4").kind_, statement_kind::read);
    EXPECT_EQ(decode("QUERY 5c STORE 1a4 x y z").kind_, statement_kind::write);
    EXPECT_EQ(decode("QUERY 5c DEALLOC s1").kind_, statement_kind::deallocate);
    EXPECT_EQ(decode("QUERY 5c DROP s1").kind_, statement_kind::malformed);
    EXPECT_EQ(decode("QUERY 5c COMMIT now").kind_, statement_kind::malformed);
}

// Guards against a client's statement that a database cannot tell from one that the daemon issues itself.
TEST(line_protocol, RejectsTheIdentifierOfTheDaemonsOwnStatements) {
    for (const auto* text : {"FETCH 1a4", "STORE 1a4 x", "BEGIN", "COMMIT", "SET lang hr"}) {
        EXPECT_EQ(decode("QUERY - " + std::string{text}).kind_, statement_kind::malformed) << text;
    }
    EXPECT_EQ(decode("QUERY -- FETCH 1a4").kind_, statement_kind::read);
}

// Guards against a statement that cannot be forwarded as it came: without its last field, a blank at its end
// would be added or lost, and a connection on which the database refuses the value is closed.
TEST(line_protocol, RejectsStatementsWithAMissingOrSurplusField) {
    for (const auto* text : {"EXECUTE", "EXECUTE s1", "EXECUTE s1 ", "EXECUTE  1a4", "SET", "SET lang",
                             "SET lang ", "DEALLOC", "DEALLOC ", "DEALLOC s1 x", "DEALLOC s1 "}) {
        EXPECT_EQ(decode("QUERY 5c " + std::string{text}).kind_, statement_kind::malformed) << text;
    }
}

// Guards against a value that is truncated at a space: the last field extends to the end of the line.
TEST(line_protocol, KeepsSpacesInTheLastField) {
    const auto set = decode("QUERY 5c SET name a b  c");
    EXPECT_EQ(set.name_, "name");
    EXPECT_EQ(set.argument_, "a b  c");
    const auto execute = decode("QUERY 5c EXECUTE s1 1a4 x y");
    EXPECT_EQ(execute.name_, "s1");
    EXPECT_EQ(execute.argument_, "1a4 x y");
}

TEST(line_protocol, DecodesPrepareWithItsEffectAndShape) {
    const auto prepare = decode("QUERY 5c PREPARE s1 STORE q2c");
    EXPECT_EQ(prepare.kind_, statement_kind::prepare);
    EXPECT_EQ(prepare.effect_, base::prepared_effect::writes);
    EXPECT_EQ(prepare.argument_, "q2c");
    EXPECT_EQ(decode("QUERY 5c PREPARE s1 OTHER q2c").kind_, statement_kind::malformed);
    EXPECT_EQ(decode("QUERY 5c PREPARE s1 STORE").kind_, statement_kind::malformed);
}

TEST(line_protocol, DecodesStartAndEnd) {
    EXPECT_EQ(std::get<callers::session_start>(line_protocol::decode_client("START lepu270 u3f1")).database_,
              "lepu270");
    EXPECT_TRUE(std::holds_alternative<callers::session_end>(line_protocol::decode_client("TERMINATE")));
    for (const auto* line : {"", "START", "QUERY", "QUERY 5c", "GET / HTTP/1.1", "QUERY  FETCH"}) {
        EXPECT_TRUE(std::holds_alternative<callers::unreadable_message>(line_protocol::decode_client(line)))
            << line;
    }
}

// Guards against a second message inside a line: a receiver that ends lines at LF, CR or NUL would run a
// statement that no client sent, or take a row for the end of a response.
TEST(line_protocol, RejectsLinesWithATerminatorInside) {
    for (const auto terminator : {'\n', '\r', '\0'}) {
        const auto rest = std::string(1, terminator) + "QUERY 6d STORE b 2";
        for (const auto* start :
             {"QUERY 5c STORE a 1", "QUERY 5c SET lang hr", "QUERY 5c", "START lepu270"}) {
            const auto message = line_protocol::decode_client(start + rest);
            EXPECT_TRUE(std::holds_alternative<callers::unreadable_message>(message)) << start;
        }
        for (const auto* start : {"ROW a", "COMPLETE 7.1f3", "ERROR FAILED x", "READY I -"}) {
            EXPECT_EQ(line_protocol::decode_database(start + rest).kind_,
                      backends::database_line_kind::unreadable)
                << start;
        }
    }
}

// Guards against a modified statement: the text of a client is forwarded byte for byte.
RC_GTEST_PROP(line_protocol, ForwardsIdentifierAndTextUnchanged, ()) {
    const auto id = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto text = *rc::gen::container<std::string>(
        rc::gen::suchThat<char>([](char byte) { return byte != '\n' && byte != '\r' && byte != '\0'; }));
    const auto line = "QUERY " + id + " STORE " + text;
    const auto message = line_protocol::decode_client(line);
    const auto* statement = std::get_if<callers::statement>(&message);
    RC_ASSERT(statement != nullptr);
    RC_ASSERT((*statement)->text_ == "STORE " + text);
    RC_ASSERT(line_protocol::statement((*statement)->id_, (*statement)->text_, std::nullopt) ==
              line + "\r\n");
}

// Guards against malformed lines that crash the daemon.
RC_GTEST_PROP(line_protocol, DecodesAnyBytesWithoutFailing, (const std::string& bytes)) {
    (void)line_protocol::decode_client(bytes);
    (void)line_protocol::decode_client("QUERY " + bytes);
    (void)line_protocol::decode_database(bytes);
    (void)line_protocol::decode_report(bytes);
}

TEST(line_protocol, PutsTheNeededPositionBeforeTheText) {
    EXPECT_EQ(line_protocol::statement("5c", "FETCH 1a4", base::log_position{3, 1207}),
              "QUERY 5c AFTER 3.1207 FETCH 1a4\r\n");
    EXPECT_EQ(line_protocol::begin(backends::transaction_access::read_only, base::log_position{3, 7}),
              "QUERY - AFTER 3.7 BEGIN FETCH\r\n");
}

// Guards against a message for a database that is longer than the protocol allows because the daemon put a
// position before the client's text: the database closes the connection, and each attempt costs another one.
TEST(line_protocol, RejectsStatementsThatGrowBeyondTheMaximumLength) {
    const base::log_position longest{UINT64_MAX, UINT64_MAX};
    const std::string read{"QUERY 5c FETCH "};
    const auto added = line_protocol::statement("5c", "FETCH ", longest).size() - read.size();
    const auto length_of_item = line_protocol::max_line_bytes - read.size() - added;
    const auto with_item = [&read](std::size_t length) {
        return decode(read + std::string(length, 'i'));
    };
    EXPECT_EQ(with_item(length_of_item + 1).kind_, statement_kind::malformed);
    // The longest name of a prepared statement at a database is reserved for reads too.
    const auto accepted = with_item(length_of_item - 20);
    EXPECT_EQ(accepted.kind_, statement_kind::read);
    EXPECT_LE(line_protocol::statement(accepted.id_, accepted.text_, longest).size(),
              line_protocol::max_line_bytes);
    const auto write = "QUERY 5c STORE i " + std::string(line_protocol::max_line_bytes - 19, 'd');
    EXPECT_EQ(decode(write).kind_, statement_kind::write);
}

// Guards against a shape that a database takes for further fields of the name or of the executing statement.
RC_GTEST_PROP(line_protocol, NamesPreparedStatementsInOneFieldWhateverTheirShape,
              (const std::string& shape, const std::string& argument, std::uint64_t number)) {
    const backends::prepared_name name{number};
    const auto field = "p" + std::to_string(number);
    RC_ASSERT(line_protocol::prepare(name, {base::prepared_effect::writes, shape}) ==
              "QUERY - PREPARE " + field + " STORE " + shape + "\r\n");
    RC_ASSERT(line_protocol::execute("5c", name, "1a4 " + argument, std::nullopt) ==
              "QUERY 5c EXECUTE " + field + " 1a4 " + argument + "\r\n");
    RC_ASSERT(line_protocol::execute("5c", name, "1a4", base::log_position{3, 7}) ==
              "QUERY 5c AFTER 3.7 EXECUTE " + field + " 1a4\r\n");
}

// Guards against an identifier or a name of a value that a database takes for two fields.
TEST(line_protocol, RejectsControlCharactersInForwardedFields) {
    EXPECT_EQ(decode("QUERY 5c SET a\tb v").kind_, statement_kind::malformed);
    EXPECT_EQ(decode("QUERY 5c SET a\x7f v").kind_, statement_kind::malformed);
    EXPECT_EQ(decode("QUERY 5c SET a v\tw").kind_, statement_kind::set_value);
    EXPECT_EQ(decode("QUERY 5c EXECUTE s\t1 a").kind_, statement_kind::execute);
    const auto message = line_protocol::decode_client("QUERY 5c\td FETCH a");
    EXPECT_TRUE(std::holds_alternative<callers::unreadable_message>(message));
}

TEST(line_protocol, DecodesTheLinesOfADatabase) {
    const auto ready = line_protocol::decode_database("READY E 3.1209");
    EXPECT_EQ(ready.kind_, backends::database_line_kind::ready);
    EXPECT_EQ(ready.state_, backends::transaction_state::failed);
    EXPECT_EQ(ready.position_, (base::log_position{3, 1209}));
    EXPECT_EQ(line_protocol::decode_database("READY I -").position_, std::nullopt);
    const auto error = line_protocol::decode_database("ERROR READONLY i-7f3a91c2");
    EXPECT_EQ(error.kind_, backends::database_line_kind::error);
    EXPECT_EQ(error.status_, statement_status::not_primary);
    EXPECT_EQ(line_protocol::decode_database("ROW a b").text_, "a b");
    EXPECT_EQ(line_protocol::decode_database("COMPLETE 7.1f3").text_, "7.1f3");
    EXPECT_EQ(line_protocol::decode_database("NOISE").kind_, backends::database_line_kind::unreadable);
}

// Guards against an unknown error word that is interpreted as proof that the statement has not run.
TEST(line_protocol, TreatsAnUnknownErrorAsPossiblyRun) {
    const auto error = line_protocol::decode_database("ERROR SOMETHING new");
    EXPECT_EQ(error.status_, statement_status::unknown);
    EXPECT_FALSE(backends::has_not_run(error.status_));
}

TEST(line_protocol, DecodesAReport) {
    const auto report = line_protocol::decode_report("replica 3 3.1209 0 12 2 17");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->role_, backends::listed_role::replica);
    EXPECT_EQ(report->term_, 3U);
    EXPECT_EQ(report->received_, (base::log_position{3, 1209}));
    EXPECT_EQ(line_protocol::decode_report("leader 3 3.1 0 0 0 0"), std::nullopt);
    EXPECT_EQ(line_protocol::decode_report("primary x 3.1"), std::nullopt);
}

TEST(line_protocol, EncodesResponsesInTheClientFormat) {
    backends::statement_response reply{statement_status::done,
                                       {"abc"},
                                       "7.1f3",
                                       backends::transaction_state::none,
                                       base::log_position{3, 9}};
    EXPECT_EQ(line_protocol::encode_statement_response(reply),
              "ROW abc\r\nCOMPLETE 7.1f3\r\nREADY I 3.9\r\n");
    const auto refused =
        backends::make_response(statement_status::overloaded, "busy", backends::transaction_state::failed);
    EXPECT_EQ(line_protocol::encode_statement_response(refused), "ERROR THROTTLED busy\r\nREADY E -\r\n");
    EXPECT_EQ(line_protocol::encode_session_started(), "READY I -\r\n");
}

} // namespace
