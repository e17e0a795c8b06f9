#include <base/endpoint.hpp>
#include <base/immutable.hpp>
#include <base/ini_document.hpp>
#include <base/log_position.hpp>
#include <base/request.hpp>
#include <base/sha256.hpp>
#include <base/snapshot.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>
#include <vector>

// Guards against ordering by index alone, which would rank an entry of an old term above a newer one.
TEST(log_position, orders_by_term_before_index) {
    EXPECT_LT((base::log_position{1, 900}), (base::log_position{2, 1}));
    EXPECT_LT((base::log_position{2, 1}), (base::log_position{2, 2}));
    EXPECT_EQ((base::log_position{}), (base::log_position{0, 0}));
}

// Guards against `with` modifying the original.
TEST(immutable, with_leaves_the_original_unchanged) {
    const base::request original{base::request_fields{.service_ = "ledger"}};
    const auto changed = original.with([](base::request_fields& fields) { fields.service_ = "board"; });
    EXPECT_EQ(original->service_, "ledger");
    EXPECT_EQ(changed->service_, "board");
    EXPECT_NE(original, changed);
}

// Guards against accepting endpoints with a missing address or an invalid port.
TEST(endpoint, parse_refuses_what_is_not_address_and_port) {
    EXPECT_EQ(base::endpoint::parse("127.0.0.1:7000")->port(), 7000);
    for (const auto* text : {"127.0.0.1", ":7000", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:7x"}) {
        EXPECT_FALSE(base::endpoint::parse(text)) << text;
    }
}

// Guards against a repeated key that silently replaces the first value.
TEST(ini_document, keeps_order_and_repeated_keys) {
    const auto document = base::ini_document::parse("[b]\nx=1\nx=2\n[a]\ny=3\n", "test.ini");
    ASSERT_TRUE(document);
    EXPECT_EQ(document->sections(), (std::vector<std::string>{"b", "a"}));
    ASSERT_EQ(document->entries().size(), 3U);
    EXPECT_EQ(document->entries()[1].value_, "2");
}

// Guards against readers that see a partially written or freed value while a writer replaces it.
TEST(snapshot, readers_see_whole_values_while_a_writer_publishes) {
    constexpr int publications = 2000;
    base::snapshot<std::vector<int>> values{std::vector<int>(64, 0)};
    std::atomic<bool> finished{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            while (!finished.load()) {
                const bool whole = values.read([](const std::vector<int>& value) {
                    return value.size() == 64 && value.front() == value.back();
                });
                torn += whole ? 0 : 1;
                torn += values.get()->size() == 64 ? 0 : 1;
            }
        });
    }
    for (int number = 1; number <= publications; ++number) {
        values.publish(std::vector<int>(64, number));
    }
    finished = true;
    for (auto& reader : readers) {
        reader.join();
    }
    base::wait_for_retired();
    EXPECT_EQ(torn.load(), 0);
    EXPECT_EQ(values.get()->front(), publications);
}

// Guards against a merge of positions that moves a session backwards.
TEST(log_position, greater_of_two_is_never_behind_either) {
    EXPECT_TRUE(rc::check("max keeps the greater",
                          [](std::uint8_t t1, std::uint8_t p1, std::uint8_t t2, std::uint8_t p2) {
                              const base::log_position one{t1, p1};
                              const base::log_position other{t2, p2};
                              const auto merged = std::max(one, other);
                              RC_ASSERT(merged >= one);
                              RC_ASSERT(merged >= other);
                              RC_ASSERT(merged == one || merged == other);
                          }));
}

// Guards against a digest that differs from other daemons or versions (vectors of FIPS 180-4 and RFC 4231).
TEST(sha256, gives_the_published_test_values) {
    EXPECT_EQ(base::sha256_of("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(base::hmac_sha256_of("Jefe", "what do ya want for nothing?"),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}
