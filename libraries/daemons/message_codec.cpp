#include <daemons/message_codec.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <istream>
#include <ostream>
#include <streambuf>
#include <type_traits>

namespace daemons {

namespace {

constexpr std::uint8_t message_version = 1;
// Ten years: far above any real duration, and far below an overflow when it is added to a time point.
constexpr std::int64_t max_duration_ms = std::int64_t{10} * 365 * 24 * 3600 * 1000;

template <typename Fields, typename Expected>
concept fields_of = std::same_as<std::remove_const_t<Fields>, Expected>;

// The fields of each message in the order of their encoding; used for both encoding and decoding.

template <typename Archive>
void transfer(Archive& archive, fields_of<base::request_fields> auto& fields) {
    archive(fields.id_, fields.service_, fields.tenant_, fields.rank_, fields.access_, fields.statements_,
            fields.read_class_, fields.idempotency_key_, fields.session_, fields.token_, fields.step_,
            fields.transaction_, fields.time_left_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<base::response_fields> auto& fields) {
    archive(fields.outcome_, fields.results_, fields.position_, fields.served_by_, fields.transaction_,
            fields.error_, fields.retry_after_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<refusal_fields> auto& fields) {
    archive(fields.kind_, fields.message_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<suspicion_check_fields> auto& fields) {
    archive(fields.group_, fields.database_, fields.term_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<configuration_fetch_fields> auto& fields) {
    archive(fields.known_revision_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<configuration_offer_fields> auto& fields) {
    archive(fields.revision_, fields.content_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<throttle_notice_fields> auto& fields) {
    archive(fields.group_, fields.rank_, fields.role_, fields.percent_, fields.valid_for_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<member_fields> auto& fields) {
    archive(fields.name_, fields.address_, fields.region_, fields.failure_domain_, fields.incarnation_,
            fields.state_, fields.configuration_revision_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<takeover_record_fields> auto& fields) {
    archive(fields.service_, fields.phase_, fields.replaced_, fields.chosen_, fields.revision_,
            fields.primary_term_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<observed_primary_fields> auto& fields) {
    archive(fields.service_, fields.database_, fields.observation_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<quota_entry_fields> auto& fields) {
    archive(fields.tenant_, fields.count_, fields.retry_after_ms_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<quota_part_fields> auto& fields) {
    archive(fields.epoch_, fields.leader_time_ms_, fields.daemons_, fields.entries_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<fleet_message_fields> auto& fields) {
    archive(fields.kind_, fields.number_, fields.sender_, fields.run_, fields.era_, fields.is_confirmed_,
            fields.store_read_age_, fields.known_run_, fields.possible_leaders_.candidates_digest_,
            fields.possible_leaders_.leader_revision_, fields.registered_daemons_, fields.leader_,
            fields.leader_revision_, fields.records_, fields.records_digest_, fields.grace_,
            fields.active_takeovers_, fields.primaries_, fields.received_.databases_,
            fields.received_.configuration_, fields.configuration_version_);
    archive.trailing(fields.quota_);
}

template <typename Archive>
void transfer(Archive& archive, fields_of<datagram_fields> auto& fields) {
    archive(fields.kind_, fields.sequence_, fields.sender_, fields.subject_, fields.subject_address_,
            fields.after_, fields.list_end_, fields.updates_);
}

constexpr std::uint8_t last_value(base::access /*type*/) {
    return static_cast<std::uint8_t>(base::access::settle);
}
constexpr std::uint8_t last_value(base::session_state /*type*/) {
    return static_cast<std::uint8_t>(base::session_state::with_token);
}
constexpr std::uint8_t last_value(base::transaction_step /*type*/) {
    return static_cast<std::uint8_t>(base::transaction_step::rollback);
}
constexpr std::uint8_t last_value(base::outcome /*type*/) {
    return static_cast<std::uint8_t>(base::outcome::unknown);
}
constexpr std::uint8_t last_value(base::database_role /*type*/) {
    return static_cast<std::uint8_t>(base::database_role::replica);
}
constexpr std::uint8_t last_value(reachability /*type*/) {
    return static_cast<std::uint8_t>(reachability::reachable);
}
constexpr std::uint8_t last_value(member_state /*type*/) {
    return static_cast<std::uint8_t>(member_state::dead);
}
constexpr std::uint8_t last_value(takeover_phase /*type*/) {
    return static_cast<std::uint8_t>(takeover_phase::settled);
}
constexpr std::uint8_t last_value(fleet_message_kind /*type*/) {
    return static_cast<std::uint8_t>(fleet_message_kind::resignation);
}
constexpr std::uint8_t last_value(primary_observation /*type*/) {
    return static_cast<std::uint8_t>(primary_observation::fails);
}
constexpr std::uint8_t last_value(datagram_kind /*type*/) {
    return static_cast<std::uint8_t>(datagram_kind::list_response);
}

// Appends to a string, because std::ostringstream would copy the result again.
class string_sink : public std::streambuf {
public:
    std::string& bytes() { return bytes_; }

protected:
    std::streamsize xsputn(const char* data, std::streamsize count) override {
        bytes_.append(data, static_cast<std::size_t>(count));
        return count;
    }
    int_type overflow(int_type character) override {
        bytes_.push_back(traits_type::to_char_type(character));
        return character;
    }

private:
    std::string bytes_;
};

class message_writer {
public:
    message_writer() : stream_{&sink_}, archive_{stream_} {}

    template <typename... Values>
    void operator()(const Values&... values) {
        (put(values), ...);
    }

    /// Writes the last field of a message. An empty one takes no bytes.
    template <typename Fields>
    void trailing(const base::immutable<Fields>& value) {
        if (!value->is_empty()) {
            put(value);
        }
    }

    std::string take() { return std::move(sink_.bytes()); }

private:
    template <typename Value>
    requires std::is_integral_v<Value>
    void put(const Value& value) { archive_(value); }
    template <typename Value>
    requires std::is_enum_v<Value>
    void put(const Value& value) { put(static_cast<std::uint8_t>(value)); }
    void put(const std::string& text) {
        put(static_cast<std::uint32_t>(text.size()));
        archive_(cereal::binary_data(text.data(), text.size()));
    }
    void put(const base::log_position& position) { (*this)(position.term(), position.index()); }
    void put(const base::store_era& era) { put(base::number_of(era)); }
    void put(const base::store_revision& revision) { (*this)(revision.era(), revision.number()); }
    void put(const base::endpoint& address) { (*this)(address.address(), address.port()); }
    void put(const base::clock::duration& length) { put(std::max<std::int64_t>(length.count(), 0)); }
    // Encoded by name, so that a new kind does not change the meaning of the others.
    void put(const base::error_kind& kind) { put(std::string{base::name_of(kind)}); }
    void put(const base::error& reason) { (*this)(reason.kind(), reason.message()); }
    template <typename Value>
    void put(const std::optional<Value>& value) {
        put(static_cast<std::uint8_t>(value ? 1 : 0));
        if (value) {
            put(*value);
        }
    }
    template <typename Value>
    void put(const std::vector<Value>& values) {
        put(static_cast<std::uint32_t>(values.size()));
        for (const auto& value : values) {
            put(value);
        }
    }
    template <typename Fields>
    void put(const base::immutable<Fields>& value) {
        transfer(*this, *value);
    }

    string_sink sink_;
    std::ostream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

// A stream buffer over the bytes to read that also returns how many remain.
class view_source : public std::streambuf {
public:
    explicit view_source(std::string_view bytes) {
        // The stream buffer interface takes mutable pointers; reading never writes through them.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
        auto* start = const_cast<char*>(bytes.data());
        setg(start, start, start + bytes.size());
    }
    [[nodiscard]] std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

class message_reader {
public:
    explicit message_reader(std::string_view bytes) : source_{bytes}, stream_{&source_}, archive_{stream_} {}

    template <typename... Values>
    void operator()(Values&... values) {
        (get(values), ...);
    }

    /// Reads the last field of a message, which is empty when no bytes are left.
    template <typename Fields>
    void trailing(base::immutable<Fields>& value) {
        if (left() > 0) {
            get(value);
        }
    }

    [[nodiscard]] std::size_t left() const { return source_.left(); }

private:
    void get(base::error_kind& kind) {
        std::string name;
        get(name);
        kind = base::error_kind_from_name(name);
        reject_if(base::name_of(kind) != name, "unknown error kind");
    }
    void get(base::error& reason) {
        base::error_kind kind{};
        std::string message;
        (*this)(kind, message);
        reason = base::error{kind, std::move(message)};
    }
    template <typename Value>
    requires std::is_integral_v<Value>
    void get(Value& value) { archive_(value); }
    template <typename Value>
    requires std::is_enum_v<Value>
    void get(Value& value) {
        std::uint8_t number = 0;
        get(number);
        reject_if(number > last_value(Value{}), "unknown enum value");
        value = static_cast<Value>(number);
    }
    template <typename Fields>
    void get(base::immutable<Fields>& value) {
        Fields fields;
        transfer(*this, fields);
        value = base::immutable<Fields>{std::move(fields)};
    }

    // cereal reports a truncated message with the same exception; decode_message turns it into an error.
    static void reject_if(bool wrong, const char* reason) {
        if (wrong) {
            throw cereal::Exception{reason};
        }
    }

    // Every element takes at least one byte, so a length above the number of remaining bytes is invalid.
    std::uint32_t get_length() {
        std::uint32_t length = 0;
        get(length);
        reject_if(length > left(), "length exceeds the end of the message");
        return length;
    }
    void get(std::string& text) {
        text.resize(get_length());
        archive_(cereal::binary_data(text.data(), text.size()));
    }
    void get(base::log_position& position) {
        std::uint64_t term = 0;
        std::uint64_t index = 0;
        (*this)(term, index);
        position = base::log_position{term, index};
    }
    void get(base::store_era& era) {
        std::uint64_t number = 0;
        get(number);
        reject_if(number > base::max_store_era, "history of the store out of range");
        era = static_cast<base::store_era>(number);
    }
    void get(base::store_revision& revision) {
        base::store_era era{};
        std::uint64_t number = 0;
        (*this)(era, number);
        revision = base::store_revision{era, number};
    }
    void get(base::endpoint& address) {
        std::string text;
        std::uint16_t port = 0;
        (*this)(text, port);
        address = base::endpoint{std::move(text), port};
    }
    void get(base::clock::duration& length) {
        std::int64_t count = 0;
        get(count);
        reject_if(count < 0 || count > max_duration_ms, "duration out of range");
        length = base::clock::duration{count};
    }
    template <typename Value>
    void get(std::optional<Value>& value) {
        std::uint8_t present = 0;
        get(present);
        reject_if(present > 1, "presence byte is neither 0 nor 1");
        value.reset();
        if (present == 1) {
            value.emplace(make_blank<Value>());
            get(*value);
        }
    }
    template <typename Value>
    void get(std::vector<Value>& values) {
        const auto count = get_length();
        values.clear();
        for (std::uint32_t index = 0; index < count; ++index) {
            get(values.emplace_back());
        }
    }

    template <typename Value>
    static Value make_blank() {
        if constexpr (std::same_as<Value, base::error>) {
            return base::error{base::error_kind::internal, {}};
        } else {
            return Value{};
        }
    }

    view_source source_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

base::error invalid(const std::string& reason) {
    return base::error{base::error_kind::frame_invalid, "invalid message: " + reason};
}

// The archive starts with its byte order, 0 or 1; cereal does not reject other values.
bool has_valid_preamble(std::string_view bytes) {
    return bytes.size() >= 2 && static_cast<std::uint8_t>(bytes[0]) == message_version &&
           static_cast<std::uint8_t>(bytes[1]) <= 1;
}

bool fits(const member& value) {
    return !value->name_.empty() && value->name_.size() <= max_member_text_bytes &&
           value->address_.address().size() <= max_member_text_bytes &&
           value->region_.size() <= max_member_text_bytes &&
           value->failure_domain_.size() <= max_member_text_bytes;
}

template <typename Message>
bool is_plausible(const Message& /*message*/) {
    return true;
}

bool is_plausible(const datagram& message) {
    return fits(message->sender_) && std::ranges::all_of(message->updates_, fits) &&
           message->subject_.size() <= max_member_text_bytes &&
           message->after_.size() <= max_member_text_bytes &&
           message->list_end_.size() <= max_member_text_bytes;
}

bool is_plausible(const fleet_message& message) {
    return message->quota_->entries_.size() <= max_quota_entries;
}

} // namespace

template <wire_message Message>
std::string encode_message(const Message& message) {
    message_writer writer;
    writer(message);
    return std::string(1, static_cast<char>(message_version)) + writer.take();
}

template <wire_message Message>
base::result<Message> decode_message(std::string_view bytes) {
    if (!has_valid_preamble(bytes)) {
        return invalid("unknown version or byte order");
    }
    try {
        message_reader reader{bytes.substr(1)};
        Message message{};
        reader(message);
        if (reader.left() != 0) {
            return invalid(std::to_string(reader.left()) + " trailing bytes");
        }
        if (!is_plausible(message)) {
            return invalid("a text is empty or too long");
        }
        return message;
    } catch (const std::exception& failure) {
        return invalid(failure.what());
    }
}

template std::string encode_message(const base::request&);
template std::string encode_message(const base::response&);
template std::string encode_message(const refusal&);
template std::string encode_message(const suspicion_check&);
template std::string encode_message(const reachability&);
template std::string encode_message(const configuration_fetch&);
template std::string encode_message(const configuration_offer&);
template std::string encode_message(const throttle_notice&);
template std::string encode_message(const datagram&);
template std::string encode_message(const fleet_message&);

template base::result<base::request> decode_message(std::string_view);
template base::result<base::response> decode_message(std::string_view);
template base::result<refusal> decode_message(std::string_view);
template base::result<suspicion_check> decode_message(std::string_view);
template base::result<reachability> decode_message(std::string_view);
template base::result<configuration_fetch> decode_message(std::string_view);
template base::result<configuration_offer> decode_message(std::string_view);
template base::result<throttle_notice> decode_message(std::string_view);
template base::result<datagram> decode_message(std::string_view);
template base::result<fleet_message> decode_message(std::string_view);

} // namespace daemons
