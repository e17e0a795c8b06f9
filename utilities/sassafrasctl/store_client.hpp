#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/result.hpp>
#include <http/message.hpp>

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace sassafrasctl {

/// What the store answers to a read.
struct read_value {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const read_value&, const read_value&) = default;
};

/// What the store answers to a compare-and-swap.
struct put_value {
    bool applied_ = false;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const put_value&, const put_value&) = default;
};

/// Calls the platform's store over a fresh connection each time.
/// FIXME: replace by `platform::store_client` once that is merged.
/// Thread safety: used by one thread. Lifetime: outlives the coroutines that it returns.
class store_client {
public:
    store_client(base::endpoint platform, base::clock::duration timeout)
        : platform_{std::move(platform)}, timeout_{timeout} {}

    /// Reads a key. Errors: those of the connection, `platform_unavailable` for any other answer.
    [[nodiscard]] boost::asio::awaitable<base::result<read_value>> get(std::string key);

    /// Replaces a key's value if it has the expected revision. Errors: as `get`; the value may have been
    /// replaced all the same.
    [[nodiscard]] boost::asio::awaitable<base::result<put_value>> put_if(std::string key, std::string value,
                                                                         std::uint64_t expected_revision);

private:
    [[nodiscard]] boost::asio::awaitable<base::result<std::string>> call(http::request message);

    base::endpoint platform_;
    base::clock::duration timeout_;
};

} // namespace sassafrasctl
