#pragma once

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <concepts>
#include <cstdint>
#include <string>

namespace backends {

/// Who orders which database to lead.
struct promotion_request {
    std::string service_;
    std::string database_;
    /// The daemon that holds the duty.
    std::string holder_;
    /// Grows with each holder of the duty.
    std::uint64_t token_ = 0;

    friend auto operator<=>(const promotion_request&, const promotion_request&) = default;
};

/// What became of a promotion order.
enum class promotion_outcome : std::uint8_t {
    accepted,
    /// The database does not run, or may not lead now.
    refused,
    not_sent,
    response_lost,
};

/// Orders a database to lead. Production code uses the platform's adapter.
template <typename Promoter>
concept primary_promoter = requires(Promoter& promoter, promotion_request request) {
    { promoter.promote(request) } -> std::same_as<boost::asio::awaitable<promotion_outcome>>;
};

} // namespace backends
