#pragma once

#include <base/clock.hpp>
#include <daemons/takeover_record.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace daemons {

/// What a leader knows about the takeovers of which the store's copy may lack the records.
struct confirmation_state {
    /// This daemon led until the store came back, so it wrote all those records itself.
    bool has_led_until_return_ = false;
    /// This daemon was registered in the store's earlier history and knew the other daemons of that time. A
    /// leader that it does not know has not promoted anything: it would have asked this daemon to stop using
    /// the primary first, or waited for longer.
    bool knew_earlier_daemons_ = false;
    /// The number of other daemons, of the earlier history or this one, that have not answered in this
    /// history that they have no takeover under way.
    std::size_t unheard_daemons_ = 0;
    /// This daemon has a takeover under way that began in the earlier history.
    bool has_active_takeover_ = false;
    /// The server list was read in this history.
    bool has_databases_ = false;
    base::clock::duration since_acquired_{0};

    friend auto operator<=>(const confirmation_state&, const confirmation_state&) = default;
};

/// The next step of a leader that has to confirm the takeover records after the store came back from a copy.
enum class confirmation_step : std::uint8_t {
    /// Ask the daemons that have not answered for their records.
    ask_daemons,
    /// Write the records that the copy lacks.
    confirm,
    /// Write them after comparing them with the roles that the databases report, because daemons that knew of
    /// a takeover may be gone.
    compare_and_confirm,
};

/// Decides when the records that a leader knows are complete: no earlier leader may promote a database any
/// more, and no daemon or database is left that may know of another takeover. Thread safety: pure function.
[[nodiscard]] confirmation_step next_confirmation_step(const confirmation_state& state) noexcept;

/// Returns the known records that the store's copy lacks: it holds none or an older one of the service.
/// Thread safety: pure function.
[[nodiscard]] std::vector<takeover_record> find_undone(const std::vector<takeover_record>& known,
                                                       const std::vector<takeover_record>& stored);

} // namespace daemons
