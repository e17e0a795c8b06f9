#pragma once

#include <cstdint>

namespace backends {

/// Returns a number for a new database connection that no other connection of this process has, counted from
/// 1. Thread safety: any thread.
[[nodiscard]] std::uint64_t next_connection_number() noexcept;

} // namespace backends
