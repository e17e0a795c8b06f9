#pragma once

#include <base/clock.hpp>
#include <base/error.hpp>
#include <base/immutable.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace base {

/// What the proxy guarantees about the execution of a request.
enum class outcome : std::uint8_t {
    /// The request ran, and its writes survive a change of primary.
    done,
    /// The request did not run and never will.
    not_run,
    /// Neither of the above could be established; the error's remedy says how to find out.
    unknown,
};

/// Returns the name that callers and operators see: `done`, `not_run` or `unknown`.
[[nodiscard]] std::string_view name_of(outcome value) noexcept;

/// The role of the database that served a request.
enum class database_role : std::uint8_t { none, primary, replica };

/// The response to a caller's request, independent of any wire format.
struct response_fields {
    outcome outcome_ = outcome::unknown;
    std::vector<std::string> results_;
    /// The log position that the session has now observed; empty if the request observed none.
    std::optional<log_position> position_;
    database_role served_by_ = database_role::none;
    /// The handle of the open transaction; empty if there is none.
    std::string transaction_;
    std::optional<error> error_;
    /// The minimum delay before a retry; zero if a delay would not help.
    clock::duration retry_after_{0};

    friend auto operator<=>(const response_fields&, const response_fields&) = default;
    friend bool operator==(const response_fields&, const response_fields&) = default;
};

using response = immutable<response_fields>;

/// Returns the response to a request that provably did not run because of `reason`.
[[nodiscard]] response not_run(error reason, clock::duration retry_after = clock::duration{0});

/// Returns the response to a request whose outcome could not be established because of `reason`.
[[nodiscard]] response unknown(error reason);

} // namespace base
