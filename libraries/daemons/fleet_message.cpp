#include <daemons/fleet_message.hpp>

#include <xxhash.h>

namespace daemons {

std::uint64_t digest_of(const std::vector<takeover_record>& records) {
    // The sum does not depend on the order of the records.
    std::uint64_t digest = 0;
    for (const auto& record : records) {
        digest += XXH3_64bits_withSeed(record->service_.data(), record->service_.size(), record->revision_);
    }
    return digest;
}

} // namespace daemons
