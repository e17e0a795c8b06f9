#include <backends/admission_queue.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace backends {

namespace {

using base::clock;
using base::error;
using base::error_kind;

/// Limits the credit of a rank that could not be served to what its share produces in this time, so that
/// the rank does not delay the others for longer while it catches up.
constexpr double max_credit_window_ms = 1'000;
/// Estimated duration of a statement of a rank of which no statement has finished yet.
constexpr double default_service_ms = 10;
/// Weight of a new sample in the moving average of the service time.
constexpr double sample_weight = 0.125;
constexpr clock::duration min_retry_after{100};
constexpr clock::duration max_retry_after{30'000};
constexpr clock::duration tick_length{4};
constexpr std::int64_t wheel_size = 1024;

struct entry;
using entry_list = std::list<entry*>;

struct tenant_queue {
    entry_list waiting_;
    std::list<std::string>::iterator round_robin_position_;
};

/// A waiting item with its position in every list, so that it can be removed without a search.
struct entry {
    queue_item item_;
    std::size_t rank_ = 0;
    /// The last time at which the item can be started and still meet its deadline.
    clock::time_point latest_start_;
    std::int64_t tick_ = 0;
    entry_list::iterator in_tenant_;
    entry_list::iterator in_rank_;
    entry_list::iterator in_wheel_;
};

enum class capacity_kind : std::uint8_t { guaranteed, surplus };

struct running_item {
    std::size_t rank_ = 0;
    std::string tenant_;
    clock::time_point started_;
    capacity_kind capacity_ = capacity_kind::surplus;
    /// Slot time charged for this item so far.
    double charged_ms_ = 0;
};

struct rank_state {
    std::string name_;
    /// Fraction of the slots, from 0 to 1. For the most urgent rank: what the least shares of the other ranks
    /// leave.
    double share_ = 0;
    double weight_ = 1;
    std::uint64_t reserved_items_ = 0;
    std::uint64_t reserved_bytes_ = 0;

    std::unordered_map<std::string, tenant_queue> tenants_;
    /// Tenants with waiting items in round-robin order; the front one is served next.
    std::list<std::string> round_robin_;
    /// All waiting items in order of arrival.
    entry_list arrivals_;
    std::uint64_t bytes_ = 0;

    /// Slot time that the rank is entitled to; negative after it has used more.
    double credit_ms_ = 0;
    /// Slot time that the rank received from surplus capacity, divided by its weight.
    double virtual_time_ms_ = 0;
    double service_ms_ = 0;
    std::uint64_t samples_ = 0;
    std::uint64_t running_ = 0;
    std::uint64_t running_surplus_ = 0;

    [[nodiscard]] bool is_waiting() const { return !arrivals_.empty(); }
    [[nodiscard]] double charge_ms() const {
        return samples_ == 0 ? default_service_ms : std::max(service_ms_, 1.0);
    }
    [[nodiscard]] std::uint64_t items_beyond_reserve(std::uint64_t more = 0) const {
        const auto used = arrivals_.size() + more;
        return used > reserved_items_ ? used - reserved_items_ : 0;
    }
    [[nodiscard]] std::uint64_t bytes_beyond_reserve(std::uint64_t more = 0) const {
        const auto used = bytes_ + more;
        return used > reserved_bytes_ ? used - reserved_bytes_ : 0;
    }
};

clock::duration to_duration(double milliseconds) {
    constexpr double max_ms = 1e12;
    return clock::duration{static_cast<std::int64_t>(std::ceil(std::min(milliseconds, max_ms)))};
}

clock::duration clamp_retry_after(clock::duration wait) {
    return std::clamp(wait, min_retry_after, max_retry_after);
}

std::int64_t tick_of(clock::time_point time) {
    return time.time_since_epoch() / tick_length;
}

} // namespace

struct admission_queue::state {
    std::vector<rank_state> ranks_;
    std::unordered_map<std::string, std::uint32_t> tenant_limits_;
    std::uint32_t default_limit_ = operators::tenant_limit{}.most_in_flight_;
    /// Queue capacity that is not reserved for a rank.
    std::uint64_t shared_items_ = 0;
    std::uint64_t shared_bytes_ = 0;

    std::unordered_map<std::uint64_t, std::unique_ptr<entry>> entries_;
    std::unordered_map<std::uint64_t, running_item> running_;
    /// Counted by rank and tenant, so that a tenant's flood of one rank does not block its own requests of
    /// another rank.
    std::map<std::pair<std::size_t, std::string>, std::uint32_t> tenants_in_flight_;
    std::vector<entry_list> wheel_ = std::vector<entry_list>(wheel_size);
    std::optional<std::int64_t> wheel_tick_;
    std::vector<queue_refusal> expired_;
    std::optional<clock::time_point> last_update_;
    double slots_ = 1;
    double virtual_time_ms_ = 0;

    explicit state(const operators::service_declaration& declaration) {
        shared_items_ = declaration->queue_items_;
        shared_bytes_ = declaration->queue_bytes_;
        slots_ = declaration->slots_;
        for (const auto& declared : declaration->ranks_) {
            add_rank(declared, *declaration);
        }
        double others = 0;
        for (std::size_t rank = 1; rank < ranks_.size(); ++rank) {
            others += ranks_[rank].share_;
        }
        ranks_.front().share_ = std::max(0.0, 1.0 - others);
        for (const auto& limit : declaration->tenants_) {
            if (limit.name_ == "default") {
                default_limit_ = limit.most_in_flight_;
            } else {
                tenant_limits_[limit.name_] = limit.most_in_flight_;
            }
        }
    }

    void add_rank(const operators::rank_declaration& declared,
                  const operators::service_declaration_fields& declaration) {
        rank_state rank;
        rank.name_ = declared.name_;
        rank.share_ = declared.least_share_percent_ / 100.0;
        rank.weight_ = std::max<std::uint32_t>(declared.weight_, 1);
        if (declared.least_share_percent_ > 0) {
            const auto part = std::uint64_t{declaration.queue_items_} * declared.least_share_percent_ / 100;
            // With a share that rounds to zero items, a flood of other ranks could keep the rank out of the
            // queue.
            rank.reserved_items_ = std::min(std::max<std::uint64_t>(part, 1), shared_items_);
            rank.reserved_bytes_ =
                std::min(declaration.queue_bytes_ / 100 * declared.least_share_percent_, shared_bytes_);
        }
        shared_items_ -= rank.reserved_items_;
        shared_bytes_ -= rank.reserved_bytes_;
        ranks_.push_back(std::move(rank));
    }

    /// Updates the credit of every rank and the charges of running items to `now`.
    void update_accounting(clock::time_point now) {
        const auto elapsed = now - last_update_.value_or(now);
        last_update_ = std::max(now, last_update_.value_or(now));
        if (elapsed <= clock::duration{0}) {
            return;
        }
        const auto elapsed_ms = static_cast<double>(elapsed.count());
        for (std::size_t index = 0; index < ranks_.size(); ++index) {
            grant_credit(index, elapsed_ms);
        }
        for (auto& [id, item] : running_) {
            const auto used_ms = static_cast<double>((now - item.started_).count());
            if (used_ms > item.charged_ms_) {
                charge(item, used_ms - item.charged_ms_);
            }
        }
    }

    void grant_credit(std::size_t index, double elapsed_ms) {
        auto& rank = ranks_[index];
        const bool earns = index == 0 || rank.is_waiting() || rank.credit_ms_ < 0;
        const double earned = earns ? rank.share_ * slots_ * elapsed_ms : 0;
        const double used = static_cast<double>(rank.running_surplus_) * elapsed_ms;
        // Surplus capacity counts towards the rank's share but never makes its credit negative: otherwise a
        // rank that ran alone for an hour would have to wait just as long for its share afterwards.
        const double lowest = std::min(rank.credit_ms_, 0.0);
        rank.credit_ms_ = std::max(rank.credit_ms_ + earned - used, lowest);
        limit_credit(index);
    }

    void limit_credit(std::size_t index) {
        auto& rank = ranks_[index];
        double window_ms = index == 0 ? static_cast<double>(urgent_burst.count()) : max_credit_window_ms;
        if (index != 0 && !rank.is_waiting()) {
            window_ms = 0;
        }
        rank.credit_ms_ = std::min(rank.credit_ms_, rank.share_ * slots_ * window_ms);
    }

    /// Charges slot time to an item; a negative value is a refund.
    void charge(running_item& item, double milliseconds) {
        auto& rank = ranks_[item.rank_];
        item.charged_ms_ += milliseconds;
        if (item.capacity_ == capacity_kind::guaranteed) {
            rank.credit_ms_ -= milliseconds;
        } else {
            rank.virtual_time_ms_ += milliseconds / rank.weight_;
        }
    }

    [[nodiscard]] std::optional<std::size_t> find_rank(const std::string& name) const {
        const auto found =
            std::find_if(ranks_.begin(), ranks_.end(), [&](const auto& rank) { return rank.name_ == name; });
        return found == ranks_.end() ? std::nullopt
                                     : std::optional{static_cast<std::size_t>(found - ranks_.begin())};
    }

    /// Estimates the time until `ahead` items of a rank and all items served before them have started. This
    /// is the minimum of two estimates: the rank is served from its least share alone, or all items that wait
    /// now are served and no others arrive.
    [[nodiscard]] clock::duration expected_wait(std::size_t index, std::uint64_t ahead) const {
        const auto& rank = ranks_[index];
        const double own_ms = static_cast<double>(ahead) * rank.service_ms_;
        double all_ms = own_ms;
        for (std::size_t other = 0; other < ranks_.size(); ++other) {
            if (other != index) {
                all_ms += static_cast<double>(ranks_[other].arrivals_.size()) * ranks_[other].service_ms_;
            }
        }
        const double slots = std::max(slots_, 1.0);
        double wait_ms = all_ms / slots;
        if (rank.share_ > 0) {
            wait_ms = std::min(wait_ms, own_ms / (rank.share_ * slots));
        }
        return to_duration(wait_ms);
    }

    /// Returns how many waiting items of the rank will start before a new item of this tenant.
    [[nodiscard]] std::uint64_t count_ahead(const rank_state& rank, const std::string& tenant) const {
        const auto found = rank.tenants_.find(tenant);
        const auto own = found == rank.tenants_.end() ? 0 : found->second.waiting_.size();
        return std::min<std::uint64_t>(rank.arrivals_.size(), (own + 1) * rank.round_robin_.size());
    }

    [[nodiscard]] std::uint32_t limit_of(const std::string& tenant) const {
        const auto found = tenant_limits_.find(tenant);
        return found == tenant_limits_.end() ? default_limit_ : found->second;
    }

    [[nodiscard]] static queue_refusal refuse(std::uint64_t id, error_kind kind, std::string message,
                                              clock::duration retry_after) {
        return queue_refusal_fields{
            .id_ = id, .reason_ = error{kind, std::move(message)}, .retry_after_ = retry_after};
    }

    [[nodiscard]] std::optional<queue_refusal> check_tenant(const queue_item& item, std::size_t index,
                                                            clock::duration wait) const {
        const auto in_flight = tenants_in_flight_.find({index, item->tenant_});
        const auto limit = limit_of(item->tenant_);
        if ((in_flight == tenants_in_flight_.end() ? 0 : in_flight->second) < limit) {
            return std::nullopt;
        }
        return refuse(item->id_, error_kind::overloaded,
                      "tenant " + item->tenant_ + " has reached its limit of " + std::to_string(limit) +
                          " requests of rank " + item->rank_ + " in flight",
                      clamp_retry_after(wait));
    }

    struct queue_capacity {
        std::uint64_t items_ = 0;
        std::uint64_t bytes_ = 0;
    };

    /// Returns how much shared capacity must be freed before an item fits.
    [[nodiscard]] queue_capacity find_shortage(std::size_t index, std::uint64_t bytes) const {
        const auto items_beyond_reserve = ranks_[index].items_beyond_reserve(1);
        const auto bytes_beyond_reserve = ranks_[index].bytes_beyond_reserve(bytes);
        queue_capacity used{.items_ = items_beyond_reserve, .bytes_ = bytes_beyond_reserve};
        for (std::size_t other = 0; other < ranks_.size(); ++other) {
            if (other != index) {
                used.items_ += ranks_[other].items_beyond_reserve();
                used.bytes_ += ranks_[other].bytes_beyond_reserve();
            }
        }
        // An item that fits into the rank's own reserve needs no shared capacity.
        return queue_capacity{
            .items_ =
                items_beyond_reserve > 0 && used.items_ > shared_items_ ? used.items_ - shared_items_ : 0,
            .bytes_ =
                bytes_beyond_reserve > 0 && used.bytes_ > shared_bytes_ ? used.bytes_ - shared_bytes_ : 0};
    }

    [[nodiscard]] bool fits_after_displacement(std::size_t index, std::uint64_t bytes) const {
        queue_capacity less_urgent;
        for (std::size_t other = index + 1; other < ranks_.size(); ++other) {
            less_urgent.items_ += ranks_[other].items_beyond_reserve();
            less_urgent.bytes_ += ranks_[other].bytes_beyond_reserve();
        }
        const auto shortage = find_shortage(index, bytes);
        return shortage.items_ <= less_urgent.items_ && shortage.bytes_ <= less_urgent.bytes_;
    }

    /// Removes the newest items of the least urgent ranks until the item fits.
    std::vector<queue_refusal> displace_for(std::size_t index, std::uint64_t bytes) {
        std::vector<queue_refusal> displaced;
        for (std::size_t other = ranks_.size() - 1; other > index; --other) {
            auto& rank = ranks_[other];
            for (auto shortage = find_shortage(index, bytes);
                 (shortage.items_ > 0 && rank.items_beyond_reserve() > 0) ||
                 (shortage.bytes_ > 0 && rank.bytes_beyond_reserve() > 0);
                 shortage = find_shortage(index, bytes)) {
                const auto wait = expected_wait(other, rank.arrivals_.size());
                auto& victim = *rank.arrivals_.back();
                displaced.push_back(refuse(victim.item_->id_, error_kind::overloaded,
                                           "a more urgent request displaced this one of rank " + rank.name_ +
                                               " from the full queue",
                                           clamp_retry_after(wait)));
                discard(victim);
            }
        }
        return displaced;
    }

    void insert(const queue_item& item, std::size_t index, clock::time_point latest_start) {
        auto owned = std::make_unique<entry>();
        auto& added = *owned;
        added.item_ = item;
        added.rank_ = index;
        added.latest_start_ = latest_start;
        added.tick_ = tick_of(latest_start);
        auto& rank = ranks_[index];
        if (!rank.is_waiting()) {
            // An idle rank does not accumulate a claim to surplus capacity.
            rank.virtual_time_ms_ = std::max(rank.virtual_time_ms_, virtual_time_ms_);
        }
        auto [tenant, is_new] = rank.tenants_.try_emplace(item->tenant_);
        if (is_new) {
            tenant->second.round_robin_position_ =
                rank.round_robin_.insert(rank.round_robin_.end(), item->tenant_);
        }
        added.in_tenant_ = tenant->second.waiting_.insert(tenant->second.waiting_.end(), &added);
        added.in_rank_ = rank.arrivals_.insert(rank.arrivals_.end(), &added);
        auto& bucket = wheel_[static_cast<std::size_t>(added.tick_ % wheel_size)];
        added.in_wheel_ = bucket.insert(bucket.end(), &added);
        rank.bytes_ += item->bytes_;
        ++tenants_in_flight_[{index, item->tenant_}];
        entries_.emplace(item->id_, std::move(owned));
    }

    /// Removes a waiting item from all lists.
    std::unique_ptr<entry> remove(entry& removed) {
        auto& rank = ranks_[removed.rank_];
        const auto tenant = rank.tenants_.find(removed.item_->tenant_);
        tenant->second.waiting_.erase(removed.in_tenant_);
        if (tenant->second.waiting_.empty()) {
            rank.round_robin_.erase(tenant->second.round_robin_position_);
            rank.tenants_.erase(tenant);
        }
        rank.arrivals_.erase(removed.in_rank_);
        wheel_[static_cast<std::size_t>(removed.tick_ % wheel_size)].erase(removed.in_wheel_);
        rank.bytes_ -= removed.item_->bytes_;
        auto node = entries_.extract(removed.item_->id_);
        limit_credit(node.mapped()->rank_);
        return std::move(node.mapped());
    }

    void decrement_in_flight(std::size_t rank, const std::string& tenant) {
        const auto found = tenants_in_flight_.find({rank, tenant});
        if (--found->second == 0) {
            tenants_in_flight_.erase(found);
        }
    }

    void discard(entry& removed) {
        const auto owned = remove(removed);
        decrement_in_flight(owned->rank_, owned->item_->tenant_);
    }

    void expire_entry(entry& late) {
        const auto wait = expected_wait(late.rank_, ranks_[late.rank_].arrivals_.size());
        expired_.push_back(refuse(late.item_->id_, error_kind::deadline_expired,
                                  "the request was queued in rank " + ranks_[late.rank_].name_ +
                                      " until its deadline could no longer be met",
                                  clamp_retry_after(wait)));
        discard(late);
    }

    /// Expires the items of all ticks that have passed.
    void advance_wheel(clock::time_point now) {
        const auto present = tick_of(now);
        auto tick = std::max(wheel_tick_.value_or(present), present - wheel_size);
        for (; tick < present; ++tick) {
            auto& bucket = wheel_[static_cast<std::size_t>(tick % wheel_size)];
            for (auto place = bucket.begin(); place != bucket.end();) {
                auto& waiting = **place;
                ++place;
                if (waiting.tick_ < present) {
                    expire_entry(waiting);
                }
            }
        }
        wheel_tick_ = std::max(present, wheel_tick_.value_or(present));
    }

    struct rank_choice {
        std::size_t rank_;
        capacity_kind capacity_;
    };

    [[nodiscard]] std::optional<rank_choice> choose_rank() const {
        const auto& urgent = ranks_.front();
        if (urgent.is_waiting() && urgent.credit_ms_ > 0) {
            return rank_choice{0, capacity_kind::guaranteed};
        }
        if (const auto behind = find_rank_furthest_behind()) {
            return rank_choice{*behind, capacity_kind::guaranteed};
        }
        if (urgent.is_waiting()) {
            return rank_choice{0, capacity_kind::surplus};
        }
        if (const auto next = find_rank_by_weight()) {
            return rank_choice{*next, capacity_kind::surplus};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<std::size_t> find_rank_furthest_behind() const {
        std::optional<std::size_t> best;
        double max_behind = 0;
        for (std::size_t index = 1; index < ranks_.size(); ++index) {
            const auto& rank = ranks_[index];
            if (!rank.is_waiting() || rank.credit_ms_ <= 0) {
                continue;
            }
            const double behind = rank.credit_ms_ / rank.share_;
            if (behind > max_behind) {
                best = index;
                max_behind = behind;
            }
        }
        return best;
    }

    [[nodiscard]] std::optional<std::size_t> find_rank_by_weight() const {
        std::optional<std::size_t> best;
        for (std::size_t index = 1; index < ranks_.size(); ++index) {
            if (ranks_[index].is_waiting() &&
                (!best || ranks_[index].virtual_time_ms_ < ranks_[*best].virtual_time_ms_)) {
                best = index;
            }
        }
        return best;
    }

    /// Starts the oldest item of the next tenant, or expires the item if its deadline can no longer be met.
    std::optional<std::uint64_t> start(rank_choice chosen, clock::time_point now) {
        auto& rank = ranks_[chosen.rank_];
        auto& tenant = rank.tenants_.at(rank.round_robin_.front());
        auto& first = *tenant.waiting_.front();
        if (now > first.latest_start_) {
            expire_entry(first);
            return std::nullopt;
        }
        rank.round_robin_.splice(rank.round_robin_.end(), rank.round_robin_, tenant.round_robin_position_);
        const auto owned = remove(first);
        running_item started{.rank_ = chosen.rank_,
                             .tenant_ = owned->item_->tenant_,
                             .started_ = now,
                             .capacity_ = chosen.capacity_};
        if (chosen.capacity_ == capacity_kind::surplus) {
            virtual_time_ms_ = std::max(virtual_time_ms_, chosen.rank_ == 0 ? 0 : rank.virtual_time_ms_);
            ++rank.running_surplus_;
        }
        ++rank.running_;
        charge(started, rank.charge_ms());
        running_.emplace(owned->item_->id_, std::move(started));
        return owned->item_->id_;
    }
};

admission_queue::admission_queue(const operators::service_declaration& declaration)
    : state_{std::make_unique<state>(declaration)} {}

admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue&&) noexcept = default;
admission_queue& admission_queue::operator=(admission_queue&&) noexcept = default;

offer_result admission_queue::offer(const queue_item& item, clock::time_point now) {
    state_->update_accounting(now);
    state_->advance_wheel(now);
    const auto refused = [&](error_kind kind, std::string message, clock::duration retry_after) {
        return offer_result{offer_result_fields{
            .refused_ = state::refuse(item->id_, kind, std::move(message), retry_after), .displaced_ = {}}};
    };
    const auto index = state_->find_rank(item->rank_);
    if (!index) {
        return refused(error_kind::unknown_rank, "the service declares no rank " + item->rank_,
                       clock::duration{0});
    }
    const auto& rank = state_->ranks_[*index];
    const auto max_bytes = state_->shared_bytes_ + rank.reserved_bytes_;
    if (item->bytes_ > max_bytes) {
        return refused(error_kind::too_large,
                       "the request has " + std::to_string(item->bytes_) +
                           " bytes; the queue accepts at most " + std::to_string(max_bytes) + " for rank " +
                           rank.name_,
                       clock::duration{0});
    }
    if (item->deadline_ <= now) {
        return refused(error_kind::deadline_expired,
                       "the deadline had already passed when the request arrived", clock::duration{0});
    }
    const auto wait = state_->expected_wait(*index, state_->count_ahead(rank, item->tenant_));
    if (auto over_limit = state_->check_tenant(item, *index, wait)) {
        return offer_result_fields{.refused_ = std::move(over_limit), .displaced_ = {}};
    }
    // A rank without queued or running items accepts one item regardless of the estimate. Its duration
    // corrects an estimate that became too high while the database was stalled.
    const bool is_trial = !rank.is_waiting() && rank.running_ == 0;
    const auto service = is_trial ? clock::duration{0} : to_duration(rank.service_ms_);
    if (!is_trial && now + wait + service > item->deadline_) {
        return refused(error_kind::overloaded,
                       "rank " + rank.name_ + " has an estimated wait of " + std::to_string(wait.count()) +
                           " ms, which exceeds the deadline",
                       clamp_retry_after(wait));
    }
    if (!state_->fits_after_displacement(*index, item->bytes_)) {
        return refused(error_kind::overloaded, "the queue is full for rank " + rank.name_,
                       clamp_retry_after(wait));
    }
    auto displaced = state_->displace_for(*index, item->bytes_);
    state_->insert(item, *index, item->deadline_ - service);
    return offer_result_fields{.refused_ = {}, .displaced_ = std::move(displaced)};
}

std::vector<std::uint64_t> admission_queue::next(clock::time_point now, std::uint32_t free_slots) {
    state_->update_accounting(now);
    state_->advance_wheel(now);
    state_->slots_ = static_cast<double>(state_->running_.size() + free_slots);
    std::vector<std::uint64_t> started;
    while (started.size() < free_slots) {
        const auto chosen = state_->choose_rank();
        if (!chosen) {
            break;
        }
        if (const auto id = state_->start(*chosen, now)) {
            started.push_back(*id);
        }
    }
    return started;
}

void admission_queue::finish(std::uint64_t id, clock::time_point now) {
    state_->update_accounting(now);
    const auto found = state_->running_.find(id);
    if (found == state_->running_.end()) {
        return;
    }
    auto& item = found->second;
    auto& rank = state_->ranks_[item.rank_];
    const auto used_ms = static_cast<double>((now - item.started_).count());
    state_->charge(item, used_ms - item.charged_ms_);
    rank.service_ms_ =
        rank.samples_ == 0 ? used_ms : rank.service_ms_ + sample_weight * (used_ms - rank.service_ms_);
    ++rank.samples_;
    --rank.running_;
    if (item.capacity_ == capacity_kind::surplus) {
        --rank.running_surplus_;
    }
    state_->limit_credit(item.rank_);
    state_->decrement_in_flight(item.rank_, item.tenant_);
    state_->running_.erase(found);
}

std::vector<queue_refusal> admission_queue::expire(clock::time_point now) {
    state_->update_accounting(now);
    state_->advance_wheel(now);
    return std::exchange(state_->expired_, {});
}

bool admission_queue::withdraw(std::uint64_t id) {
    const auto found = state_->entries_.find(id);
    if (found == state_->entries_.end()) {
        return false;
    }
    state_->discard(*found->second);
    return true;
}

queue_load admission_queue::load() const {
    queue_load_fields load{
        .queued_ = state_->entries_.size(), .running_ = state_->running_.size(), .bytes_ = 0, .ranks_ = {}};
    for (std::size_t index = 0; index < state_->ranks_.size(); ++index) {
        const auto& rank = state_->ranks_[index];
        load.bytes_ += rank.bytes_;
        load.ranks_.push_back(
            rank_load{.rank_ = rank.name_,
                      .queued_ = rank.arrivals_.size(),
                      .running_ = rank.running_,
                      .expected_wait_ = state_->expected_wait(index, rank.arrivals_.size())});
    }
    return load;
}

} // namespace backends
