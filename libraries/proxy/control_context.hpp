#pragma once

#include <backends/primary_health.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/primary_lease.hpp>
#include <http/wait_signal.hpp>
#include <operators/session_settings.hpp>
#include <proxy/events.hpp>
#include <proxy/fleet_knowledge.hpp>
#include <proxy/group_table.hpp>
#include <proxy/session_shared_state.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// The duty of replacing primaries, as long as this daemon holds it.
struct held_leadership {
    /// The store's revision at which it was taken; grows with each holder.
    std::uint64_t token_ = 0;
    std::uint64_t lease_ = 0;
    /// When the read of the store was sent that last showed this daemon as the holder.
    base::clock::time_point verified_at_{};
    base::clock::time_point taken_at_{};
    /// Whether the holder before has said that none of its orders is under way.
    bool has_predecessor_resigned_ = false;

    friend auto operator<=>(const held_leadership&, const held_leadership&) = default;
};

/// The state of the control thread, which its parts share. Thread safety: owned by the control thread.
template <typename Platform>
struct control_context {
    using tables = group_tables<typename Platform::protocol>;
    using table = typename tables::table;

    control_context(boost::asio::io_context& context, operators::session_settings settings,
                    session_shared_state& shared, const tables& groups, std::uint64_t run)
        : context_{context}, settings_{std::move(settings)}, shared_{shared}, groups_{groups}, run_{run},
          address_{settings_->peer_address_.to_string()} {}

    /// Hands the present view of the fleet to the request threads if it differs from the last one.
    void publish() {
        const auto routes = shared_.routes_.get();
        auto view = knowledge_.view(*routes);
        if (view == published_) {
            return;
        }
        log_changes(view);
        published_ = view;
        shared_.fleet_.publish(std::move(view));
        for (auto* one : groups_.all()) {
            boost::asio::post(one->executor(), [one] { one->refresh(); });
        }
    }

    /// Hands the end of the evidence to the request threads.
    void publish_primary_lease() {
        shared_.published_lease_.set_expiry(primary_lease_.expiry());
        const bool holds = shared_.published_lease_.is_valid_at(base::clock::now());
        if (holds != had_primary_lease_) {
            had_primary_lease_ = holds;
            base::log_event(events::evidence_changed, {{"held", holds ? "yes" : "no"}});
        }
    }

    /// Adopts a takeover record from the store or a peer and hands it on. Returns whether it is new.
    bool adopt(const daemons::takeover_record& record) {
        if (!knowledge_.adopt(record)) {
            return false;
        }
        publish();
        return true;
    }

    /// Lets this daemon try whether the primary of a service answers.
    void probe_primary(const std::string& service) {
        auto& group_thread_table = groups_.table_for(service);
        boost::asio::post(group_thread_table.executor(), [&group_thread_table, service] {
            group_thread_table.find_or_create(service)->probe_primary();
        });
    }

    /// Closes what is under way at a replaced primary after `grace`. Precondition: its record was adopted.
    [[nodiscard]] boost::asio::awaitable<void> drain_database(std::string service, std::string database,
                                                              base::clock::duration grace) {
        auto& group_thread_table = groups_.table_for(service);
        auto work = stop_at(group_thread_table, service, database, grace);
        co_await boost::asio::co_spawn(group_thread_table.executor(), std::move(work),
                                       boost::asio::use_awaitable);
    }

    /// Collects what the groups of all threads see of their primaries.
    [[nodiscard]] boost::asio::awaitable<void> collect_healths() {
        for (auto* one : groups_.all()) {
            auto work = healths_at(*one);
            auto reports =
                co_await boost::asio::co_spawn(one->executor(), std::move(work), boost::asio::use_awaitable);
            for (auto& report : reports) {
                auto service = report.service_;
                healths_.insert_or_assign(std::move(service), std::move(report));
            }
        }
    }

    /// Returns how this daemon sees the primary of a service.
    [[nodiscard]] daemons::primary_observation observation_of(const std::string& service,
                                                              const std::string& database,
                                                              base::clock::time_point now) const {
        const auto found = healths_.find(service);
        if (found == healths_.end() || found->second.database_ != database) {
            return daemons::primary_observation::unknown;
        }
        if (found->second.failing_for_) {
            return daemons::primary_observation::fails;
        }
        return now - found->second.last_response_ <= max_response_age ? daemons::primary_observation::answers
                                                                      : daemons::primary_observation::unknown;
    }

    // An older answer says nothing about a primary that may have failed since.
    static constexpr base::clock::duration max_response_age{500};

    boost::asio::io_context& context_;
    operators::session_settings settings_;
    session_shared_state& shared_;
    const tables& groups_;
    /// Drawn at the start of this process.
    std::uint64_t run_;
    /// This daemon's identity in the fleet.
    std::string address_;
    fleet_knowledge knowledge_;
    daemons::primary_lease primary_lease_;
    std::map<std::string, backends::primary_health> healths_;
    /// Services of which this daemon has begun a takeover that is not settled.
    std::set<std::string> active_takeovers_;
    std::optional<held_leadership> leadership_;
    /// Peer address of the daemon that holds the duty, as last read.
    std::string leader_;
    /// When the last complete read of the fleet's keys was sent.
    base::clock::time_point fleet_read_at_{};
    /// Token of a duty whose holder has given it up without being able to tell the store; 0 for none.
    std::uint64_t resigned_token_ = 0;
    /// Promotion orders of this daemon that have no answer yet.
    std::uint32_t orders_under_way_ = 0;
    /// Reports that a call of the store works again after failures.
    http::wait_signal store_works_;
    /// Wakes up the poll of the fleet's keys.
    http::wait_signal poll_soon_;
    /// When this daemon's registration was acknowledged.
    std::optional<base::clock::time_point> registered_at_;
    bool has_databases_ = false;
    bool is_draining_ = false;

private:
    static boost::asio::awaitable<void> stop_at(table& here, std::string service, std::string database,
                                                base::clock::duration grace) {
        // The view with the open record was posted before, so the group has it already.
        const auto group = here.find_or_create(service);
        // A primary that has started again may be listed under another name.
        const auto view = group->view();
        for (const auto& one : view->databases_) {
            if (one->role_ == backends::listed_role::primary && one->id_ != database) {
                co_await group->drain_database(one->id_, base::clock::duration{0});
            }
        }
        co_await group->drain_database(database, grace);
    }

    static boost::asio::awaitable<std::vector<backends::primary_health>> healths_at(table& here) {
        co_return here.primary_healths();
    }

    void log_changes(const fleet_view& view) const {
        for (const auto& [service, one] : view->services_) {
            const auto before = published_->services_.find(service);
            if (before != published_->services_.end() && before->second == one) {
                continue;
            }
            std::string listed;
            for (const auto& database : one->databases_) {
                listed.append(database->id_)
                    .append(database->state_ == backends::listed_state::draining ? "(draining) " : " ");
            }
            base::log_event(events::service_changed,
                            {{"service", service},
                             {"primary", one->primary_},
                             {"state", std::to_string(static_cast<int>(one->primary_state_))},
                             {"databases", listed}});
        }
    }

    fleet_view published_;
    bool had_primary_lease_ = false;
};

} // namespace proxy
