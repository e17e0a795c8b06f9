#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <http/client_connection.hpp>
#include <platform/call_failure.hpp>
#include <platform/key_value_store.hpp>
#include <platform/lease_state.hpp>
#include <platform/listed_host.hpp>
#include <platform/put_result.hpp>
#include <platform/reconnect_backoff.hpp>
#include <platform/stored_value.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace platform {

/// A client of the platform's store and host list.
///
/// Each call in progress uses its own connection; a few idle connections are kept. After a failure no call is
/// sent until a jittered, bounded backoff has passed; calls wait for it up to the call timeout.
///
/// Errors of every call: `platform_unavailable` (not sent, or a read without a response), `overloaded`
/// (refused by the call limit, not applied), `too_large` and `invalid_request` (refused, not applied). Calls
/// that change the store can also fail with `answer_lost`: sent, and possibly applied.
///
/// Thread safety: used by one thread. Lifetime: must outlive its calls.
class store_client {
public:
    /// Seeds the jitter randomly.
    store_client(base::endpoint store, base::clock::duration call_timeout);
    /// `seed` makes the jitter reproducible; `limits` bounds the backoff after failures.
    store_client(base::endpoint store, base::clock::duration call_timeout, std::uint64_t seed,
                 backoff_limits limits);

    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;
    ~store_client() = default;

    /// Returns a key's value.
    [[nodiscard]] boost::asio::awaitable<base::result<stored_value>> get(std::string key);

    /// Writes a value if the key's revision is `expected_revision` (0: the key is absent).
    [[nodiscard]] boost::asio::awaitable<base::result<put_result>> put_if(std::string key, std::string value,
                                                                          std::uint64_t expected_revision);

    /// Like `put_if`; the key is removed when the lease ends.
    [[nodiscard]] boost::asio::awaitable<base::result<put_result>>
    put_if_with_lease(std::string key, std::string value, std::uint64_t expected_revision,
                      std::uint64_t lease);

    /// Returns the value once its revision differs from `after_revision`, or the current value after `wait`.
    [[nodiscard]] boost::asio::awaitable<base::result<stored_value>>
    watch(std::string key, std::uint64_t after_revision, base::clock::duration wait);

    /// Returns the platform's host list.
    [[nodiscard]] boost::asio::awaitable<base::result<std::vector<listed_host>>> hosts();

    /// Acquires a new lease.
    [[nodiscard]] boost::asio::awaitable<base::result<lease_state>> lease(base::clock::duration length);

    /// Renews a lease; `held_` is false if the lease had already ended.
    [[nodiscard]] boost::asio::awaitable<base::result<lease_state>> renew(std::uint64_t lease);

private:
    /// The path, body, effect and response timeout of one call.
    struct store_call {
        std::string path_;
        std::string body_;
        call_effect effect_ = call_effect::reads;
        base::clock::duration timeout_{0};
    };

    [[nodiscard]] boost::asio::awaitable<base::result<std::string>> call(store_call request);
    [[nodiscard]] boost::asio::awaitable<std::optional<base::error>> wait_for_backoff();
    [[nodiscard]] boost::asio::awaitable<base::result<http::client_connection>> acquire_connection();
    void release_connection(http::client_connection connection);
    void record_success();
    void record_failure(const base::error& reason, base::clock::duration requested);

    base::endpoint store_;
    base::clock::duration call_timeout_;
    std::mt19937_64 random_;
    reconnect_backoff backoff_;
    base::clock::time_point not_before_;
    std::vector<http::client_connection> idle_;
};

static_assert(key_value_store<store_client>);

} // namespace platform
