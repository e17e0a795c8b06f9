#include <operators/configuration_codec.hpp>

#include <base/sha256.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <utility>

namespace operators {

namespace {

namespace json = boost::json;

// Incremented when the meaning of a member changes; daemons reject any other version.
constexpr std::uint64_t format_version = 1;

// `visit_members` lists the members of each record once, for both the encoder and the decoder. The record is
// const when encoding.
template <typename Record, typename Fields>
concept record_of = std::same_as<std::remove_const_t<Record>, Fields>;

void visit_members(record_of<database_declaration> auto& record, auto& visitor) {
    visitor("name", record.name_);
    visitor("address", record.address_);
    visitor("failure_domain", record.failure_domain_);
}

void visit_members(record_of<rank_declaration> auto& record, auto& visitor) {
    visitor("name", record.name_);
    visitor("least_share_percent", record.least_share_percent_);
    visitor("weight", record.weight_);
    visitor("deadline_ms", record.deadline_);
}

void visit_members(record_of<read_class_declaration> auto& record, auto& visitor) {
    visitor("name", record.name_);
    visitor("staleness_ms", record.staleness_);
}

void visit_members(record_of<tenant_limit> auto& record, auto& visitor) {
    visitor("name", record.name_);
    visitor("most_in_flight", record.most_in_flight_);
}

void visit_members(record_of<service_declaration_fields> auto& record, auto& visitor) {
    visitor("name", record.name_);
    visitor("region", record.region_);
    visitor("databases", record.databases_);
    visitor("slots", record.slots_);
    visitor("connections", record.connections_);
    visitor("queue_items", record.queue_items_);
    visitor("queue_bytes", record.queue_bytes_);
    visitor("ranks", record.ranks_);
    visitor("read_classes", record.read_classes_);
    visitor("tenants", record.tenants_);
}

void visit_members(record_of<configuration_fields> auto& record, auto& visitor) {
    visitor("revision", record.revision_);
    visitor("publisher", record.publisher_);
    visitor("services", record.services_);
}

json::value encode(const std::string& text) {
    return json::value(json::string{text});
}

json::value encode(std::uint64_t number) {
    return number;
}

json::value encode(base::clock::duration length) {
    return length.count();
}

json::value encode(const base::endpoint& address) {
    return json::value(json::string{address.to_string()});
}

template <typename Record>
json::value encode(const std::vector<Record>& records);

template <typename Record>
json::object encode_members(const Record& record) {
    json::object object;
    auto visitor = [&object](std::string_view name, const auto& member) {
        object[name] = encode(member);
    };
    visit_members(record, visitor);
    return object;
}

json::value encode(const service_declaration& declaration) {
    return encode_members(*declaration);
}

template <typename Record>
json::value encode(const Record& record) {
    return encode_members(record);
}

template <typename Record>
json::value encode(const std::vector<Record>& records) {
    json::array array;
    for (const auto& record : records) {
        array.push_back(encode(record));
    }
    return array;
}

// Decodes records and reports the first member that is invalid; the members after it are skipped.
class member_decoder {
public:
    [[nodiscard]] bool failed() const noexcept { return !failure_.empty(); }
    [[nodiscard]] const std::string& failure() const noexcept { return failure_; }

    template <typename Record>
    void read_members(const json::value& source, const std::string& path, Record& record) {
        const auto* object = source.if_object();
        if (object == nullptr) {
            fail(path, "is not an object");
            return;
        }
        auto visitor = [&](std::string_view name, auto& member) {
            const auto member_path = path + "/" + std::string{name};
            const auto* value = object->if_contains(name);
            if (value == nullptr) {
                fail(member_path, "is missing");
            } else if (!failed()) {
                read(*value, member_path, member);
            }
        };
        visit_members(record, visitor);
    }

private:
    void fail(const std::string& path, std::string_view what) {
        if (!failed()) {
            failure_ = path + " " + std::string{what};
        }
    }

    void read(const json::value& source, const std::string& path, std::string& text) {
        const auto* found = source.if_string();
        if (found == nullptr) {
            fail(path, "is not a string");
            return;
        }
        text.assign(found->data(), found->size());
    }

    void read(const json::value& source, const std::string& path, std::uint64_t& number) {
        if (const auto* plain = source.if_uint64(); plain != nullptr) {
            number = *plain;
            return;
        }
        const auto* found = source.if_int64();
        if (found == nullptr || *found < 0) {
            fail(path, "is not a non-negative integer");
            return;
        }
        number = static_cast<std::uint64_t>(*found);
    }

    void read(const json::value& source, const std::string& path, std::uint32_t& number) {
        std::uint64_t wide = 0;
        read(source, path, wide);
        if (wide > std::numeric_limits<std::uint32_t>::max()) {
            fail(path, "is too large");
            return;
        }
        number = static_cast<std::uint32_t>(wide);
    }

    void read(const json::value& source, const std::string& path, base::clock::duration& length) {
        std::uint64_t wide = 0;
        read(source, path, wide);
        if (wide > static_cast<std::uint64_t>(base::clock::duration::max().count())) {
            fail(path, "is too large");
            return;
        }
        length = base::clock::duration{static_cast<base::clock::rep>(wide)};
    }

    void read(const json::value& source, const std::string& path, base::endpoint& address) {
        std::string text;
        read(source, path, text);
        auto parsed = base::endpoint::parse(text);
        if (!parsed) {
            fail(path, "is not of the form address:port");
            return;
        }
        address = std::move(*parsed);
    }

    void read(const json::value& source, const std::string& path, service_declaration& declaration) {
        service_declaration_fields fields;
        read_members(source, path, fields);
        declaration = service_declaration{std::move(fields)};
    }

    template <typename Record>
    void read(const json::value& source, const std::string& path, Record& record) {
        read_members(source, path, record);
    }

    template <typename Record>
    void read(const json::value& source, const std::string& path, std::vector<Record>& records) {
        const auto* array = source.if_array();
        if (array == nullptr) {
            fail(path, "is not an array");
            return;
        }
        for (std::size_t index = 0; index < array->size() && !failed(); ++index) {
            Record record;
            read((*array)[index], path + "/" + std::to_string(index), record);
            records.push_back(std::move(record));
        }
    }

    std::string failure_;
};

base::error malformed(const std::string& what) {
    return base::error{base::error_kind::declaration_invalid,
                       "the encoded configuration is invalid: " + what};
}

bool is_version_known(const json::value& parsed) {
    const auto* object = parsed.if_object();
    const auto* version = object == nullptr ? nullptr : object->if_contains("format");
    const auto* number = version == nullptr ? nullptr : version->if_int64();
    return number != nullptr && *number == static_cast<std::int64_t>(format_version);
}

bool is_sorted_by_name(const std::vector<service_declaration>& services) {
    const auto is_out_of_order = [](const auto& one, const auto& other) {
        return one->name_ >= other->name_;
    };
    return std::adjacent_find(services.begin(), services.end(), is_out_of_order) == services.end();
}

} // namespace

std::string encode_configuration(const configuration& source) {
    auto object = encode_members(*source);
    object["format"] = format_version;
    return json::serialize(object);
}

base::result<configuration> decode_configuration(std::string_view text) {
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure) {
        return malformed(failure.message());
    }
    if (!is_version_known(parsed)) {
        return malformed("the format is not " + std::to_string(format_version));
    }
    configuration_fields fields;
    member_decoder decoder;
    decoder.read_members(parsed, "", fields);
    if (decoder.failed()) {
        return malformed(decoder.failure());
    }
    if (!is_sorted_by_name(fields.services_)) {
        return malformed("/services is not sorted by name or contains a duplicate");
    }
    return configuration{std::move(fields)};
}

base::result<configuration> decode_stored_configuration(std::string_view text, std::uint64_t revision) {
    auto decoded = decode_configuration(text);
    if (!decoded) {
        return decoded;
    }
    return decoded->with([revision](configuration_fields& fields) { fields.revision_ = revision; });
}

std::string fingerprint_of(const configuration& source) {
    return base::sha256_of(json::serialize(encode(source->services_)));
}

} // namespace operators
