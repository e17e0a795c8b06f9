#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/immutable.hpp>
#include <operators/configuration.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace operators {

/// How a publication ended.
enum class publishing_result : std::uint8_t {
    /// The configuration was accepted and is in force.
    published,
    /// The same declarations were in force already; nothing was written.
    already_in_force,
    /// Someone else published first; this publication was never in force and never will be.
    lost_race,
    /// An answer of the store was lost and someone else's configuration is in force since. This publication
    /// may have been in force in between and will not be again.
    overtaken,
    /// The publication ended with an error; `error_` tells whether it may still take effect.
    failed,
};

/// What the operator is told. Thread safety: plain value.
struct publishing_report {
    publishing_result result_ = publishing_result::failed;
    /// The revision in force, as far as known.
    std::uint64_t revision_ = 0;
    /// Who published the revision in force, as far as known.
    std::string publisher_;
    /// Set for `lost_race`, `overtaken` and `failed`.
    std::optional<base::error> error_;

    friend auto operator<=>(const publishing_report&, const publishing_report&) = default;
};

/// What an operator wants to put into force.
struct publication {
    /// With revision 0 and the publisher's name.
    configuration wanted_;
    /// The revision on which the declarations are based; without it, whatever is in force is replaced.
    std::optional<std::uint64_t> based_on_;

    friend auto operator<=>(const publication&, const publication&) = default;
};

/// The store answered a read of the key.
struct value_was_read {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const value_was_read&, const value_was_read&) = default;
};

/// The store answered a compare-and-swap.
struct put_was_answered {
    bool applied_ = false;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const put_was_answered&, const put_was_answered&) = default;
};

/// A read brought no answer.
struct read_has_failed {
    base::error reason_;

    friend auto operator<=>(const read_has_failed&, const read_has_failed&) = default;
};

/// A compare-and-swap brought no answer: it may have taken effect or may do so later.
struct put_has_failed {
    base::error reason_;

    friend auto operator<=>(const put_has_failed&, const put_has_failed&) = default;
};

using publishing_event = std::variant<value_was_read, read_has_failed, put_was_answered, put_has_failed>;

/// Wait, then read the key.
struct read_key {
    base::clock::duration pause_{0};

    friend auto operator<=>(const read_key&, const read_key&) = default;
};

/// Replace the key's value if it still has the expected revision; 0 means that the key is absent.
struct put_key {
    std::string value_;
    std::uint64_t expected_revision_ = 0;

    friend auto operator<=>(const put_key&, const put_key&) = default;
};

/// Stop and report.
struct finish_publishing {
    publishing_report report_;

    friend auto operator<=>(const finish_publishing&, const finish_publishing&) = default;
};

using publishing_action = std::variant<read_key, put_key, finish_publishing>;

/// How far a publication has got.
struct publishing_state_fields {
    publication publication_;
    std::string fingerprint_;
    /// The revision that the put replaces; empty until the key was read for the first time.
    std::optional<std::uint64_t> expected_revision_;
    /// Reads that failed since the last one that was answered.
    std::uint32_t failed_reads_ = 0;
    std::uint32_t puts_ = 0;
    /// Whether a put was left without an answer, so that it may have taken effect.
    bool is_put_unresolved_ = false;

    friend auto operator<=>(const publishing_state_fields&, const publishing_state_fields&) = default;
    friend bool operator==(const publishing_state_fields&, const publishing_state_fields&) = default;
};

using publishing_state = base::immutable<publishing_state_fields>;

/// The next state and what to do now.
struct publishing_decision {
    publishing_state state_;
    publishing_action action_;

    friend auto operator<=>(const publishing_decision&, const publishing_decision&) = default;
};

/// Largest value that the platform's store holds, in bytes.
inline constexpr std::size_t most_stored_bytes = 1'000'000;

/// Starts a publication. It finishes at once with `too_large` if the store cannot hold the value, or with
/// `invalid_request` if the publisher's name is empty, longer than 64 bytes or not printable UTF-8.
[[nodiscard]] publishing_decision start_publishing(publication wanted);

/// Decides what follows an event. Pure: the same state and event always give the same decision.
/// Precondition: `event` answers the last action, which was not `finish_publishing`.
[[nodiscard]] publishing_decision decide_publishing(const publishing_state& state,
                                                    const publishing_event& event);

/// Returns what the operator can do about a report that has an error; empty for one that has none.
[[nodiscard]] std::string_view remedy_for(const publishing_report& report) noexcept;

/// Returns what the operator reads: the result and what to do about it.
[[nodiscard]] std::string to_string(const publishing_report& report);

} // namespace operators
