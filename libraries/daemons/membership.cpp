#include <daemons/membership.hpp>

#include <daemons/rendezvous.hpp>

#include <algorithm>
#include <bit>
#include <iterator>

namespace daemons {

namespace {

using time_point = base::clock::time_point;

// Ping requests beyond this many pending relays are ignored, which bounds the cost of requests from other
// members.
constexpr std::size_t max_relays = 64;
// An update is sent this many times the logarithm of the fleet's size, which reaches all members with high
// probability.
constexpr std::uint32_t transmission_factor = 2;
// A tick more than this many periods after the last one means that this process was paused, so missing
// acknowledgements say nothing about other members.
constexpr int pause_threshold_periods = 2;

/// Whether an update arrived by gossip or as part of a member list.
enum class update_source : std::uint8_t { gossip, list };

/// Applies one event to a state and collects the resulting datagrams and changes.
class stepper {
public:
    stepper(membership_state state, time_point now, std::uint64_t entropy)
        : state_{std::move(state)}, now_{now}, random_{static_cast<std::minstd_rand::result_type>(entropy)} {}

    membership_step finish() && { return {std::move(state_), std::move(messages_), std::move(changes_)}; }

    void operator()(const time_passed& /*event*/) {
        compensate_for_pause();
        expire();
        request_indirect_probes();
        if (now_ >= state_.next_period_) {
            evaluate_probe();
            start_probe();
            join_seeds();
            // Periods skipped during a pause are not caught up: a shortened period would evaluate its probe
            // too early.
            state_.next_period_ += state_.settings_.period_;
            if (state_.next_period_ <= now_) {
                state_.next_period_ = now_ + state_.settings_.period_;
            }
        }
        if (now_ >= state_.next_exchange_) {
            request_list_from_random_member();
            state_.next_exchange_ = now_ + jittered(state_.settings_.list_exchange_interval_);
        }
        if (now_ >= state_.next_heal_) {
            ping_seed_or_dead_member();
            state_.next_heal_ = now_ + jittered(state_.settings_.heal_interval_);
        }
    }

    void operator()(const datagram_received& event) {
        const auto& message = *event.message_;
        const auto& sender = message.sender_;
        if (sender->name_ == state_.self_) {
            return;
        }
        merge(sender, update_source::gossip);
        const auto source =
            message.kind_ == datagram_kind::list_response ? update_source::list : update_source::gossip;
        for (const auto& update : message.updates_) {
            merge(update, source);
        }
        switch (message.kind_) {
        case datagram_kind::ping:
            send_ack(sender->address_, sender->name_, message.sequence_, state_.self_);
            break;
        case datagram_kind::ack:
            handle_ack(message);
            break;
        case datagram_kind::ping_request:
            relay_ping(message);
            break;
        case datagram_kind::list_request:
            respond_to_list_request(message);
            break;
        case datagram_kind::list_response:
            apply_list_response(message);
            break;
        }
        if (!state_.list_complete_ && state_.list_cursor_.empty() && message.kind_ == datagram_kind::ack) {
            request_list(sender);
        }
    }

    void operator()(const leave_requested& /*event*/) {
        auto& self = state_.members_.at(state_.self_);
        if (self.member_->state_ == member_state::leaving) {
            return;
        }
        set_member(self,
                   self.member_.with([](member_fields& fields) { fields.state_ = member_state::leaving; }));
        // Pings some members at once, so that they stop sending work before they are next probed.
        for (const auto& name : pick_members(state_.settings_.indirect_probes_, state_.self_)) {
            send_ping(name);
        }
    }

    void operator()(const seeds_changed& event) { state_.settings_.seeds_ = event.seeds_; }

    void operator()(const revision_changed& event) {
        auto& self = state_.members_.at(state_.self_);
        self.member_ = self.member_.with(
            [&event](member_fields& fields) { fields.configuration_revision_ = event.revision_; });
    }

private:
    const member& self() const { return state_.members_.at(state_.self_).member_; }

    std::size_t draw(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
    }

    // Returns between three and five quarters of `period`, so that daemons that started together do not stay
    // synchronized.
    base::clock::duration jittered(base::clock::duration period) {
        const auto quarter = std::max<std::int64_t>(period.count() / 4, 1);
        return base::clock::duration{3 * quarter +
                                     static_cast<std::int64_t>(draw(static_cast<std::size_t>(2 * quarter)))};
    }

    // --- member records ---

    void set_member(known_member& known, member update) {
        const auto before =
            known.member_->name_.empty() ? std::nullopt : std::optional{known.member_->state_};
        const auto& name = update->name_;
        state_.suspects_.erase(name);
        state_.dead_.erase(name);
        if (update->state_ == member_state::suspect) {
            state_.suspects_.insert(name);
        }
        if (update->state_ == member_state::dead) {
            state_.dead_.insert(name);
        }
        if (before != update->state_) {
            known.since_ = now_;
            changes_.push_back({before, update});
        }
        known.member_ = std::move(update);
        ++state_.list_version_;
        queue_update(known);
    }

    void queue_update(known_member& known) {
        const auto& name = known.member_->name_;
        if (known.times_sent_) {
            state_.pending_updates_.erase({*known.times_sent_, name});
        }
        known.times_sent_ = 0;
        state_.pending_updates_.insert({0, name});
    }

    void merge(const member& update, update_source source) {
        if (update->name_ == state_.self_) {
            refute(update);
            return;
        }
        const auto found = state_.members_.find(update->name_);
        if (found == state_.members_.end()) {
            // A list that still contains a dead member must not restore it where it was already removed;
            // otherwise dead members would circulate forever.
            if (update->state_ != member_state::dead || source == update_source::gossip) {
                set_member(state_.members_[update->name_], update);
                add_to_probe_order(update->name_);
            }
            return;
        }
        auto& known = found->second;
        if (overrides(update, known.member_)) {
            const bool returns = known.member_->state_ == member_state::dead;
            set_member(known, update);
            if (returns) {
                add_to_probe_order(update->name_);
            }
        } else if (!overrides(known.member_, update) &&
                   update->configuration_revision_ > known.member_->configuration_revision_) {
            known.member_ = known.member_.with([&update](member_fields& fields) {
                fields.configuration_revision_ = update->configuration_revision_;
            });
        }
    }

    void refute(const member& update) {
        auto& known = state_.members_.at(state_.self_);
        if (overrides(update, known.member_)) {
            set_member(known, known.member_.with([&update](member_fields& fields) {
                fields.incarnation_ = update->incarnation_ + 1;
            }));
            changes_.push_back({update->state_, known.member_});
        }
    }

    void set_member_state(const std::string& name, member_state state) {
        auto& known = state_.members_.at(name);
        set_member(known, known.member_.with([state](member_fields& fields) { fields.state_ = state; }));
    }

    void add_to_probe_order(const std::string& name) {
        auto& order = state_.probe_order_;
        if (std::find(order.begin(), order.end(), name) != order.end()) {
            return;
        }
        order.push_back(name);
        // A random position among the remaining names avoids that all members probe a group of new members at
        // the same time.
        const auto first = std::min(state_.next_probe_, order.size() - 1);
        std::swap(order[first + draw(order.size() - first)], order.back());
    }

    // --- timers ---

    void compensate_for_pause() {
        const auto gap = now_ - state_.last_tick_;
        state_.last_tick_ = now_;
        if (gap <= pause_threshold_periods * state_.settings_.period_) {
            return;
        }
        state_.probe_.reset();
        for (const auto& name : state_.suspects_) {
            state_.members_.at(name).since_ += gap;
        }
    }

    void expire() {
        std::vector<std::string> expired;
        std::copy_if(
            state_.suspects_.begin(), state_.suspects_.end(), std::back_inserter(expired),
            [this](const auto& name) { return is_older(name, state_.settings_.suspicion_timeout_); });
        for (const auto& name : expired) {
            set_member_state(name, member_state::dead);
        }
        std::erase_if(state_.relays_, [this](const auto& entry) { return entry.second.expires_ <= now_; });
        std::erase_if(state_.dead_, [this](const auto& name) {
            if (!is_older(name, state_.settings_.dead_retention_)) {
                return false;
            }
            forget(name);
            return true;
        });
    }

    bool is_older(const std::string& name, base::clock::duration age) const {
        return now_ - state_.members_.at(name).since_ >= age;
    }

    void forget(const std::string& name) {
        const auto found = state_.members_.find(name);
        if (found->second.times_sent_) {
            state_.pending_updates_.erase({*found->second.times_sent_, name});
        }
        state_.members_.erase(found);
        std::erase(state_.probe_order_, name);
        ++state_.list_version_;
    }

    // --- probes ---

    void start_probe() {
        // With random targets alone some members wait several periods for a probe, too long for a takeover
        // within 6 s. Every other period therefore probes this daemon's successor on a hash ring.
        auto target = ++state_.periods_ % 2 == 1 ? successor() : next_to_probe();
        if (!target) {
            target = next_to_probe();
        }
        if (!target) {
            ping_seed();
            return;
        }
        state_.probe_ = member_probe{*target, state_.last_sequence_ + 1, now_};
        send_ping(*target);
    }

    // Returns the next live or leaving member on the hash ring, which separates a rack's members whatever
    // their names. Suspects are skipped, so that neighbours that fail together are detected one after the
    // other without waiting until each is declared dead.
    std::optional<std::string> successor() const {
        constexpr std::string_view ring_key = "ring";
        const auto own = rendezvous_weight(ring_key, state_.self_);
        const std::string* best = nullptr;
        std::uint64_t best_distance = 0;
        for (const auto& [name, known] : state_.members_) {
            const auto state = known.member_->state_;
            if (name == state_.self_ || state == member_state::suspect || state == member_state::dead) {
                continue;
            }
            // Unsigned subtraction wraps around the ring.
            const auto distance = rendezvous_weight(ring_key, name) - own;
            if (best == nullptr || distance < best_distance) {
                best = &name;
                best_distance = distance;
            }
        }
        return best == nullptr ? std::nullopt : std::optional{*best};
    }

    std::optional<std::string> next_to_probe() {
        for (int pass = 0; pass < 2; ++pass) {
            for (; state_.next_probe_ < state_.probe_order_.size(); ++state_.next_probe_) {
                const auto& name = state_.probe_order_[state_.next_probe_];
                if (!state_.dead_.contains(name)) {
                    ++state_.next_probe_;
                    return name;
                }
            }
            shuffle_probe_order();
        }
        return std::nullopt;
    }

    void shuffle_probe_order() {
        std::erase_if(state_.probe_order_, [this](const auto& name) { return state_.dead_.contains(name); });
        std::shuffle(state_.probe_order_.begin(), state_.probe_order_.end(), random_);
        state_.next_probe_ = 0;
    }

    void request_indirect_probes() {
        auto& probe = state_.probe_;
        if (!probe || probe->acknowledged_ || probe->indirect_requested_ ||
            now_ - probe->started_ < state_.settings_.indirect_probe_delay_) {
            return;
        }
        probe->indirect_requested_ = true;
        const auto& target = state_.members_.at(probe->target_).member_;
        for (const auto& name : pick_members(state_.settings_.indirect_probes_, probe->target_)) {
            auto request = compose(datagram_kind::ping_request, probe->sequence_);
            request.subject_ = probe->target_;
            request.subject_address_ = target->address_;
            send_to_member(name, std::move(request));
        }
    }

    void evaluate_probe() {
        const auto probe = std::exchange(state_.probe_, std::nullopt);
        if (!probe || probe->acknowledged_) {
            return;
        }
        const auto found = state_.members_.find(probe->target_);
        if (found == state_.members_.end()) {
            return;
        }
        const auto state = found->second.member_->state_;
        if (state == member_state::live) {
            set_member_state(probe->target_, member_state::suspect);
            // The ping carries the suspicion to the suspect, which can refute without waiting for gossip.
            send_ping(probe->target_);
        } else if (state == member_state::leaving) {
            set_member_state(probe->target_, member_state::dead);
        }
    }

    void send_ping(const std::string& name) {
        auto ping = compose(datagram_kind::ping, ++state_.last_sequence_);
        ping.subject_ = name;
        send_to_member(name, std::move(ping));
    }

    void ping_address(const base::endpoint& address) {
        if (address != self()->address_) {
            send(address, {}, compose(datagram_kind::ping, ++state_.last_sequence_));
        }
    }

    void send_ack(const base::endpoint& to, const std::string& name, std::uint64_t sequence,
                  const std::string& subject) {
        auto ack = compose(datagram_kind::ack, sequence);
        ack.subject_ = subject;
        send(to, name, std::move(ack));
    }

    void handle_ack(const datagram_fields& message) {
        if (state_.probe_ && state_.probe_->sequence_ == message.sequence_ &&
            state_.probe_->target_ == message.subject_) {
            state_.probe_->acknowledged_ = true;
            return;
        }
        const auto relay = state_.relays_.find(message.sequence_);
        if (relay != state_.relays_.end() && relay->second.target_ == message.subject_) {
            send_ack(relay->second.requester_, {}, relay->second.requester_sequence_, message.subject_);
            state_.relays_.erase(relay);
        }
    }

    void relay_ping(const datagram_fields& message) {
        if (state_.relays_.size() >= max_relays) {
            return;
        }
        auto ping = compose(datagram_kind::ping, ++state_.last_sequence_);
        ping.subject_ = message.subject_;
        state_.relays_[ping.sequence_] = {message.subject_, message.sender_->address_, message.sequence_,
                                          now_ + state_.settings_.period_};
        send(message.subject_address_, message.subject_, std::move(ping));
    }

    // Returns up to `count` distinct serving members other than this one and `except`.
    std::vector<std::string> pick_members(std::size_t count, const std::string& except) {
        std::vector<std::string> picked;
        const auto& order = state_.probe_order_;
        const auto start = order.empty() ? 0 : draw(order.size());
        for (std::size_t offset = 0; offset < order.size() && picked.size() < count; ++offset) {
            const auto& name = order[(start + offset) % order.size()];
            if (name != except && is_serving(state_.members_.at(name).member_)) {
                picked.push_back(name);
            }
        }
        return picked;
    }

    // --- joining, partition healing and list exchange ---

    void ping_seed() {
        const auto& seeds = state_.settings_.seeds_;
        if (!seeds.empty()) {
            ping_address(seeds[draw(seeds.size())]);
        }
    }

    void join_seeds() {
        const auto& seeds = state_.settings_.seeds_;
        if (seeds.empty() || state_.completed_joining_periods_ >= state_.settings_.joining_periods_) {
            return;
        }
        ++state_.completed_joining_periods_;
        const auto first = draw(seeds.size());
        for (std::size_t index = 0; index < std::min(state_.settings_.joining_seeds_, seeds.size());
             ++index) {
            ping_address(seeds[(first + index) % seeds.size()]);
        }
    }

    // Each daemon sends only one datagram each time: the two sides of a healed partition find each other
    // within a few intervals, and the contacts stay spread over time.
    void ping_seed_or_dead_member() {
        const auto choices = state_.settings_.seeds_.size() + state_.dead_.size();
        if (choices == 0) {
            return;
        }
        const auto choice = draw(choices);
        if (choice < state_.settings_.seeds_.size()) {
            ping_address(state_.settings_.seeds_[choice]);
            return;
        }
        const auto offset = static_cast<std::ptrdiff_t>(choice - state_.settings_.seeds_.size());
        send_ping(*std::next(state_.dead_.begin(), offset));
    }

    void request_list_from_random_member() {
        const auto picked = pick_members(1, state_.self_);
        if (!picked.empty()) {
            request_list(state_.members_.at(picked.front()).member_);
        }
    }

    void request_list(const member& from) {
        auto request = compose(datagram_kind::list_request, ++state_.last_sequence_);
        request.after_ = state_.list_cursor_;
        send(from->address_, from->name_, std::move(request));
    }

    void respond_to_list_request(const datagram_fields& request) {
        datagram_fields response{.kind_ = datagram_kind::list_response,
                                 .sequence_ = request.sequence_,
                                 .sender_ = self(),
                                 .after_ = request.after_};
        auto room = max_datagram_bytes - wire_bytes_without_updates(response) - max_member_text_bytes;
        for (auto next = state_.members_.upper_bound(request.after_); next != state_.members_.end(); ++next) {
            const auto& known = next->second.member_;
            if (wire_bytes(known) > room) {
                response.list_end_ = std::prev(next)->first;
                break;
            }
            room -= wire_bytes(known);
            response.updates_.push_back(known);
        }
        messages_.push_back({request.sender_->address_, std::move(response)});
    }

    void apply_list_response(const datagram_fields& response) {
        if (response.after_ != state_.list_cursor_) {
            return;
        }
        state_.list_cursor_ = response.list_end_;
        if (response.list_end_.empty()) {
            state_.list_complete_ = true;
        } else if (!state_.list_complete_) {
            request_list(response.sender_);
        }
    }

    // --- datagrams ---

    datagram_fields compose(datagram_kind kind, std::uint64_t sequence) const {
        return {.kind_ = kind, .sequence_ = sequence, .sender_ = self()};
    }

    void send_to_member(const std::string& name, datagram_fields message) {
        send(state_.members_.at(name).member_->address_, name, std::move(message));
    }

    void send(const base::endpoint& to, const std::string& name, datagram_fields message) {
        add_updates(message, name);
        messages_.push_back({to, std::move(message)});
    }

    void add_updates(datagram_fields& message, const std::string& receiver) {
        auto room = max_datagram_bytes - wire_bytes_without_updates(message);
        const auto add = [&](const member& update) {
            if (wire_bytes(update) > room) {
                return false;
            }
            room -= wire_bytes(update);
            message.updates_.push_back(update);
            return true;
        };
        // A receiver that is not known as live gets its own record first, so that it can refute.
        const auto known = state_.members_.find(receiver);
        if (known != state_.members_.end() && known->second.member_->state_ != member_state::live) {
            add(known->second.member_);
        }
        std::vector<std::string> included;
        for (const auto& [sent, name] : state_.pending_updates_) {
            if (name == receiver) {
                continue;
            }
            // The sender's own record is in every datagram.
            if (name != state_.self_ && !add(state_.members_.at(name).member_)) {
                break;
            }
            included.push_back(name);
        }
        for (const auto& name : included) {
            record_transmission(state_.members_.at(name));
        }
    }

    void record_transmission(known_member& known) {
        const auto limit =
            transmission_factor * static_cast<std::uint32_t>(std::bit_width(state_.members_.size()));
        const auto& name = known.member_->name_;
        state_.pending_updates_.erase({*known.times_sent_, name});
        if (++*known.times_sent_ >= limit) {
            known.times_sent_.reset();
        } else {
            state_.pending_updates_.insert({*known.times_sent_, name});
        }
    }

    membership_state state_;
    time_point now_;
    // Seeded in each step; seeding a generator with more state would dominate the cost of a step.
    std::minstd_rand random_;
    std::vector<outgoing_datagram> messages_;
    std::vector<member_change> changes_;
};

} // namespace

membership_state start_membership(const member& self, membership_settings settings, time_point now) {
    membership_state state;
    state.settings_ = std::move(settings);
    state.self_ = self->name_;
    state.members_[self->name_] = {self, now, std::nullopt};
    state.last_tick_ = now;
    state.next_period_ = now;
    state.next_exchange_ = now + state.settings_.list_exchange_interval_;
    state.next_heal_ = now + state.settings_.heal_interval_;
    return state;
}

membership_step step(membership_state state, const membership_event& event, time_point now,
                     std::uint64_t entropy) {
    stepper working{std::move(state), now, entropy};
    std::visit(working, event);
    return std::move(working).finish();
}

const member& self_of(const membership_state& state) {
    return state.members_.at(state.self_).member_;
}

} // namespace daemons
