#include <backends/database_load.hpp>

#include <tuple>

namespace backends {

namespace {

bool has_free_slot(const database_load& database) {
    // A primary that helps out with reads keeps one slot for the work that only it can do.
    const auto reserve = database.is_primary_ && database.max_running_ > 1 ? 1U : 0U;
    return database.running_ + reserve < database.max_running_;
}

// A connection costs the database a slot for a while, so a better place is worth one only if it spares the
// primary, or evens out the load, or has none yet.
bool is_worth_a_connection(const database_load& better, const database_load& at_hand) {
    return (at_hand.is_primary_ && !better.is_primary_) || better.running_ < at_hand.running_ ||
           better.connections_ == 0;
}

auto cost_of(const database_load& database) {
    return std::tuple{database.is_primary_, database.running_, !database.is_same_failure_domain_};
}

} // namespace

placement_choice choose_database(const std::vector<database_load>& databases) {
    placement_choice choice;
    bool has_eligible_replica = false;
    for (const auto& one : databases) {
        has_eligible_replica = has_eligible_replica || (one.is_eligible_ && !one.is_primary_);
    }
    choice.has_none_ = true;
    for (std::size_t index = 0; index < databases.size(); ++index) {
        const auto& one = databases[index];
        if (!one.is_eligible_) {
            continue;
        }
        choice.has_none_ = false;
        const bool is_free =
            one.is_primary_ && !has_eligible_replica ? one.running_ < one.max_running_ : has_free_slot(one);
        if (!is_free) {
            continue;
        }
        if (one.has_idle_connection_ &&
            (!choice.run_at_ || cost_of(one) < cost_of(databases[*choice.run_at_]))) {
            choice.run_at_ = index;
        }
        if (!one.has_idle_connection_ && one.may_open_ &&
            (!choice.open_at_ || cost_of(one) < cost_of(databases[*choice.open_at_]))) {
            choice.open_at_ = index;
        }
    }
    if (choice.run_at_ && choice.open_at_) {
        const auto& at_hand = databases[*choice.run_at_];
        const auto& better = databases[*choice.open_at_];
        if (!(cost_of(better) < cost_of(at_hand)) || !is_worth_a_connection(better, at_hand)) {
            choice.open_at_.reset();
        }
    }
    return choice;
}

} // namespace backends
