#pragma once

#include <base/result.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>

namespace operators {

/// The type that an awaitable of a `base::result` yields on success.
template <typename Awaitable>
using awaited_value = typename std::remove_cvref_t<decltype(*std::declval<typename Awaitable::value_type>())>;

/// The result of reading a key: its value and revision. Revision 0 means that the key is absent.
template <typename Value>
concept stored_value = requires(const Value& value) {
    { value.found_ } -> std::convertible_to<bool>;
    { value.value_ } -> std::convertible_to<std::string>;
    { value.revision_ } -> std::convertible_to<std::uint64_t>;
};

/// The result of a compare-and-swap.
template <typename Value>
concept put_response = requires(const Value& value) {
    { value.applied_ } -> std::convertible_to<bool>;
    { value.revision_ } -> std::convertible_to<std::uint64_t>;
};

/// The operations of the platform's store that publishing requires. Both yield a `base::result`; after an
/// error of `put_if` it is unknown whether the value was replaced.
template <typename Store>
concept configuration_store = requires(Store& store, std::string key, std::string value,
                                       std::uint64_t expected_revision) {
    requires stored_value<awaited_value<decltype(store.get(key))>>;
    requires put_response<awaited_value<decltype(store.put_if(key, value, expected_revision))>>;
};

} // namespace operators
