#include <stand_ins/database/database_settings.hpp>

namespace stand_ins::database {

base::result<std::map<std::string, base::endpoint>> parse_peers(std::string_view text,
                                                                std::string_view own_name) {
    std::map<std::string, base::endpoint> peers;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        const auto equals = item.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            return base::error{base::error_kind::settings_invalid,
                               "peer '" + std::string{item} + "' is not of the form name=address:port"};
        }
        auto address = base::endpoint::parse(item.substr(equals + 1));
        if (!address) {
            return address.last_reason();
        }
        if (item.substr(0, equals) != own_name) {
            peers.emplace(item.substr(0, equals), std::move(*address));
        }
    }
    return peers;
}

} // namespace stand_ins::database
