#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace soak {

/// What is done to the fleet from outside.
enum class fault_kind : std::uint8_t {
    kill_daemon,
    stop_daemon,
    pause_daemon,
    /// All daemons are stopped one after the other.
    stop_all_in_turn,
    kill_all_daemons,
    crash_primary,
    crash_replica,
    /// A database neither receives from nor hears of the others.
    isolate_primary,
    lag_replicas,
    lose_answers_of_primary,
    /// A primary says that it is about to leave, and leaves.
    primary_leaves,
    store_refuses,
    store_loses_answers,
    store_forgets,
    change_configuration,
    /// Connections of one daemon to the store.
    delay_store_link,
    reset_store_link,
    silence_store_link,
    silence_store_answers,
    /// Connections of all daemons to one database.
    delay_database_link,
    reset_database_link,
    silence_database_link,
    silence_database_answers,
};

inline constexpr std::uint8_t fault_kind_count =
    static_cast<std::uint8_t>(fault_kind::silence_database_answers) + 1;

[[nodiscard]] std::string_view name_of(fault_kind kind) noexcept;

struct scheduled_fault {
    /// Since the start of the traffic.
    base::clock::duration at_{0};
    fault_kind kind_ = fault_kind::kill_daemon;
    /// Chooses among the things that the fault may strike; taken modulo their number.
    std::uint32_t target_ = 0;
    base::clock::duration length_{0};

    friend auto operator<=>(const scheduled_fault&, const scheduled_fault&) = default;
};

/// Returns faults in the order of their times, all over by `length`. They come in series and overlap.
/// Precondition: `length` is several seconds. Thread safety: pure.
[[nodiscard]] std::vector<scheduled_fault> make_schedule(std::uint64_t seed, base::clock::duration length);

/// The store is away for a moment and comes back from an older copy of its contents.
struct store_return {
    /// Since the start of the traffic.
    base::clock::duration at_{0};
    base::clock::duration away_{0};
    /// The age of the copy when the store goes away.
    base::clock::duration age_{0};

    friend auto operator<=>(const store_return&, const store_return&) = default;
};

/// Returns up to three returns of the store in the order of their times, some within a second. They come
/// beside the faults of `make_schedule`, and their numbers are drawn apart from it. Thread safety: pure.
[[nodiscard]] std::vector<store_return> make_store_returns(std::uint64_t seed, base::clock::duration length);

/// The store rejects one daemon for longer than a configuration may take, and serves the others.
struct store_rejection {
    /// Since the start of the traffic.
    base::clock::duration at_{0};
    base::clock::duration length_{0};
    /// Taken modulo the number of daemons.
    std::uint32_t daemon_ = 0;

    friend auto operator<=>(const store_rejection&, const store_rejection&) = default;
};

/// Returns a rejection for half of the seeds. It comes beside the faults of `make_schedule`, and its numbers
/// are drawn apart from them. Thread safety: pure.
[[nodiscard]] std::optional<store_rejection> make_store_rejection(std::uint64_t seed,
                                                                  base::clock::duration length);

/// What a database that is up refuses to do.
enum class database_strain_kind : std::uint8_t { accept_connections, report_status, begin_transactions };

inline constexpr std::uint8_t database_strain_kind_count =
    static_cast<std::uint8_t>(database_strain_kind::begin_transactions) + 1;

/// A database is up, and refuses some of what it is asked.
struct database_strain {
    /// Since the start of the traffic.
    base::clock::duration at_{0};
    base::clock::duration length_{0};
    database_strain_kind kind_ = database_strain_kind::accept_connections;
    /// Chooses the database; taken modulo their number.
    std::uint32_t target_ = 0;

    friend auto operator<=>(const database_strain&, const database_strain&) = default;
};

/// Returns strains in the order of their times. They come beside the faults of `make_schedule`, and their
/// numbers are drawn apart from them. Thread safety: pure.
[[nodiscard]] std::vector<database_strain> make_database_strains(std::uint64_t seed,
                                                                 base::clock::duration length);

/// From a time on, a key belongs to another tenant, or to none.
struct key_change {
    /// Since the start of the traffic.
    base::clock::duration at_{0};
    std::uint32_t key_ = 0;
    /// The number of tenants stands for none.
    std::uint32_t tenant_ = 0;

    friend auto operator<=>(const key_change&, const key_change&) = default;
};

/// Returns changes of keys in the order of their times. They come beside the faults of `make_schedule`, and
/// their numbers are drawn apart from it. Thread safety: pure.
[[nodiscard]] std::vector<key_change> make_key_changes(std::uint64_t seed, base::clock::duration length,
                                                       std::uint32_t keys, std::uint32_t tenants);

} // namespace soak
