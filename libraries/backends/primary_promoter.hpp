#pragma once

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

namespace backends {

/// A request to the platform to promote a database to the primary of its service.
struct promotion_request {
    std::string service_;
    std::string database_;
    /// The daemon that holds the leader lease and sends the request.
    std::string holder_;
    /// The leader's fencing token, which increases with each leader.
    std::uint64_t token_ = 0;

    friend auto operator<=>(const promotion_request&, const promotion_request&) = default;
};

/// The outcome of a promotion request.
enum class promotion_outcome : std::uint8_t {
    accepted,
    /// The database is not running or may not become the primary now.
    refused,
    not_sent,
    response_lost,
};

/// Requires a type that asks the platform to promote a database. Once it is connected it calls `may_send`,
/// and sends nothing if that returns false: the leadership may have ended meanwhile. Production code uses the
/// platform's adapter.
template <typename Promoter>
concept primary_promoter = requires(Promoter& promoter, promotion_request request,
                                    std::function<bool()> may_send) {
    { promoter.promote(request, may_send) } -> std::same_as<boost::asio::awaitable<promotion_outcome>>;
};

} // namespace backends
