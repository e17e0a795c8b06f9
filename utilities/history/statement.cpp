#include <utilities/history/statement.hpp>

#include <algorithm>

namespace history {

namespace {

std::string take_word(std::string_view& text) {
    const auto end = std::min(text.find(' '), text.size());
    std::string word{text.substr(0, end)};
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

} // namespace

statement split_statement(std::string_view text) {
    auto verb = take_word(text);
    auto key = take_word(text);
    return {std::move(verb), std::move(key), std::string{text}};
}

} // namespace history
