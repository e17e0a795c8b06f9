#include <backends/database_load.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace backends {

namespace {

bool has_free_slot(const database_load& database) {
    // A primary that also serves reads keeps one slot free for statements that only it can run.
    const auto reserve = database.is_primary_ && database.max_running_ > 1 ? 1U : 0U;
    return database.running_ + reserve < database.max_running_;
}

// A statement goes to a slower database less often, by this power of the ratio of costs. More would let
// daemons with little load follow the scatter of their few observations.
constexpr double cost_exponent = 2;
// A replica that is avoided gets at least one statement in this many, by which it shows its recovery.
constexpr double max_stride = 50;
// A replica in this failure domain gets four of five statements while it is not slower, and no preference
// once it is half again as slow. The others stay in use, or the daemon could not compare them.
constexpr double local_preference = 4;
constexpr double max_local_cost_ratio = 1.5;

/// The order in which databases are considered; the lowest comes first.
struct rank {
    bool is_primary_ = false;
    /// The turn, not later than one stride after the earliest one: a turn that was set while the database was
    /// slower must not delay its return.
    double turn_ = 0;
    /// The turn, postponed by the statements in flight.
    double postponed_turn_ = 0;
    /// Ratio of the cost to that of the least costly replica, at least 1.
    double cost_ratio_ = 1;
    /// How far a statement moves the turn.
    double stride_ = 1;

    [[nodiscard]] bool precedes(const rank& other) const noexcept {
        return std::tuple{is_primary_, postponed_turn_, stride_} <
               std::tuple{other.is_primary_, other.postponed_turn_, other.stride_};
    }
};

double local_factor(double cost_ratio) {
    const auto slower = std::min((cost_ratio - 1) / (max_local_cost_ratio - 1), 1.0);
    return local_preference + (1 - local_preference) * slower;
}

std::vector<rank> rank_databases(const std::vector<database_load>& databases) {
    const auto is_usable_replica = [](const auto& one) {
        return one.is_eligible_ && !one.is_primary_;
    };
    auto lowest_cost = std::numeric_limits<double>::infinity();
    auto earliest_turn = std::numeric_limits<double>::infinity();
    for (const auto& one : databases) {
        if (is_usable_replica(one)) {
            lowest_cost = std::min(lowest_cost, one.cost_);
            earliest_turn = std::min(earliest_turn, one.turn_);
        }
    }
    std::vector<rank> ranks;
    for (const auto& one : databases) {
        rank result{one.is_primary_, one.turn_, one.turn_};
        if (is_usable_replica(one)) {
            result.cost_ratio_ = one.cost_ / lowest_cost;
            result.stride_ = std::min(std::pow(result.cost_ratio_, cost_exponent), max_stride);
            const auto waiting = static_cast<double>(one.running_) * result.stride_;
            if (one.is_same_failure_domain_) {
                result.stride_ /= local_factor(result.cost_ratio_);
            }
            result.turn_ = std::min(one.turn_, earliest_turn + result.stride_);
            result.postponed_turn_ = result.turn_ + waiting;
        }
        ranks.push_back(result);
    }
    return ranks;
}

// Opening a connection occupies a slot of the database for a while. It is worthwhile for a better database
// only if that spares the primary, evens out the load, avoids a much slower database or opens the first
// connection to it.
bool is_worth_a_connection(const database_load& better, const database_load& current) {
    return (current.is_primary_ && !better.is_primary_) || better.running_ < current.running_ ||
           current.cost_ >= better.cost_ * costly_ratio || better.connections_ == 0;
}

} // namespace

placement_choice choose_database(const std::vector<database_load>& databases) {
    const auto ranks = rank_databases(databases);
    placement_choice choice;
    const bool has_eligible_replica = std::any_of(databases.begin(), databases.end(), [](const auto& one) {
        return one.is_eligible_ && !one.is_primary_;
    });
    choice.has_no_candidate_ = true;
    const auto prefer = [&ranks](std::optional<std::size_t>& best, std::size_t index) {
        if (!best || ranks[index].precedes(ranks[*best])) {
            best = index;
        }
    };
    for (std::size_t index = 0; index < databases.size(); ++index) {
        const auto& one = databases[index];
        if (!one.is_eligible_) {
            continue;
        }
        choice.has_no_candidate_ = false;
        const bool is_free =
            one.is_primary_ && !has_eligible_replica ? one.running_ < one.max_running_ : has_free_slot(one);
        if (is_free && one.has_idle_connection_) {
            prefer(choice.run_index_, index);
        } else if (is_free && one.may_open_) {
            prefer(choice.connect_index_, index);
        }
    }
    if (choice.run_index_ && choice.connect_index_) {
        const auto& current = databases[*choice.run_index_];
        const auto& better = databases[*choice.connect_index_];
        if (!ranks[*choice.connect_index_].precedes(ranks[*choice.run_index_]) ||
            !is_worth_a_connection(better, current)) {
            choice.connect_index_.reset();
        }
    }
    return choice;
}

std::vector<double> turns_after(const std::vector<database_load>& databases, std::size_t chosen) {
    const auto ranks = rank_databases(databases);
    const auto current_turn = ranks[chosen].turn_;
    std::vector<double> turns;
    for (std::size_t index = 0; index < databases.size(); ++index) {
        const auto stride = ranks[index].stride_;
        // A database that was not eligible or had no idle connection catches up by one statement at most;
        // more would send it a burst.
        const auto turn = std::clamp(databases[index].turn_, current_turn - stride, current_turn + stride);
        turns.push_back(index == chosen ? current_turn + stride : turn);
    }
    return turns;
}

} // namespace backends
