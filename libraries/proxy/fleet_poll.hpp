#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <daemons/takeover_record.hpp>
#include <http/sleep.hpp>
#include <platform/store_transaction.hpp>
#include <proxy/control_context.hpp>
#include <proxy/fleet_keys.hpp>
#include <proxy/retry_pause.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Reads the fleet's own keys again and again: takeover records, registrations and the duty. Each read is
/// evidence; this daemon registers itself before its first one counts. Thread safety: control thread.
template <typename Platform>
class fleet_poll {
public:
    explicit fleet_poll(control_context<Platform>& control)
        : control_{control}, store_{control.settings_->store_address_, call_timeout},
          renewal_store_{control.settings_->store_address_, call_timeout},
          leadership_store_{control.settings_->store_address_, call_timeout},
          hand_over_store_{control.settings_->store_address_, call_timeout} {}

    /// Polls until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> poll() {
        retry_pause pause{"fleet", control_.store_works_, retry_limits};
        for (;;) {
            const auto read = co_await read_once();
            if (!read) {
                co_await pause.wait_after_failure(read.last_reason());
                continue;
            }
            pause.after_success();
            if (*read) {
                co_await wait_until_due();
            }
        }
    }

    /// Renews the lease of the duty until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> renew_leadership() {
        for (;;) {
            co_await http::sleep_for(renewal_period);
            if (!control_.leadership_) {
                continue;
            }
            const auto lease = control_.leadership_->lease_;
            const auto kept = co_await renewal_store_.keep_lease(lease);
            if (kept && !*kept && control_.leadership_ && control_.leadership_->lease_ == lease) {
                lose_leadership("its lease has ended");
            }
        }
    }

    /// Gives the duty up when the store has not answered for a while, so that a daemon that reaches it can go
    /// on. Returns the token of a duty that was given up just now.
    [[nodiscard]] std::optional<std::uint64_t> resign_if_cut_off(base::clock::time_point now) {
        const bool is_cut_off = control_.leadership_ &&
                                now - control_.leadership_->verified_at_ > resignation_delay &&
                                control_.orders_under_way_ == 0;
        if (!is_cut_off) {
            return std::nullopt;
        }
        const auto token = control_.leadership_->token_;
        lose_leadership("the store does not answer");
        return token;
    }

    /// Gives the duty back, so that another daemon takes it at once. Precondition: no takeover is under way.
    [[nodiscard]] boost::asio::awaitable<void> hand_back() {
        if (!control_.leadership_) {
            co_return;
        }
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, control_.leadership_->token_});
        change.removals_.push_back(std::string{fleet_keys::leadership});
        lose_leadership("the daemon stops");
        const auto result = co_await hand_over_store_.change(std::move(change));
        if (!result) {
            base::log_event(events::store_call_failed,
                            {{"call", "hand back duty"}, {"reason", result.last_reason().to_string()}});
        }
    }

private:
    struct own_keys {
        std::map<std::string, daemons::registration> registrations_;
        std::vector<daemons::takeover_record> records_;
        /// The entry of the duty, read as the registration of its holder.
        std::optional<daemons::registration> leadership_;
        std::string leader_;
    };

    /// The holder of the duty reads the store all the time; the others rest on its word as long as it is
    /// fresh, so that the load on the store does not grow with the fleet.
    boost::asio::awaitable<void> wait_until_due() {
        const auto last = base::clock::now();
        for (;;) {
            const auto is_woken = co_await wait_or_wake();
            const auto now = base::clock::now();
            const auto age = control_.primary_lease_.age(now);
            const bool is_fresh = age && *age < fresh_lease_age;
            if (is_woken || control_.leadership_ || !is_fresh || now - last >= longest_period) {
                co_return;
            }
        }
    }

    /// Returns whether somebody asked for a read before the period was over.
    boost::asio::awaitable<bool> wait_or_wake() {
        const auto end = base::clock::now() + period;
        co_await control_.poll_soon_.wait_for(period);
        co_return base::clock::now() < end;
    }

    /// Returns whether the daemon is registered and need not read again at once.
    boost::asio::awaitable<base::result<bool>> read_once() {
        const auto requested_at = base::clock::now();
        own_keys keys;
        auto failure = co_await read_keys(keys);
        if (failure) {
            co_return std::move(*failure);
        }
        for (const auto& record : keys.records_) {
            control_.adopt(record);
        }
        const auto own = find_own(keys);
        control_.knowledge_.set_registrations(std::move(keys.registrations_));
        control_.publish();
        if (!own || (*own)->run_ != control_.run_ || (*own)->is_marked_) {
            const auto present_revision = own ? (*own)->revision_ : 0;
            co_return co_await register_daemon(present_revision);
        }
        if (!control_.registered_at_) {
            // Dated at the answer: a delayed write may have registered this daemon after the question was
            // sent.
            control_.registered_at_ = base::clock::now();
        }
        control_.fleet_read_at_ = requested_at;
        control_.leader_ = keys.leader_;
        control_.primary_lease_.note_store_read(requested_at);
        control_.publish_primary_lease();
        co_await maintain_leadership(keys.leadership_, keys.leader_, requested_at);
        co_return true;
    }

    boost::asio::awaitable<std::optional<base::error>> read_keys(own_keys& keys) {
        std::string after;
        for (;;) {
            std::string prefix{fleet_keys::prefix};
            auto page = co_await store_.list(std::move(prefix), after);
            if (!page) {
                co_return page.last_reason();
            }
            for (const auto& item : page->items_) {
                take_item(item, keys);
                after = item.key_;
            }
            if (!page->has_more_ || page->items_.empty()) {
                co_return std::nullopt;
            }
        }
    }

    static void take_item(const platform::store_item& item, own_keys& keys) {
        const std::string_view key{item.key_};
        if (key.starts_with(fleet_keys::daemons)) {
            const auto address = key.substr(fleet_keys::daemons.size());
            if (auto entry = daemons::decode_registration(address, item.value_, item.revision_)) {
                keys.registrations_.emplace(address, std::move(*entry));
            }
        } else if (key.starts_with(fleet_keys::takeovers)) {
            const auto service = key.substr(fleet_keys::takeovers.size());
            if (auto record = daemons::decode_record(service, item.value_, item.revision_)) {
                keys.records_.push_back(std::move(*record));
            }
        } else if (key == fleet_keys::leadership) {
            const auto blank = item.value_.find(' ');
            keys.leader_ = item.value_.substr(0, blank);
            const auto rest = blank == std::string::npos ? std::string{} : item.value_.substr(blank + 1);
            keys.leadership_ = daemons::decode_registration(keys.leader_, rest, item.revision_);
        }
    }

    [[nodiscard]] std::optional<daemons::registration> find_own(const own_keys& keys) const {
        const auto found = keys.registrations_.find(control_.address_);
        return found == keys.registrations_.end() ? std::nullopt : std::optional{found->second};
    }

    /// Writes this daemon's entry. Primaries may be used only after a read that shows it.
    boost::asio::awaitable<base::result<bool>> register_daemon(std::uint64_t present_revision) {
        control_.primary_lease_.clear();
        control_.publish_primary_lease();
        if (present_revision == 0) {
            // The others do not know this daemon any more, so it waits as a newcomer does.
            control_.registered_at_.reset();
        }
        const daemons::registration entry{
            daemons::registration_fields{control_.address_, control_.run_, false, 0}};
        platform::store_transaction change;
        change.expected_.push_back({fleet_keys::daemon(control_.address_), present_revision});
        change.puts_.push_back(
            {fleet_keys::daemon(control_.address_), daemons::encode_registration(entry), 0});
        const auto result = co_await store_.change(std::move(change));
        if (!result) {
            co_return result.last_reason();
        }
        base::log_event(events::registration_changed,
                        {{"daemon", control_.address_}, {"state", "registered"}});
        co_return false;
    }

    boost::asio::awaitable<void> maintain_leadership(const std::optional<daemons::registration>& leadership,
                                                     const std::string& holder,
                                                     base::clock::time_point requested_at) {
        const bool is_own = leadership && holder == control_.address_ && (*leadership)->run_ == control_.run_;
        if (is_own && control_.leadership_ && control_.leadership_->token_ == (*leadership)->revision_) {
            control_.leadership_->verified_at_ = requested_at;
            absent_polls_ = 0;
            co_return;
        }
        if (control_.leadership_) {
            lose_leadership("another revision of its key is in the store");
        }
        const bool has_resigned = leadership && (*leadership)->revision_ == control_.resigned_token_;
        // A process that started on the address of the holder replaces it: the earlier one has ended.
        const bool is_free = !leadership || holder == control_.address_ || has_resigned;
        if (!is_free || control_.is_draining_) {
            absent_polls_ = 0;
            co_return;
        }
        // A resignation wakes all daemons up at once, and the store lets one of them win.
        const bool is_turn = absent_polls_ >= rank() || holder == control_.address_ || has_resigned;
        ++absent_polls_;
        if (is_turn) {
            const auto present_revision = leadership ? (*leadership)->revision_ : 0;
            co_await acquire_leadership(present_revision, has_resigned);
        }
    }

    /// Spreads the attempts of the daemons over several polls.
    [[nodiscard]] std::uint32_t rank() const {
        const auto& all = control_.knowledge_.registrations();
        const auto own = all.find(control_.address_);
        return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(std::distance(all.begin(), own), 4));
    }

    boost::asio::awaitable<void> acquire_leadership(std::uint64_t present_revision, bool has_resigned) {
        const auto lease = co_await leadership_store_.grant_lease(lease_length);
        if (!lease) {
            co_return;
        }
        const daemons::registration entry{
            daemons::registration_fields{control_.address_, control_.run_, false, 0}};
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, present_revision});
        change.puts_.push_back({std::string{fleet_keys::leadership},
                                control_.address_ + " " + daemons::encode_registration(entry), *lease});
        const auto requested_at = base::clock::now();
        const auto result = co_await leadership_store_.change(std::move(change));
        if (!result || !result->applied_) {
            co_return;
        }
        control_.leadership_ =
            held_leadership{result->revision_, *lease, requested_at, base::clock::now(), has_resigned};
        base::log_event(events::duty_changed,
                        {{"held", "yes"}, {"token", std::to_string(result->revision_)}});
    }

    void lose_leadership(const std::string& reason) {
        control_.leadership_.reset();
        base::log_event(events::duty_changed, {{"held", "no"}, {"reason", reason}});
    }

    // Refused calls have a price too; every daemon that started while the store was away serves nothing until
    // this poll finds the store again.
    static constexpr platform::backoff_limits retry_limits{base::clock::duration{60},
                                                           base::clock::duration{700}};
    static constexpr base::clock::duration call_timeout{700};
    // A fifth of the life of evidence, so that a lost call or two cost nothing.
    static constexpr base::clock::duration period{500};
    // Two questions to the holder that went unanswered.
    static constexpr base::clock::duration fresh_lease_age{1'200};
    // Bounds the age of the list of registered daemons.
    static constexpr base::clock::duration longest_period{12'000};
    // One poll that failed and a second one that has not been answered.
    static constexpr base::clock::duration resignation_delay{1'300};
    static constexpr base::clock::duration renewal_period{600};
    // After a holder dies, the duty is free this long afterwards.
    static constexpr base::clock::duration lease_length{2'000};

    control_context<Platform>& control_;
    typename Platform::store store_;
    // One for each kind of call that may be under way beside another.
    typename Platform::store renewal_store_;
    typename Platform::store leadership_store_;
    typename Platform::store hand_over_store_;
    std::uint32_t absent_polls_ = 0;
};

} // namespace proxy
