#pragma once

#include <backends/database_client.hpp>
#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/metric_registry.hpp>
#include <base/response.hpp>
#include <callers/front_end.hpp>
#include <daemons/owner_table.hpp>
#include <daemons/peer_client.hpp>
#include <daemons/peer_server.hpp>
#include <http/server.hpp>
#include <proxy/control_plane.hpp>
#include <proxy/daemon_state.hpp>
#include <proxy/database_probe.hpp>
#include <proxy/entry.hpp>
#include <proxy/events.hpp>
#include <proxy/group_owner.hpp>
#include <proxy/metered_service.hpp>
#include <proxy/peer_suspicion_check.hpp>
#include <proxy/routing.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// One thread of a daemon: its listeners, its connections to other daemons, and the database groups that are
/// assigned to it.
///
/// A request may arrive at any worker and is passed to the one that its group is assigned to, so that queue,
/// connection pool and view of a group are used by one thread only. Thread safety: `execute` and `context`
/// from any thread, the rest from the worker's own thread. Lifetime: all workers live until every thread has
/// ended.
template <backends::request_queue Queue>
class worker {
public:
    /// `peer_threads` are all workers of the daemon including this one, in the same order for each of them.
    worker(daemon_state& state, std::vector<std::unique_ptr<worker>>& peer_threads,
           const control_plane& control)
        : state_{state}, workers_{peer_threads}, control_{control}, random_{std::random_device{}()},
          peers_{context_.get_executor(), daemons::peer_limits{}, random_()}, local_groups_{*this},
          entry_{state_, local_groups_, peers_, clock_}, metered_{entry_, metrics_, clock_} {}

    [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

    /// Opens the listeners. Precondition: the thread has not started. Errors: `settings_invalid`.
    [[nodiscard]] std::optional<base::error> listen(std::shared_ptr<const callers::token_signer> signer,
                                                    http::tls_context tls) {
        const auto& settings = state_.settings();
        auto caller_socket = http::listener::open(context_.get_executor(), settings->caller_address_);
        if (!caller_socket) {
            return caller_socket.last_reason();
        }
        auto peer_socket = http::listener::open(context_.get_executor(), settings->peer_address_);
        if (!peer_socket) {
            return peer_socket.last_reason();
        }
        const http::limits bounds{.header_bytes_ = settings->header_bytes_,
                                  .body_bytes_ = settings->body_bytes_};
        const auto share = std::max<std::size_t>(settings->most_connections_ / settings->threads_, 1);
        caller_server_ = std::make_shared<caller_server>(context_.get_executor(), std::move(*caller_socket),
                                                         caller_handler{metered_, std::move(signer)}, bounds,
                                                         std::move(tls), share);
        peer_server_ = std::make_shared<peer_server>(context_.get_executor(), std::move(*peer_socket),
                                                     peer_request_handler{*this}, daemons::peer_limits{});
        return std::nullopt;
    }

    /// Starts to serve other daemons, and to open and close groups as the member list changes.
    void start() {
        peer_server_->start();
        boost::asio::co_spawn(context_, refresh_owners(), boost::asio::detached);
    }

    /// Starts to serve callers.
    void start_callers() { caller_server_->start(); }

    /// Executes a request of a group that this daemon owns, on the thread that the group is assigned to.
    [[nodiscard]] boost::asio::awaitable<base::response> execute(routed_request routed) {
        auto& target = worker_of(routed->service_->name_);
        if (&target == this) {
            co_return co_await execute_here(std::move(routed));
        }
        co_return co_await boost::asio::co_spawn(target.context_, target.execute_here(std::move(routed)),
                                                 boost::asio::use_awaitable);
    }

    /// Tells callers in each response to connect to another daemon.
    void announce_drain() { caller_server_->announce_drain(); }
    /// Accepts no more callers, and tells other daemons to send their requests elsewhere.
    void drain() {
        caller_server_->drain();
        peer_server_->drain();
    }

    /// Returns the amount of unfinished work: pending responses to callers and peers, and groups with
    /// requests in flight or open transactions.
    [[nodiscard]] std::size_t unfinished_work() const {
        std::size_t unfinished = caller_server_->busy_connections() + peer_server_->requests_in_flight();
        for (const auto& [group, owner] : owners_) {
            unfinished += owner->is_idle() ? 0 : 1;
        }
        for (const auto& retired : retired_) {
            unfinished += retired->is_idle() ? 0 : 1;
        }
        return unfinished;
    }

    /// Closes all listeners, connections and groups at once. The thread ends when its coroutines have ended.
    void close() {
        stopping_ = true;
        caller_server_->close();
        peer_server_->close();
        peers_.close();
        for (auto& [group, owner] : owners_) {
            owner->stop();
        }
        for (auto& retired : retired_) {
            retired->stop();
        }
        owners_.clear();
        retired_.clear();
    }

    /// Returns a report of each group on this thread.
    [[nodiscard]] std::vector<group_report> report() const {
        std::vector<group_report> reports;
        reports.reserve(owners_.size());
        for (const auto& [group, owner] : owners_) {
            reports.push_back(owner->report());
        }
        return reports;
    }

    /// Returns the request latencies measured by this thread.
    [[nodiscard]] const base::metric_registry& metrics() const noexcept { return metrics_; }

private:
    /// Sends the notices of a group on this thread to the daemons that are connected to any of the threads.
    struct throttle_sender {
        worker& worker_;

        void operator()(std::span<const daemons::throttle_notice> notices) const {
            const auto shared =
                std::make_shared<const std::vector<daemons::throttle_notice>>(notices.begin(), notices.end());
            for (const auto& one : worker_.workers_) {
                boost::asio::post(one->context_, [&receiver = *one, shared] {
                    for (const auto& notice : *shared) {
                        receiver.peer_server_->send_throttle_notice(notice);
                    }
                });
            }
        }
    };

    using owner = group_owner<Queue, backends::database_client_connector, base::clock, peer_suspicion_check,
                              throttle_sender>;

    /// Executes requests of the groups that this daemon owns, for `entry`.
    struct local_groups {
        worker& worker_;
        boost::asio::awaitable<base::response> execute(routed_request routed) {
            return worker_.execute(std::move(routed));
        }
    };

    using daemon_entry = entry<local_groups, daemons::peer_client, base::clock>;
    using metered_entry = metered_service<daemon_entry, base::clock>;
    using caller_handler = callers::front_end<metered_entry>;
    using caller_server = http::server<caller_handler>;

    /// Handles the requests of other daemons.
    struct peer_request_handler {
        worker& worker_;

        boost::asio::awaitable<base::response> forward(base::request request) {
            const auto configuration = worker_.state_.configuration().get();
            const auto routed = route(*configuration, request);
            if (!routed) {
                co_return base::not_run(routed.last_reason());
            }
            co_return co_await worker_.execute(*routed);
        }

        boost::asio::awaitable<daemons::reachability> check_suspicion(daemons::suspicion_check request) {
            return probe_database(request->database_, worker_.state_.settings()->name_);
        }

        boost::asio::awaitable<daemons::configuration_offer>
        fetch_configuration(daemons::configuration_fetch request) {
            co_return worker_.control_.offer(request);
        }
    };

    using peer_server = daemons::peer_server<peer_request_handler>;

    [[nodiscard]] worker& worker_of(const std::string& group) {
        return *workers_[std::hash<std::string>{}(group) % workers_.size()];
    }

    boost::asio::awaitable<base::response> execute_here(routed_request routed) {
        const auto target = open_owner(routed->service_);
        co_return co_await target->execute(std::move(routed));
    }

    // Returns the open group, or opens it. It is opened even if this daemon is not the owner by its own
    // member list, because the sender may have a different list. A group whose databases changed is replaced;
    // the old one finishes its requests.
    std::shared_ptr<owner> open_owner(const operators::service_declaration& declaration) {
        const auto& group = declaration->name_;
        const auto found = owners_.find(group);
        if (found != owners_.end() && found->second->declaration() == declaration) {
            return found->second;
        }
        if (found != owners_.end() && found->second->declaration()->databases_ == declaration->databases_) {
            found->second->update_declaration(declaration);
            return found->second;
        }
        if (found != owners_.end()) {
            retired_.push_back(found->second);
            owners_.erase(found);
        }
        base::log_event(events::home_opened, {{"group", group}});
        const owner_identity identity{.daemon_ = state_.settings()->name_,
                                      .proposer_ = state_.run_id() + "/" + std::to_string(++opened_owners_) +
                                                   "/" + std::to_string(random_()),
                                      .random_seed_ = random_()};
        auto opened =
            std::make_shared<owner>(context_.get_executor(), declaration, identity,
                                    backends::database_client_connector{state_.settings()->name_}, clock_,
                                    peer_suspicion_check{state_, peers_, group}, throttle_sender{*this});
        opened->start();
        owners_.emplace(group, opened);
        return opened;
    }

    boost::asio::awaitable<void> refresh_owners() {
        while (!stopping_) {
            // Both calls must use the same list; otherwise one that is published in between would be recorded
            // as examined without having been examined.
            const auto members = state_.members().get();
            owner_table_.update(members);
            open_own_groups(members);
            close_foreign_groups();
            stop_retired_owners();
            co_await http::sleep_for(group_refresh_interval);
        }
    }

    [[nodiscard]] bool is_owned_by_this_daemon(const operators::service_declaration& declaration) {
        return owner_table_.find(declaration->region_, declaration->name_).owner_ == state_.settings()->name_;
    }

    // Opens each group that this daemon owns also while it has no requests, so that it is monitored and a
    // failed primary is replaced before the next request arrives.
    void open_own_groups(const std::shared_ptr<const daemons::member_list>& members) {
        if (state_.phase() != daemon_phase::serving) {
            return;
        }
        const auto configuration = state_.configuration().get();
        // A pass over 12,000 services five times a second would exceed the CPU budget of the control plane.
        if (configuration == examined_configuration_ && members == examined_members_) {
            return;
        }
        for (const auto& declaration : (*configuration)->services_) {
            if (&worker_of(declaration->name_) == this && is_owned_by_this_daemon(declaration)) {
                open_owner(declaration);
            }
        }
        if (configuration != examined_configuration_) {
            owner_table_.remove_unused();
        }
        examined_configuration_ = configuration;
        examined_members_ = members;
    }

    void close_foreign_groups() {
        const auto configuration = state_.configuration().get();
        for (auto current = owners_.begin(); current != owners_.end();) {
            const bool stays_open =
                !current->second->is_idle() || (state_.phase() == daemon_phase::serving &&
                                                is_owned_by_this_daemon(current->second->declaration()));
            if (!stays_open) {
                retired_.push_back(current->second);
            }
            current = stays_open ? std::next(current) : owners_.erase(current);
        }
    }

    void stop_retired_owners() {
        std::erase_if(retired_, [](const auto& retired) {
            if (!retired->is_idle()) {
                return false;
            }
            base::log_event(events::home_closed, {{"group", retired->declaration()->name_}});
            retired->stop();
            return true;
        });
    }

    static constexpr base::clock::duration group_refresh_interval{200};

    daemon_state& state_;
    std::vector<std::unique_ptr<worker>>& workers_;
    const control_plane& control_;
    boost::asio::io_context context_{1};
    base::clock clock_;
    std::mt19937_64 random_;
    daemons::peer_client peers_;
    local_groups local_groups_;
    daemon_entry entry_;
    base::metric_registry metrics_;
    metered_entry metered_;
    std::shared_ptr<caller_server> caller_server_;
    std::shared_ptr<peer_server> peer_server_;
    std::map<std::string, std::shared_ptr<owner>> owners_;
    std::vector<std::shared_ptr<owner>> retired_;
    daemons::owner_table owner_table_;
    /// The configuration and members of the last pass over all services.
    std::shared_ptr<const operators::configuration> examined_configuration_;
    std::shared_ptr<const daemons::member_list> examined_members_;
    std::uint64_t opened_owners_ = 0;
    bool stopping_ = false;
};

} // namespace proxy
