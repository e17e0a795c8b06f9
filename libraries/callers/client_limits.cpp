#include <callers/client_limits.hpp>

#include <algorithm>
#include <bit>

namespace callers {

namespace {

// Closing a session costs its client more than this many bytes are worth.
constexpr std::uint64_t min_worthwhile_bytes = 4'096;
// A client that is served or reads within this time is as productive as one can be.
constexpr base::clock::duration productive_time{100};
constexpr base::clock::duration max_counted_time{10'000};
// Above the greatest counted time.
constexpr unsigned size_class_shift = 32;

// What the platform's rules reserve for files.
constexpr std::uint64_t file_descriptors = 200;
// Listeners, event loops, signals, and the connections to the store.
constexpr std::uint64_t own_descriptors = 32;
constexpr std::uint64_t min_database_descriptors = 48;
constexpr std::uint64_t max_database_descriptors = 512;
constexpr std::uint64_t database_fraction = 8;
constexpr std::uint64_t max_operator_descriptors = 64;
constexpr std::uint64_t operator_fraction = 32;
constexpr std::uint64_t min_operator_descriptors = 8;

} // namespace

std::string_view name_of(closing_reason reason) noexcept {
    switch (reason) {
    case closing_reason::start_timeout:
        return "start_timeout";
    case closing_reason::line_timeout:
        return "line_timeout";
    case closing_reason::response_timeout:
        return "response_timeout";
    case closing_reason::memory_short:
        return "memory_short";
    case closing_reason::connections_short:
        return "connections_short";
    case closing_reason::line_too_long:
        return "line_too_long";
    }
    return "unknown";
}

std::optional<closing_reason> overdue(client_debt debt, base::clock::duration owed_for,
                                      const client_timeouts& timeouts) noexcept {
    switch (debt) {
    case client_debt::start:
        return owed_for >= timeouts.start_ ? std::optional{closing_reason::start_timeout} : std::nullopt;
    case client_debt::rest_of_line:
        return owed_for >= timeouts.line_ ? std::optional{closing_reason::line_timeout} : std::nullopt;
    case client_debt::reading:
        return owed_for >= timeouts.response_ ? std::optional{closing_reason::response_timeout}
                                              : std::nullopt;
    case client_debt::nothing:
        break;
    }
    return std::nullopt;
}

std::uint64_t closing_score(const memory_holder& holder) noexcept {
    if (holder.bytes_ < min_worthwhile_bytes) {
        return 0;
    }
    // Bytes count first, by powers of two, so that a small holder that has been idle for long is not closed
    // in favour of a large one.
    const auto size_class = static_cast<std::uint64_t>(std::bit_width(holder.bytes_));
    const auto time = std::clamp(holder.unproductive_for_, productive_time, max_counted_time);
    return (size_class << size_class_shift) + static_cast<std::uint64_t>(time.count());
}

std::optional<std::size_t> choose_memory_holder(std::span<const memory_holder> holders) noexcept {
    std::optional<std::size_t> chosen;
    std::uint64_t best = 0;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        if (const auto score = closing_score(holders[index]); score > best) {
            best = score;
            chosen = index;
        }
    }
    return chosen;
}

std::optional<std::size_t> choose_connection_holder(std::span<const connection_holder> holders) noexcept {
    std::optional<std::size_t> chosen;
    const auto is_better = [](const connection_holder& one, const connection_holder& other) {
        return one.has_started_ != other.has_started_ ? !one.has_started_
                                                      : one.waiting_for_ > other.waiting_for_;
    };
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const auto& one = holders[index];
        const bool is_closable =
            one.is_waiting_for_client_ && !one.has_completed_statement_ && !one.is_in_transaction_;
        if (is_closable && (!chosen || is_better(one, holders[*chosen]))) {
            chosen = index;
        }
    }
    return chosen;
}

descriptor_shares divide_descriptors(std::uint64_t max_descriptors) noexcept {
    // With few descriptors in all, half of them are left to files and the daemon's own connections.
    const auto for_sockets =
        max_descriptors > 2 * file_descriptors ? max_descriptors - file_descriptors : max_descriptors / 2;
    const auto operators =
        std::clamp(max_descriptors / operator_fraction, min_operator_descriptors, max_operator_descriptors);
    const auto databases =
        std::clamp(for_sockets / database_fraction, min_database_descriptors, max_database_descriptors);
    const auto own = std::min(databases + 2 * operators + own_descriptors, for_sockets / 2);
    return {for_sockets - own, operators};
}

} // namespace callers
