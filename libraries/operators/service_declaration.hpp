#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace operators {

/// Declares one database of a service's group.
struct database_declaration {
    std::string name_;
    base::endpoint address_;
    std::string failure_domain_;

    friend auto operator<=>(const database_declaration&, const database_declaration&) = default;
};

/// Declares one rank of requests. Ranks are listed from most to least urgent.
struct rank_declaration {
    std::string name_;
    /// Share of the slots, in percent, that is guaranteed to the rank during an overload of any other rank.
    std::uint32_t least_share_percent_ = 0;
    /// Share of the slots that are not guaranteed to any rank, relative to the weights of the other ranks.
    std::uint32_t weight_ = 1;
    /// Applies if a request specifies no deadline.
    base::clock::duration deadline_{2'000};

    friend auto operator<=>(const rank_declaration&, const rank_declaration&) = default;
};

/// Declares a class of reads and the maximum staleness of their data. Zero requires fresh data.
struct read_class_declaration {
    std::string name_;
    base::clock::duration staleness_{0};

    friend auto operator<=>(const read_class_declaration&, const read_class_declaration&) = default;
};

/// The limit of one tenant. The name `default` applies to every tenant without a limit of its own.
struct tenant_limit {
    std::string name_;
    /// Maximum requests of the tenant that are queued or running at the group's owner, per rank.
    std::uint32_t most_in_flight_ = 1'000;

    friend auto operator<=>(const tenant_limit&, const tenant_limit&) = default;
};

/// The declaration of one service. Its database group has the same name.
struct service_declaration_fields {
    std::string name_;
    /// The preferred region of the group's primary.
    std::string region_;
    /// Three or more, in the order of the file.
    std::vector<database_declaration> databases_;
    /// Maximum concurrent statements on one database.
    std::uint32_t slots_ = 2;
    /// Maximum connections to one database from all daemons together.
    std::uint32_t connections_ = 16;
    /// Maximum requests queued at the group's owner, over all ranks.
    std::uint32_t queue_items_ = 10'000;
    /// Maximum bytes of statements queued at the group's owner, over all ranks.
    std::uint64_t queue_bytes_ = std::uint64_t{16} * 1024 * 1024;
    /// From most to least urgent; at least one.
    std::vector<rank_declaration> ranks_;
    /// At least one; the first applies if a request specifies none.
    std::vector<read_class_declaration> read_classes_;
    std::vector<tenant_limit> tenants_;

    friend auto operator<=>(const service_declaration_fields&, const service_declaration_fields&) = default;
    friend bool operator==(const service_declaration_fields&, const service_declaration_fields&) = default;
};

using service_declaration = base::immutable<service_declaration_fields>;

} // namespace operators
