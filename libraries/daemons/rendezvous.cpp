#include <daemons/rendezvous.hpp>

#include <xxhash.h>

namespace daemons {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) noexcept {
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

} // namespace daemons
