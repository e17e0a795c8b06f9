#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <platform/put_result.hpp>
#include <platform/stored_value.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace platform {

/// Requires the store calls that configuration watchers and publishers use.
/// Production code uses `store_client`.
template <typename Store>
concept key_value_store = requires(Store& store, std::string key, std::uint64_t revision,
                                   base::clock::duration wait) {
    { store.get(key) } -> std::same_as<boost::asio::awaitable<base::result<stored_value>>>;
    { store.put_if(key, key, revision) } -> std::same_as<boost::asio::awaitable<base::result<put_result>>>;
    { store.watch(key, revision, wait) } -> std::same_as<boost::asio::awaitable<base::result<stored_value>>>;
};

} // namespace platform
