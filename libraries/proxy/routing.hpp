#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/request.hpp>
#include <base/result.hpp>
#include <operators/configuration.hpp>

#include <compare>
#include <cstddef>

namespace proxy {

/// A request with everything that the declaration of its service adds to it.
struct routed_request_fields {
    base::request request_;
    operators::service_declaration service_;
    /// Index of the rank in the declaration; 0 is the most urgent.
    std::size_t rank_ = 0;
    /// How old the data of a read may be; zero for fresh data and for writes.
    base::clock::duration staleness_{0};

    friend auto operator<=>(const routed_request_fields&, const routed_request_fields&) = default;
    friend bool operator==(const routed_request_fields&, const routed_request_fields&) = default;
};

using routed_request = base::immutable<routed_request_fields>;

/// Checks a request against the declarations in force and fills in what the caller left out.
///
/// A question for an outcome names no rank; it takes the most urgent one, because somebody waits for it.
/// Errors: `unknown_service`, `unknown_rank`, `invalid_request` for an unknown read class.
/// Thread safety: any thread.
[[nodiscard]] base::result<routed_request> route(const operators::configuration& configuration,
                                                 const base::request& request);

} // namespace proxy
