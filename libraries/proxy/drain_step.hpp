#pragma once

#include <cstdint>

namespace proxy {

/// The stages of stopping a daemon, in their order.
enum class drain_step : std::uint8_t {
    serving,
    /// Sessions outside a transaction are closed: idle ones at once, the others after their next response.
    closing_sessions,
    /// Open transactions are rolled back as well, and no transaction is begun.
    closing_transactions,
    /// New statements and connections are refused.
    refusing,
};

} // namespace proxy
