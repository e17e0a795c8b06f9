#include <backends/tenant_connections.hpp>

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <utility>

namespace backends {

namespace {

// Short, so that a session that has ended soon leaves its connection to others. In trials with 15 to 120 s,
// shorter ones gave fewer new connections, by up to 5%.
constexpr base::clock::duration activity_decay{20'000};
constexpr base::clock::duration activity_expiry{240'000};
// A tenant whose connection is unused for three times the mean interval between its uses is less active than
// its rate shows, for example after a burst. 5% of all intervals of a steady tenant are longer.
constexpr double max_idle_intervals = 3;
// Connections to the same tenant beyond the first serve only statements that run at the same time. At a
// utilisation of 0.25 or less, at most a quarter of the uses of one connection need the next one.
constexpr double further_connection_share = 0.25;
// The rest is for connections beyond the kept ones and for those of hosts that lost power, which the
// database counts for 3 s: 14 of 70. At 0.85, the connections of all daemons reached 69 of 70.
constexpr double kept_fraction = 0.8;
// Connections that a daemon opens beyond the kept ones and closes after use. One statement in three of 23
// daemons needs one for 150 ms, which is 2 for each database on average.
constexpr std::uint32_t max_extra_connections = 2;
// A session that sends its next statement at once finds the connection still open.
constexpr base::clock::duration extra_idle_time{100};
// The statement for which a connection was opened uses it at the next dispatch unless another database
// served it first.
constexpr base::clock::duration unused_time{100};
// A local replica responds sooner, but the connections to the others must be used as well.
constexpr double local_weight = 3;

double seconds(base::clock::duration length) {
    return std::chrono::duration<double>(length).count();
}

double decayed(double uses, base::clock::duration age) {
    return uses * std::exp(-seconds(age) / seconds(activity_decay));
}

std::uint64_t hash_of(std::uint64_t seed, std::string_view text) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Maps a hash to a number above 0 and below 1.
double unit_fraction(std::uint64_t hash) noexcept {
    constexpr int unused_bits = 11;
    constexpr int used_bits = 53;
    return (static_cast<double>(hash >> unused_bits) + 0.5) * std::ldexp(1.0, -used_bits);
}

bool is_reserved(const idle_tenant_connection& one, base::clock::time_point now) {
    return one.is_unused_ && now - one.idle_since_ < unused_time;
}

/// Returns for each idle connection how often it is expected to be used in a second. Of several connections
/// of a tenant, the one that became idle last is used first.
std::vector<double> expected_uses(const std::vector<idle_tenant_connection>& idle,
                                  const tenant_activity& activity, base::clock::time_point now) {
    std::vector<double> expected;
    for (std::size_t index = 0; index < idle.size(); ++index) {
        const auto& one = idle[index];
        auto rate = activity.rate_of(one.tenant_, now);
        for (std::size_t other = 0; other < idle.size(); ++other) {
            const bool is_used_before =
                idle[other].tenant_ == one.tenant_ &&
                std::pair{idle[other].idle_since_, other} > std::pair{one.idle_since_, index};
            rate *= is_used_before ? further_connection_share : 1;
        }
        const auto idle_seconds = std::max(seconds(now - one.idle_since_), 0.001);
        expected.push_back(std::min(rate, max_idle_intervals / idle_seconds));
    }
    return expected;
}

/// Returns the choice if only the databases that `may_connect` selects may get a new connection.
template <typename Predicate>
placement_choice choose_with(const std::vector<tenant_candidate>& candidates, Predicate may_connect) {
    std::vector<database_load> loads;
    for (const auto& one : candidates) {
        loads.push_back(one.load_);
        loads.back().may_open_ = one.load_.may_open_ && may_connect(one);
    }
    return choose_database(loads);
}

/// Returns the replica with the greatest affinity among those that are neither busier than another one by
/// more than one statement nor much slower.
const tenant_candidate* preferred_replica(const std::vector<tenant_candidate>& candidates) {
    const auto may_serve = [](const auto& one) {
        return one.load_.is_eligible_ && !one.load_.is_primary_;
    };
    auto least_running = std::numeric_limits<std::uint32_t>::max();
    auto lowest_cost = std::numeric_limits<double>::infinity();
    for (const auto& one : candidates) {
        least_running = may_serve(one) ? std::min(least_running, one.load_.running_) : least_running;
        lowest_cost = may_serve(one) ? std::min(lowest_cost, one.load_.cost_) : lowest_cost;
    }
    const tenant_candidate* preferred = nullptr;
    for (const auto& one : candidates) {
        if (may_serve(one) && one.load_.running_ <= least_running + 1 &&
            one.load_.cost_ < lowest_cost * costly_ratio &&
            (preferred == nullptr || one.affinity_ > preferred->affinity_)) {
            preferred = &one;
        }
    }
    return preferred;
}

} // namespace

tenant_activity tenant_activity::record_use(tenant_activity before, std::string_view tenant,
                                            base::clock::time_point now) {
    auto& entries = before.entries_;
    const auto position = std::ranges::lower_bound(entries, tenant, {}, &entry::tenant_);
    if (position == entries.end() || position->tenant_ != tenant) {
        entries.insert(position, entry{std::string{tenant}, 1, now});
        return before;
    }
    position->uses_ = decayed(position->uses_, now - position->last_use_) + 1;
    position->last_use_ = now;
    return before;
}

tenant_activity tenant_activity::add_uses(tenant_activity before, const tenant_activity& other,
                                          std::string_view tenant) {
    const auto source = std::ranges::lower_bound(other.entries_, tenant, {}, &entry::tenant_);
    if (source == other.entries_.end() || source->tenant_ != tenant) {
        return before;
    }
    auto& entries = before.entries_;
    const auto position = std::ranges::lower_bound(entries, tenant, {}, &entry::tenant_);
    if (position == entries.end() || position->tenant_ != tenant) {
        entries.insert(position, *source);
        return before;
    }
    const auto last = std::max(position->last_use_, source->last_use_);
    position->uses_ = decayed(position->uses_, last - position->last_use_) +
                      decayed(source->uses_, last - source->last_use_);
    position->last_use_ = last;
    return before;
}

tenant_activity tenant_activity::remove(tenant_activity before, std::string_view tenant) {
    std::erase_if(before.entries_, [tenant](const auto& one) { return one.tenant_ == tenant; });
    return before;
}

tenant_activity tenant_activity::remove_expired(tenant_activity before, base::clock::time_point now) {
    std::erase_if(before.entries_, [now](const auto& one) { return now - one.last_use_ > activity_expiry; });
    return before;
}

double tenant_activity::rate_of(std::string_view tenant, base::clock::time_point now) const noexcept {
    const auto found = std::ranges::lower_bound(entries_, tenant, {}, &entry::tenant_);
    if (found == entries_.end() || found->tenant_ != tenant) {
        return 0;
    }
    return decayed(found->uses_, now - found->last_use_) / seconds(activity_decay);
}

std::uint32_t kept_connections(std::uint32_t max_connections, std::uint32_t daemons, std::uint64_t seed,
                               std::string_view database) noexcept {
    const auto mean = kept_fraction * max_connections / std::max(daemons, 1U);
    const auto whole = std::floor(mean);
    const bool has_one_more = unit_fraction(hash_of(seed, database)) < mean - whole;
    return std::max(static_cast<std::uint32_t>(whole) + (has_one_more ? 1U : 0U), 1U);
}

double tenant_affinity(std::uint64_t seed, std::string_view tenant, std::string_view database,
                       bool is_same_failure_domain) noexcept {
    const auto fraction = unit_fraction(hash_of(hash_of(seed, tenant), database));
    return -(is_same_failure_domain ? local_weight : 1.0) / std::log(fraction);
}

bool keeps_connection(const tenant_connection_state& state, const tenant_activity& activity, double rate,
                      base::clock::time_point now) {
    if (state.open_ < state.kept_) {
        return true;
    }
    const auto expected = expected_uses(state.idle_, activity, now);
    return std::ranges::any_of(expected, [rate](double other) { return other < rate; });
}

tenant_opening decide_opening(const tenant_connection_state& state, const connection_share& share,
                              std::string_view tenant, std::uint32_t opening, connection_pressure pressure,
                              base::clock::time_point now) {
    if (opening > 0) {
        return tenant_opening::wait;
    }
    const bool may_exceed_share = share.may_open(state.open_, connection_pressure::waiting, now);
    if (share.may_open(state.open_, connection_pressure::none, now) ||
        (may_exceed_share && state.open_ < state.kept_ + max_extra_connections)) {
        return tenant_opening::open;
    }
    const bool has_replaceable = std::ranges::any_of(state.idle_, [tenant, now](const auto& one) {
        return one.tenant_ != tenant && !is_reserved(one, now);
    });
    if (has_replaceable) {
        return tenant_opening::replace;
    }
    return may_exceed_share && pressure == connection_pressure::waiting ? tenant_opening::open
                                                                        : tenant_opening::wait;
}

std::optional<std::size_t> find_replaceable(const tenant_connection_state& state,
                                            const tenant_activity& activity, std::string_view tenant,
                                            base::clock::time_point now) {
    const auto expected = expected_uses(state.idle_, activity, now);
    std::optional<std::size_t> least;
    for (std::size_t index = 0; index < state.idle_.size(); ++index) {
        const auto& one = state.idle_[index];
        if (one.tenant_ != tenant && !is_reserved(one, now) &&
            (!least || std::pair{expected[index], one.idle_since_} <
                           std::pair{expected[*least], state.idle_[*least].idle_since_})) {
            least = index;
        }
    }
    return least;
}

std::vector<std::size_t> connections_to_close(const tenant_connection_state& state,
                                              const connection_share& share, const tenant_activity& activity,
                                              base::clock::time_point now) {
    const auto expected = expected_uses(state.idle_, activity, now);
    std::vector<std::size_t> order(state.idle_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, {}, [&expected](std::size_t index) { return expected[index]; });
    const auto kept =
        share.is_limited(now) ? share.equal_share() : std::max(state.kept_, share.equal_share());
    auto excess = state.open_ > kept ? state.open_ - kept : 0;
    std::vector<std::size_t> closed;
    for (const auto index : order) {
        const auto& one = state.idle_[index];
        const auto idle_for = now - one.idle_since_;
        // A connection without a tenant was opened to find out whether the database responds.
        const bool is_excess = excess > 0 || one.tenant_.empty();
        excess -= excess > 0 ? 1 : 0;
        if (idle_for > share.max_idle(now) || (is_excess && idle_for >= extra_idle_time)) {
            closed.push_back(index);
        }
    }
    std::ranges::sort(closed, std::greater<>{});
    return closed;
}

placement_choice choose_tenant_database(const std::vector<tenant_candidate>& candidates, std::size_t waiting,
                                        connection_pressure pressure) {
    std::size_t opening = 0;
    bool is_in_use = false;
    for (const auto& one : candidates) {
        opening += one.load_.is_eligible_ ? one.opening_ : 0;
        is_in_use = is_in_use || (one.load_.is_eligible_ && one.is_in_use_);
    }
    // Most statements end within the time that opening a connection takes (12 ms) and free theirs.
    if (opening >= waiting || (is_in_use && pressure == connection_pressure::none)) {
        return choose_with(candidates, [](const auto&) { return false; });
    }
    const auto* preferred = preferred_replica(candidates);
    const auto is_kept = [preferred](const auto& one) {
        // A read that finds no connection at a replica must not take the primary's from those that need it.
        return one.keeps_connection_ && (preferred == nullptr || !one.load_.is_primary_);
    };
    const auto is_found = [](const auto& one) {
        return one.run_index_ || one.connect_index_;
    };
    auto choice = choose_with(candidates, [&](const auto& one) { return &one == preferred && is_kept(one); });
    if (!is_found(choice)) {
        choice = choose_with(candidates, is_kept);
    }
    if (!is_found(choice)) {
        choice = choose_with(candidates, [&](const auto& one) { return &one == preferred; });
    }
    if (!is_found(choice)) {
        choice = choose_with(candidates, [](const auto&) { return true; });
    }
    if (choice.run_index_ && choice.connect_index_) {
        const auto& current = candidates[*choice.run_index_].load_;
        const auto& better = candidates[*choice.connect_index_].load_;
        const bool is_slow = current.cost_ >= better.cost_ * costly_ratio;
        if (!current.is_primary_ && !is_slow && current.running_ <= better.running_ + 1) {
            choice.connect_index_.reset();
        }
    }
    return choice;
}

} // namespace backends
