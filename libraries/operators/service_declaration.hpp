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

/// One database of a service's group.
struct database_declaration {
    std::string name_;
    base::endpoint address_;
    std::string failure_domain_;

    friend auto operator<=>(const database_declaration&, const database_declaration&) = default;
};

/// One rank of work. A declaration lists its ranks from most to least urgent.
struct rank_declaration {
    std::string name_;
    /// Share of the slots in percent that the rank keeps during a flood of any other rank.
    std::uint32_t least_share_percent_ = 0;
    /// Part that the rank gets of what no least share claims, relative to the other ranks' weights.
    std::uint32_t weight_ = 1;
    /// Applies when a request names no deadline.
    base::clock::duration deadline_{2'000};

    friend auto operator<=>(const rank_declaration&, const rank_declaration&) = default;
};

/// A class of reads and how old its data may be. Staleness zero means that only fresh data will do.
struct read_class_declaration {
    std::string name_;
    base::clock::duration staleness_{0};

    friend auto operator<=>(const read_class_declaration&, const read_class_declaration&) = default;
};

/// The limit of one tenant; the name `default` stands for every tenant that has none of its own.
struct tenant_limit {
    std::string name_;
    /// Requests of the tenant that may be queued or running at the home at the same time, for each rank.
    std::uint32_t most_in_flight_ = 1'000;

    friend auto operator<=>(const tenant_limit&, const tenant_limit&) = default;
};

/// What operators declare for one service, whose name is also that of its database group.
struct service_declaration_fields {
    std::string name_;
    /// The region in which the group's primary should be.
    std::string region_;
    /// Three or more, in the order of the file.
    std::vector<database_declaration> databases_;
    /// Statements that one database runs at the same time.
    std::uint32_t slots_ = 2;
    /// Connections that one database accepts from the whole system.
    std::uint32_t connections_ = 16;
    /// Requests that may wait at the home, over all ranks.
    std::uint32_t queue_items_ = 10'000;
    /// Bytes of statements that may wait at the home, over all ranks.
    std::uint64_t queue_bytes_ = std::uint64_t{16} * 1024 * 1024;
    /// From most to least urgent; at least one.
    std::vector<rank_declaration> ranks_;
    /// The first one applies when a request names none; at least one.
    std::vector<read_class_declaration> read_classes_;
    std::vector<tenant_limit> tenants_;

    friend auto operator<=>(const service_declaration_fields&, const service_declaration_fields&) = default;
    friend bool operator==(const service_declaration_fields&, const service_declaration_fields&) = default;
};

using service_declaration = base::immutable<service_declaration_fields>;

} // namespace operators
