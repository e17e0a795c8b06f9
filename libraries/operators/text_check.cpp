#include <operators/text_check.hpp>

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace operators {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view white_space = " \t";
constexpr std::string_view line_ends = "\r\n";

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

// The INI parser treats section names that differ only in the case of ASCII letters as the same section.
std::string fold_case(std::string_view text) {
    std::string folded{text};
    std::transform(folded.begin(), folded.end(), folded.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return folded;
}

class line_checker {
public:
    explicit line_checker(const std::string& file) : file_{file} {}

    void check(std::string_view raw_line) {
        ++number_;
        const auto line = trim(raw_line);
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            return;
        }
        if (line.front() == '[') {
            check_section(line);
        } else if (line.front() == '=' || line.find('=') == std::string_view::npos) {
            add("",
                "line " + std::to_string(number_) + " is neither a section, a key with a value nor a comment",
                "write it as `key = value`, or start it with ; to make it a comment");
        }
    }

    std::vector<problem> take_problems() { return std::move(problems_); }

private:
    void check_section(std::string_view line) {
        const auto end = line.find(']');
        if (end == std::string_view::npos || end + 1 != line.size()) {
            add("", "line " + std::to_string(number_) + " does not end its section name with ]",
                "end the section name with ] and put nothing after it");
            return;
        }
        section_ = trim(line.substr(1, end - 1));
        if (!sections_.insert(fold_case(section_)).second) {
            add("", "the section appears twice, the second time on line " + std::to_string(number_),
                "remove one of the two or give it another name; names that differ only in case are the same");
        }
    }

    void add(std::string key, std::string what, std::string remedy) {
        problems_.push_back({file_, section_, std::move(key), std::move(what), std::move(remedy)});
    }

    std::string file_;
    std::string section_;
    std::size_t number_ = 0;
    std::set<std::string> sections_;
    std::vector<problem> problems_;
};

} // namespace

bool is_utf8(std::string_view text) noexcept {
    const auto* position = text.data();
    const auto* const end = position + text.size();
    while (position != end) {
        const auto point = boost::locale::utf::utf_traits<char>::decode(position, end);
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
            return false;
        }
    }
    return true;
}

bool has_control_character(std::string_view text) noexcept {
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code < ' ' || code == 0x7F;
    });
}

std::vector<problem> find_text_problems(std::string_view text, const std::string& file) {
    line_checker checker{file};
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    std::size_t number = 0;
    std::vector<problem> encoding;
    while (!text.empty()) {
        ++number;
        const auto end = std::min(text.find('\n'), text.size());
        auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        line = line.substr(0, line.find_last_not_of(line_ends) + 1);
        const auto where = "line " + std::to_string(number);
        if (!is_utf8(line)) {
            encoding.push_back({file, "", "", where + " is not valid UTF-8", "save the file as UTF-8"});
        }
        const auto is_tab = [](char character) {
            return character == '\t';
        };
        std::string without_tabs{line};
        std::erase_if(without_tabs, is_tab);
        if (has_control_character(without_tabs)) {
            encoding.push_back(
                {file, "", "", where + " contains a control character", "remove the character"});
        }
        checker.check(line);
    }
    auto found = checker.take_problems();
    found.insert(found.begin(), encoding.begin(), encoding.end());
    return found;
}

} // namespace operators
