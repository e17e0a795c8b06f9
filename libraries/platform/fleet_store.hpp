#pragma once

#include <base/clock.hpp>
#include <base/result.hpp>
#include <platform/store_item.hpp>
#include <platform/store_transaction.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace platform {

/// Requires a client of the platform's store with the calls that session daemons use. One object runs one
/// call at a time. `interrupt` ends a pending call, which then fails like one without a response;
/// `is_receiving` tells whether its response is arriving.
///
/// Reads are linearizable. A call that names a revision, or that changes something, fails if the store is
/// found to be in another history than when the call was sent. Errors of each call: `overloaded` (refused and
/// not applied), `platform_unavailable` (not sent, or a read without a response), `answer_lost` (a change
/// that was sent and may have been applied), `history_lost` (a watch that has to restart from a read, or a
/// change whose conditions were read in another history and which was not sent), `not_found` (no such key or
/// lease).
template <typename Store>
concept fleet_store = requires(Store& store, std::string key, std::uint64_t number,
                               base::store_revision revision, base::clock::duration length,
                               store_transaction change) {
    { store.get(key) } -> std::same_as<boost::asio::awaitable<base::result<store_item>>>;
    { store.list(key, key) } -> std::same_as<boost::asio::awaitable<base::result<store_page>>>;
    {
        store.watch(key, revision, length)
        } -> std::same_as<boost::asio::awaitable<base::result<store_changes>>>;
    { store.change(change) } -> std::same_as<boost::asio::awaitable<base::result<transaction_result>>>;
    { store.grant_lease(length) } -> std::same_as<boost::asio::awaitable<base::result<std::uint64_t>>>;
    { store.keep_lease(number) } -> std::same_as<boost::asio::awaitable<base::result<bool>>>;
    { store.interrupt() } -> std::same_as<void>;
    { store.is_receiving() } -> std::same_as<bool>;
};

} // namespace platform
