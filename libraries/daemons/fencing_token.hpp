#pragma once

#include <base/store_revision.hpp>

#include <cstdint>

namespace daemons {

/// Returns the fencing token of a leadership that was acquired at a revision of the store.
///
/// Tokens rise with each leader, also after the store has come back from a copy and gives lower revisions out
/// again, whatever the new leader knows of earlier ones. In the history of a store that states none, the
/// token is the number of the revision. Precondition: in any other history, the number is below 10^12. Thread
/// safety: pure function.
[[nodiscard]] constexpr std::uint64_t fencing_token(base::store_revision leadership) noexcept {
    constexpr std::uint64_t tokens_of_an_era = 1'000'000'000'000;
    static_assert(base::max_store_era < UINT64_MAX / tokens_of_an_era);
    return base::number_of(leadership.era()) * tokens_of_an_era + leadership.number();
}

} // namespace daemons
