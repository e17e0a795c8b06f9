#pragma once

#include <base/prepared_statement.hpp>

#include <map>
#include <optional>
#include <string>

namespace callers {

/// The acknowledged values and prepared statements of one client session.
/// Thread safety: not thread-safe; only the session's coroutine uses it.
class session_values {
public:
    /// Sets a session value and overwrites an existing one.
    void set(std::string name, std::string value) {
        values_.insert_or_assign(std::move(name), std::move(value));
    }

    /// Stores a prepared statement under the name that the client chose and replaces an existing one.
    void prepare(std::string name, base::prepared_statement prepared) {
        prepared_.insert_or_assign(std::move(name), std::move(prepared));
    }

    /// Removes a prepared statement. Returns false if the session has none with this name.
    bool deallocate(const std::string& name) { return prepared_.erase(name) > 0; }

    /// Returns the prepared statement with this name, or `nullopt` if there is none.
    [[nodiscard]] std::optional<base::prepared_statement> find_prepared(const std::string& name) const {
        const auto found = prepared_.find(name);
        return found == prepared_.end() ? std::nullopt : std::optional{found->second};
    }

    [[nodiscard]] const std::map<std::string, std::string>& values() const noexcept { return values_; }

private:
    std::map<std::string, std::string> values_;
    std::map<std::string, base::prepared_statement> prepared_;
};

} // namespace callers
