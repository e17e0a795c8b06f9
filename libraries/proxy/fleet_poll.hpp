#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/store_revision.hpp>
#include <daemons/fencing_token.hpp>
#include <daemons/leader_candidates.hpp>
#include <daemons/takeover_record.hpp>
#include <http/sleep.hpp>
#include <platform/store_transaction.hpp>
#include <proxy/control_context.hpp>
#include <proxy/fleet_keys.hpp>
#include <proxy/retry_delay.hpp>
#include <proxy/stored_fleet.hpp>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Polls the keys that the fleet keeps in the store: takeover records, registrations and the leader's entry.
///
/// Each read renews the primary lease; a read counts only after it shows this daemon's registration. Also
/// acquires, renews and resigns the leadership. Thread safety: control thread.
template <typename Platform>
class fleet_poll {
public:
    explicit fleet_poll(control_context<Platform>& control)
        : control_{control}, store_{control.settings_->store_address_, call_timeout, control.store_history_},
          renewal_store_{control.settings_->store_address_, call_timeout, control.store_history_},
          leadership_store_{control.settings_->store_address_, call_timeout, control.store_history_},
          release_store_{control.settings_->store_address_, call_timeout, control.store_history_} {}

    /// Polls until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> poll() {
        retry_delay delay{"fleet", control_.store_recovered_, retry_limits};
        for (;;) {
            const auto read = co_await read_once();
            if (!read) {
                co_await delay.wait_after_failure(read.last_reason());
                continue;
            }
            delay.record_success();
            if (*read) {
                co_await wait_until_due();
            }
        }
    }

    /// Renews the store lease of the leadership until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> renew_leadership() {
        for (;;) {
            co_await http::sleep_for(renewal_interval);
            if (!control_.leadership_) {
                continue;
            }
            const auto lease = control_.leadership_->lease_;
            const auto renewed = co_await renewal_store_.keep_lease(lease);
            if (renewed && !*renewed && control_.leadership_ && control_.leadership_->lease_ == lease) {
                control_.lose_leadership("the store lease of the leadership has expired");
            }
        }
    }

    /// Resigns the leadership when the store has not answered for `resignation_delay`, so that a daemon that
    /// can reach the store takes over. Returns the token of a leadership that was resigned by this call.
    [[nodiscard]] std::optional<std::uint64_t> resign_if_store_unreachable(base::clock::time_point now) {
        const bool must_resign = control_.leadership_ &&
                                 now - control_.leadership_->verified_at_ > resignation_delay &&
                                 control_.pending_promotions_ == 0;
        if (!must_resign) {
            return std::nullopt;
        }
        const auto token = control_.leadership_->token();
        control_.resigned_token_ = token;
        control_.lose_leadership("the store does not answer");
        return token;
    }

    /// Removes this daemon's leader entry from the store, so that another daemon can become the leader at
    /// once. Returns the token of the leadership, if this daemon held it. Precondition: no takeover is under
    /// way.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::uint64_t>> release_leadership() {
        if (!control_.leadership_) {
            co_return std::nullopt;
        }
        const auto token = control_.leadership_->token();
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, control_.leadership_->revision_});
        change.removals_.push_back(std::string{fleet_keys::leadership});
        control_.lose_leadership("the daemon is stopping");
        const auto result = co_await release_store_.change(std::move(change));
        if (!result) {
            base::log_event(events::store_call_failed,
                            {{"call", "release leadership"}, {"reason", result.last_reason().to_string()}});
        }
        co_return token;
    }

private:
    /// Waits until the next read is due. The leader reads in every interval; the other daemons rely on its
    /// responses as long as they are fresh. When it is gone, the candidates for the leadership read first,
    /// and the others rely on their responses. So the load on the store does not grow with the fleet.
    boost::asio::awaitable<void> wait_until_due() {
        const auto last_read_at = base::clock::now();
        for (;;) {
            const auto is_poll_requested = co_await wait_for_poll_interval();
            const auto now = base::clock::now();
            const auto age = control_.primary_lease_.age(now);
            const bool is_fresh = age && *age < (own_precedence() ? fresh_lease_age : max_peer_lease_age);
            const auto max_interval = own_precedence() ? candidate_poll_interval : max_poll_interval;
            if (is_poll_requested || control_.leadership_ || now - last_read_at >= max_interval) {
                co_return;
            }
            if (awaits_confirmation()) {
                if (now - last_read_at >= candidate_poll_interval) {
                    co_return;
                }
                continue;
            }
            if (!is_fresh || !is_list_fresh(now)) {
                co_return;
            }
        }
    }

    /// Returns whether only the leader can make the store's keys useful to this daemon, which hears of that
    /// from its peers. So a return of the store does not make the whole fleet read it again and again.
    [[nodiscard]] bool awaits_confirmation() const {
        return !control_.is_history_confirmed() && control_.registered_at_ && !own_precedence() &&
               control_.store_history_.era() != base::store_era::unstated;
    }

    /// Returns whether the possible leaders were confirmed recently. After the store came back from a copy,
    /// the candidates for the leadership read them at once, and the other daemons at different times.
    [[nodiscard]] bool is_list_fresh(base::clock::time_point now) {
        const auto age = control_.primary_lease_.list_age(now);
        if (age) {
            return *age < max_list_age;
        }
        if (own_precedence()) {
            return false;
        }
        if (list_due_era_ != control_.store_history_.era()) {
            list_due_era_ = control_.store_history_.era();
            std::uniform_int_distribution<std::int64_t> delay{0, max_list_age.count()};
            list_due_at_ = control_.history_entered_at_ + base::clock::duration{delay(random_)};
        }
        return control_.registered_at_ && now < list_due_at_;
    }

    /// Waits for one poll interval. Returns whether a read was requested before its end.
    boost::asio::awaitable<bool> wait_for_poll_interval() {
        const auto end = base::clock::now() + poll_interval;
        co_await control_.poll_requested_.wait_for(poll_interval);
        co_return base::clock::now() < end;
    }

    /// Reads all keys once. Returns false when the daemon had to register and must read again at once.
    boost::asio::awaitable<base::result<bool>> read_once() {
        const auto requested_at = base::clock::now();
        stored_fleet entries;
        auto failure = co_await read_keys(entries);
        if (failure) {
            co_return std::move(*failure);
        }
        control_.note_records(entries);
        const auto own_registration = find_own_registration(entries);
        control_.knowledge_.set_daemons(std::move(entries.registrations_), entries.leader_,
                                        entries.leadership_revision_);
        control_.publish();
        if (!own_registration || (*own_registration)->run_ != control_.run_ ||
            (*own_registration)->is_marked_) {
            const auto current_revision =
                own_registration ? (*own_registration)->revision_ : base::store_revision{entries.era_, 0};
            co_return co_await register_daemon(current_revision);
        }
        if (!control_.registered_at_) {
            // Set to the time of the response: a delayed write may have registered this daemon after the
            // request was sent.
            control_.registered_at_ = base::clock::now();
        }
        if (!own_precedence()) {
            control_.candidate_since_.reset();
        } else if (!control_.candidate_since_) {
            control_.candidate_since_ = base::clock::now();
        }
        control_.fleet_read_requested_at_ = requested_at;
        control_.leader_ = entries.leader_;
        control_.leader_revision_ = entries.leadership_revision_;
        if (control_.is_history_confirmed()) {
            control_.primary_lease_.note_store_read(requested_at);
            control_.publish_primary_lease();
        }
        co_await maintain_leadership(entries, requested_at);
        co_return true;
    }

    boost::asio::awaitable<std::optional<base::error>> read_keys(stored_fleet& entries) {
        std::string last_key;
        for (;;) {
            std::string prefix{fleet_keys::prefix};
            auto page = co_await store_.list(std::move(prefix), last_key);
            if (!page) {
                co_return page.last_reason();
            }
            if (last_key.empty()) {
                entries.era_ = page->at_.era();
                entries.leadership_revision_ = base::store_revision{entries.era_, 0};
            }
            if (entries.era_ != page->at_.era()) {
                co_return base::error{base::error_kind::history_lost,
                                      "the store came back from a copy between two pages"};
            }
            const auto now = base::clock::now();
            for (const auto& item : page->items_) {
                if (const auto problem = decode_item(item, entries)) {
                    control_.ignored_entries_.report(item.key_, item.revision_, *problem, now);
                }
            }
            for (const auto& key : page->undecodable_keys_) {
                control_.ignored_entries_.report(key, {}, "the store's item cannot be decoded", now);
            }
            last_key = page->last_key_;
            if (!page->has_more_ || last_key.empty()) {
                co_return std::nullopt;
            }
        }
    }

    [[nodiscard]] std::optional<daemons::registration>
    find_own_registration(const stored_fleet& entries) const {
        const auto found = entries.registrations_.find(control_.address_);
        return found == entries.registrations_.end() ? std::nullopt : std::optional{found->second};
    }

    /// Writes this daemon's registration. Primaries may be used only after a read that shows it. Returns
    /// false, so that the keys are read again at once.
    boost::asio::awaitable<base::result<bool>> register_daemon(base::store_revision current_revision) {
        control_.primary_lease_.clear();
        control_.publish_primary_lease();
        if (current_revision.number() == 0) {
            // The other daemons no longer know this one, so it waits like a daemon that has just started.
            control_.registered_at_.reset();
        }
        const daemons::registration entry{
            daemons::registration_fields{control_.address_, control_.run_, false, {}}};
        platform::store_transaction change;
        change.expected_.push_back({fleet_keys::daemon(control_.address_), current_revision});
        change.puts_.push_back(
            {fleet_keys::daemon(control_.address_), daemons::encode_registration(entry), 0});
        const auto result = co_await store_.change(std::move(change));
        if (!result) {
            co_return result.last_reason();
        }
        if (current_revision.number() != 0) {
            control_.quota_.note_earlier_registration();
        }
        base::log_event(events::registration_changed,
                        {{"daemon", control_.address_}, {"state", "registered"}});
        co_return false;
    }

    boost::asio::awaitable<void> maintain_leadership(const stored_fleet& entries,
                                                     base::clock::time_point requested_at) {
        const auto& leadership = entries.leadership_;
        const auto& leader = entries.leader_;
        const auto revision = entries.leadership_revision_;
        const bool is_own_entry =
            leadership && leader == control_.address_ && (*leadership)->run_ == control_.run_;
        if (is_own_entry && control_.leadership_ && control_.leadership_->revision_ == revision) {
            control_.leadership_->verified_at_ = requested_at;
            polls_without_leader_ = 0;
            co_return;
        }
        if (control_.leadership_) {
            control_.lose_leadership("the store holds another revision of the leader key");
        }
        const bool has_resigned = leadership && daemons::fencing_token(revision) == control_.resigned_token_;
        // A process that started on the leader's address may replace it, because the earlier process has
        // ended. A leader whose entry was overwritten by another writer loses the leadership.
        const bool is_free = !leadership || leader == control_.address_ || has_resigned;
        // The store's history is lower than one that a leader has confirmed: its responses cannot be right,
        // and the token of a leadership would be too low.
        const bool is_misread = entries.confirmed_era_ > entries.era_;
        if (!is_free || control_.is_draining_ || is_misread) {
            polls_without_leader_ = 0;
            co_return;
        }
        // A resignation wakes all daemons at once, and the store's transaction lets only one of the
        // candidates succeed.
        const bool may_acquire = polls_without_leader_ >= polls_before_acquisition() ||
                                 leader == control_.address_ || (has_resigned && own_precedence()) ||
                                 (!control_.is_history_confirmed() && control_.has_led_until_return_);
        ++polls_without_leader_;
        if (may_acquire) {
            // This process itself may still have lent tokens.
            const bool is_of_earlier_process =
                leader == control_.address_ && (*leadership)->run_ != control_.run_;
            const bool has_ended = has_resigned || is_of_earlier_process;
            co_await acquire_leadership(revision, has_resigned, has_ended);
        }
    }

    /// Returns this daemon's place among the candidates for the leadership, or nothing if it is none.
    [[nodiscard]] std::optional<std::uint32_t> own_precedence() const {
        const auto& candidates = control_.knowledge_.leader_candidates();
        const auto found = std::find(candidates.begin(), candidates.end(), control_.address_);
        return found == candidates.end()
                   ? std::nullopt
                   : std::optional{static_cast<std::uint32_t>(std::distance(candidates.begin(), found))};
    }

    /// Returns for how many polls this daemon lets others acquire a free leadership first. Spreads the
    /// attempts of the candidates over several polls; another daemon acquires it only if they all are gone.
    [[nodiscard]] std::uint32_t polls_before_acquisition() const {
        return own_precedence().value_or(polls_without_candidates);
    }

    boost::asio::awaitable<void> acquire_leadership(base::store_revision current_revision, bool has_resigned,
                                                    bool has_ended) {
        const auto lease = co_await leadership_store_.grant_lease(leadership_lease_duration);
        if (!lease) {
            co_return;
        }
        const daemons::registration entry{
            daemons::registration_fields{control_.address_, control_.run_, false, {}}};
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, current_revision});
        change.puts_.push_back({std::string{fleet_keys::leadership},
                                control_.address_ + " " + daemons::encode_registration(entry), *lease});
        const auto requested_at = base::clock::now();
        const auto result = co_await leadership_store_.change(std::move(change));
        if (!result || !result->applied_) {
            co_return;
        }
        control_.leadership_ = held_leadership{result->revision_,  *lease,       requested_at,
                                               base::clock::now(), has_resigned, has_ended};
        base::log_event(events::duty_changed,
                        {{"held", "yes"}, {"token", std::to_string(control_.leadership_->token())}});
    }

    // Failed calls have a cost too, but a daemon that started during an outage of the store serves nothing
    // until this poll reaches the store again.
    static constexpr platform::backoff_limits retry_limits{base::clock::duration{60},
                                                           base::clock::duration{700}};
    static constexpr base::clock::duration call_timeout{700};
    // Two more than the last candidate waits.
    static constexpr std::uint32_t polls_without_candidates = daemons::max_leader_candidates + 1;
    // A fifth of the duration of a primary lease, so that one or two lost calls do not let it expire.
    static constexpr base::clock::duration poll_interval{500};
    // Two requests to the leader without a response.
    static constexpr base::clock::duration fresh_lease_age{1'200};
    // Leaves time for one read of the store before the lease expires.
    static constexpr base::clock::duration max_peer_lease_age{1'900};
    // A candidate answers only daemons that it knows as registered, so it has to learn soon of new ones.
    static constexpr base::clock::duration candidate_poll_interval{3'000};
    // The leader's responses confirm the possible leaders; without them the keys are read again well
    // before peer rounds stop to count.
    static constexpr base::clock::duration max_list_age{6'000};
    static constexpr base::clock::duration max_poll_interval{60'000};
    // One failed poll and a second one without a response.
    static constexpr base::clock::duration resignation_delay{1'300};
    static constexpr base::clock::duration renewal_interval{600};
    // The leadership becomes free this long after the last renewal by a leader that has crashed.
    static constexpr base::clock::duration leadership_lease_duration{2'000};

    control_context<Platform>& control_;
    typename Platform::store store_;
    // A separate client for each kind of call that may run concurrently with another.
    typename Platform::store renewal_store_;
    typename Platform::store leadership_store_;
    typename Platform::store release_store_;
    std::uint32_t polls_without_leader_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    /// When the possible leaders are read again in a history of the store.
    base::store_era list_due_era_ = base::store_era::unstated;
    base::clock::time_point list_due_at_{};
};

} // namespace proxy
