#pragma once

#include <base/immutable.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace daemons {

/// Requests a peer's configuration if it is newer than the sender's.
struct configuration_fetch_fields {
    std::uint64_t known_revision_ = 0;

    friend auto operator<=>(const configuration_fetch_fields&, const configuration_fetch_fields&) = default;
    friend bool operator==(const configuration_fetch_fields&, const configuration_fetch_fields&) = default;
};

using configuration_fetch = base::immutable<configuration_fetch_fields>;

/// The response to a `configuration_fetch`: a peer's configuration, encoded by `operators`.
struct configuration_offer_fields {
    std::uint64_t revision_ = 0;
    /// Empty when the requesting daemon's revision is not lower than `revision_`.
    std::string content_;

    friend auto operator<=>(const configuration_offer_fields&, const configuration_offer_fields&) = default;
    friend bool operator==(const configuration_offer_fields&, const configuration_offer_fields&) = default;
};

using configuration_offer = base::immutable<configuration_offer_fields>;

} // namespace daemons
