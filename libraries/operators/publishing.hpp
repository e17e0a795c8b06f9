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

/// The result of a publication.
enum class publishing_result : std::uint8_t {
    /// The configuration was accepted and is in force.
    published,
    /// The same declarations were already in force; nothing was written.
    already_in_force,
    /// Another operator published first; this publication was never in force and never will be.
    lost_race,
    /// A response of the store was lost, and another operator's configuration has come into force since. This
    /// publication may have been in force in the meantime and will not be again.
    overtaken,
    /// The publication failed; `error_` states whether it may still take effect.
    failed,
};

/// The result of a publication as it is reported to the operator. Thread safety: plain value.
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

/// An operator's request to put a configuration into force.
struct publication {
    /// The configuration with revision 0 and the publisher's name.
    configuration configuration_;
    /// The revision that the declarations are based on. If unset, any revision in force is replaced.
    std::optional<std::uint64_t> based_on_;

    friend auto operator<=>(const publication&, const publication&) = default;
};

/// The store responded to a read of the key.
struct read_completed {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const read_completed&, const read_completed&) = default;
};

/// The store responded to a compare-and-swap.
struct put_completed {
    bool applied_ = false;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const put_completed&, const put_completed&) = default;
};

/// A read received no response.
struct read_failed {
    base::error reason_;

    friend auto operator<=>(const read_failed&, const read_failed&) = default;
};

/// A compare-and-swap received no response: it may have taken effect or may still do so.
struct put_failed {
    base::error reason_;

    friend auto operator<=>(const put_failed&, const put_failed&) = default;
};

using publishing_event = std::variant<read_completed, read_failed, put_completed, put_failed>;

/// Waits, then reads the key.
struct read_key {
    base::clock::duration delay_{0};

    friend auto operator<=>(const read_key&, const read_key&) = default;
};

/// Replaces the key's value if it still has the expected revision; 0 means that the key is absent.
struct put_key {
    std::string value_;
    std::uint64_t expected_revision_ = 0;

    friend auto operator<=>(const put_key&, const put_key&) = default;
};

/// Ends the publication with a report.
struct finish_publishing {
    publishing_report report_;

    friend auto operator<=>(const finish_publishing&, const finish_publishing&) = default;
};

using publishing_action = std::variant<read_key, put_key, finish_publishing>;

/// The state of a publication in progress.
struct publishing_state_fields {
    publication publication_;
    std::string fingerprint_;
    /// The revision that the put replaces; unset until the first read of the key.
    std::optional<std::uint64_t> expected_revision_;
    /// Consecutive reads that failed.
    std::uint32_t failed_reads_ = 0;
    std::uint32_t puts_ = 0;
    /// Whether a put received no response, so that it may have taken effect.
    bool is_put_unresolved_ = false;

    friend auto operator<=>(const publishing_state_fields&, const publishing_state_fields&) = default;
    friend bool operator==(const publishing_state_fields&, const publishing_state_fields&) = default;
};

using publishing_state = base::immutable<publishing_state_fields>;

/// The next state and the action to execute.
struct publishing_decision {
    publishing_state state_;
    publishing_action action_;

    friend auto operator<=>(const publishing_decision&, const publishing_decision&) = default;
};

/// Maximum size of a value in the platform's store, in bytes.
inline constexpr std::size_t max_stored_bytes = 1'000'000;

/// Starts a publication. It finishes immediately with `too_large` if the value exceeds the store's limit, or
/// with `invalid_request` if the publisher's name is empty, longer than 64 bytes or not printable UTF-8.
[[nodiscard]] publishing_decision start_publishing(publication request);

/// Returns the next state and action after an event. Pure function: depends only on its arguments.
/// Precondition: `event` results from the previous action, which was not `finish_publishing`.
[[nodiscard]] publishing_decision decide_publishing(const publishing_state& state,
                                                    const publishing_event& event);

/// Returns the remedy for the error in a report; empty if there is no error.
[[nodiscard]] std::string_view remedy_for(const publishing_report& report) noexcept;

/// Returns the text for the operator: the result and, on an error, the remedy.
[[nodiscard]] std::string to_string(const publishing_report& report);

} // namespace operators
