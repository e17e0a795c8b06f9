#pragma once

#include <base/result.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>

namespace operators {

/// What an awaitable brings on success.
template <typename Awaitable>
using awaited_value = typename std::remove_cvref_t<decltype(*std::declval<typename Awaitable::value_type>())>;

/// A value of the store with the revision that it got; revision 0 means that the key is absent.
template <typename Value>
concept stored_value = requires(const Value& value) {
    { value.found_ } -> std::convertible_to<bool>;
    { value.value_ } -> std::convertible_to<std::string>;
    { value.revision_ } -> std::convertible_to<std::uint64_t>;
};

/// The answer to a compare-and-swap.
template <typename Value>
concept put_response = requires(const Value& value) {
    { value.applied_ } -> std::convertible_to<bool>;
    { value.revision_ } -> std::convertible_to<std::uint64_t>;
};

/// A client of the platform's store as far as publishing needs one. Both calls give a `base::result`; an
/// error of `put_if` leaves open whether the value was replaced.
template <typename Store>
concept configuration_store = requires(Store& store, std::string key, std::string value,
                                       std::uint64_t expected_revision) {
    requires stored_value<awaited_value<decltype(store.get(key))>>;
    requires put_response<awaited_value<decltype(store.put_if(key, value, expected_revision))>>;
};

} // namespace operators
