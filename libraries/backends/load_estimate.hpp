#pragma once

#include <base/clock.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace backends {

/// How costly statements of one daemon recently were at one database, relative to all replicas of its
/// service. An observation loses half of its weight in `half_life`, so that a database that was avoided is
/// tried again even if nothing was learned about it since. Immutable. Thread safety: any thread.
class load_estimate {
public:
    /// The estimate of a database that became known at `now`: it may be cold, and gets few statements until
    /// it has shown how fast it is.
    [[nodiscard]] static load_estimate of_unknown(base::clock::time_point now) noexcept;

    /// Returns the estimate after a response that took `relative_duration` times the mean of its priority.
    /// Precondition: `relative_duration` is positive.
    [[nodiscard]] load_estimate with_response(double relative_duration,
                                              base::clock::time_point now) const noexcept;
    /// Returns the estimate after a statement that the database lost or refused.
    [[nodiscard]] load_estimate with_failure(base::clock::time_point now) const noexcept;

    /// Returns the expected cost of a statement, positive; 1 for a database like the others.
    [[nodiscard]] double cost(base::clock::time_point now) const noexcept;

    friend auto operator<=>(const load_estimate&, const load_estimate&) = default;

private:
    [[nodiscard]] load_estimate aged(base::clock::time_point now) const noexcept;

    double relative_duration_ = 1;
    double failure_rate_ = 0;
    base::clock::time_point updated_at_{};
};

/// The mean duration of the statements of each priority at all replicas of a service, with which the
/// durations at one of them are compared: a database must not appear slow because of the mix of statements
/// that it received. Immutable. Thread safety: any thread.
class priority_durations {
public:
    [[nodiscard]] priority_durations with_response(base::clock::duration elapsed,
                                                   std::uint32_t priority) const noexcept;
    /// Returns how many times the mean of its priority a statement took, positive; 1 while none is known.
    [[nodiscard]] double relative_duration(base::clock::duration elapsed,
                                           std::uint32_t priority) const noexcept;

    friend auto operator<=>(const priority_durations&, const priority_durations&) = default;

private:
    static constexpr std::size_t priority_classes = 4;

    /// By priority; the least urgent priorities share the last element. 0 while none is known.
    std::array<double, priority_classes> mean_ms_{};
};

/// Returns the first turn of a database at a daemon, from 0 to below 1. It differs between daemons, so that
/// daemons that begin or receive a burst at the same moment choose different databases. `daemon_seed` is
/// derived from the daemon's name.
[[nodiscard]] double first_turn(std::uint64_t daemon_seed, std::string_view database) noexcept;

} // namespace backends
