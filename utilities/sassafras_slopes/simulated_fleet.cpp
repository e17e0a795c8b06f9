#include <utilities/sassafras_slopes/simulated_fleet.hpp>

#include <daemons/member_list.hpp>
#include <daemons/message_codec.hpp>
#include <daemons/watcher_choice.hpp>

#include <algorithm>
#include <optional>

namespace sassafras_slopes {

namespace {

using base::clock;

// The daemon's own tick.
constexpr clock::duration tick_period{50};
constexpr std::size_t failure_domains = 18;
constexpr std::size_t first_seeds = 5;

std::string name_of(std::size_t number) {
    return "entry-" + std::to_string(number);
}

base::endpoint address_of(std::size_t number) {
    return {"10.120.130.140", static_cast<std::uint16_t>(number + 1)};
}

std::size_t number_of(const base::endpoint& address) {
    return std::size_t{address.port()} - 1;
}

} // namespace

simulated_fleet::simulated_fleet(std::size_t members, std::size_t regions, first_knowledge knowledge,
                                 std::uint64_t seed)
    : regions_{regions}, random_{seed} {
    std::vector<std::size_t> seeds;
    for (std::size_t number = 0; number < std::min(first_seeds, members); ++number) {
        seeds.push_back(number);
    }
    for (std::size_t number = 0; number < members; ++number) {
        start(number, seeds);
    }
    if (knowledge == first_knowledge::everyone) {
        introduce_everyone();
    }
}

// Gossip would bring the members to the same state; at thousands of members that takes long to simulate.
void simulated_fleet::introduce_everyone() {
    std::map<std::string, daemons::known_member> everyone;
    std::vector<std::string> names;
    for (const auto& each : participants_) {
        const auto& self = daemons::self_of(each.membership_);
        everyone[self->name_] = {self, now_, std::nullopt};
        names.push_back(self->name_);
    }
    for (auto& each : participants_) {
        auto& state = each.membership_;
        state.members_ = everyone;
        state.probe_order_ = names;
        std::erase(state.probe_order_, state.self_);
        std::ranges::shuffle(state.probe_order_, random_);
        state.list_complete_ = true;
        // Daemons that have run for long do not probe at the same moment.
        state.next_period_ = now_ + clock::duration{static_cast<std::int64_t>(random_() % 500)};
        state.next_exchange_ = now_ + clock::duration{static_cast<std::int64_t>(random_() % 2'000)};
        state.next_heal_ = now_ + clock::duration{static_cast<std::int64_t>(random_() % 10'000)};
    }
}

void simulated_fleet::start(std::size_t number, const std::vector<std::size_t>& seeds) {
    const auto region = "region-" + std::to_string(number % regions_);
    daemons::membership_settings settings;
    for (const auto each : seeds) {
        settings.seeds_.push_back(address_of(each));
    }
    const daemons::member self{
        daemons::member_fields{.name_ = name_of(number),
                               .address_ = address_of(number),
                               .region_ = region,
                               .failure_domain_ = "domain-" + std::to_string(number % failure_domains)}};
    participants_.push_back({.membership_ = daemons::start_membership(self, std::move(settings), now_),
                             .spread_ = {.phase_ = daemons::spread_phase::ready},
                             .region_ = region});
}

void simulated_fleet::run(clock::duration length) {
    for (const auto end = now_ + length; now_ < end;) {
        tick();
    }
}

double simulated_fleet::run_until(const std::function<bool()>& done, clock::duration limit) {
    const auto start = now_;
    while (!done() && now_ < start + limit) {
        tick();
    }
    return static_cast<double>((now_ - start).count()) / 1'000;
}

void simulated_fleet::tick() {
    const auto next_tick = now_ + tick_period;
    while (!due_.empty() && due_.begin()->first <= next_tick) {
        const auto first = due_.begin();
        now_ = std::max(now_, first->first);
        const auto work = std::move(first->second);
        due_.erase(first);
        work();
    }
    now_ = next_tick;
    for (std::size_t number = 0; number < participants_.size(); ++number) {
        if (participants_[number].runs_) {
            apply(number, daemons::time_passed{});
            apply_spread(number, daemons::spread_time_passed{});
        }
    }
}

std::size_t simulated_fleet::add() {
    const auto number = participants_.size();
    start(number, {0});
    return number;
}

void simulated_fleet::crash(std::size_t number) {
    participants_[number].runs_ = false;
}

void simulated_fleet::leave(std::size_t number) {
    apply(number, daemons::leave_requested{});
}

void simulated_fleet::publish(std::uint64_t revision) {
    const daemons::member_list members{participants_.front().membership_};
    for (std::size_t region = 0; region < regions_; ++region) {
        for (const auto& watcher : daemons::choose_watchers(members, "region-" + std::to_string(region))) {
            apply_spread(number_of(watcher->address_), daemons::store_responded{revision});
        }
    }
}

bool simulated_fleet::all_see(std::size_t number, daemons::member_state state) const {
    return std::ranges::all_of(participants_, [&](const participant& each) {
        const auto found = each.membership_.members_.find(name_of(number));
        return !each.runs_ ||
               (found != each.membership_.members_.end() && found->second.member_->state_ == state);
    });
}

bool simulated_fleet::all_see_live(std::size_t count) const {
    return std::ranges::all_of(participants_, [count](const participant& each) {
        const auto& known = each.membership_;
        return !each.runs_ ||
               (known.members_.size() == count && known.suspects_.empty() && known.dead_.empty());
    });
}

bool simulated_fleet::all_count_dead(std::size_t count) const {
    return std::ranges::all_of(participants_, [count](const participant& each) {
        return !each.runs_ || each.membership_.dead_.size() == count;
    });
}

bool simulated_fleet::all_have(std::uint64_t revision) const {
    return std::ranges::all_of(participants_, [revision](const participant& each) {
        return !each.runs_ || each.spread_.revision_ >= revision;
    });
}

void simulated_fleet::apply(std::size_t number, const daemons::membership_event& event) {
    auto& state = participants_[number].membership_;
    auto next = daemons::step(std::move(state), event, now_, random_);
    state = std::move(next.state_);
    for (const auto& message : next.messages_) {
        send(number, message);
    }
}

void simulated_fleet::apply_spread(std::size_t number, const daemons::spread_event& event) {
    auto& state = participants_[number].spread_;
    auto next = daemons::step(std::move(state), event, now_);
    state = std::move(next.state_);
    if (next.verdict_ == daemons::spread_step::verdict::accept) {
        apply(number, daemons::revision_changed{state.revision_});
    }
    if (next.fetch_) {
        ++fetches_;
        const auto peer = number_of(*next.fetch_);
        due_.emplace(now_ + 2 * way(number, peer), [this, number, peer] {
            const auto revision = participants_[peer].spread_.revision_;
            apply_spread(number, participants_[peer].runs_
                                     ? daemons::spread_event{daemons::fetch_succeeded{revision}}
                                     : daemons::spread_event{daemons::fetch_failed{}});
        });
    }
}

void simulated_fleet::send(std::size_t from, const daemons::outgoing_datagram& message) {
    auto bytes = daemons::encode_message(message.message_);
    ++datagrams_;
    datagram_bytes_ += bytes.size();
    const auto to = number_of(message.to_);
    due_.emplace(now_ + way(from, to), [this, to, bytes = std::move(bytes)] { receive(to, bytes); });
}

void simulated_fleet::receive(std::size_t number, const std::string& bytes) {
    if (!participants_[number].runs_) {
        return;
    }
    auto message = daemons::decode_message<daemons::datagram>(bytes);
    const auto& sender = (*message)->sender_;
    const daemons::revision_source source{sender->address_, sender->configuration_revision_};
    apply(number, daemons::datagram_received{*std::move(message)});
    if (source.revision_ > participants_[number].spread_.revision_) {
        apply_spread(number, daemons::revision_announced{source});
    }
}

clock::duration simulated_fleet::way(std::size_t from, std::size_t to) const {
    return clock::duration{participants_[from].region_ == participants_[to].region_ ? 1 : 40};
}

} // namespace sassafras_slopes
