#pragma once

#include <compare>
#include <concepts>
#include <utility>

namespace base {

/// A record that can be read and replaced as a whole but not changed in place.
///
/// `Fields` is an aggregate with defaulted comparison. A caller builds it with designated initialisers and
/// reads it with `->`; `with` returns a changed copy. Thread safety: const access from any number of threads.
template <typename Fields>
class immutable {
public:
    immutable() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): an aggregate and its immutable form are the same value.
    immutable(Fields fields) : fields_{std::move(fields)} {}

    [[nodiscard]] const Fields* operator->() const noexcept { return &fields_; }
    [[nodiscard]] const Fields& operator*() const noexcept { return fields_; }

    /// Returns a copy to which `change` has been applied.
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
