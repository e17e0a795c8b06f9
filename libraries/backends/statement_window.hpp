#pragma once

#include <backends/typical_duration.hpp>
#include <base/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace backends {

/// Limits how many statements of this daemon may be in flight at one database, adapted to how long they take
/// there.
///
/// This handles many daemons that use one database because no other can serve, for example while all replicas
/// of its service lag. Even one statement from each daemon then builds a queue at the database that exceeds
/// the statements' latency objectives and whose order no daemon controls. The window shrinks while statements
/// take much longer than is typical, if necessary below one: the daemon then waits between its statements.
/// The most urgent priority is never limited below its normal window, so that its statements find a short
/// queue. Thread safety: owned by one thread.
class statement_window {
public:
    /// Records how long a statement of a priority took at the database. Each priority is compared with its
    /// own typical duration, because statements of one may take many times as long as those of another and
    /// the mix changes when replicas lag.
    void note_response(base::clock::duration elapsed, std::uint32_t priority,
                       base::clock::time_point now) noexcept;
    /// Records that the database refused a statement because its queue was full.
    void note_refused(base::clock::time_point now) noexcept;

    /// Returns how many statements of a priority may be in flight now. Preconditions: `slots` and `daemons`
    /// are positive.
    [[nodiscard]] std::uint32_t max_running(std::uint32_t slots, std::uint32_t daemons,
                                            std::uint32_t priority,
                                            base::clock::time_point now) const noexcept;
    /// Returns the maximum average number of in-flight statements of a priority. May be below 1.
    [[nodiscard]] double size(std::uint32_t slots, std::uint32_t daemons,
                              std::uint32_t priority) const noexcept;
    /// Returns when the next statement of a priority may start while none is in flight.
    [[nodiscard]] base::clock::time_point next_start(std::uint32_t slots, std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept;

    /// Returns whether the window is currently reduced.
    [[nodiscard]] bool is_congested() const noexcept { return fraction_ < 1; }

private:
    static constexpr std::size_t priority_classes = 4;

    /// By priority; the least urgent priorities share the last element.
    std::array<typical_duration, priority_classes> typical_{};
    /// Moving averages over a few statements.
    double recent_ms_ = 0;
    double recent_ratio_ = 1;
    /// The current window as a fraction of the normal one, above 0 and at most 1.
    double fraction_ = 1;
    base::clock::time_point last_response_{};
};

/// Returns the normal window: how many statements this daemon keeps in flight at a database that is not
/// congested. Preconditions: `slots` and `daemons` are positive.
[[nodiscard]] std::uint32_t normal_window(std::uint32_t slots, std::uint32_t daemons) noexcept;

} // namespace backends
