#pragma once

#include <base/result.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stand_ins::database {

/// What a request may do.
enum class access_kind : std::uint8_t { read, write };

/// The effect of some statements on the values of a database.
struct evaluation {
    /// The value of the statement's key after each statement; empty for an absent key.
    std::vector<std::string> results_;
    std::map<std::string, std::string> writes_;
    std::set<std::string> touched_;

    friend bool operator==(const evaluation&, const evaluation&) = default;
};

/// Looks up the present value of a key.
using value_reader = std::function<std::optional<std::string>(const std::string& key)>;

/// Runs `get k`, `set k v`, `add k n` and `append k v` in order on top of `before`; each sees the writes of
/// those before it. Errors: `statement_invalid`, and then none of them has any effect.
[[nodiscard]] base::result<evaluation> evaluate_statements(const std::vector<std::string>& statements,
                                                           access_kind access, const value_reader& values,
                                                           evaluation before = {});

} // namespace stand_ins::database
