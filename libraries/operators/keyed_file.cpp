#include <operators/keyed_file.hpp>

#include <base/ini_document.hpp>
#include <operators/text_check.hpp>
#include <operators/value_reader.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace operators {

namespace {

struct section_title {
    std::string kind_;
    std::string name_;
};

section_title split_title(std::string_view title) {
    const auto space = title.find_first_of(" \t");
    if (space == std::string_view::npos) {
        return {std::string{title}, ""};
    }
    const auto name = title.find_first_not_of(" \t", space);
    return {std::string{title.substr(0, space)},
            name == std::string_view::npos ? "" : std::string{title.substr(name)}};
}

template <typename Descriptions, typename Projection>
std::string list_names(const Descriptions& descriptions, Projection projection) {
    std::string names;
    for (const auto& description : descriptions) {
        names.append(names.empty() ? "" : ", ").append(projection(description));
    }
    return names;
}

std::string title_of(const section_description& section) {
    const std::string kind{section.kind_};
    return section.form_ == section_form::named ? "[" + kind + " NAME]" : "[" + kind + "]";
}

std::string remedy_for(const key_description& key) {
    auto remedy = "set it to a value of type " + std::string{name_of(key.type_)};
    const auto range = range_of(key);
    return range.empty() ? remedy : remedy + ", " + range;
}

// Parses one document against one format and collects its problems.
class document_reader {
public:
    document_reader(const base::ini_document& document, const file_format& format)
        : document_{document}, format_{format} {
        read_.file_ = document.name();
    }

    keyed_file read() {
        for (const auto& title : document_.sections()) {
            read_section(title);
        }
        for (const auto& section : format_.sections_) {
            check_presence(section);
        }
        return std::move(read_);
    }

private:
    void read_section(const std::string& title) {
        const auto parts = split_title(title);
        const auto& kind = parts.kind_;
        const auto& name = parts.name_;
        const auto found = std::find_if(format_.sections_.begin(), format_.sections_.end(),
                                        [&kind](const auto& section) { return section.kind_ == kind; });
        if (found == format_.sections_.end()) {
            add(title, "", title.empty() ? "keys are outside any section" : "the section is unknown",
                "use one of " + list_names(format_.sections_, title_of));
            return;
        }
        check_title(*found, title, name);
        keyed_section section{kind, name, {}};
        read_present_keys(*found, title, section);
        add_missing_keys(*found, title, section);
        read_.sections_.push_back(std::move(section));
    }

    void check_title(const section_description& section, const std::string& title, const std::string& name) {
        if (section.form_ == section_form::single) {
            if (!name.empty()) {
                add(title, "", "the section takes no name", "write it as " + title_of(section));
            }
            return;
        }
        const key_description name_rule{.name_ = "name",
                                        .type_ = section.name_type_,
                                        .necessity_ = necessity::required,
                                        .default_ = "",
                                        .min_ = 1,
                                        .max_ = max_name_bytes,
                                        .meaning_ = ""};
        if (const auto checked_name = read_value(name_rule, name); !checked_name) {
            add(title, "", "the section name is invalid: " + checked_name.last_reason().message(),
                "write the section as " + title_of(section) + " with a name of 1 to 64 characters");
        }
        const auto same = [&](const keyed_section& other) {
            return other.kind_ == section.kind_ && other.name_ == name;
        };
        if (std::any_of(read_.sections_.begin(), read_.sections_.end(), same)) {
            add(title, "", "the name is used twice", "remove one of the two sections or rename it");
        }
    }

    void read_present_keys(const section_description& section, const std::string& title,
                           keyed_section& into) {
        for (const auto& entry : document_.entries()) {
            if (entry.section_ != title) {
                continue;
            }
            const auto key = std::find_if(section.keys_.begin(), section.keys_.end(),
                                          [&entry](const auto& each) { return each.name_ == entry.key_; });
            if (key == section.keys_.end()) {
                add(title, entry.key_, "the key is unknown",
                    "use one of " + list_names(section.keys_, [](const auto& each) { return each.name_; }));
            } else if (key->necessity_ == necessity::optional_or_empty && entry.value_.empty()) {
                continue;
            } else if (!seen_keys_.insert({title, entry.key_}).second) {
                add(title, entry.key_, "the key is set twice", "remove one of the two lines");
            } else {
                read_key(*key, title, entry.value_, into);
            }
        }
    }

    void read_key(const key_description& key, const std::string& title, const std::string& text,
                  keyed_section& into) {
        // The template of a platform may have nothing to fill in for such a key.
        if (text.empty() && key.necessity_ == necessity::optional && key.default_.empty() &&
            key.type_ == value_type::number) {
            return;
        }
        auto value = read_value(key, text);
        if (value) {
            into.values_.emplace(key.name_, std::move(*value));
        } else {
            add(title, std::string{key.name_}, value.last_reason().message(), remedy_for(key));
        }
    }

    void add_missing_keys(const section_description& section, const std::string& title, keyed_section& into) {
        for (const auto& key : section.keys_) {
            if (seen_keys_.contains({title, std::string{key.name_}})) {
                continue;
            }
            if (key.necessity_ == necessity::required) {
                add(title, std::string{key.name_}, "the key is missing", remedy_for(key));
            } else {
                read_key(key, title, std::string{key.default_}, into);
            }
        }
    }

    void check_presence(const section_description& section) {
        const auto is_of_kind = [&section](const keyed_section& each) {
            return each.kind_ == section.kind_;
        };
        if (section.necessity_ == necessity::required &&
            std::none_of(read_.sections_.begin(), read_.sections_.end(), is_of_kind)) {
            add(std::string{section.kind_}, "", "the section is missing", "add " + title_of(section));
        }
    }

    void add(std::string section, std::string key, std::string what, std::string remedy) {
        read_.problems_.push_back(
            {read_.file_, std::move(section), std::move(key), std::move(what), std::move(remedy)});
    }

    const base::ini_document& document_;
    const file_format& format_;
    keyed_file read_;
    std::set<std::pair<std::string, std::string>> seen_keys_;
};

} // namespace

std::vector<keyed_section> keyed_file::sections_of(std::string_view kind) const {
    std::vector<keyed_section> found;
    std::copy_if(sections_.begin(), sections_.end(), std::back_inserter(found),
                 [kind](const keyed_section& section) { return section.kind_ == kind; });
    return found;
}

keyed_section keyed_file::section_of(std::string_view kind) const {
    auto found = sections_of(kind);
    return found.empty() ? keyed_section{} : std::move(found.front());
}

keyed_file read_keyed_text(std::string_view text, std::string file, const file_format& format) {
    auto text_problems = find_text_problems(text, file);
    const auto document = base::ini_document::parse(text, file);
    if (!document) {
        text_problems.push_back({file, "", "", document.last_reason().message(),
                                 "write the file as INI: sections and key = value"});
        return {std::move(file), {}, std::move(text_problems)};
    }
    auto read = document_reader{*document, format}.read();
    read.problems_.insert(read.problems_.begin(), text_problems.begin(), text_problems.end());
    return read;
}

base::result<std::string> read_whole_file(const std::string& path) {
    const std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    if (file) {
        text << file.rdbuf();
    }
    if (!file || !text) {
        return base::error{base::error_kind::settings_invalid, path + " cannot be read"};
    }
    return text.str();
}

} // namespace operators
