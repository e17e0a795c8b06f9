#include <base/ini_document.hpp>

// Excludes the wide-character variant, whose converter (ConvertUTF.h) is not part of Debian's package.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

#include <fstream>
#include <sstream>

namespace base {

namespace {

constexpr bool utf8 = true;
constexpr bool keep_repeated_keys = true;
constexpr bool single_line_values = false;

error unreadable(const std::string& name) {
    return error{error_kind::settings_invalid, name + " is not a readable INI file"};
}

template <typename List>
auto in_file_order(List& list) {
    list.sort(CSimpleIniA::Entry::LoadOrder{});
}

} // namespace

result<ini_document> ini_document::load(const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        return unreadable(path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

result<ini_document> ini_document::parse(std::string_view text, std::string name) {
    CSimpleIniA reader{utf8, keep_repeated_keys, single_line_values};
    if (reader.LoadData(text.data(), text.size()) < 0) {
        return unreadable(name);
    }
    ini_document document;
    document.name_ = std::move(name);
    CSimpleIniA::TNamesDepend sections;
    reader.GetAllSections(sections);
    in_file_order(sections);
    for (const auto& section : sections) {
        document.sections_.emplace_back(section.pItem);
        CSimpleIniA::TNamesDepend keys;
        reader.GetAllKeys(section.pItem, keys);
        in_file_order(keys);
        for (const auto& key : keys) {
            CSimpleIniA::TNamesDepend values;
            reader.GetAllValues(section.pItem, key.pItem, values);
            in_file_order(values);
            for (const auto& value : values) {
                document.entries_.push_back({section.pItem, key.pItem, value.pItem});
            }
        }
    }
    return document;
}

} // namespace base
