#pragma once

#include <base/clock.hpp>
#include <daemons/configuration_spread.hpp>
#include <daemons/membership.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sassafras_slopes {

/// What the members know of one another at the start.
enum class first_knowledge : std::uint8_t {
    /// Each knows five seeds, as when a whole fleet starts at once.
    seeds,
    /// Each knows all others, as in a fleet that has run for long.
    everyone,
};

/// Many daemons' membership and configuration decisions in one process with simulated time.
///
/// Datagrams are encoded and decoded as the daemon does it; no socket is involved and none is lost. The way
/// takes 1 ms inside a region and 40 ms between regions. Thread safety: one thread.
class simulated_fleet {
public:
    /// Spreads the members evenly over regions and over 18 failure domains.
    simulated_fleet(std::size_t members, std::size_t regions, first_knowledge knowledge, std::uint64_t seed);

    /// Lets time pass.
    void run(base::clock::duration length);
    /// Lets time pass until `done`, checked every 50 ms, or for `limit`. Returns the seconds that passed.
    double run_until(const std::function<bool()>& done, base::clock::duration limit);

    /// Starts one more member that knows one seed; returns its number.
    std::size_t add();
    void crash(std::size_t number);
    void leave(std::size_t number);
    /// Hands a revision to the two watchers of each region, as the store does.
    void publish(std::uint64_t revision);

    /// Returns whether all running members see this member in this state.
    [[nodiscard]] bool all_see(std::size_t number, daemons::member_state state) const;
    /// Returns whether all running members know `count` members and all of them as live.
    [[nodiscard]] bool all_see_live(std::size_t count) const;
    /// Returns whether all running members take exactly `count` members for dead.
    [[nodiscard]] bool all_count_dead(std::size_t count) const;
    /// Returns whether this revision is in force at all running members.
    [[nodiscard]] bool all_have(std::uint64_t revision) const;

    [[nodiscard]] double datagrams() const noexcept { return static_cast<double>(datagrams_); }
    [[nodiscard]] double datagram_bytes() const noexcept { return static_cast<double>(datagram_bytes_); }
    [[nodiscard]] double fetches() const noexcept { return static_cast<double>(fetches_); }

private:
    struct participant {
        daemons::membership_state membership_;
        daemons::spread_state spread_;
        std::string region_;
        bool runs_ = true;
    };

    void introduce_everyone();
    void start(std::size_t number, const std::vector<std::size_t>& seeds);
    void apply(std::size_t number, const daemons::membership_event& event);
    void apply_spread(std::size_t number, const daemons::spread_event& event);
    void send(std::size_t from, const daemons::outgoing_datagram& message);
    void receive(std::size_t number, const std::string& bytes);
    void tick();
    [[nodiscard]] base::clock::duration way(std::size_t from, std::size_t to) const;

    std::size_t regions_;
    std::mt19937_64 random_;
    base::clock::time_point now_{base::clock::duration{1'000}};
    std::vector<participant> participants_;
    std::multimap<base::clock::time_point, std::function<void()>> due_;
    std::uint64_t datagrams_ = 0;
    std::uint64_t datagram_bytes_ = 0;
    std::uint64_t fetches_ = 0;
};

} // namespace sassafras_slopes
