#pragma once

#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/request.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras_load {

/// Whether the requests of a work class carry an idempotency key.
enum class key_use : std::uint8_t { none, each_request };

/// One kind of work of a profile: what its requests ask for and how often they arrive.
struct work_class_fields {
    std::string name_;
    std::string service_;
    /// Tenants that the requests are spread over.
    std::vector<std::string> tenants_;
    std::string rank_;
    base::access access_ = base::access::read;
    /// Empty for the default class of the declaration.
    std::string read_class_;
    /// Arrivals per second at scale 1.
    double rate_ = 0;
    /// The share of requests that belong to a session.
    std::uint64_t session_percent_ = 100;
    /// Statements in which `{key}` stands for a number of the key space and `{value}` for a unique value.
    std::vector<std::string> statements_;
    std::uint64_t key_space_ = 1'000;
    /// The share of a session's requests that use the key which the session wrote last.
    std::uint64_t own_key_percent_ = 50;
    base::clock::duration deadline_{1'000};
    key_use idempotency_key_ = key_use::none;
    /// The share of answered requests with a key that are sent once more under their key.
    std::uint64_t repeat_percent_ = 0;

    friend auto operator<=>(const work_class_fields&, const work_class_fields&) = default;
    friend bool operator==(const work_class_fields&, const work_class_fields&) = default;
};

using work_class = base::immutable<work_class_fields>;

} // namespace sassafras_load
