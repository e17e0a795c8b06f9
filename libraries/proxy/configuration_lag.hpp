#pragma once

#include <base/clock.hpp>

#include <atomic>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// What this daemon knows of a configuration that is newer than the one in force here, from the versions that
/// its peers report. Thread safety: immutable value.
class configuration_lag {
public:
    configuration_lag() = default;

    /// Returns the state after a peer's report of the version that it uses.
    [[nodiscard]] configuration_lag after_report(std::uint64_t reported, std::uint64_t in_force,
                                                 const std::string& peer, base::clock::time_point now) const {
        if (reported <= in_force || reported < version_) {
            return *this;
        }
        return configuration_lag{reported, peer, since_.value_or(now), now};
    }

    /// Returns the state at a moment: a version that no peer has reported for a while is forgotten, because
    /// its daemon may have been the only one that knew it, and have ended.
    [[nodiscard]] configuration_lag at(base::clock::time_point now) const {
        constexpr base::clock::duration max_silence{3'000};
        return since_ && now - reported_at_ > max_silence ? configuration_lag{} : *this;
    }

    /// Returns the state after a configuration came into force.
    [[nodiscard]] configuration_lag after_change(std::uint64_t in_force) const {
        return in_force < version_ ? *this : configuration_lag{};
    }

    /// The newest version that a peer has reported, and that peer; 0 and empty while none is newer.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::string& peer() const noexcept { return peer_; }
    /// Since when a newer version than the one in force is known, or nothing.
    [[nodiscard]] std::optional<base::clock::time_point> since() const noexcept { return since_; }

    friend auto operator<=>(const configuration_lag&, const configuration_lag&) = default;

private:
    configuration_lag(std::uint64_t version, std::string peer, base::clock::time_point since,
                      base::clock::time_point reported_at)
        : version_{version}, peer_{std::move(peer)}, since_{since}, reported_at_{reported_at} {}

    std::uint64_t version_ = 0;
    std::string peer_;
    std::optional<base::clock::time_point> since_;
    base::clock::time_point reported_at_{};
};

/// Since when a newer configuration than the one in force is known, published to all threads. Thread safety:
/// any thread; written by the control thread.
class published_configuration_lag {
public:
    void set(const configuration_lag& lag) noexcept {
        since_ms_.store(lag.since() ? lag.since()->time_since_epoch().count() : not_behind,
                        std::memory_order_release);
    }

    /// Returns whether a newer configuration than the one in force is known.
    [[nodiscard]] bool is_behind() const noexcept {
        return since_ms_.load(std::memory_order_acquire) != not_behind;
    }

    /// Returns for how long that has been so; 0 if it is not.
    [[nodiscard]] base::clock::duration duration_at(base::clock::time_point now) const noexcept {
        const auto since = since_ms_.load(std::memory_order_acquire);
        return since == not_behind ? base::clock::duration{0}
                                   : now - base::clock::time_point{base::clock::duration{since}};
    }

private:
    static constexpr std::int64_t not_behind = -1;

    std::atomic<std::int64_t> since_ms_{not_behind};
};

} // namespace proxy
