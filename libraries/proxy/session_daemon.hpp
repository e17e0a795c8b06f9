#pragma once

#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/memory_budget.hpp>
#include <callers/client_limits.hpp>
#include <http/listener.hpp>
#include <http/server.hpp>
#include <http/sleep.hpp>
#include <proxy/background_task.hpp>
#include <proxy/configuration_exchange.hpp>
#include <proxy/control_context.hpp>
#include <proxy/fleet_poll.hpp>
#include <proxy/history_confirmation.hpp>
#include <proxy/peer_exchange.hpp>
#include <proxy/session_metrics.hpp>
#include <proxy/session_worker.hpp>
#include <proxy/store_watchers.hpp>
#include <proxy/takeover_runner.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace proxy {

/// Bundles a platform's interfaces: the line protocol, the store client, the promotion client and the
/// decoders of the store's entries.
template <typename Platform>
concept session_platform = backends::database_protocol<typename Platform::protocol> &&
    platform::fleet_store<typename Platform::store> &&
    backends::primary_promoter<typename Platform::promoter> && requires(std::string_view text) {
    Platform::entries::read_configuration(text);
    Platform::entries::read_database(text, text);
};

/// The session daemon: serves client sessions on request threads and manages primaries on the control thread.
/// Thread safety: `run` is called once, by the main thread, which becomes the control thread.
template <session_platform Platform>
class session_daemon {
public:
    session_daemon(operators::session_settings settings, std::string settings_path)
        : settings_path_{std::move(settings_path)}, shared_{settings->failure_domain_, settings->name_},
          control_{context_, std::move(settings), shared_, groups_, generate_run_number()},
          configurations_{control_}, watchers_{control_, configurations_}, poll_{control_}, signals_{context_,
                                                                                                     SIGTERM,
                                                                                                     SIGINT,
                                                                                                     SIGHUP} {
    }

    /// Serves until a signal stops the daemon. Errors: `settings_invalid` when an address cannot be used.
    [[nodiscard]] std::optional<base::error> run() {
        const auto& settings = control_.settings_;
        apply_limits();
        for (std::uint32_t index = 0; index < settings->threads_; ++index) {
            workers_.push_back(std::make_unique<worker>(shared_, groups_, index));
        }
        for (const auto& request_worker : workers_) {
            if (auto failure = request_worker->listen(settings->client_address_)) {
                return failure;
            }
        }
        auto transport = daemons::udp_transport::open(context_.get_executor(), settings->peer_address_);
        if (!transport) {
            return transport.last_reason();
        }
        peers_.emplace(control_, std::move(*transport));
        peers_->quota().connect();
        takeovers_.emplace(control_, *peers_);
        confirmation_.emplace(control_, *peers_);
        if (auto failure = configurations_.listen()) {
            return failure;
        }
        if (auto failure = start_servers()) {
            return failure;
        }
        base::log_event(events::session_daemon_started, {{"name", settings->name_},
                                                         {"clients", settings->client_address_.to_string()},
                                                         {"peers", settings->peer_address_.to_string()},
                                                         {"threads", std::to_string(settings->threads_)}});
        start_control_tasks();
        std::vector<std::thread> threads;
        for (const auto& request_worker : workers_) {
            request_worker->start();
            threads.emplace_back([worker = request_worker.get()] { worker->context().run(); });
        }
        context_.run();
        for (const auto& request_worker : workers_) {
            request_worker->context().stop();
        }
        for (auto& thread : threads) {
            thread.join();
        }
        return std::nullopt;
    }

private:
    using worker = session_worker<typename Platform::protocol>;

    /// Answers the platform's health check, which decides whether the daemon receives new connections.
    struct readiness_handler {
        session_daemon* daemon_;
        boost::asio::awaitable<http::response> operator()(http::request /*message*/,
                                                          std::size_t /*connection*/) const {
            constexpr unsigned ready = 200;
            constexpr unsigned not_ready = 503;
            http::response_fields fields;
            fields.status_ = daemon_->is_ready() ? ready : not_ready;
            co_return http::response{std::move(fields)};
        }
    };

    struct metrics_handler {
        session_daemon* daemon_;
        boost::asio::awaitable<http::response> operator()(http::request /*message*/,
                                                          std::size_t /*connection*/) const {
            http::response_fields fields;
            fields.headers_ = {{"Content-Type", "text/plain; version=0.0.4"}};
            std::map<base::metric_key, base::latency_buckets> latencies;
            for (const auto& request_worker : daemon_->workers_) {
                request_worker->collect(latencies);
            }
            fields.body_ = session_metrics_text(daemon_->shared_, latencies, base::clock::now());
            co_return http::response{std::move(fields)};
        }
    };

    static std::uint64_t generate_run_number() {
        std::random_device random;
        return (std::uint64_t{random()} << 32U) | random();
    }

    [[nodiscard]] std::optional<base::error> start_servers() {
        const auto& settings = control_.settings_;
        http::limits server_limits;
        server_limits.header_bytes_ = max_operator_request_bytes;
        server_limits.body_bytes_ = max_operator_request_bytes;
        server_limits.transfer_timeout_ = operator_transfer_timeout;
        const auto max_connections =
            static_cast<std::size_t>(callers::divide_descriptors(max_descriptors()).operators_);
        auto readiness = http::listener::open(context_.get_executor(), settings->readiness_address_);
        if (!readiness) {
            return readiness.last_reason();
        }
        auto metrics = http::listener::open(context_.get_executor(), settings->metrics_address_);
        if (!metrics) {
            return metrics.last_reason();
        }
        std::make_shared<http::server<readiness_handler>>(context_.get_executor(), std::move(*readiness),
                                                          readiness_handler{this}, server_limits, nullptr,
                                                          max_connections, http::full_server::closes_idle)
            ->start();
        std::make_shared<http::server<metrics_handler>>(context_.get_executor(), std::move(*metrics),
                                                        metrics_handler{this}, server_limits, nullptr,
                                                        max_connections, http::full_server::closes_idle)
            ->start();
        return std::nullopt;
    }

    /// Puts the settings' limits on memory, descriptors and clients into force.
    void apply_limits() {
        const auto& settings = control_.settings_;
        shared_.memory_.set_shares(base::divide_memory(settings->memory_bytes_));
        shared_.max_sessions_.store(callers::divide_descriptors(max_descriptors()).sessions_,
                                    std::memory_order_relaxed);
        shared_.client_timeouts_.publish(
            {settings->start_timeout_, settings->line_timeout_, settings->response_timeout_});
    }

    /// Returns how many descriptors the process may use by the settings and the operating system.
    [[nodiscard]] std::uint64_t max_descriptors() const {
        const auto configured = control_.settings_->max_descriptors_;
        rlimit allowed{};
        if (::getrlimit(RLIMIT_NOFILE, &allowed) != 0) {
            return configured > 0 ? configured : fallback_descriptors;
        }
        return configured > 0 ? std::min<std::uint64_t>(configured, allowed.rlim_cur) : allowed.rlim_cur;
    }

    void start_control_tasks() {
        run_periodically("configuration", [this] { return watchers_.follow_configuration(); });
        run_periodically("databases", [this] { return watchers_.follow_databases(); });
        run_periodically("configurations of peers", [this] { return configurations_.fetch_overdue(); });
        run_periodically("overdue watches", [this] { return watchers_.interrupt_overdue_watches(); });
        run_periodically("fleet poll", [this] { return poll_.poll(); });
        run_periodically("leadership renewal", [this] { return poll_.renew_leadership(); });
        run_periodically("peer messages", [this] { return peers_->receive(); });
        run_periodically("peer requests", [this] { return peers_->send_requests(); });
        run_periodically("tokens", [this] { return peers_->quota().run(); });
        run_periodically("store history", [this] { return confirmation_->run(); });
        run_periodically("takeovers", [this] { return takeovers_->watch(); });
        run_periodically("resignation", [this] { return resign_when_store_unreachable(); });
        run_periodically("signals", [this] { return handle_signals(); });
        run_periodically("settings", [this] { return poll_settings(); });
    }

    void run_periodically(std::string name, std::function<boost::asio::awaitable<void>()> task) {
        const auto failures = control_.log_failures(std::move(name));
        boost::asio::co_spawn(context_, run_until_stopped(std::move(task), failures), failures);
    }

    /// Resigns the leadership when the store is unreachable, and repeats the notice to the peers.
    boost::asio::awaitable<void> resign_when_store_unreachable() {
        std::uint64_t token = 0;
        base::clock::time_point announce_until{};
        for (;;) {
            co_await http::sleep_for(resignation_check_interval);
            const auto now = base::clock::now();
            if (const auto resigned_token = poll_.resign_if_store_unreachable(now)) {
                token = *resigned_token;
                announce_until = now + resignation_announcement_duration;
            }
            if (now < announce_until) {
                peers_->announce_resignation(token);
            }
        }
    }

    /// Returns whether the daemon can serve all routes: it has a configuration, a server list and the primary
    /// lease, and it is not draining.
    [[nodiscard]] bool is_ready() {
        const auto now = base::clock::now();
        const bool has_routes = shared_.routes_.read([](const auto& routes) { return routes->version_ > 0; });
        const bool has_primary_lease = now < shared_.published_lease_.expiry() + primary_lease_slack;
        const bool ready =
            has_routes && control_.has_databases_ && has_primary_lease && !control_.is_draining_;
        if (ready != was_ready_) {
            was_ready_ = ready;
            base::log_event(events::readiness_changed, {{"ready", ready ? "yes" : "no"},
                                                        {"configuration", has_routes ? "yes" : "no"},
                                                        {"evidence", has_primary_lease ? "yes" : "no"},
                                                        {"draining", control_.is_draining_ ? "yes" : "no"}});
        }
        return ready;
    }

    boost::asio::awaitable<void> handle_signals() {
        for (;;) {
            const auto number = co_await signals_.async_wait(boost::asio::use_awaitable);
            if (number == SIGHUP) {
                reload_settings();
                continue;
            }
            if (!control_.is_draining_) {
                control_.is_draining_ = true;
                boost::asio::co_spawn(context_, stop(), control_.log_failures("stop"));
            }
        }
    }

    /// Polls the settings file for changes that were not announced by SIGHUP.
    boost::asio::awaitable<void> poll_settings() {
        for (;;) {
            co_await http::sleep_for(settings_poll_interval);
            reload_settings();
        }
    }

    /// Applies the settings that may change while the daemon runs. An invalid file changes nothing.
    void reload_settings() {
        const auto loaded = operators::load_session_settings(settings_path_);
        if (!loaded.value_) {
            if (!had_faulty_settings_) {
                had_faulty_settings_ = true;
                for (const auto& problem : loaded.problems_) {
                    base::log_event(events::settings_kept, {{"problem", to_string(problem)}});
                }
            }
            return;
        }
        had_faulty_settings_ = false;
        if (*loaded.value_ == control_.settings_) {
            return;
        }
        // Changes of addresses and the number of threads take effect at the next start.
        control_.settings_ = control_.settings_.with([&loaded](auto& fields) {
            fields.grace_ = (*loaded.value_)->grace_;
            fields.log_level_ = (*loaded.value_)->log_level_;
            fields.memory_bytes_ = (*loaded.value_)->memory_bytes_;
            fields.max_descriptors_ = (*loaded.value_)->max_descriptors_;
            fields.start_timeout_ = (*loaded.value_)->start_timeout_;
            fields.line_timeout_ = (*loaded.value_)->line_timeout_;
            fields.response_timeout_ = (*loaded.value_)->response_timeout_;
        });
        apply_limits();
        base::set_log_level(control_.settings_->log_level_);
        if (*loaded.value_ != last_loaded_settings_) {
            last_loaded_settings_ = *loaded.value_;
            base::log_event(events::settings_reloaded, {{"file", settings_path_}});
        }
    }

    /// Drains and stops the daemon. Sessions are served until the platform routes new connections elsewhere;
    /// then each is closed once it is idle or has received a response. Transactions get half of the grace
    /// period. In the last second statements are refused, so that those in flight are answered before the
    /// process exits.
    boost::asio::awaitable<void> stop() {
        const auto started_at = base::clock::now();
        const auto grace = control_.settings_->grace_;
        base::log_event(events::stop_started, {{"sessions", std::to_string(open_sessions())},
                                               {"grace_ms", std::to_string(grace.count())}});
        const auto exit_at = started_at + grace - exit_margin;
        shared_.stop_progress_.set_statements_end(exit_at - response_margin);
        while (takeovers_->is_busy() && base::clock::now() - started_at < grace / 3) {
            co_await http::sleep_for(stop_poll_interval);
        }
        if (const auto token = co_await poll_.release_leadership()) {
            peers_->announce_resignation(*token);
        }
        co_await sleep_until(started_at + std::min(load_balancer_delay, grace / 3));
        shared_.stop_progress_.advance_to(drain_step::closing_sessions);
        co_await wait_for_sessions(started_at + grace / 2);
        shared_.stop_progress_.advance_to(drain_step::closing_transactions);
        co_await wait_for_sessions(exit_at - refusal_duration);
        shared_.stop_progress_.advance_to(drain_step::refusing);
        co_await stop_accepting();
        co_await wait_for_sessions(exit_at);
        base::log_event(events::stop_finished, {{"sessions", std::to_string(open_sessions())}});
        context_.stop();
    }

    boost::asio::awaitable<void> sleep_until(base::clock::time_point wake_time) {
        const auto now = base::clock::now();
        if (now < wake_time) {
            co_await http::sleep_for(wake_time - now);
        }
    }

    boost::asio::awaitable<void> wait_for_sessions(base::clock::time_point end) {
        while (open_sessions() > 0 && base::clock::now() < end) {
            co_await http::sleep_for(stop_poll_interval);
        }
    }

    boost::asio::awaitable<void> stop_accepting() {
        for (const auto& request_worker : workers_) {
            auto work = request_worker->stop_accepting();
            co_await boost::asio::co_spawn(request_worker->context(), std::move(work),
                                           boost::asio::use_awaitable);
        }
    }

    [[nodiscard]] std::uint64_t open_sessions() const {
        return shared_.counters_.sessions_open_.load(std::memory_order_relaxed);
    }

    // Requests for readiness and metrics have no body.
    static constexpr std::uint32_t max_operator_request_bytes = 8192;
    static constexpr base::clock::duration operator_transfer_timeout{3'000};
    // The usual limit, if the operating system does not tell it.
    static constexpr std::uint64_t fallback_descriptors = 1024;
    // A daemon whose primary lease has just expired usually renews it before the platform reacts.
    static constexpr base::clock::duration primary_lease_slack{1'000};
    static constexpr base::clock::duration settings_poll_interval{2'000};
    // The platform checks readiness once a second and removes the daemon after two failed checks.
    static constexpr base::clock::duration load_balancer_delay{2'300};
    static constexpr base::clock::duration resignation_check_interval{100};
    // The notice is repeated for this long because datagrams may be lost.
    static constexpr base::clock::duration resignation_announcement_duration{500};
    static constexpr base::clock::duration stop_poll_interval{20};
    static constexpr base::clock::duration exit_margin{400};
    // Several times the duration of a statement that waits in no queue.
    static constexpr base::clock::duration refusal_duration{1'000};
    // Between the last statement's deadline and the exit.
    static constexpr base::clock::duration response_margin{200};

    std::string settings_path_;
    boost::asio::io_context context_{1};
    session_shared_state shared_;
    group_tables<typename Platform::protocol> groups_;
    std::vector<std::unique_ptr<worker>> workers_;
    control_context<Platform> control_;
    configuration_exchange<Platform> configurations_;
    store_watchers<Platform> watchers_;
    fleet_poll<Platform> poll_;
    std::optional<peer_exchange<Platform>> peers_;
    std::optional<takeover_runner<Platform>> takeovers_;
    std::optional<history_confirmation<Platform>> confirmation_;
    boost::asio::signal_set signals_;
    operators::session_settings last_loaded_settings_;
    bool was_ready_ = false;
    bool had_faulty_settings_ = false;
};

} // namespace proxy
