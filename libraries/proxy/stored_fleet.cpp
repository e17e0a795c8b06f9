#include <proxy/stored_fleet.hpp>

#include <base/endpoint.hpp>
#include <proxy/fleet_keys.hpp>

#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>
#include <utility>

namespace proxy {

namespace {

std::optional<std::string> decode_registration(const platform::store_item& item, stored_fleet& fleet) {
    const auto address = item.key_.substr(fleet_keys::daemons.size());
    const auto endpoint = base::endpoint::parse(address);
    if (!endpoint || endpoint->to_string() != address) {
        return "the key has no address of a daemon";
    }
    auto entry = daemons::decode_registration(address, item.value_, item.revision_);
    const bool is_decodable = entry.has_value();
    fleet.registrations_.insert_or_assign(
        address, is_decodable ? std::move(*entry) : daemons::damaged_registration(address, item.revision_));
    return is_decodable ? std::nullopt : std::optional{std::string{"not a registration"}};
}

std::optional<std::string> decode_record(const platform::store_item& item, stored_fleet& fleet) {
    const auto service = item.key_.substr(fleet_keys::takeovers.size());
    auto record = daemons::decode_record(service, item.value_, item.revision_);
    const bool is_decodable = record.has_value();
    fleet.records_.push_back(is_decodable ? std::move(*record)
                                          : daemons::damaged_record(service, item.revision_));
    return is_decodable ? std::nullopt : std::optional{std::string{"not a takeover record"}};
}

std::optional<std::string> decode_leadership(const platform::store_item& item, stored_fleet& fleet) {
    fleet.leadership_revision_ = item.revision_;
    const auto separator = item.value_.find(' ');
    const auto rest = separator == std::string::npos ? std::string{} : item.value_.substr(separator + 1);
    auto leader = item.value_.substr(0, separator);
    fleet.leadership_ = daemons::decode_registration(leader, rest, item.revision_);
    if (!fleet.leadership_) {
        return "not a leader's entry";
    }
    fleet.leader_ = std::move(leader);
    return std::nullopt;
}

std::optional<std::string> decode_confirmed_era(const platform::store_item& item, stored_fleet& fleet) {
    std::uint64_t number = 0;
    const auto* const end = item.value_.data() + item.value_.size();
    const auto [rest, failure] = std::from_chars(item.value_.data(), end, number);
    if (failure != std::errc{} || rest != end || number == 0 || number > base::max_store_era) {
        return "not a number of the store's history";
    }
    fleet.confirmed_era_ = static_cast<base::store_era>(number);
    return std::nullopt;
}

} // namespace

std::optional<std::string> decode_item(const platform::store_item& item, stored_fleet& fleet) {
    const std::string_view key{item.key_};
    if (key.starts_with(fleet_keys::daemons)) {
        return decode_registration(item, fleet);
    }
    if (key.starts_with(fleet_keys::takeovers)) {
        return decode_record(item, fleet);
    }
    if (key == fleet_keys::leadership) {
        return decode_leadership(item, fleet);
    }
    if (key == fleet_keys::confirmed_era) {
        return decode_confirmed_era(item, fleet);
    }
    return "unknown key";
}

} // namespace proxy
