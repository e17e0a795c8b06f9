#pragma once

#include <base/error.hpp>

#include <optional>
#include <utility>

namespace base {

/// Either a value or the error that explains its absence.
///
/// The error is stored in the object and not in thread-local state, because a coroutine may resume on another
/// thread. Thread safety: that of the value type.
template <typename T>
class result {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): allows `return value;` in functions that return a result.
    result(T value) : value_{std::move(value)} {}
    // NOLINTNEXTLINE(google-explicit-constructor): allows `return error;` in functions that return a result.
    result(error reason) : last_reason_{std::move(reason)} {}

    [[nodiscard]] bool has_value() const noexcept { return value_.has_value(); }
    explicit operator bool() const noexcept { return has_value(); }

    /// Returns the value. Precondition: `has_value()`.
    [[nodiscard]] T& operator*() & noexcept { return *value_; }
    [[nodiscard]] const T& operator*() const& noexcept { return *value_; }
    [[nodiscard]] T&& operator*() && noexcept { return std::move(*value_); }
    [[nodiscard]] T* operator->() noexcept { return &*value_; }
    [[nodiscard]] const T* operator->() const noexcept { return &*value_; }

    /// Returns the value, or an empty optional for an error.
    [[nodiscard]] const std::optional<T>& value() const noexcept { return value_; }

    /// Returns the error. Precondition: `!has_value()`.
    [[nodiscard]] const error& last_reason() const noexcept { return *last_reason_; }

private:
    std::optional<T> value_;
    std::optional<error> last_reason_;
};

} // namespace base
