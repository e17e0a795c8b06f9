#include <daemons/events.hpp>
#include <daemons/frame_codec.hpp>
#include <daemons/message_codec.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace daemons;

std::vector<frame> decode_all(frame_decoder& decoder) {
    std::vector<frame> frames;
    while (true) {
        auto next = decoder.next();
        if (!next || !next->has_value()) {
            return frames;
        }
        frames.push_back(**next);
    }
}

rc::Gen<frame> any_frame() {
    return rc::gen::apply(
        [](int type, std::uint64_t id, std::string body) {
            return frame{static_cast<frame_type>(type), id, std::move(body)};
        },
        rc::gen::inRange(1, static_cast<int>(last_frame_type) + 1), rc::gen::arbitrary<std::uint64_t>(),
        rc::gen::arbitrary<std::string>());
}

base::request sample_request() {
    return base::request_fields{.id_ = 7,
                                .service_ = "ledger",
                                .tenant_ = "branch 4",
                                .rank_ = "urgent",
                                .access_ = base::access::write,
                                .statements_ = {"set k v", "", std::string(300, 'x')},
                                .read_class_ = "fresh",
                                .idempotency_key_ = "payout-1",
                                .session_ = base::session_state::with_token,
                                .token_ = {3, 9},
                                .step_ = base::transaction_step::statement,
                                .transaction_ = "h",
                                .time_left_ = base::clock::duration{1'500}};
}

base::response sample_response() {
    return base::response_fields{.outcome_ = base::outcome::not_run,
                                 .results_ = {"a", "b"},
                                 .position_ = base::log_position{4, 2},
                                 .served_by_ = base::database_role::replica,
                                 .transaction_ = "t",
                                 .error_ = base::error{base::error_kind::overloaded, "queue full"},
                                 .retry_after_ = base::clock::duration{20}};
}

member sample_member(const std::string& name) {
    return member_fields{name, {"127.0.0.1", 19'300}, "zagreb", "rack 1", 5, member_state::leaving, 12};
}

datagram sample_datagram() {
    return datagram_fields{.kind_ = datagram_kind::ping_request,
                           .sequence_ = 77,
                           .sender_ = sample_member("a"),
                           .subject_ = "b",
                           .subject_address_ = {"127.0.0.1", 1},
                           .after_ = "c",
                           .list_end_ = "d",
                           .updates_ = {sample_member("e"), sample_member("f")}};
}

template <typename Message>
void expect_round_trip(const Message& message) {
    const auto bytes = encode_message(message);
    const auto decoded = decode_message<Message>(bytes);
    ASSERT_TRUE(decoded) << decoded.last_reason().message();
    EXPECT_EQ(*decoded, message);
    EXPECT_FALSE(decode_message<Message>(bytes + "x"));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decode_message<Message>(bytes.substr(0, length))) << length;
    }
}

// Checks that decoding corrupted bytes returns a value or `frame_invalid` and never throws.
template <typename Message>
void expect_corruption_is_contained(const Message& message) {
    const auto bytes = encode_message(message);
    EXPECT_TRUE(rc::check("corrupted bytes give a value or a typed error", [&bytes] {
        auto corrupted = bytes;
        const auto changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            const auto place = *rc::gen::inRange<std::size_t>(0, corrupted.size());
            corrupted[place] = *rc::gen::arbitrary<char>();
        }
        const auto decoded = decode_message<Message>(corrupted);
        RC_ASSERT(decoded || decoded.last_reason().kind() == base::error_kind::frame_invalid);
    }));
}

} // namespace

// Guards against frames that are lost, merged or split when TCP splits the stream at any byte.
TEST(frame_codec, any_split_of_the_stream_gives_the_same_frames) {
    EXPECT_TRUE(rc::check("frames survive any split", [] {
        const auto frames = *rc::gen::container<std::vector<frame>>(any_frame());
        std::string stream;
        for (const auto& one : frames) {
            stream += encode_frame(one);
        }
        frame_decoder decoder;
        std::vector<frame> decoded;
        while (!stream.empty()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
            decoder.append(stream.substr(0, length));
            stream.erase(0, length);
            for (auto& one : decode_all(decoder)) {
                decoded.push_back(std::move(one));
            }
        }
        RC_ASSERT(decoded == frames);
    }));
}

// Guards against a change of the header's layout, which the other daemons of a running fleet could not
// decode.
TEST(frame_codec, header_is_big_endian) {
    const std::string expected{"\0\0\0\x0c\x01\x02\0\0\0\0\0\0\x01\x02hi", 16};
    EXPECT_EQ(encode_frame(frame{frame_type::request, 0x0102, "hi"}), expected);
}

// Guards against a decoder that waits for, or allocates, gigabytes because of a corrupted header.
TEST(frame_codec, invalid_headers_are_rejected_permanently) {
    const auto valid = encode_frame(frame{frame_type::request, 1, "body"});
    const auto refuses = [&valid](std::size_t place, char value) {
        auto bytes = valid;
        bytes[place] = value;
        frame_decoder decoder;
        decoder.append(bytes);
        const bool refused = !decoder.next();
        decoder.append(valid);
        return refused && !decoder.next() &&
               decoder.next().last_reason().kind() == base::error_kind::frame_invalid;
    };
    EXPECT_TRUE(refuses(0, 1)) << "16 MiB";
    EXPECT_TRUE(refuses(3, 9)) << "shorter than the header";
    EXPECT_TRUE(refuses(4, 2)) << "version";
    EXPECT_TRUE(refuses(5, 0)) << "type below the first";
    EXPECT_TRUE(refuses(5, static_cast<char>(last_frame_type) + 1)) << "type beyond the last";
}

// Guards against an off-by-one at the 4 MiB bound.
TEST(frame_codec, largest_frame_is_accepted_and_a_larger_one_is_not) {
    frame_decoder fits;
    fits.append(encode_frame(frame{frame_type::response, 1, std::string(max_body_bytes, 'x')}));
    EXPECT_TRUE(fits.next() && fits.next());
    frame_decoder exceeds;
    exceeds.append(encode_frame(frame{frame_type::response, 1, std::string(max_body_bytes + 1, 'x')}));
    EXPECT_FALSE(exceeds.next());
}

// Guards against a field missing from the encoding, and against accepting trailing bytes or truncated
// messages.
TEST(message_codec, every_message_round_trips_at_its_exact_length_only) {
    expect_round_trip(sample_request());
    expect_round_trip(sample_response());
    expect_round_trip(refusal{refusal_fields{base::error_kind::shutting_down, "drains"}});
    expect_round_trip(suspicion_check{suspicion_check_fields{"ledger", {"127.0.0.1", 5}, 9}});
    expect_round_trip(reachability::reachable);
    expect_round_trip(configuration_fetch{configuration_fetch_fields{4}});
    expect_round_trip(configuration_offer{configuration_offer_fields{4, "content"}});
    expect_round_trip(throttle_notice{throttle_notice_fields{"ledger", "low", base::database_role::replica,
                                                             30, base::clock::duration{50}}});
    expect_round_trip(sample_datagram());
}

// Guards against an access kind that another daemon cannot decode, such as an outcome query: it would close
// the connection.
TEST(message_codec, every_kind_of_access_round_trips) {
    for (const auto access : {base::access::read, base::access::write, base::access::settle}) {
        expect_round_trip(sample_request().with([access](auto& fields) { fields.access_ = access; }));
    }
}

// Guards against crashes and unbounded allocation on corrupted or hostile bytes.
TEST(message_codec, corrupted_messages_give_a_value_or_an_error) {
    expect_corruption_is_contained(sample_request());
    expect_corruption_is_contained(sample_response());
    expect_corruption_is_contained(sample_datagram());
}

// Guards against enum values without an enumerator, which later switch statements would not handle.
TEST(message_codec, unknown_enum_values_and_byte_orders_are_refused) {
    auto verdict = encode_message(reachability::reachable);
    verdict.back() = 2;
    EXPECT_FALSE(decode_message<reachability>(verdict));
    auto order = encode_message(reachability::reachable);
    order[1] = 5;
    EXPECT_FALSE(decode_message<reachability>(order));
}

// Guards against datagrams above the maximum size: membership relies on this estimate.
TEST(message_codec, wire_bytes_is_an_upper_bound) {
    const auto message = sample_datagram();
    auto estimate = wire_bytes_without_updates(*message);
    for (const auto& update : message->updates_) {
        estimate += wire_bytes(update);
    }
    EXPECT_LE(encode_message(message).size(), estimate);
}

// Guards against an event that is missing from the catalogue or described differently there.
TEST(events, catalogue_lists_exactly_the_defined_events) {
    support::expect_catalogue(events::all, 600, 699);
}
