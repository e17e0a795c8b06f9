#include <backends/database_load.hpp>

#include <tuple>

namespace backends {

namespace {

bool has_free_slot(const database_load& database) {
    // A primary that also serves reads keeps one slot free for statements that only it can run.
    const auto reserve = database.is_primary_ && database.max_running_ > 1 ? 1U : 0U;
    return database.running_ + reserve < database.max_running_;
}

// Opening a connection occupies a slot of the database for a while. It is worthwhile for a better database
// only if that spares the primary, evens out the load or opens the first connection to it.
bool is_worth_a_connection(const database_load& better, const database_load& current) {
    return (current.is_primary_ && !better.is_primary_) || better.running_ < current.running_ ||
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
    choice.has_no_candidate_ = true;
    for (std::size_t index = 0; index < databases.size(); ++index) {
        const auto& one = databases[index];
        if (!one.is_eligible_) {
            continue;
        }
        choice.has_no_candidate_ = false;
        const bool is_free =
            one.is_primary_ && !has_eligible_replica ? one.running_ < one.max_running_ : has_free_slot(one);
        if (!is_free) {
            continue;
        }
        if (one.has_idle_connection_ &&
            (!choice.run_index_ || cost_of(one) < cost_of(databases[*choice.run_index_]))) {
            choice.run_index_ = index;
        }
        if (!one.has_idle_connection_ && one.may_open_ &&
            (!choice.connect_index_ || cost_of(one) < cost_of(databases[*choice.connect_index_]))) {
            choice.connect_index_ = index;
        }
    }
    if (choice.run_index_ && choice.connect_index_) {
        const auto& current = databases[*choice.run_index_];
        const auto& better = databases[*choice.connect_index_];
        if (!(cost_of(better) < cost_of(current)) || !is_worth_a_connection(better, current)) {
            choice.connect_index_.reset();
        }
    }
    return choice;
}

} // namespace backends
