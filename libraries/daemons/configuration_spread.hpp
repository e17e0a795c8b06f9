#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Decides when and from whom a daemon fetches the configuration. Pure: state, event and time in, new state
/// and action out.
namespace daemons {

/// How far a daemon is after its start.
enum class spread_phase : std::uint8_t {
    /// It asks peers first and serves no requests yet.
    asking_peers,
    /// No peer had a configuration; the store has to be asked.
    asking_store,
    /// It has a configuration, or knows that there is none yet.
    ready,
};

/// A peer and the revision that it has announced.
struct revision_source {
    base::endpoint peer_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const revision_source&, const revision_source&) = default;
};

/// What one daemon knows of revisions. Changed only by `step`.
struct spread_state {
    spread_phase phase_ = spread_phase::asking_peers;
    /// The revision in force; never falls.
    std::uint64_t revision_ = 0;
    /// Peers that announced more than `revision_`, the latest announcement last.
    std::vector<revision_source> sources_;
    /// Peers still to ask at the start.
    std::vector<base::endpoint> unasked_;
    std::optional<base::endpoint> fetching_;
    base::clock::time_point next_fetch_{};

    friend auto operator<=>(const spread_state&, const spread_state&) = default;
};

/// The daemon starts; `peers_` are asked in this order, at most `most_first_peers` of them.
struct spread_started {
    std::vector<base::endpoint> peers_;
};
/// A peer announced its revision.
struct revision_announced {
    revision_source source_;
};
/// A fetch ended with a configuration of this revision whose content could be read.
struct fetch_succeeded {
    std::uint64_t revision_ = 0;
};
/// A fetch ended without one.
struct fetch_failed {};
/// The store answered this daemon with a configuration, or with revision 0 that there is none.
struct store_responded {
    std::uint64_t revision_ = 0;
};
/// Time has passed.
struct spread_time_passed {};

using spread_event = std::variant<spread_started, revision_announced, fetch_succeeded, fetch_failed,
                                  store_responded, spread_time_passed>;

/// What one step brings.
struct spread_step {
    spread_state state_;
    /// A peer to fetch from now.
    std::optional<base::endpoint> fetch_;
    /// Whether the configuration of this event is to be put into force.
    enum class verdict : std::uint8_t { none, accept } verdict_ = verdict::none;
};

/// Peers that a restarted daemon asks before it turns to the store.
inline constexpr std::size_t most_first_peers = 3;
/// Peers with a higher revision that are remembered.
inline constexpr std::size_t most_sources = 4;
/// Least time between two fetches, so that a burst of revisions is fetched as one.
inline constexpr base::clock::duration fetch_pause{1'000};

/// Takes one event. Accepts a revision only when it is higher than the one in force.
[[nodiscard]] spread_step step(spread_state state, const spread_event& event, base::clock::time_point now);

} // namespace daemons
