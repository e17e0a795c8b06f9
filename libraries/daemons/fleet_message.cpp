#include <daemons/fleet_message.hpp>

#include <xxhash.h>

namespace daemons {

namespace {

std::uint64_t digest_of(const std::string& name, base::store_revision revision) {
    const auto era = base::number_of(revision.era());
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                XXH3_64bits_withSeed(&era, sizeof era, revision.number()));
}

} // namespace

// The sums do not depend on the order of the entries.

std::uint64_t digest_of(const std::vector<takeover_record>& records) {
    std::uint64_t digest = 0;
    for (const auto& record : records) {
        digest += digest_of(record->service_, record->revision_);
    }
    return digest;
}

std::uint64_t digest_of(const std::vector<registration>& registrations) {
    std::uint64_t digest = 0;
    for (const auto& entry : registrations) {
        digest += digest_of(entry->address_, entry->revision_);
    }
    return digest;
}

} // namespace daemons
