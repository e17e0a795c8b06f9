#pragma once

#include <base/prepared_statement.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace callers {

/// The acknowledged values and prepared statements of one client session, up to a total size.
/// Thread safety: not thread-safe; only the session's coroutine uses it.
class session_values {
public:
    /// Sets a session value and overwrites an existing one. Returns false and changes nothing if the session
    /// would hold more than `max_bytes`.
    [[nodiscard]] bool set(std::string name, std::string value) {
        const auto size = size_of(name, value);
        return replace(values_, std::move(name), std::move(value), size);
    }

    /// Stores a prepared statement under the name that the client chose and replaces an existing one. Returns
    /// false and changes nothing if the session would hold more than `max_bytes`.
    [[nodiscard]] bool prepare(std::string name, base::prepared_statement prepared) {
        const auto size = size_of(name, prepared.text_);
        return replace(prepared_, std::move(name), std::move(prepared), size);
    }

    /// Removes a prepared statement. Returns false if the session has none with this name.
    [[nodiscard]] bool deallocate(const std::string& name) {
        const auto found = prepared_.find(name);
        if (found == prepared_.end()) {
            return false;
        }
        bytes_ -= size_of(name, found->second.text_);
        prepared_.erase(found);
        return true;
    }

    /// Returns the prepared statement with this name, or `nullopt` if there is none.
    [[nodiscard]] std::optional<base::prepared_statement> find_prepared(const std::string& name) const {
        const auto found = prepared_.find(name);
        return found == prepared_.end() ? std::nullopt : std::optional{found->second};
    }

    [[nodiscard]] const std::map<std::string, std::string>& values() const noexcept { return values_; }

    /// Returns the approximate size of everything that the session holds.
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
    /// Returns at most how much `bytes` grows by an entry with this name and text.
    [[nodiscard]] static std::size_t growth(const std::string& name, const std::string& text) noexcept {
        return size_of(name, text);
    }

    /// Bounds what one client makes the daemon hold. A single message fits if the session is empty.
    static constexpr std::size_t max_bytes = std::size_t{1024} * 1024;

private:
    // The approximate cost of an entry besides its text.
    static constexpr std::size_t entry_bytes = 128;

    static std::size_t size_of(const std::string& name, const std::string& text) noexcept {
        return entry_bytes + name.size() + text.size();
    }
    static const std::string& text_of(const std::string& value) noexcept { return value; }
    static const std::string& text_of(const base::prepared_statement& prepared) noexcept {
        return prepared.text_;
    }

    template <typename Value>
    bool replace(std::map<std::string, Value>& entries, std::string name, Value value, std::size_t size) {
        const auto found = entries.find(name);
        const auto replaced = found == entries.end() ? 0 : size_of(name, text_of(found->second));
        const auto others = bytes_ - replaced;
        if (others > 0 && others + size > max_bytes) {
            return false;
        }
        bytes_ = others + size;
        entries.insert_or_assign(std::move(name), std::move(value));
        return true;
    }

    std::map<std::string, std::string> values_;
    std::map<std::string, base::prepared_statement> prepared_;
    std::size_t bytes_ = 0;
};

} // namespace callers
