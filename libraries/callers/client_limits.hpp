#pragma once

#include <base/clock.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace callers {

/// How long clients may take for what they owe.
struct client_timeouts {
    /// From the connection to its start message.
    base::clock::duration start_{3'000};
    /// From the first byte of a line to its end.
    base::clock::duration line_{15'000};
    /// Between two moments at which a client reads of a waiting response.
    base::clock::duration response_{15'000};

    friend auto operator<=>(const client_timeouts&, const client_timeouts&) = default;
};

/// What a session waits for its client to do.
enum class client_debt : std::uint8_t {
    /// Nothing: a session may be idle between statements for any time.
    nothing,
    start,
    rest_of_line,
    reading,
};

/// Why a connection was closed although its client did not end it.
enum class closing_reason : std::uint8_t {
    start_timeout,
    line_timeout,
    response_timeout,
    /// It held most of a part of the memory that was used up.
    memory_short,
    /// There were no descriptors or memory for further connections.
    connections_short,
    /// A line was longer than the protocol allows.
    line_too_long,
};

inline constexpr std::size_t closing_reason_count = 6;
inline constexpr std::array<closing_reason, closing_reason_count> closing_reasons{
    closing_reason::start_timeout, closing_reason::line_timeout,      closing_reason::response_timeout,
    closing_reason::memory_short,  closing_reason::connections_short, closing_reason::line_too_long};

/// Returns the name of a reason for metrics and logs.
[[nodiscard]] std::string_view name_of(closing_reason reason) noexcept;

/// Returns why a session must be closed whose client has owed something since a moment, or nothing.
[[nodiscard]] std::optional<closing_reason> overdue(client_debt debt, base::clock::duration owed_for,
                                                    const client_timeouts& timeouts) noexcept;

/// A session as a candidate for being closed because a part of the memory is used up.
struct memory_holder {
    /// What the session holds of the part.
    std::uint64_t bytes_ = 0;
    /// Since when it has completed no statement and its client has read nothing.
    base::clock::duration unproductive_for_{0};

    friend auto operator<=>(const memory_holder&, const memory_holder&) = default;
};

/// Returns how much is gained by closing a session: more if it holds at least twice as much as another, and
/// otherwise more the longer it has given nothing in return; 0 for one that holds too little to close it.
[[nodiscard]] std::uint64_t closing_score(const memory_holder& holder) noexcept;

/// Returns the index of the session to close, or nothing if none is worth it. The first of equal ones is
/// chosen.
[[nodiscard]] std::optional<std::size_t>
choose_memory_holder(std::span<const memory_holder> holders) noexcept;

/// A session as a candidate for being closed in favour of a new connection.
struct connection_holder {
    bool has_started_ = false;
    bool has_completed_statement_ = false;
    bool is_waiting_for_client_ = false;
    bool is_in_transaction_ = false;
    base::clock::duration waiting_for_{0};

    friend auto operator<=>(const connection_holder&, const connection_holder&) = default;
};

/// Returns the index of the session to close for a new connection, or nothing if the new one must be refused:
/// first those without a start message, then those that never ran a statement; the one that has waited
/// longest among them. Sessions that ran a statement or are in a transaction are kept.
[[nodiscard]] std::optional<std::size_t>
choose_connection_holder(std::span<const connection_holder> holders) noexcept;

/// How many descriptors of a process are for client sessions.
struct descriptor_shares {
    std::uint64_t sessions_ = 0;
    /// Each of the readiness and metrics addresses.
    std::uint64_t operators_ = 0;

    friend auto operator<=>(const descriptor_shares&, const descriptor_shares&) = default;
};

/// Divides the descriptors of a process. The platform keeps 200 for files; a part is kept for databases, the
/// store, peers and operators.
[[nodiscard]] descriptor_shares divide_descriptors(std::uint64_t max_descriptors) noexcept;

} // namespace callers
