#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Decides when and from which peer a daemon fetches the configuration, as a pure state machine: `step` maps
/// a state, an event and the time to the next state and an action.
namespace daemons {

/// The startup phase of a daemon.
enum class spread_phase : std::uint8_t {
    /// It tries to fetch from peers first and serves no requests yet.
    asking_peers,
    /// No peer had a configuration; it has to be read from the store.
    asking_store,
    /// It has a configuration, or the store has none yet.
    ready,
};

/// A peer and the revision that it announced.
struct revision_source {
    base::endpoint peer_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const revision_source&, const revision_source&) = default;
};

/// One daemon's view of configuration revisions. Changed only by `step`.
struct spread_state {
    spread_phase phase_ = spread_phase::asking_peers;
    /// The active revision; never decreases.
    std::uint64_t revision_ = 0;
    /// Peers that announced a higher revision than `revision_`, the latest announcement last.
    std::vector<revision_source> sources_;
    /// Peers that are still to be tried after the start.
    std::vector<base::endpoint> initial_peers_;
    std::optional<base::endpoint> fetch_in_progress_;
    base::clock::time_point next_fetch_{};

    friend auto operator<=>(const spread_state&, const spread_state&) = default;
};

/// The daemon starts; at most `max_initial_peers` of `peers_` are tried, in this order.
struct spread_started {
    std::vector<base::endpoint> peers_;
};
/// A peer announced its revision.
struct revision_announced {
    revision_source source_;
};
/// A fetch ended with a valid configuration of this revision.
struct fetch_succeeded {
    std::uint64_t revision_ = 0;
};
/// A fetch ended without a valid configuration.
struct fetch_failed {};
/// This daemon read the store; revision 0 means that it holds no configuration.
struct store_responded {
    std::uint64_t revision_ = 0;
};
/// A timer tick.
struct spread_time_passed {};

using spread_event = std::variant<spread_started, revision_announced, fetch_succeeded, fetch_failed,
                                  store_responded, spread_time_passed>;

/// The result of one step.
struct spread_step {
    spread_state state_;
    /// The peer to fetch from now, if any.
    std::optional<base::endpoint> fetch_;
    /// Whether the configuration of this event has to be activated.
    enum class verdict : std::uint8_t { none, accept } verdict_ = verdict::none;
};

/// Maximum number of peers that a restarted daemon tries before it reads the store.
inline constexpr std::size_t max_initial_peers = 3;
/// Maximum number of peers with a higher revision that are kept.
inline constexpr std::size_t max_sources = 4;
/// Minimum time between the starts of two fetches, so that a burst of revisions is fetched as one.
inline constexpr base::clock::duration min_fetch_interval{1'000};

/// Applies one event. Accepts a revision only when it is higher than the active one.
[[nodiscard]] spread_step step(spread_state state, const spread_event& event, base::clock::time_point now);

} // namespace daemons
