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

/// What the system vouches for about a request.
enum class outcome : std::uint8_t {
    /// It ran, and what it wrote survives a change of primary.
    done,
    /// It did not run and never will.
    not_run,
    /// Neither could be established; the error says how to find out.
    unknown,
};

/// Returns `done`, `not_run` or `unknown`, as callers and operators see it.
[[nodiscard]] std::string_view name_of(outcome value) noexcept;

/// Which kind of database served a request.
enum class database_role : std::uint8_t { none, primary, replica };

/// What a caller gets back, in no wire format.
struct response_fields {
    outcome outcome_ = outcome::unknown;
    std::vector<std::string> results_;
    /// The position that the session has now seen; empty when the answer brings none.
    std::optional<log_position> position_;
    database_role served_by_ = database_role::none;
    /// The handle of an open transaction; empty otherwise.
    std::string transaction_;
    std::optional<error> error_;
    /// How long to wait before trying again; zero where waiting does not help.
    clock::duration retry_after_{0};

    friend auto operator<=>(const response_fields&, const response_fields&) = default;
    friend bool operator==(const response_fields&, const response_fields&) = default;
};

using response = immutable<response_fields>;

/// Returns the answer for a request that provably did not run, for `reason`.
[[nodiscard]] response not_run(error reason, clock::duration retry_after = clock::duration{0});

/// Returns the answer for a request whose outcome could not be established, for `reason`.
[[nodiscard]] response unknown(error reason);

} // namespace base
