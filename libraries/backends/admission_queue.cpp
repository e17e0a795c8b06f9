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

/// A rank that could not be served holds claims for at most this long, so that what it catches up afterwards
/// does not keep the others waiting for longer.
constexpr double longest_claim_ms = 1'000;
/// Charged for a statement of a rank of which none has finished yet.
constexpr double unknown_service_ms = 10;
/// Weight of a new sample in the estimate of the service time.
constexpr double sample_weight = 0.125;
constexpr clock::duration shortest_retry_after{100};
constexpr clock::duration longest_retry_after{30'000};
constexpr clock::duration tick_length{4};
constexpr std::int64_t wheel_size = 1024;

struct entry;
using entry_list = std::list<entry*>;

struct tenant_queue {
    entry_list waiting_;
    std::list<std::string>::iterator turn_;
};

/// A waiting item with its places in all lists, so that it can be removed without a search.
struct entry {
    queue_item item_;
    std::size_t rank_ = 0;
    /// After this time the deadline cannot be met.
    clock::time_point latest_start_;
    std::int64_t tick_ = 0;
    entry_list::iterator in_tenant_;
    entry_list::iterator in_rank_;
    entry_list::iterator in_wheel_;
};

enum class slot_source : std::uint8_t { claimed, unclaimed };

struct running_item {
    std::size_t rank_ = 0;
    std::string tenant_;
    clock::time_point started_;
    slot_source source_ = slot_source::unclaimed;
    /// Slot time in ms already charged for this item.
    double charged_ms_ = 0;
};

struct rank_state {
    std::string name_;
    /// Part of the slots, from 0 to 1. For the most urgent rank: what the other ranks' least shares leave.
    double share_ = 0;
    double weight_ = 1;
    std::uint64_t reserved_items_ = 0;
    std::uint64_t reserved_bytes_ = 0;

    std::unordered_map<std::string, tenant_queue> tenants_;
    /// Tenants with waiting items; the front one is served next.
    std::list<std::string> turns_;
    /// All waiting items, newest last.
    entry_list arrivals_;
    std::uint64_t bytes_ = 0;

    /// Slot time in ms that the rank may claim; negative after it used more.
    double credit_ms_ = 0;
    /// Slot time that the rank got from unclaimed capacity, divided by its weight.
    double virtual_time_ms_ = 0;
    double service_ms_ = 0;
    std::uint64_t samples_ = 0;
    std::uint64_t running_ = 0;
    std::uint64_t running_unclaimed_ = 0;

    [[nodiscard]] bool is_waiting() const { return !arrivals_.empty(); }
    [[nodiscard]] double charge_ms() const {
        return samples_ == 0 ? unknown_service_ms : std::max(service_ms_, 1.0);
    }
    [[nodiscard]] std::uint64_t items_over(std::uint64_t more = 0) const {
        const auto used = arrivals_.size() + more;
        return used > reserved_items_ ? used - reserved_items_ : 0;
    }
    [[nodiscard]] std::uint64_t bytes_over(std::uint64_t more = 0) const {
        const auto used = bytes_ + more;
        return used > reserved_bytes_ ? used - reserved_bytes_ : 0;
    }
};

clock::duration to_duration(double milliseconds) {
    constexpr double longest_ms = 1e12;
    return clock::duration{static_cast<std::int64_t>(std::ceil(std::min(milliseconds, longest_ms)))};
}

clock::duration clamp_retry_after(clock::duration wait) {
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

std::int64_t tick_of(clock::time_point time) {
    return time.time_since_epoch() / tick_length;
}

} // namespace

struct admission_queue::state {
    std::vector<rank_state> ranks_;
    std::unordered_map<std::string, std::uint32_t> tenant_limits_;
    std::uint32_t default_limit_ = operators::tenant_limit{}.most_in_flight_;
    /// Room that no rank has reserved.
    std::uint64_t shared_items_ = 0;
    std::uint64_t shared_bytes_ = 0;

    std::unordered_map<std::uint64_t, std::unique_ptr<entry>> entries_;
    std::unordered_map<std::uint64_t, running_item> running_;
    /// By rank and tenant: a tenant's flood of one rank must not shut out its own work of another.
    std::map<std::pair<std::size_t, std::string>, std::uint32_t> tenants_in_flight_;
    std::vector<entry_list> wheel_ = std::vector<entry_list>(wheel_size);
    std::optional<std::int64_t> wheel_tick_;
    std::vector<queue_refusal> expired_;
    std::optional<clock::time_point> accounted_until_;
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
            // A share that rounds to no place at all would let a flood keep the rank out.
            rank.reserved_items_ = std::min(std::max<std::uint64_t>(part, 1), shared_items_);
            rank.reserved_bytes_ =
                std::min(declaration.queue_bytes_ / 100 * declared.least_share_percent_, shared_bytes_);
        }
        shared_items_ -= rank.reserved_items_;
        shared_bytes_ -= rank.reserved_bytes_;
        ranks_.push_back(std::move(rank));
    }

    /// Brings credits and charges up to `now`.
    void account(clock::time_point now) {
        const auto elapsed = now - accounted_until_.value_or(now);
        accounted_until_ = std::max(now, accounted_until_.value_or(now));
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
        const double used = static_cast<double>(rank.running_unclaimed_) * elapsed_ms;
        // What a rank got without a claim counts towards its share, but never as a debt: otherwise a rank
        // that ran alone for an hour would wait for its share for as long.
        const double lowest = std::min(rank.credit_ms_, 0.0);
        rank.credit_ms_ = std::max(rank.credit_ms_ + earned - used, lowest);
        limit_credit(index);
    }

    void limit_credit(std::size_t index) {
        auto& rank = ranks_[index];
        double longest_ms = index == 0 ? static_cast<double>(urgent_burst.count()) : longest_claim_ms;
        if (index != 0 && !rank.is_waiting()) {
            longest_ms = 0;
        }
        rank.credit_ms_ = std::min(rank.credit_ms_, rank.share_ * slots_ * longest_ms);
    }

    /// Charges slot time to an item; a negative time is given back.
    void charge(running_item& item, double milliseconds) {
        auto& rank = ranks_[item.rank_];
        item.charged_ms_ += milliseconds;
        if (item.source_ == slot_source::claimed) {
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

    /// Estimates the time until `ahead` items of a rank and what goes before them have been started: the
    /// shorter of its least share alone and of everything that waits now without further arrivals.
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

    /// Returns how many waiting items of the rank start before a new one of this tenant.
    [[nodiscard]] std::uint64_t count_ahead(const rank_state& rank, const std::string& tenant) const {
        const auto found = rank.tenants_.find(tenant);
        const auto own = found == rank.tenants_.end() ? 0 : found->second.waiting_.size();
        return std::min<std::uint64_t>(rank.arrivals_.size(), (own + 1) * rank.turns_.size());
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
                      "tenant " + item->tenant_ + " has its limit of " + std::to_string(limit) +
                          " requests of rank " + item->rank_ + " in flight",
                      clamp_retry_after(wait));
    }

    struct room {
        std::uint64_t items_ = 0;
        std::uint64_t bytes_ = 0;
    };

    /// Returns the shared room that must be freed before an item fits.
    [[nodiscard]] room find_shortage(std::size_t index, std::uint64_t bytes) const {
        const auto items_over = ranks_[index].items_over(1);
        const auto bytes_over = ranks_[index].bytes_over(bytes);
        room used{.items_ = items_over, .bytes_ = bytes_over};
        for (std::size_t other = 0; other < ranks_.size(); ++other) {
            if (other != index) {
                used.items_ += ranks_[other].items_over();
                used.bytes_ += ranks_[other].bytes_over();
            }
        }
        // What fits into the rank's own reserve needs no shared room.
        return room{.items_ = items_over > 0 && used.items_ > shared_items_ ? used.items_ - shared_items_ : 0,
                    .bytes_ =
                        bytes_over > 0 && used.bytes_ > shared_bytes_ ? used.bytes_ - shared_bytes_ : 0};
    }

    [[nodiscard]] bool fits_after_displacement(std::size_t index, std::uint64_t bytes) const {
        room less_urgent;
        for (std::size_t other = index + 1; other < ranks_.size(); ++other) {
            less_urgent.items_ += ranks_[other].items_over();
            less_urgent.bytes_ += ranks_[other].bytes_over();
        }
        const auto shortage = find_shortage(index, bytes);
        return shortage.items_ <= less_urgent.items_ && shortage.bytes_ <= less_urgent.bytes_;
    }

    /// Gives up the newest items of the least urgent ranks until the item fits.
    std::vector<queue_refusal> displace_for(std::size_t index, std::uint64_t bytes) {
        std::vector<queue_refusal> displaced;
        for (std::size_t other = ranks_.size() - 1; other > index; --other) {
            auto& rank = ranks_[other];
            for (auto shortage = find_shortage(index, bytes);
                 (shortage.items_ > 0 && rank.items_over() > 0) ||
                 (shortage.bytes_ > 0 && rank.bytes_over() > 0);
                 shortage = find_shortage(index, bytes)) {
                const auto wait = expected_wait(other, rank.arrivals_.size());
                auto& victim = *rank.arrivals_.back();
                displaced.push_back(refuse(victim.item_->id_, error_kind::overloaded,
                                           "a more urgent request took the place of this one of rank " +
                                               rank.name_ + " in the full queue",
                                           clamp_retry_after(wait)));
                give_up(victim);
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
            // A rank that was idle does not collect a right to unclaimed capacity meanwhile.
            rank.virtual_time_ms_ = std::max(rank.virtual_time_ms_, virtual_time_ms_);
        }
        auto [tenant, is_new] = rank.tenants_.try_emplace(item->tenant_);
        if (is_new) {
            tenant->second.turn_ = rank.turns_.insert(rank.turns_.end(), item->tenant_);
        }
        added.in_tenant_ = tenant->second.waiting_.insert(tenant->second.waiting_.end(), &added);
        added.in_rank_ = rank.arrivals_.insert(rank.arrivals_.end(), &added);
        auto& bucket = wheel_[static_cast<std::size_t>(added.tick_ % wheel_size)];
        added.in_wheel_ = bucket.insert(bucket.end(), &added);
        rank.bytes_ += item->bytes_;
        ++tenants_in_flight_[{index, item->tenant_}];
        entries_.emplace(item->id_, std::move(owned));
    }

    /// Takes a waiting item out of all lists.
    std::unique_ptr<entry> remove(entry& removed) {
        auto& rank = ranks_[removed.rank_];
        const auto tenant = rank.tenants_.find(removed.item_->tenant_);
        tenant->second.waiting_.erase(removed.in_tenant_);
        if (tenant->second.waiting_.empty()) {
            rank.turns_.erase(tenant->second.turn_);
            rank.tenants_.erase(tenant);
        }
        rank.arrivals_.erase(removed.in_rank_);
        wheel_[static_cast<std::size_t>(removed.tick_ % wheel_size)].erase(removed.in_wheel_);
        rank.bytes_ -= removed.item_->bytes_;
        auto node = entries_.extract(removed.item_->id_);
        limit_credit(node.mapped()->rank_);
        return std::move(node.mapped());
    }

    void leave(std::size_t rank, const std::string& tenant) {
        const auto found = tenants_in_flight_.find({rank, tenant});
        if (--found->second == 0) {
            tenants_in_flight_.erase(found);
        }
    }

    void give_up(entry& removed) {
        const auto owned = remove(removed);
        leave(owned->rank_, owned->item_->tenant_);
    }

    void expire_entry(entry& late) {
        const auto wait = expected_wait(late.rank_, ranks_[late.rank_].arrivals_.size());
        expired_.push_back(refuse(late.item_->id_, error_kind::deadline_expired,
                                  "the request waited in rank " + ranks_[late.rank_].name_ +
                                      " until its deadline could no longer be met",
                                  clamp_retry_after(wait)));
        give_up(late);
    }

    /// Gives up the items of all ticks that have passed.
    void turn_wheel(clock::time_point now) {
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

    struct choice {
        std::size_t rank_;
        slot_source source_;
    };

    [[nodiscard]] std::optional<choice> choose() const {
        const auto& urgent = ranks_.front();
        if (urgent.is_waiting() && urgent.credit_ms_ > 0) {
            return choice{0, slot_source::claimed};
        }
        if (const auto owed = furthest_behind_share()) {
            return choice{*owed, slot_source::claimed};
        }
        if (urgent.is_waiting()) {
            return choice{0, slot_source::unclaimed};
        }
        if (const auto next = next_by_weight()) {
            return choice{*next, slot_source::unclaimed};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<std::size_t> furthest_behind_share() const {
        std::optional<std::size_t> best;
        double most_behind = 0;
        for (std::size_t index = 1; index < ranks_.size(); ++index) {
            const auto& rank = ranks_[index];
            if (!rank.is_waiting() || rank.credit_ms_ <= 0) {
                continue;
            }
            const double behind = rank.credit_ms_ / rank.share_;
            if (behind > most_behind) {
                best = index;
                most_behind = behind;
            }
        }
        return best;
    }

    [[nodiscard]] std::optional<std::size_t> next_by_weight() const {
        std::optional<std::size_t> best;
        for (std::size_t index = 1; index < ranks_.size(); ++index) {
            if (ranks_[index].is_waiting() &&
                (!best || ranks_[index].virtual_time_ms_ < ranks_[*best].virtual_time_ms_)) {
                best = index;
            }
        }
        return best;
    }

    /// Starts the oldest item of the tenant whose turn it is, or gives it up when it is too late for it.
    std::optional<std::uint64_t> start(choice chosen, clock::time_point now) {
        auto& rank = ranks_[chosen.rank_];
        auto& tenant = rank.tenants_.at(rank.turns_.front());
        auto& first = *tenant.waiting_.front();
        if (now > first.latest_start_) {
            expire_entry(first);
            return std::nullopt;
        }
        rank.turns_.splice(rank.turns_.end(), rank.turns_, tenant.turn_);
        const auto owned = remove(first);
        running_item started{.rank_ = chosen.rank_,
                             .tenant_ = owned->item_->tenant_,
                             .started_ = now,
                             .source_ = chosen.source_};
        if (chosen.source_ == slot_source::unclaimed) {
            virtual_time_ms_ = std::max(virtual_time_ms_, chosen.rank_ == 0 ? 0 : rank.virtual_time_ms_);
            ++rank.running_unclaimed_;
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

queue_offer admission_queue::offer(const queue_item& item, clock::time_point now) {
    state_->account(now);
    state_->turn_wheel(now);
    const auto refused = [&](error_kind kind, std::string message, clock::duration retry_after) {
        return queue_offer{queue_offer_fields{
            .refused_ = state::refuse(item->id_, kind, std::move(message), retry_after), .displaced_ = {}}};
    };
    const auto index = state_->find_rank(item->rank_);
    if (!index) {
        return refused(error_kind::unknown_rank, "the declaration lists no rank " + item->rank_,
                       clock::duration{0});
    }
    const auto& rank = state_->ranks_[*index];
    const auto most_bytes = state_->shared_bytes_ + rank.reserved_bytes_;
    if (item->bytes_ > most_bytes) {
        return refused(error_kind::too_large,
                       "the request has " + std::to_string(item->bytes_) + " bytes and the queue holds " +
                           std::to_string(most_bytes) + " of rank " + rank.name_,
                       clock::duration{0});
    }
    if (item->deadline_ <= now) {
        return refused(error_kind::deadline_expired, "the deadline had passed when the request arrived",
                       clock::duration{0});
    }
    const auto wait = state_->expected_wait(*index, state_->count_ahead(rank, item->tenant_));
    if (auto over_limit = state_->check_tenant(item, *index, wait)) {
        return queue_offer_fields{.refused_ = std::move(over_limit), .displaced_ = {}};
    }
    // With nothing of the rank in the queue or running, one item is let through whatever the estimate says.
    // Its time corrects an estimate that a stall of the database left too high.
    const bool is_trial = !rank.is_waiting() && rank.running_ == 0;
    const auto service = is_trial ? clock::duration{0} : to_duration(rank.service_ms_);
    if (!is_trial && now + wait + service > item->deadline_) {
        return refused(error_kind::overloaded,
                       "rank " + rank.name_ + " has an estimated wait of " + std::to_string(wait.count()) +
                           " ms, which is beyond the deadline",
                       clamp_retry_after(wait));
    }
    if (!state_->fits_after_displacement(*index, item->bytes_)) {
        return refused(error_kind::overloaded, "the queue has no room for rank " + rank.name_,
                       clamp_retry_after(wait));
    }
    auto displaced = state_->displace_for(*index, item->bytes_);
    state_->insert(item, *index, item->deadline_ - service);
    return queue_offer_fields{.refused_ = {}, .displaced_ = std::move(displaced)};
}

std::vector<std::uint64_t> admission_queue::next(clock::time_point now, std::uint32_t free_slots) {
    state_->account(now);
    state_->turn_wheel(now);
    state_->slots_ = static_cast<double>(state_->running_.size() + free_slots);
    std::vector<std::uint64_t> started;
    while (started.size() < free_slots) {
        const auto chosen = state_->choose();
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
    state_->account(now);
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
    if (item.source_ == slot_source::unclaimed) {
        --rank.running_unclaimed_;
    }
    state_->limit_credit(item.rank_);
    state_->leave(item.rank_, item.tenant_);
    state_->running_.erase(found);
}

std::vector<queue_refusal> admission_queue::expire(clock::time_point now) {
    state_->account(now);
    state_->turn_wheel(now);
    return std::exchange(state_->expired_, {});
}

bool admission_queue::withdraw(std::uint64_t id) {
    const auto found = state_->entries_.find(id);
    if (found == state_->entries_.end()) {
        return false;
    }
    state_->give_up(*found->second);
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
