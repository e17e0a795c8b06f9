#include <utilities/sassafras_soak/fault_schedule.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace soak {

namespace {

constexpr std::array<std::string_view, fault_kind_count> names{"kill_daemon",
                                                               "stop_daemon",
                                                               "pause_daemon",
                                                               "stop_all_in_turn",
                                                               "kill_all_daemons",
                                                               "crash_primary",
                                                               "crash_replica",
                                                               "isolate_primary",
                                                               "lag_replicas",
                                                               "lose_answers",
                                                               "primary_leaves",
                                                               "store_refuses",
                                                               "store_loses_answers",
                                                               "store_forgets",
                                                               "change_configuration",
                                                               "delay_store_link",
                                                               "reset_store_link",
                                                               "silence_store_link",
                                                               "silence_store_answers",
                                                               "delay_database_link",
                                                               "reset_database_link",
                                                               "silence_database_link",
                                                               "silence_database_answers"};

constexpr base::clock::rep shortest_fault_ms = 300;
constexpr base::clock::rep longest_fault_ms = 4'500;
constexpr base::clock::rep longest_gap_ms = 1'800;
// Faults of one series follow within this time, so that they overlap.
constexpr base::clock::rep longest_gap_in_series_ms = 250;
constexpr std::uint64_t most_in_series = 4;
constexpr base::clock::rep shortest_key_gap_ms = 50;
constexpr base::clock::rep longest_key_gap_ms = 1'500;

constexpr std::uint64_t most_returns = 3;
constexpr base::clock::rep longest_away_ms = 1'500;
constexpr base::clock::rep longest_copy_age_ms = 8'000;
constexpr base::clock::rep longest_short_gap_of_returns_ms = 1'000;
constexpr base::clock::rep longest_gap_of_returns_ms = 6'000;
// Draws the returns apart from the faults of the same seed.
constexpr std::uint64_t numbers_of_returns = 0x9E3779B97F4A7C15;
constexpr std::uint64_t numbers_of_rejections = 0xD1B54A32D192ED03;
constexpr std::uint64_t numbers_of_strains = 0x8CB92BA72F3D8DD7;

class random_numbers {
public:
    explicit random_numbers(std::uint64_t seed) : engine_{seed} {}
    /// Returns a number below `bound`.
    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    base::clock::duration between(base::clock::rep least, base::clock::rep most) {
        const auto width = static_cast<std::uint64_t>(most - least + 1);
        return base::clock::duration{least + static_cast<base::clock::rep>(below(width))};
    }

private:
    std::mt19937_64 engine_;
};

} // namespace

std::string_view name_of(fault_kind kind) noexcept {
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<scheduled_fault> make_schedule(std::uint64_t seed, base::clock::duration length) {
    random_numbers random{seed};
    std::vector<scheduled_fault> schedule;
    auto at = random.between(0, longest_gap_ms);
    while (at + base::clock::duration{shortest_fault_ms} < length) {
        const auto count = 1 + random.below(most_in_series);
        for (std::uint64_t number = 0; number < count; ++number) {
            scheduled_fault fault;
            fault.at_ = at;
            fault.kind_ = static_cast<fault_kind>(random.below(fault_kind_count));
            fault.target_ = static_cast<std::uint32_t>(random.below(1'000));
            fault.length_ = std::min(random.between(shortest_fault_ms, longest_fault_ms), length - at);
            schedule.push_back(fault);
            at += random.between(0, longest_gap_in_series_ms);
            if (at >= length) {
                return schedule;
            }
        }
        at += random.between(0, longest_gap_ms);
    }
    return schedule;
}

std::vector<store_return> make_store_returns(std::uint64_t seed, base::clock::duration length) {
    random_numbers random{seed ^ numbers_of_returns};
    std::vector<store_return> returns;
    const auto count = random.below(most_returns + 1);
    auto at = random.between(0, length.count() / 2);
    for (std::uint64_t number = 0; number < count; ++number) {
        store_return one;
        one.at_ = at;
        one.away_ = random.between(0, longest_away_ms);
        one.age_ = random.between(0, longest_copy_age_ms);
        if (at + one.away_ >= length) {
            break;
        }
        returns.push_back(one);
        const auto longest_gap =
            random.below(2) == 0 ? longest_short_gap_of_returns_ms : longest_gap_of_returns_ms;
        at += one.away_ + random.between(0, longest_gap);
    }
    return returns;
}

std::vector<database_strain> make_database_strains(std::uint64_t seed, base::clock::duration length) {
    random_numbers random{seed ^ numbers_of_strains};
    std::vector<database_strain> strains;
    auto at = random.between(0, longest_gap_ms);
    while (at + base::clock::duration{shortest_fault_ms} < length) {
        database_strain one;
        one.at_ = at;
        one.length_ = std::min(random.between(shortest_fault_ms, longest_fault_ms), length - at);
        one.kind_ = static_cast<database_strain_kind>(random.below(database_strain_kind_count));
        one.target_ = static_cast<std::uint32_t>(random.below(1'000));
        strains.push_back(one);
        at += random.between(0, 2 * longest_gap_ms);
    }
    return strains;
}

std::optional<store_rejection> make_store_rejection(std::uint64_t seed, base::clock::duration length) {
    random_numbers random{seed ^ numbers_of_rejections};
    if (random.below(2) == 0) {
        return std::nullopt;
    }
    const auto eighth = length / 8;
    return store_rejection{eighth, 6 * eighth, static_cast<std::uint32_t>(random.below(UINT32_MAX))};
}

std::vector<key_change> make_key_changes(std::uint64_t seed, base::clock::duration length, std::uint32_t keys,
                                         std::uint32_t tenants) {
    random_numbers random{~seed};
    std::vector<key_change> changes;
    auto at = random.between(shortest_key_gap_ms, longest_key_gap_ms);
    while (keys > 0 && at < length) {
        const auto key = static_cast<std::uint32_t>(random.below(keys));
        changes.push_back({at, key, static_cast<std::uint32_t>(random.below(tenants + 1))});
        at += random.between(shortest_key_gap_ms, longest_key_gap_ms);
    }
    return changes;
}

} // namespace soak
