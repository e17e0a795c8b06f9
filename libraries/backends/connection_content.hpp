#pragma once

#include <backends/prepared_name.hpp>
#include <base/prepared_statement.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace backends {

/// A statement to prepare on a connection, and the name that it gets there.
struct named_statement {
    prepared_name name_;
    base::prepared_statement statement_;

    friend auto operator<=>(const named_statement&, const named_statement&) = default;
};

/// The changes that must be sent on a connection before a session's statement may run on it.
struct content_change {
    /// Whether to clear all values and prepared statements first.
    bool reset_ = false;
    std::vector<std::pair<std::string, std::string>> values_;
    std::optional<named_statement> prepare_;

    [[nodiscard]] bool empty() const noexcept { return !reset_ && values_.empty() && !prepare_; }
    friend auto operator<=>(const content_change&, const content_change&) = default;
};

/// The session values and prepared statements that are set on a database connection.
/// Thread safety: owned by the connection's thread.
class connection_content {
public:
    /// Returns the changes needed for a session with these values whose statement executes `prepared`.
    [[nodiscard]] content_change change_for(const std::map<std::string, std::string>& session,
                                            const std::optional<base::prepared_statement>& prepared) const;

    /// Records that a change took effect. Precondition: it was computed for the current content.
    void apply(const content_change& change);

    /// Records that a session has ended its use of the connection, outside a transaction. A connection that
    /// holds too many prepared statements is reset before its next use.
    void end_use() noexcept;

    /// Returns the name of a statement on this connection. Precondition: it is prepared there.
    [[nodiscard]] prepared_name name_of(const base::prepared_statement& prepared) const {
        return prepared_.at(prepared);
    }

    /// Returns how many messages are needed to set a session's values, to choose among idle connections.
    [[nodiscard]] std::size_t distance_to(const std::map<std::string, std::string>& session) const;

private:
    [[nodiscard]] bool needs_reset(const std::map<std::string, std::string>& session) const;

    std::map<std::string, std::string> values_;
    std::map<base::prepared_statement, prepared_name> prepared_;
    /// The newest name. A name is not assigned again after a reset.
    prepared_name last_name_;
    std::size_t prepared_bytes_ = 0;
    bool is_reset_due_ = false;
};

} // namespace backends
