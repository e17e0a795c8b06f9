#include <backends/connection_number.hpp>

#include <atomic>

namespace backends {

std::uint64_t next_connection_number() noexcept {
    static std::atomic<std::uint64_t> last{0};
    return last.fetch_add(1, std::memory_order_relaxed) + 1;
}

} // namespace backends
