#include <operators/configuration_codec.hpp>
#include <tests/operators/samples.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

// Generates texts with characters that JSON escapes and with multi-byte characters.
rc::Gen<std::string> texts() {
    const auto piece =
        rc::gen::element<std::string>("a", "ž", "雪", "\"", "\\", "\n", "\x01", "/", " ", "[x]", "🛷");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece), [](const auto& pieces) {
        std::string text;
        for (const auto& each : pieces) {
            text += each;
        }
        return text;
    });
}

base::clock::duration any_duration() {
    return base::clock::duration{*rc::gen::inRange<std::int64_t>(0, INT64_MAX)};
}

operators::service_declaration any_service(const std::string& name) {
    operators::service_declaration_fields fields;
    fields.name_ = name;
    fields.region_ = *texts();
    fields.slots_ = *rc::gen::arbitrary<std::uint32_t>();
    fields.connections_ = *rc::gen::arbitrary<std::uint32_t>();
    fields.queue_items_ = *rc::gen::arbitrary<std::uint32_t>();
    fields.queue_bytes_ = *rc::gen::arbitrary<std::uint64_t>();
    for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        const auto port = *rc::gen::inRange<std::uint16_t>(1, UINT16_MAX);
        fields.databases_.push_back({*texts(), {"::1" + *texts(), port}, *texts()});
        fields.ranks_.push_back({*texts(), *rc::gen::arbitrary<std::uint32_t>(),
                                 *rc::gen::arbitrary<std::uint32_t>(), any_duration()});
        fields.read_classes_.push_back({*texts(), any_duration()});
        fields.tenants_.push_back({*texts(), *rc::gen::arbitrary<std::uint32_t>()});
    }
    return fields;
}

operators::configuration any_configuration() {
    operators::configuration_fields fields;
    fields.revision_ = *rc::gen::arbitrary<std::uint64_t>();
    fields.publisher_ = *texts();
    for (auto number = *rc::gen::inRange(0, 4); number > 0; --number) {
        fields.services_.insert(fields.services_.begin(), any_service("s" + std::to_string(number)));
    }
    return fields;
}

operators::configuration two_services() {
    operators::configuration_fields fields;
    fields.publisher_ = "ana";
    fields.services_ = {samples::declare("board", 9000), samples::declare("ledger", 9010)};
    return fields;
}

} // namespace

// Guards against members that are lost, swapped or changed by encoding for the store or for gossip.
TEST(configuration_codec, every_configuration_survives_the_round_trip) {
    EXPECT_TRUE(rc::check("decode(encode(c)) == c", [] {
        const auto original = any_configuration();
        const auto decoded = operators::decode_configuration(operators::encode_configuration(original));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == original);
    }));
}

// Guards against crashes and partially decoded values if the stored or received text is corrupt.
TEST(configuration_codec, damaged_text_gives_a_typed_error_or_a_whole_value) {
    const auto text = operators::encode_configuration(two_services());
    EXPECT_TRUE(rc::check("typed error or value", [&](std::uint16_t position, char byte, bool cut) {
        auto damaged = text;
        if (cut) {
            damaged.resize(position % text.size());
        } else {
            damaged[position % text.size()] = byte;
        }
        const auto decoded = operators::decode_configuration(damaged);
        if (decoded) {
            RC_ASSERT(!cut);
            RC_ASSERT(*operators::decode_configuration(operators::encode_configuration(*decoded)) ==
                      *decoded);
        } else {
            RC_ASSERT(decoded.last_reason().kind() == base::error_kind::declaration_invalid);
        }
    }));
}

// Guards against accepting values of the wrong type or range, or unsorted lists that cannot be searched.
TEST(configuration_codec, malformed_members_are_rejected) {
    const auto text = operators::encode_configuration(two_services());
    const std::vector<std::pair<std::string, std::string>> changes{
        {"\"slots\":2", "\"slots\":-2"},
        {"\"slots\":2", "\"slots\":4294967296"},
        {"\"slots\":2", "\"slots\":2.0"},
        {"\"slots\":2", "\"slot\":2"},
        {"\"deadline_ms\":2000", "\"deadline_ms\":18446744073709551615"},
        {"127.0.0.1:9000", "nowhere"},
        {"\"ranks\":[", "\"ranks\":[7,"},
        {"\"format\":1", "\"format\":2"},
        {"\"name\":\"ledger\"", "\"name\":\"board\""},
        {"\"publisher\":\"ana\"", "\"publisher\":null"}};
    for (const auto& [from, to] : changes) {
        auto damaged = text;
        ASSERT_NE(damaged.find(from), std::string::npos) << from;
        damaged.replace(damaged.find(from), from.size(), to);
        const auto decoded = operators::decode_configuration(damaged);
        ASSERT_FALSE(decoded) << to;
        EXPECT_EQ(decoded.last_reason().kind(), base::error_kind::declaration_invalid);
    }
    EXPECT_FALSE(operators::decode_configuration(std::string(100'000, '[')));
}

// Guards against a fingerprint that differs for equal declarations or is equal for different ones.
TEST(configuration_codec, the_fingerprint_depends_on_the_declarations_only) {
    const auto original = two_services();
    const auto republished = original.with([](auto& fields) {
        fields.publisher_ = "ivo";
        fields.revision_ = 9;
    });
    const auto changed = original.with(
        [](auto& fields) { fields.services_[0] = fields.services_[0].with([](auto& s) { s.slots_ = 3; }); });
    EXPECT_EQ(operators::fingerprint_of(original), operators::fingerprint_of(republished));
    EXPECT_NE(operators::fingerprint_of(original), operators::fingerprint_of(changed));
    EXPECT_EQ(operators::fingerprint_of(original).size(), 64U);
}
