#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/request.hpp>
#include <base/result.hpp>
#include <operators/configuration.hpp>

#include <compare>
#include <cstddef>

namespace proxy {

/// A request together with the values that the declaration of its service adds to it.
struct routed_request_fields {
    base::request request_;
    operators::service_declaration service_;
    /// Index of the rank in the declaration; 0 is the most urgent.
    std::size_t rank_ = 0;
    /// Maximum age of the data that a read returns; zero for fresh reads and for writes.
    base::clock::duration staleness_{0};

    friend auto operator<=>(const routed_request_fields&, const routed_request_fields&) = default;
    friend bool operator==(const routed_request_fields&, const routed_request_fields&) = default;
};

using routed_request = base::immutable<routed_request_fields>;

/// Validates a request against the current configuration and fills in fields that the caller omitted.
///
/// An outcome request, which has the access `settle`, names no rank and gets the most urgent one, because a
/// caller waits for the outcome. Errors: `unknown_service`, `unknown_rank`, `invalid_request` for an unknown
/// read class. Thread safety: any thread.
[[nodiscard]] base::result<routed_request> route(const operators::configuration& configuration,
                                                 const base::request& request);

} // namespace proxy
