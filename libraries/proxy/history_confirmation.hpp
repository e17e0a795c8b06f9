#pragma once

#include <backends/promotion_choice.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/store_revision.hpp>
#include <daemons/history_confirmation.hpp>
#include <daemons/takeover_record.hpp>
#include <http/sleep.hpp>
#include <platform/store_transaction.hpp>
#include <proxy/control_context.hpp>
#include <proxy/database_request.hpp>
#include <proxy/fleet_keys.hpp>
#include <proxy/peer_exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Confirms the takeover records in a new history of the store, while this daemon is the leader.
///
/// A store that has come back from a copy may lack the last records, so no daemon renews its primary lease
/// from what it shows until the leader has written what is missing, and then the number of the history.
/// Thread safety: control thread.
template <typename Platform>
class history_confirmation {
public:
    history_confirmation(control_context<Platform>& control, peer_exchange<Platform>& peers)
        : control_{control}, peers_{peers}, store_{control.settings_->store_address_, store_timeout,
                                                   control.store_history_} {}

    /// Confirms each new history until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> run() {
        for (;;) {
            co_await http::sleep_for(check_interval);
            const auto now = base::clock::now();
            const bool is_due = control_.leadership_ && !control_.is_history_confirmed() &&
                                control_.stored_confirmed_era_ <= control_.store_history_.era() &&
                                now >= next_attempt_;
            if (!is_due) {
                continue;
            }
            const auto step = daemons::next_confirmation_step(state_at(now));
            if (step == daemons::confirmation_step::ask_daemons) {
                ask_daemons(now);
                continue;
            }
            next_attempt_ = now + retry_interval;
            co_await confirm(step == daemons::confirmation_step::compare_and_confirm);
        }
    }

private:
    using protocol = typename Platform::protocol;

    [[nodiscard]] daemons::confirmation_state state_at(base::clock::time_point now) const {
        daemons::confirmation_state state;
        state.has_led_until_return_ = control_.has_led_until_return_;
        state.knew_earlier_daemons_ = control_.knew_earlier_daemons_;
        state.unheard_daemons_ = peers_.unheard_daemons().size();
        state.has_active_takeover_ = !control_.active_takeovers_.empty();
        state.has_databases_ = control_.databases_era_ == control_.store_history_.era();
        state.since_acquired_ = now - control_.leadership_->acquired_at_;
        return state;
    }

    void ask_daemons(base::clock::time_point now) {
        if (now >= next_request_) {
            next_request_ = now + request_interval;
            peers_.request_records();
        }
    }

    /// Writes the records that the store lacks, and then that they are confirmed. Each write fails if another
    /// daemon has become the leader or has changed a record.
    boost::asio::awaitable<void> confirm(bool compares_with_databases) {
        const auto leadership = control_.leadership_->revision_;
        const auto acquired_at = control_.leadership_->acquired_at_;
        const auto stored = control_.stored_records_;
        auto records = daemons::find_undone(control_.knowledge_.records(), stored);
        if (compares_with_databases) {
            co_await add_unknown_takeovers(records);
        }
        std::size_t written = 0;
        do {
            const auto end = std::min(written + max_records_of_change, records.size());
            const std::vector<daemons::takeover_record> part(
                records.begin() + static_cast<std::ptrdiff_t>(written),
                records.begin() + static_cast<std::ptrdiff_t>(end));
            const bool is_last = end == records.size();
            auto change = change_of(part, stored, leadership, is_last);
            const auto result = co_await store_.change(std::move(change));
            if (!result || !result->applied_) {
                log_result(result ? "the leadership or a record has changed"
                                  : result.last_reason().to_string(),
                           records.size(), acquired_at);
                control_.poll_requested_.notify_all();
                co_return;
            }
            written = end;
        } while (written < records.size());
        log_result("done", records.size(), acquired_at);
        control_.poll_requested_.notify_all();
    }

    [[nodiscard]] static platform::store_transaction
    change_of(const std::vector<daemons::takeover_record>& records,
              const std::vector<daemons::takeover_record>& stored, base::store_revision leadership,
              bool is_last) {
        const auto era = leadership.era();
        platform::store_transaction change;
        change.expected_.push_back({std::string{fleet_keys::leadership}, leadership});
        for (const auto& record : records) {
            const auto found = std::find_if(stored.begin(), stored.end(), [&record](const auto& one) {
                return one->service_ == record->service_;
            });
            const auto number = found == stored.end() ? 0 : (*found)->revision_.number();
            const auto key = fleet_keys::takeover(record->service_);
            change.expected_.push_back({key, base::store_revision{era, number}});
            const auto of_this_history = record.with([era](auto& fields) {
                fields.revision_ = base::store_revision{era, 0};
            });
            change.puts_.push_back({key, daemons::encode_record(of_this_history), 0});
        }
        if (is_last) {
            change.puts_.push_back(
                {std::string{fleet_keys::confirmed_era}, std::to_string(base::number_of(era)), 0});
        }
        return change;
    }

    /// Adds a settled record for each service of which another database leads than the one that is known: all
    /// daemons that knew of its takeover may be gone. Only services whose listed primary is not the known one
    /// are asked, so the effort does not grow with the number of services.
    boost::asio::awaitable<void> add_unknown_takeovers(std::vector<daemons::takeover_record>& records) {
        const auto fleet = control_.shared_.fleet_.get();
        for (const auto& [service, view] : (*fleet)->services_) {
            const bool is_changing = view->primary_state_ == backends::primary_state::being_replaced;
            if (is_changing || !lists_other_primary(*view)) {
                continue;
            }
            const auto record = co_await find_takeover(*view);
            if (record) {
                std::erase_if(records,
                              [&record](const auto& one) { return one->service_ == (*record)->service_; });
                records.push_back(*record);
            }
        }
    }

    [[nodiscard]] static bool lists_other_primary(const backends::service_view_fields& view) {
        return std::any_of(view.databases_.begin(), view.databases_.end(), [&view](const auto& listing) {
            return listing->role_ == backends::listed_role::primary && listing->id_ != view.primary_;
        });
    }

    /// Returns the record of a takeover that is not known, if the databases of a service show one.
    boost::asio::awaitable<std::optional<daemons::takeover_record>>
    find_takeover(backends::service_view_fields view) {
        std::vector<backends::promotion_candidate> reports;
        for (const auto& listing : view.databases_) {
            auto status_request = protocol::status();
            const auto report =
                co_await ask_database<protocol>(control_.context_, listing, std::move(status_request));
            if (report) {
                reports.push_back({listing->id_, *report});
            }
        }
        const auto known = control_.knowledge_.record_of(view.service_);
        const auto known_term = known ? (*known)->primary_term_ : 0;
        const auto leading = backends::find_leading(reports, known_term);
        if (!leading || leading->id_ == view.primary_) {
            co_return std::nullopt;
        }
        co_return daemons::takeover_record{daemons::takeover_record_fields{view.service_,
                                                                           daemons::takeover_phase::settled,
                                                                           view.primary_,
                                                                           leading->id_,
                                                                           {},
                                                                           leading->report_.term_}};
    }

    void log_result(std::string result, std::size_t records, base::clock::time_point acquired_at) {
        base::log_event(events::store_history_confirmed,
                        {{"era", std::to_string(base::number_of(control_.store_history_.era()))},
                         {"result", std::move(result)},
                         {"records", std::to_string(records)},
                         {"took_ms", std::to_string((base::clock::now() - acquired_at).count())}});
    }

    static constexpr base::clock::duration check_interval{50};
    // A read of the fleet's keys follows each attempt.
    static constexpr base::clock::duration retry_interval{300};
    // Datagrams are lost rarely.
    static constexpr base::clock::duration request_interval{200};
    static constexpr base::clock::duration store_timeout{700};
    // A change has at most 32 entries; two of them are the leader's key and the number of the history.
    static constexpr std::size_t max_records_of_change = 15;

    control_context<Platform>& control_;
    peer_exchange<Platform>& peers_;
    typename Platform::store store_;
    base::clock::time_point next_attempt_{};
    base::clock::time_point next_request_{};
};

} // namespace proxy
