#include <utilities/sassafras_load/text_list.hpp>

#include <algorithm>

namespace sassafras_load {

std::vector<std::string> split_list(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        const auto part = text.substr(0, end);
        const auto first = part.find_first_not_of(' ');
        if (first != std::string_view::npos) {
            parts.emplace_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

} // namespace sassafras_load
