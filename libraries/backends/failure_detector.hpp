#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace backends {

/// The result of a reachability check by a daemon in another failure domain.
enum class suspicion_result : std::uint8_t {
    reached,
    not_reached,
    /// No daemon in another failure domain is available.
    no_daemon,
};

enum class detector_phase : std::uint8_t {
    responding,
    trying_fresh_connection,
    checking_with_other_daemon,
    failed
};

/// Detects the failure of one database in three steps: it does not respond, a fresh connection to it fails
/// too, and a daemon in another failure domain cannot reach it either. One unresponsive connection or one
/// broken link between two hosts does not make a database failed. Thread safety: immutable value.
class failure_detector {
public:
    explicit failure_detector(base::clock::time_point now) : last_response_at_{now} {}

    /// Records a response of the database on any connection.
    [[nodiscard]] failure_detector record_response(base::clock::time_point now) const noexcept;

    /// Records that a connection failed or a statement got no response: a fresh connection is tried without
    /// waiting for `silence_timeout`.
    [[nodiscard]] failure_detector record_suspicion() const noexcept;

    /// Records that a fresh connection produced no response in time.
    [[nodiscard]] failure_detector record_fresh_connection_failure() const noexcept;

    /// Records the result of the other daemon's check, or that there is no other daemon. `responding_count`
    /// of the `group_size` databases respond to this daemon: without a majority of them it declares no
    /// database failed, because it may itself be cut off.
    [[nodiscard]] failure_detector record_check(suspicion_result found, std::size_t responding_count,
                                                std::size_t group_size) const noexcept;

    /// Advances to `now`: suspects the database once it has been silent for `silence_timeout`.
    [[nodiscard]] failure_detector advance(base::clock::time_point now) const noexcept;

    /// Returns whether the database responds to this daemon: it is not suspected and has responded within
    /// `silence_timeout`.
    [[nodiscard]] bool is_responding(base::clock::time_point now) const noexcept;

    [[nodiscard]] detector_phase phase() const noexcept { return phase_; }
    [[nodiscard]] base::clock::time_point last_response_at() const noexcept { return last_response_at_; }

    friend auto operator<=>(const failure_detector&, const failure_detector&) = default;

private:
    base::clock::time_point last_response_at_;
    detector_phase phase_ = detector_phase::responding;
};

/// Timing of failure detection (design page, section 4, "Failure detection"). In the worst case a failure is
/// detected after 1.75 s.
inline constexpr base::clock::duration poll_interval{250};
inline constexpr base::clock::duration silence_timeout{750};
inline constexpr base::clock::duration fresh_connection_timeout{500};
inline constexpr base::clock::duration suspicion_check_timeout{500};

} // namespace backends
