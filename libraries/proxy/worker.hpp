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
#include <proxy/routing.hpp>
#include <proxy/suspicion_asker.hpp>

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

/// One thread of a daemon: its listeners, its connections to other daemons, and the homes that it owns.
///
/// Requests enter at any worker and hop to the one that owns their group, so that queue, pool and view of a
/// group are touched by one thread only. Thread safety: `execute` and `context` from any thread, the rest
/// from the worker's own thread. Lifetime: all workers live until every thread has ended.
template <backends::request_queue Queue>
class worker {
public:
    /// `peer_threads` are all workers of the daemon, this one included, in the same order everywhere.
    worker(daemon_state& state, std::vector<std::unique_ptr<worker>>& peer_threads,
           const control_plane& control)
        : state_{state}, workers_{peer_threads}, control_{control}, random_{std::random_device{}()},
          peers_{context_.get_executor(), daemons::peer_limits{}, random_()}, owner_gate_{*this},
          entry_{state_, owner_gate_, peers_, clock_}, metered_{entry_, metrics_, clock_} {}

    [[nodiscard]] boost::asio::io_context& context() noexcept { return context_; }

    /// Opens the listeners. Precondition: before the thread starts. Errors: `settings_invalid`.
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
                                                     peer_requests{*this}, daemons::peer_limits{});
        return std::nullopt;
    }

    /// Starts to serve other daemons, and to open and close homes as the members change.
    void start() {
        peer_server_->start();
        boost::asio::co_spawn(context_, refresh_owners(), boost::asio::detached);
    }

    /// Starts to serve callers.
    void start_callers() { caller_server_->start(); }

    /// Serves a request at its home here, whichever thread owns the group.
    [[nodiscard]] boost::asio::awaitable<base::response> execute(routed_request routed) {
        auto& target = worker_for(routed->service_->name_);
        if (&target == this) {
            co_return co_await execute_here(std::move(routed));
        }
        co_return co_await boost::asio::co_spawn(target.context_, target.execute_here(std::move(routed)),
                                                 boost::asio::use_awaitable);
    }

    /// Tells callers with each answer to connect elsewhere.
    void announce_drain() { caller_server_->announce_drain(); }
    /// Stops taking callers, and tells other daemons to ask elsewhere.
    void drain() {
        caller_server_->drain();
        peer_server_->drain();
    }

    /// Returns how much unfinished work there is: answers to callers and peers, and open transactions.
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

    /// Closes everything at once; the thread ends when its coroutines have ended.
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

    /// Returns what the homes on this thread know.
    [[nodiscard]] std::vector<group_report> report() const {
        std::vector<group_report> reports;
        reports.reserve(owners_.size());
        for (const auto& [group, owner] : owners_) {
            reports.push_back(owner->report());
        }
        return reports;
    }

    /// Returns the latencies that this thread has measured.
    [[nodiscard]] const base::metric_registry& metrics() const noexcept { return metrics_; }

private:
    /// Sends the notices of a home on this thread to the daemons that are connected to any thread.
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

    using owner = group_owner<Queue, backends::database_client_connector, base::clock, suspicion_asker,
                              throttle_sender>;

    /// Serves requests of this daemon's own groups.
    struct owner_gate {
        worker& worker_;
        boost::asio::awaitable<base::response> execute(routed_request routed) {
            return worker_.execute(std::move(routed));
        }
    };

    using daemon_entry = entry<owner_gate, daemons::peer_client, base::clock>;
    using metered_entry = metered_service<daemon_entry, base::clock>;
    using caller_handler = callers::front_end<metered_entry>;
    using caller_server = http::server<caller_handler>;

    /// Answers the questions of other daemons.
    struct peer_requests {
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

    using peer_server = daemons::peer_server<peer_requests>;

    [[nodiscard]] worker& worker_for(const std::string& group) {
        return *workers_[std::hash<std::string>{}(group) % workers_.size()];
    }

    boost::asio::awaitable<base::response> execute_here(routed_request routed) {
        const auto serving = open_owner(routed->service_);
        co_return co_await serving->execute(std::move(routed));
    }

    // Returns the home of a group, opened if necessary: a request that was sent here by a daemon with another
    // list of members is served all the same. A home whose databases changed is replaced; the old one
    // finishes.
    std::shared_ptr<owner> open_owner(const operators::service_declaration& declaration) {
        const auto& group = declaration->name_;
        const auto found = owners_.find(group);
        if (found != owners_.end() && found->second->declaration() == declaration) {
            return found->second;
        }
        if (found != owners_.end() && found->second->declaration()->databases_ == declaration->databases_) {
            found->second->redeclare(declaration);
            return found->second;
        }
        if (found != owners_.end()) {
            retired_.push_back(found->second);
            owners_.erase(found);
        }
        base::log_event(events::home_opened, {{"group", group}});
        const owner_identity identity{.daemon_ = state_.settings()->name_,
                                      .proposer_ = state_.run() + "/" + std::to_string(++opened_owners_) +
                                                   "/" + std::to_string(random_()),
                                      .random_seed_ = random_()};
        auto opened =
            std::make_shared<owner>(context_.get_executor(), declaration, identity,
                                    backends::database_client_connector{state_.settings()->name_}, clock_,
                                    suspicion_asker{state_, peers_, group}, throttle_sender{*this});
        opened->start();
        owners_.emplace(group, opened);
        return opened;
    }

    boost::asio::awaitable<void> refresh_owners() {
        while (!stopping_) {
            // One list for both, or a list that arrives in between would count as examined.
            const auto members = state_.members().get();
            owner_table_.update(members);
            open_own_groups(members);
            close_foreign_groups();
            stop_retired_owners();
            co_await http::sleep_for(owner_refresh_interval);
        }
    }

    [[nodiscard]] bool is_owned_by_this_daemon(const operators::service_declaration& declaration) {
        return owner_table_.find(declaration->region_, declaration->name_).owner_ == state_.settings()->name_;
    }

    // A home watches its group also while nobody asks, so that a failed primary is replaced before the next
    // request comes.
    void open_own_groups(const std::shared_ptr<const daemons::member_list>& members) {
        if (state_.phase() != daemon_phase::serving) {
            return;
        }
        const auto configuration = state_.configuration().get();
        // A pass over 12,000 services five times a second would exceed the budget for control.
        if (configuration == examined_configuration_ && members == examined_members_) {
            return;
        }
        for (const auto& declaration : (*configuration)->services_) {
            if (&worker_for(declaration->name_) == this && is_owned_by_this_daemon(declaration)) {
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
            const bool keeps =
                !current->second->is_idle() || (state_.phase() == daemon_phase::serving &&
                                                is_owned_by_this_daemon(current->second->declaration()));
            if (!keeps) {
                retired_.push_back(current->second);
            }
            current = keeps ? std::next(current) : owners_.erase(current);
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

    static constexpr base::clock::duration owner_refresh_interval{200};

    daemon_state& state_;
    std::vector<std::unique_ptr<worker>>& workers_;
    const control_plane& control_;
    boost::asio::io_context context_{1};
    base::clock clock_;
    std::mt19937_64 random_;
    daemons::peer_client peers_;
    owner_gate owner_gate_;
    daemon_entry entry_;
    base::metric_registry metrics_;
    metered_entry metered_;
    std::shared_ptr<caller_server> caller_server_;
    std::shared_ptr<peer_server> peer_server_;
    std::map<std::string, std::shared_ptr<owner>> owners_;
    std::vector<std::shared_ptr<owner>> retired_;
    daemons::owner_table owner_table_;
    /// What the last pass over all services was made with.
    std::shared_ptr<const operators::configuration> examined_configuration_;
    std::shared_ptr<const daemons::member_list> examined_members_;
    std::uint64_t opened_owners_ = 0;
    bool stopping_ = false;
};

} // namespace proxy
