#include <stand_ins/database/statements.hpp>

#include <charconv>
#include <string_view>

namespace stand_ins::database {

namespace {

struct parsed_statement {
    std::string_view verb_;
    std::string key_;
    std::string operand_;
};

base::error invalid_statement(std::string_view statement, std::string_view cause) {
    return base::error{base::error_kind::statement_invalid,
                       "'" + std::string{statement} + "' " + std::string{cause}};
}

parsed_statement split_statement(std::string_view statement) {
    const auto verb_end = statement.find(' ');
    if (verb_end == std::string_view::npos) {
        return {statement, {}, {}};
    }
    const auto rest = statement.substr(verb_end + 1);
    const auto key_end = rest.find(' ');
    if (key_end == std::string_view::npos) {
        return {statement.substr(0, verb_end), std::string{rest}, {}};
    }
    return {statement.substr(0, verb_end), std::string{rest.substr(0, key_end)},
            std::string{rest.substr(key_end + 1)}};
}

std::optional<std::int64_t> to_integer(std::string_view text) {
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    return status == std::errc{} && stop == end ? std::optional{number} : std::nullopt;
}

std::optional<std::string> add_integers(const std::string& present, const std::string& operand) {
    const auto left = to_integer(present.empty() ? "0" : present);
    const auto right = to_integer(operand);
    std::int64_t sum = 0;
    if (!left || !right || __builtin_add_overflow(*left, *right, &sum)) {
        return std::nullopt;
    }
    return std::to_string(sum);
}

// Returns the value after the statement, nothing when the statement cannot be run.
std::optional<std::string> value_after(const parsed_statement& statement, const std::string& present) {
    if (statement.verb_ == "get") {
        return present;
    }
    if (statement.verb_ == "set") {
        return statement.operand_;
    }
    if (statement.verb_ == "add") {
        return add_integers(present, statement.operand_);
    }
    return present + statement.operand_;
}

bool is_known_verb(std::string_view verb) {
    return verb == "get" || verb == "set" || verb == "add" || verb == "append";
}

} // namespace

base::result<evaluation> evaluate_statements(const std::vector<std::string>& statements, access_kind access,
                                             const value_reader& values, evaluation before) {
    for (const auto& text : statements) {
        const auto statement = split_statement(text);
        if (!is_known_verb(statement.verb_) || statement.key_.empty()) {
            return invalid_statement(text, "is none of: get k, set k v, add k n, append k v");
        }
        if (access == access_kind::read && statement.verb_ != "get") {
            return invalid_statement(text, "writes, but the request's access is read");
        }
        const auto written = before.writes_.find(statement.key_);
        const auto present =
            written != before.writes_.end() ? written->second : values(statement.key_).value_or("");
        auto after = value_after(statement, present);
        if (!after) {
            return invalid_statement(text, "needs two integers whose sum fits 64 bits");
        }
        before.touched_.insert(statement.key_);
        if (statement.verb_ != "get") {
            before.writes_[statement.key_] = *after;
        }
        before.results_.push_back(std::move(*after));
    }
    return before;
}

} // namespace stand_ins::database
