#include <utilities/sassafras_soak/statement_check.hpp>

#include <map>
#include <string_view>

namespace soak {

namespace {

// The identifier of statements that a daemon issues itself.
constexpr std::string_view daemon_id = "-";

std::string quoted(std::string_view text) {
    return std::string{"'"}.append(text).append("'");
}

std::string to_text(const std::map<std::string, std::string>& values) {
    std::string text;
    for (const auto& [name, value] : values) {
        text.append(name).append("=").append(value).append(";");
    }
    return quoted(text);
}

/// Removes the name from an `EXECUTE`: daemons may rename prepared statements.
std::string without_name(const std::string& text) {
    constexpr std::string_view verb = "EXECUTE ";
    if (!text.starts_with(verb)) {
        return text;
    }
    const auto name_end = text.find(' ', verb.size());
    return std::string{verb}.append(name_end == std::string::npos ? "" : text.substr(name_end));
}

void check_ran(const sent_statements& sent, const stand_ins::seen_statement& ran, const std::string& database,
               std::vector<std::string>& broken) {
    const auto what = database + " ran " + quoted(ran.text_);
    if (ran.id_ == daemon_id) {
        if (!ran.text_.starts_with("BEGIN") && ran.text_ != "ROLLBACK") {
            broken.push_back(what + " that a daemon issued itself");
        }
        return;
    }
    const auto found = sent.find(ran.id_);
    if (found == sent.end()) {
        broken.push_back(what + " with the id " + ran.id_ + " that no client sent");
        return;
    }
    const auto& expected = found->second;
    const auto where = what + " for " + quoted(expected.text_) + " of " + ran.id_;
    if (without_name(ran.text_) != without_name(expected.text_)) {
        broken.push_back(where + ": the text was changed");
    }
    if (ran.prepared_ != expected.prepared_) {
        broken.push_back(where + ": it executed " + quoted(ran.prepared_) + " and its client had prepared " +
                         quoted(expected.prepared_));
    }
    if (ran.values_ != expected.values_) {
        broken.push_back(where + ": the session values were " + to_text(ran.values_) + " and not " +
                         to_text(expected.values_));
    }
}

/// Returns whether the client itself named an unknown prepared statement.
bool is_expected(const sent_statements& sent, const stand_ins::refused_statement& refused) {
    const auto found = sent.find(refused.id_);
    return refused.code_ == "NOSTMT" && found != sent.end() && found->second.prepared_.empty();
}

} // namespace

std::vector<std::string> check_statements(const sent_statements& sent, const std::string& database,
                                          const std::vector<stand_ins::seen_statement>& ran,
                                          const std::vector<stand_ins::refused_statement>& refused) {
    std::vector<std::string> broken;
    for (const auto& one : ran) {
        check_ran(sent, one, database, broken);
    }
    for (const auto& one : refused) {
        if (!is_expected(sent, one)) {
            const auto found = sent.find(one.id_);
            broken.push_back(database + " refused " + quoted(one.text_) + " of " + one.id_ + " with " +
                             one.code_ +
                             (found == sent.end() ? "" : "; its client sent " + quoted(found->second.text_)));
        }
    }
    return broken;
}

std::vector<std::string> check_prepared_names(const sent_statements& sent) {
    std::vector<std::string> broken;
    for (const auto& [id, one] : sent) {
        if (!one.prepared_.empty() && one.error_.starts_with("NOSTMT")) {
            broken.push_back(quoted(one.text_) + " of " + id + " was answered with " + quoted(one.error_) +
                             " after " + quoted(one.prepared_) + " had been prepared under its name");
        }
    }
    return broken;
}

} // namespace soak
