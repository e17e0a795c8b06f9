#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafras_slopes {

/// Measures membership in fleets of these sizes: traffic, processor time, memory, and times until all know.
void measure_membership(const std::vector<std::size_t>& sizes, std::uint64_t seed);

/// Measures how long fleets of these sizes need until all know all, when all daemons start at once.
void measure_cold_start(const std::vector<std::size_t>& sizes, std::uint64_t seed);

/// Measures how a configuration spreads in fleets of these sizes, with this number of regions.
void measure_spread(const std::vector<std::size_t>& sizes, std::size_t regions, std::uint64_t seed);

/// Measures the memory of one daemon's membership against the members that it knows.
void measure_member_memory(const std::vector<std::size_t>& sizes);

} // namespace sassafras_slopes
