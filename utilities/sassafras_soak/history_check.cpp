#include <utilities/sassafras_soak/history_check.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace soak {

namespace {

using stand_ins::logged_write;

/// One service's log, by what the checks look up.
class indexed_log {
public:
    explicit indexed_log(const service_log& log) : log_{log} {
        for (std::size_t index = 0; index < log.kept_.size(); ++index) {
            const auto& one = log.kept_[index];
            ++times_kept_[one.id_];
            index_of_value_[one.value_] = index + 1;
        }
        for (const auto& one : log.rolled_back_) {
            rolled_back_[one.id_] = &one;
        }
    }

    [[nodiscard]] std::size_t times_kept(const std::string& id) const {
        const auto found = times_kept_.find(id);
        return found == times_kept_.end() ? 0 : found->second;
    }
    [[nodiscard]] const logged_write* rolled_back(const std::string& id) const {
        const auto found = rolled_back_.find(id);
        return found == rolled_back_.end() ? nullptr : found->second;
    }
    /// Returns the place of a value in the log, counted from 1; 0 for no value, nothing when it is not kept.
    [[nodiscard]] std::optional<std::size_t> place_of(const std::string& value) const {
        if (value == "-") {
            return 0;
        }
        const auto found = index_of_value_.find(value);
        return found == index_of_value_.end() ? std::nullopt : std::optional{found->second};
    }
    [[nodiscard]] bool was_replaced_before(const logged_write& write) const {
        return std::any_of(log_.promotions_.begin(), log_.promotions_.end(), [&write](const auto& one) {
            return one.term_ > write.term_ && one.effective_at_ < write.committed_at_;
        });
    }

private:
    const service_log& log_;
    std::unordered_map<std::string, std::size_t> times_kept_;
    std::unordered_map<std::string, std::size_t> index_of_value_;
    std::unordered_map<std::string, const logged_write*> rolled_back_;
};

void check_write(const write_record& write, const indexed_log& log, std::vector<std::string>& broken) {
    const auto times = log.times_kept(write.id_);
    const auto* rolled_back = log.rolled_back(write.id_);
    const auto name = write.id_ + " of " + write.service_;
    if (times > 1) {
        broken.push_back("write " + name + " took effect " + std::to_string(times) + " times");
    }
    if (write.outcome_ == write_outcome::refused && times > 0) {
        broken.push_back("write " + name + " was refused and is kept");
    }
    if (write.outcome_ != write_outcome::acknowledged || times > 0) {
        return;
    }
    if (rolled_back == nullptr) {
        broken.push_back("write " + name + " was acknowledged and is in no log");
    } else if (log.was_replaced_before(*rolled_back)) {
        broken.push_back("write " + name + " was acknowledged by a primary that had been replaced");
    }
}

void check_read(const read_record& read, const std::vector<const write_record*>& writes_of_key,
                const indexed_log& log, std::vector<std::string>& broken) {
    const auto seen = log.place_of(read.value_);
    if (!seen) {
        // It saw a write that a promotion rolled back later.
        return;
    }
    for (const auto* write : writes_of_key) {
        const bool is_own = read.sees_own_writes_ && write->session_ == read.session_;
        const auto allowed_age = is_own ? base::clock::duration{0} : read.staleness_;
        const bool is_due = write->answered_at_ + allowed_age < read.began_at_;
        const auto place = log.place_of(write->value_);
        if (is_due && place && *place > *seen) {
            broken.push_back("read " + read.id_ + " of " + read.service_ + " saw " + read.value_ +
                             " and not the older " + write->value_);
            return;
        }
    }
}

} // namespace

std::vector<std::string> check_history(const client_history& history,
                                       const std::map<std::string, service_log>& logs) {
    std::vector<std::string> broken = history.mixed_answers_;
    std::map<std::string, indexed_log> indexed;
    for (const auto& [service, log] : logs) {
        indexed.try_emplace(service, log);
    }
    std::map<std::pair<std::string, std::string>, std::vector<const write_record*>> acknowledged;
    for (const auto& write : history.writes_) {
        check_write(write, indexed.at(write.service_), broken);
        if (write.outcome_ == write_outcome::acknowledged) {
            acknowledged[{write.service_, write.key_}].push_back(&write);
        }
    }
    for (const auto& read : history.reads_) {
        const auto found = acknowledged.find({read.service_, read.key_});
        if (found != acknowledged.end()) {
            check_read(read, found->second, indexed.at(read.service_), broken);
        }
    }
    return broken;
}

} // namespace soak
