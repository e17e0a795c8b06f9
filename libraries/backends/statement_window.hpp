#pragma once

#include <backends/usual_duration.hpp>
#include <base/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace backends {

/// How many statements of this daemon may be under way at one database, learnt from how long they take there.
///
/// Answers this load: many daemons before one database that alone can serve, for example while all replicas
/// of its service lag. Even one statement of each daemon then makes a queue at the database which lasts
/// longer than the statements' latency objectives, and no daemon decides about its order. The window shrinks
/// while statements take much longer than usual, below one if need be: then this daemon pauses between its
/// statements. The most urgent priority is not held back, so that it finds a short queue. Thread safety:
/// owned by one thread.
class statement_window {
public:
    /// Notes how long a statement of a priority took at the database. Each priority is compared with itself,
    /// as the work of one may be many times that of another and the mix changes when replicas lag.
    void note_response(base::clock::duration length, std::uint32_t priority,
                       base::clock::time_point now) noexcept;
    /// Notes that the database refused a statement because its queue was full.
    void note_refused(base::clock::time_point now) noexcept;

    /// Returns how many statements of a priority may be under way now. Preconditions: `slots` and `daemons`
    /// are positive.
    [[nodiscard]] std::uint32_t max_running(std::uint32_t slots, std::uint32_t daemons,
                                            std::uint32_t priority,
                                            base::clock::time_point now) const noexcept;
    /// Returns how many statements of a priority are under way in the mean at most.
    [[nodiscard]] double size(std::uint32_t slots, std::uint32_t daemons,
                              std::uint32_t priority) const noexcept;
    /// Returns when the next statement of a priority may start while none is under way.
    [[nodiscard]] base::clock::time_point next_start(std::uint32_t slots, std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept;

    /// Returns whether fewer statements than usual are sent.
    [[nodiscard]] bool is_congested() const noexcept { return part_ < 1; }

private:
    static constexpr std::size_t kinds = 4;

    /// By priority; the least urgent ones share the last.
    std::array<usual_duration, kinds> usual_{};
    /// Both follow the present within a few statements.
    double recent_ms_ = 0;
    double recent_ratio_ = 1;
    /// The window as a part of the usual one, above 0 and at most 1.
    double part_ = 1;
    base::clock::time_point last_response_{};
};

/// Returns how many statements this daemon keeps under way at a database that is not congested.
/// Preconditions: as above.
[[nodiscard]] std::uint32_t usual_statements(std::uint32_t slots, std::uint32_t daemons) noexcept;

} // namespace backends
