#pragma once

#include <base/error.hpp>

#include <optional>
#include <utility>

namespace base {

/// A `std::optional` with the reason for its absence beside it.
///
/// The reason travels with the value and not in thread-local state, because a coroutine may resume on another
/// thread. Thread safety: as its value type.
template <typename T>
class result {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): lets `return value;` pass a value up in one line.
    result(T value) : value_{std::move(value)} {}
    // NOLINTNEXTLINE(google-explicit-constructor): lets `return reason;` pass an error up in one line.
    result(error reason) : last_reason_{std::move(reason)} {}

    [[nodiscard]] bool has_value() const noexcept { return value_.has_value(); }
    explicit operator bool() const noexcept { return has_value(); }

    /// Returns the value. Precondition: `has_value()`.
    [[nodiscard]] T& operator*() & noexcept { return *value_; }
    [[nodiscard]] const T& operator*() const& noexcept { return *value_; }
    [[nodiscard]] T&& operator*() && noexcept { return std::move(*value_); }
    [[nodiscard]] T* operator->() noexcept { return &*value_; }
    [[nodiscard]] const T* operator->() const noexcept { return &*value_; }

    /// Returns the value as an optional.
    [[nodiscard]] const std::optional<T>& value() const noexcept { return value_; }

    /// Returns why there is no value. Precondition: `!has_value()`.
    [[nodiscard]] const error& last_reason() const noexcept { return *last_reason_; }

private:
    std::optional<T> value_;
    std::optional<error> last_reason_;
};

} // namespace base
