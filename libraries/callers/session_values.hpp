#pragma once

#include <base/prepared_statement.hpp>

#include <map>
#include <optional>
#include <string>

namespace callers {

/// What a client has set and prepared in its session, and what was acknowledged to it.
/// Thread safety: owned by the session's coroutine.
class session_values {
public:
    /// Sets a value of the session.
    void set(std::string name, std::string value) {
        values_.insert_or_assign(std::move(name), std::move(value));
    }

    /// Prepares a statement under the client's own name; a name that exists is replaced.
    void prepare(std::string name, base::prepared_statement prepared) {
        prepared_.insert_or_assign(std::move(name), std::move(prepared));
    }

    /// Forgets a prepared statement. Returns false when the session has none of this name.
    bool deallocate(const std::string& name) { return prepared_.erase(name) > 0; }

    /// Returns the statement that the session prepared under a name, or nothing.
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
