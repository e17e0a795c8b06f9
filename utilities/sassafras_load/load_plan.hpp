#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/immutable.hpp>
#include <utilities/sassafras_load/profile.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras_load {

/// Whether a run keeps every request and answer.
enum class history_use : std::uint8_t { none, keep };

/// Everything that the threads of a run share. Thread safety: immutable value.
struct load_plan_fields {
    profile profile_;
    std::vector<base::endpoint> daemons_;
    std::size_t threads_ = 1;
    /// Delay of the injected network between caller and daemon in each direction.
    base::clock::duration one_way_{0};
    /// Requests that one thread has open at most; arrivals above it are counted and not sent.
    std::size_t most_open_ = 0;
    /// Makes values and keys unique among runs against the same databases.
    std::string run_name_;
    history_use history_ = history_use::none;
    std::chrono::steady_clock::time_point start_;

    friend auto operator<=>(const load_plan_fields&, const load_plan_fields&) = default;
    friend bool operator==(const load_plan_fields&, const load_plan_fields&) = default;
};

using load_plan = base::immutable<load_plan_fields>;

} // namespace sassafras_load
