#include <operators/value_reader.hpp>

#include <operators/text_check.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace operators {

namespace {

constexpr std::array<std::string_view, 5> log_levels{"debug", "info", "warning", "error", "off"};

base::error invalid(std::string message) {
    return base::error{base::error_kind::settings_invalid, std::move(message)};
}

std::string quoted(std::string_view text) {
    return "'" + std::string{text} + "'";
}

bool is_name_character(char character) noexcept {
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
           character == '_' || character == '-' || character == '.';
}

base::result<key_value> read_text(const key_description& description, std::string_view text) {
    const bool secret = description.type_ == value_type::secret;
    const auto displayed = secret ? std::string{"the value"} : quoted(text);
    if (!is_utf8(text) || has_control_character(text)) {
        return invalid("the value is not valid UTF-8 or contains a control character");
    }
    if (text.size() < description.min_ || text.size() > description.max_) {
        return invalid(displayed + " has " + std::to_string(text.size()) + " characters, not " +
                       range_of(description));
    }
    if (description.type_ == value_type::name && !std::all_of(text.begin(), text.end(), is_name_character)) {
        return invalid(displayed + " contains characters other than a-z, 0-9, '_', '-' and '.'");
    }
    return key_value{std::string{text}};
}

base::result<key_value> read_number(const key_description& description, std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status == std::errc::invalid_argument || end != text.data() + text.size()) {
        return invalid(quoted(text) + " is not a whole number");
    }
    if (status != std::errc{} || number < description.min_ || number > description.max_) {
        return invalid(quoted(text) + " is outside the range " + range_of(description));
    }
    return key_value{number};
}

base::result<base::endpoint> read_address(std::string_view text) {
    auto parsed = base::endpoint::parse(text);
    if (!parsed) {
        return parsed;
    }
    boost::system::error_code failure;
    boost::asio::ip::make_address(parsed->address(), failure);
    if (failure) {
        return invalid(quoted(text) + " does not start with an IP address");
    }
    return parsed;
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

base::result<key_value> read_seconds(const key_description& description, std::string_view text) {
    double seconds = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    constexpr double max_seconds = 1e9;
    if (status != std::errc{} || end != text.data() + text.size() || seconds < 0 || seconds > max_seconds) {
        return invalid(quoted(text) + " is not a number of seconds");
    }
    constexpr double milliseconds_per_second = 1000;
    const auto milliseconds = static_cast<std::uint64_t>(seconds * milliseconds_per_second);
    if (milliseconds < description.min_ || milliseconds > description.max_) {
        return invalid(quoted(text) + " seconds are outside the range " + range_of(description) +
                       " milliseconds");
    }
    return key_value{milliseconds};
}

base::result<key_value> read_decimal(const key_description& description, std::string_view text) {
    double number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    constexpr double max_number = 1e9;
    constexpr double thousand = 1000;
    // The comparison also rejects a value that is not a number.
    if (status != std::errc{} || end != text.data() + text.size() || !(number >= 0 && number <= max_number)) {
        return invalid(quoted(text) + " is not a decimal number");
    }
    const auto thousandths = static_cast<std::uint64_t>(std::llround(number * thousand));
    if (thousandths < description.min_ || thousandths > description.max_) {
        return invalid(quoted(text) + " is outside the range " + range_of(description) + " thousandths");
    }
    return key_value{thousandths};
}

base::result<key_value> read_addresses(const key_description& description, std::string_view text) {
    std::vector<base::endpoint> addresses;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        auto parsed = read_address(trim(text.substr(0, comma)));
        if (!parsed) {
            return parsed.last_reason();
        }
        if (std::find(addresses.begin(), addresses.end(), *parsed) != addresses.end()) {
            return invalid(parsed->to_string() + " is listed twice");
        }
        addresses.push_back(*parsed);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    if (addresses.size() > description.max_) {
        return invalid(std::to_string(addresses.size()) + " addresses exceed the maximum of " +
                       std::to_string(description.max_));
    }
    return key_value{std::move(addresses)};
}

base::result<key_value> read_log_level(std::string_view text) {
    if (std::find(log_levels.begin(), log_levels.end(), text) == log_levels.end()) {
        return invalid(quoted(text) + " is not a log level");
    }
    return key_value{std::string{text}};
}

} // namespace

base::result<key_value> read_value(const key_description& description, std::string_view text) {
    switch (description.type_) {
    case value_type::name:
    case value_type::text:
    case value_type::secret:
        return read_text(description, text);
    case value_type::number:
    case value_type::milliseconds:
    case value_type::bytes:
    case value_type::percent:
        return read_number(description, text);
    case value_type::seconds:
        return read_seconds(description, text);
    case value_type::decimal:
        return read_decimal(description, text);
    case value_type::address: {
        auto address = read_address(text);
        return address ? base::result<key_value>{key_value{*address}} : address.last_reason();
    }
    case value_type::address_list:
        return read_addresses(description, text);
    case value_type::log_level:
        return read_log_level(text);
    }
    return invalid("the type of the key is unknown");
}

std::string range_of(const key_description& description) {
    switch (description.type_) {
    case value_type::address:
        return "";
    case value_type::address_list:
        return "at most " + std::to_string(description.max_) + " addresses";
    case value_type::log_level:
        return log_level_names();
    case value_type::name:
    case value_type::text:
    case value_type::secret:
        return std::to_string(description.min_) + " to " + std::to_string(description.max_) + " characters";
    default:
        return std::to_string(description.min_) + " to " + std::to_string(description.max_);
    }
}

std::string log_level_names() {
    std::string names;
    for (const auto level : log_levels) {
        names.append(names.empty() ? "" : ", ").append(level);
    }
    return names;
}

} // namespace operators
