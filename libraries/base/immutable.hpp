#pragma once

#include <compare>
#include <concepts>
#include <utility>

namespace base {

/// A value type whose fields can be read, and replaced only as a whole.
///
/// `Fields` is an aggregate with defaulted comparison operators. It is built with designated initialisers and
/// read through `->`; `with` returns a modified copy. Thread safety: concurrent const access is safe.
template <typename Fields>
class immutable {
public:
    immutable() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): an aggregate and its immutable wrapper represent the same
    // value.
    immutable(Fields fields) : fields_{std::move(fields)} {}

    [[nodiscard]] const Fields* operator->() const noexcept { return &fields_; }
    [[nodiscard]] const Fields& operator*() const noexcept { return fields_; }

    /// Returns a copy modified by `change`.
    template <std::invocable<Fields&> Change>
    [[nodiscard]] immutable with(Change change) const {
        Fields copy = fields_;
        change(copy);
        return immutable{std::move(copy)};
    }

    friend auto operator<=>(const immutable&, const immutable&) = default;
    friend bool operator==(const immutable&, const immutable&) = default;

private:
    Fields fields_{};
};

} // namespace base
