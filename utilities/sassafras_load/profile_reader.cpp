#include <utilities/sassafras_load/profile_reader.hpp>

#include <utilities/sassafras_load/text_list.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace sassafras_load {

namespace {

constexpr std::string_view work_prefix = "work ";
constexpr std::uint64_t highest_percent = 100;

template <typename Number>
bool read_number(std::string_view text, Number& into) {
    const auto* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, into);
    return status == std::errc{} && stop == end && into >= 0;
}

bool read_percent(std::string_view text, std::uint64_t& into) {
    return read_number(text, into) && into <= highest_percent;
}

bool read_text(std::string_view text, std::string& into) {
    into = text;
    return !text.empty();
}

bool read_list(std::string_view text, char separator, std::vector<std::string>& into) {
    into = split_list(text, separator);
    return !into.empty();
}

bool read_access(std::string_view text, base::access& into) {
    into = text == "write" ? base::access::write : base::access::read;
    return text == "write" || text == "read";
}

bool read_key_use(std::string_view text, key_use& into) {
    into = text == "yes" ? key_use::each_request : key_use::none;
    return text == "yes" || text == "no";
}

bool read_milliseconds(std::string_view text, base::clock::duration& into) {
    base::clock::rep count = 0;
    const bool is_valid = read_number(text, count) && count > 0;
    into = base::clock::duration{count};
    return is_valid;
}

struct run_key {
    std::string_view name_;
    bool (*read_)(std::string_view text, profile_fields& into);
};

constexpr std::array run_keys{
    run_key{"seed",
            [](std::string_view text, profile_fields& into) {
                return read_number(text, into.seed_);
            }},
    run_key{"seconds",
            [](std::string_view text, profile_fields& into) {
                return read_number(text, into.seconds_);
            }},
    run_key{"sessions",
            [](std::string_view text, profile_fields& into) {
                return read_number(text, into.sessions_);
            }},
};

struct work_key {
    std::string_view name_;
    bool (*read_)(std::string_view text, work_class_fields& into);
};

using work_fields = work_class_fields;

constexpr std::array work_keys{
    work_key{"service",
             [](std::string_view text, work_fields& into) {
                 return read_text(text, into.service_);
             }},
    work_key{"tenants",
             [](std::string_view text, work_fields& into) {
                 return read_list(text, ',', into.tenants_);
             }},
    work_key{"rank",
             [](std::string_view text, work_fields& into) {
                 return read_text(text, into.rank_);
             }},
    work_key{"access",
             [](std::string_view text, work_fields& into) {
                 return read_access(text, into.access_);
             }},
    work_key{"read_class",
             [](std::string_view text, work_fields& into) {
                 return read_text(text, into.read_class_);
             }},
    work_key{"rate",
             [](std::string_view text, work_fields& into) {
                 return read_number(text, into.rate_);
             }},
    work_key{"session_percent",
             [](std::string_view text, work_fields& into) {
                 return read_percent(text, into.session_percent_);
             }},
    work_key{"statements",
             [](std::string_view text, work_fields& into) {
                 return read_list(text, '|', into.statements_);
             }},
    work_key{"key_space",
             [](std::string_view text, work_fields& into) {
                 return read_number(text, into.key_space_) && into.key_space_ > 0;
             }},
    work_key{"own_key_percent",
             [](std::string_view text, work_fields& into) {
                 return read_percent(text, into.own_key_percent_);
             }},
    work_key{"deadline_ms",
             [](std::string_view text, work_fields& into) {
                 return read_milliseconds(text, into.deadline_);
             }},
    work_key{"idempotency_key",
             [](std::string_view text, work_fields& into) {
                 return read_key_use(text, into.idempotency_key_);
             }},
    work_key{"repeat_percent",
             [](std::string_view text, work_fields& into) {
                 return read_percent(text, into.repeat_percent_);
             }},
};

base::error invalid(const base::ini_document& document, const std::string& section, const std::string& what) {
    return base::error{base::error_kind::settings_invalid, document.name() + ": [" + section + "] " + what};
}

// Reads the keys of one section; returns what is wrong with the first faulty one.
template <typename Keys, typename Fields>
std::optional<base::error> read_section(const base::ini_document& document, const std::string& section,
                                        const Keys& keys, Fields& into) {
    for (const auto& entry : document.entries()) {
        if (entry.section_ != section) {
            continue;
        }
        const auto* known = std::find_if(keys.begin(), keys.end(),
                                         [&entry](const auto& key) { return key.name_ == entry.key_; });
        if (known == keys.end()) {
            return invalid(document, section, "does not know the key '" + entry.key_ + "'");
        }
        if (!known->read_(entry.value_, into)) {
            return invalid(document, section, entry.key_ + " cannot be '" + entry.value_ + "'");
        }
    }
    return std::nullopt;
}

base::result<work_class> read_work(const base::ini_document& document, const std::string& section) {
    work_class_fields work{.name_ = section.substr(work_prefix.size())};
    if (auto fault = read_section(document, section, work_keys, work)) {
        return *fault;
    }
    if (work.service_.empty() || work.tenants_.empty() || work.rank_.empty() || work.statements_.empty()) {
        return invalid(document, section, "needs service, tenants, rank and statements");
    }
    if (work.access_ == base::access::read && work.idempotency_key_ == key_use::each_request) {
        return invalid(document, section, "idempotency_key goes with write access only");
    }
    return work_class{std::move(work)};
}

base::error invalid_scale(std::string_view text) {
    return base::error{base::error_kind::settings_invalid,
                       "'" + std::string{text} + "' is not the name of a work class, '=' and a factor"};
}

} // namespace

base::result<profile> read_profile(const base::ini_document& document) {
    profile_fields fields;
    for (const auto& section : document.sections()) {
        if (section == "run") {
            if (auto fault = read_section(document, section, run_keys, fields)) {
                return *fault;
            }
        } else if (section.starts_with(work_prefix)) {
            auto work = read_work(document, section);
            if (!work) {
                return work.last_reason();
            }
            fields.work_.push_back(std::move(*work));
        } else {
            return invalid(document, section, "is neither [run] nor [work NAME]");
        }
    }
    if (fields.work_.empty()) {
        return invalid(document, "work", "is missing");
    }
    return profile{std::move(fields)};
}

base::result<profile> scale_rates(const profile& base_rates, double scale, std::string_view work_scales) {
    auto fields = *base_rates;
    for (auto& work : fields.work_) {
        work = work.with([scale](auto& changed) { changed.rate_ *= scale; });
    }
    for (const auto& text : split_list(work_scales, ',')) {
        const auto equals = std::min(text.find('='), text.size());
        const auto name = text.substr(0, equals);
        const auto found = std::find_if(fields.work_.begin(), fields.work_.end(),
                                        [&name](const auto& work) { return work->name_ == name; });
        double factor = 0;
        if (found == fields.work_.end() || equals == text.size() ||
            !read_number(std::string_view{text}.substr(equals + 1), factor)) {
            return invalid_scale(text);
        }
        *found = found->with([factor](auto& changed) { changed.rate_ *= factor; });
    }
    return profile{std::move(fields)};
}

} // namespace sassafras_load
