#pragma once

#include <cstdint>
#include <string_view>

namespace daemons {

/// Returns the weight of a member for a key in rendezvous hashing (XXH3, the same on all hosts). The member
/// with the greatest weight is chosen for the key.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) noexcept;

} // namespace daemons
