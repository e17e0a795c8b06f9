#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace backends {

/// What a daemon in another failure domain found out about a database.
enum class suspicion_result : std::uint8_t {
    reached,
    not_reached,
    /// No daemon in another failure domain is alive.
    no_daemon,
};

enum class detector_phase : std::uint8_t {
    responding,
    trying_fresh_connection,
    checking_with_other_daemon,
    failed
};

/// Watches one database: silence, then a fresh connection, then the word of a daemon in another failure
/// domain. One silent connection or one cut link between two hosts does not make a database failed.
/// Thread safety: immutable value.
class failure_detector {
public:
    explicit failure_detector(base::clock::time_point now) : heard_at_{now} {}

    /// Takes an answer of the database on any connection.
    [[nodiscard]] failure_detector record_response(base::clock::time_point now) const noexcept;

    /// Takes that a connection broke or a statement got no answer: a fresh connection is tried without
    /// waiting for the silence to last.
    [[nodiscard]] failure_detector record_suspicion() const noexcept;

    /// Takes that a fresh connection brought no answer in time.
    [[nodiscard]] failure_detector record_fresh_connection_failure() const noexcept;

    /// Takes the word of the other daemon, or that there is none. `responding` of `group_size` databases
    /// answer this daemon: without a majority of them it deposes nobody, because it may itself be cut off.
    [[nodiscard]] failure_detector record_check(suspicion_result found, std::size_t responding,
                                                std::size_t group_size) const noexcept;

    /// Takes the passage of time.
    [[nodiscard]] failure_detector advance(base::clock::time_point now) const noexcept;

    /// Returns whether the database answers this daemon: it is under no suspicion and was heard lately.
    [[nodiscard]] bool is_responding(base::clock::time_point now) const noexcept;

    [[nodiscard]] detector_phase phase() const noexcept { return phase_; }
    [[nodiscard]] base::clock::time_point heard_at() const noexcept { return heard_at_; }

    friend auto operator<=>(const failure_detector&, const failure_detector&) = default;

private:
    base::clock::time_point heard_at_;
    detector_phase phase_ = detector_phase::responding;
};

/// Figures of the design page, section 4, "Failure detection": 1.75 s in the worst case.
inline constexpr base::clock::duration poll_period{250};
inline constexpr base::clock::duration silence_timeout{750};
inline constexpr base::clock::duration fresh_connection_time{500};
inline constexpr base::clock::duration suspicion_check_timeout{500};

} // namespace backends
