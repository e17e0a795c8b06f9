#pragma once

#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <base/metric_family.hpp>
#include <base/prometheus_text.hpp>
#include <callers/session_token.hpp>
#include <http/server.hpp>
#include <http/sleep.hpp>
#include <http/tls_settings.hpp>
#include <proxy/control_plane.hpp>
#include <proxy/daemon_report.hpp>
#include <proxy/daemon_state.hpp>
#include <proxy/events.hpp>
#include <proxy/operator_port.hpp>
#include <proxy/worker.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace proxy {

/// One daemon: the control plane's thread and the workers' threads.
/// Thread safety: built, run and destroyed by one thread.
template <backends::request_queue Queue>
class daemon {
public:
    daemon(const operators::daemon_settings& settings, std::string run,
           std::unique_ptr<control_plane> control)
        : control_{std::move(control)}, state_{settings, std::move(run), control_->configuration(),
                                               control_->members()} {
        for (std::uint32_t thread = 0; thread < settings->threads_; ++thread) {
            workers_.push_back(std::make_unique<worker<Queue>>(state_, workers_, *control_));
        }
    }

    /// Opens all listeners. Errors: `settings_invalid`.
    [[nodiscard]] std::optional<base::error> listen() {
        const auto& settings = state_.settings();
        http::tls_context tls;
        if (!settings->tls_certificate_.empty()) {
            auto loaded = http::load_server_certificate(settings->tls_certificate_, settings->tls_key_);
            if (!loaded) {
                return loaded.last_reason();
            }
            tls = *loaded;
        }
        const auto signer = std::make_shared<const callers::token_signer>(settings->token_key_);
        for (auto& one : workers_) {
            if (auto failed = one->listen(signer, tls)) {
                return failed;
            }
        }
        auto socket = http::listener::open(control_->context().get_executor(), settings->operator_address_);
        if (!socket) {
            return socket.last_reason();
        }
        operator_server_ = std::make_shared<operator_server>(
            control_->context().get_executor(), std::move(*socket), operator_handler{operator_adapter{*this}},
            http::limits{}, nullptr, most_operator_connections);
        return std::nullopt;
    }

    /// Runs until a signal or an operator has drained the daemon. Returns whether all work was finished.
    [[nodiscard]] bool run() {
        base::log_event(events::daemon_started,
                        {{"name", state_.settings()->name_},
                         {"callers", state_.settings()->caller_address_.to_string()}});
        boost::asio::signal_set signals{control_->context(), SIGTERM, SIGINT};
        boost::asio::co_spawn(control_->context(), follow_signals(signals), boost::asio::detached);
        control_->start();
        operator_server_->start();
        boost::asio::co_spawn(control_->context(), start_serving(), boost::asio::detached);
        std::vector<std::thread> threads;
        threads.reserve(workers_.size());
        for (auto& one : workers_) {
            one->start();
            threads.emplace_back([&one] { one->context().run(); });
        }
        control_->context().run();
        for (auto& thread : threads) {
            thread.join();
        }
        return finished_;
    }

private:
    /// What the operator port asks of the daemon.
    struct operator_adapter {
        daemon& daemon_;

        boost::asio::awaitable<daemon_report> report() { return daemon_.report(); }
        boost::asio::awaitable<std::map<base::metric_key, base::latency_buckets>> latencies() {
            co_return daemon_.latencies();
        }
        [[nodiscard]] daemon_phase phase() const { return daemon_.state_.phase(); }
        [[nodiscard]] base::result<routed_request> explain(const base::request& request) const {
            return route(*daemon_.state_.configuration().get(), request);
        }
        [[nodiscard]] std::shared_ptr<const daemons::member_list> members() const {
            return daemon_.state_.members().get();
        }
        void drain() { daemon_.begin_drain(); }
    };

    using operator_handler = operator_port<operator_adapter>;
    using operator_server = http::server<operator_handler>;

    // Callers are served only once the configuration is known, so that an older one never comes into force.
    boost::asio::awaitable<void> start_serving() {
        while (!control_->is_ready()) {
            co_await http::sleep_for(readiness_period);
        }
        if (state_.phase() != daemon_phase::starting) {
            co_return;
        }
        state_.set_phase(daemon_phase::serving);
        const auto configuration = state_.configuration().get();
        base::log_event(events::daemon_ready, {{"revision", std::to_string((*configuration)->revision_)}});
        for (auto& one : workers_) {
            boost::asio::post(one->context(), [&one] { one->start_callers(); });
        }
    }

    boost::asio::awaitable<void> follow_signals(boost::asio::signal_set& signals) {
        co_await signals.async_wait(boost::asio::use_awaitable);
        begin_drain();
        co_await signals.async_wait(boost::asio::use_awaitable);
        cut_now_ = true;
    }

    void begin_drain() {
        if (state_.phase() != daemon_phase::draining) {
            state_.set_phase(daemon_phase::draining);
            boost::asio::co_spawn(control_->context(), drain(), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> drain() {
        const auto deadline = base::clock::now() + state_.settings()->drain_deadline_;
        base::log_event(events::drain_started, {{"name", state_.settings()->name_}});
        control_->leave();
        for (auto& one : workers_) {
            boost::asio::post(one->context(), [&one] { one->announce_drain(); });
        }
        // Other daemons forward here until they have heard that this one leaves, and the balancer sends
        // callers until /readyz has told it. Whoever comes meanwhile is served and told to connect elsewhere.
        co_await wait_for_work(std::min(deadline, base::clock::now() + announcement_time), work_wanted::any);
        for (auto& one : workers_) {
            boost::asio::post(one->context(), [&one] { one->drain(); });
        }
        const auto unfinished = co_await wait_for_work(deadline, work_wanted::none);
        finished_ = unfinished == 0;
        if (finished_) {
            base::log_event(events::drain_finished, {{"name", state_.settings()->name_}});
        } else {
            base::log_event(events::drain_cut, {{"name", state_.settings()->name_},
                                                {"reason", cut_now_ ? "second signal" : "drain deadline"},
                                                {"unfinished", std::to_string(unfinished)}});
        }
        co_await stop_workers();
        operator_server_->close();
        control_->close();
    }

    /// Whether to wait for the whole time, or to return as soon as no work is left.
    enum class work_wanted : std::uint8_t { any, none };

    boost::asio::awaitable<std::size_t> wait_for_work(base::clock::time_point until, work_wanted wanted) {
        std::size_t unfinished = 0;
        do {
            co_await http::sleep_for(readiness_period);
            unfinished = 0;
            for (auto& one : workers_) {
                unfinished += co_await ask_worker(*one, [](auto& asked) { return asked.unfinished_work(); });
            }
        } while (!cut_now_ && base::clock::now() < until && (wanted == work_wanted::any || unfinished > 0));
        co_return unfinished;
    }

    boost::asio::awaitable<void> stop_workers() {
        for (auto& one : workers_) {
            co_await ask_worker(*one, [](auto& asked) {
                asked.close();
                return 0;
            });
            one->context().stop();
        }
    }

    // Runs a function on a worker's thread and returns its result here.
    template <typename Query>
    boost::asio::awaitable<std::invoke_result_t<Query, worker<Queue>&>> ask_worker(worker<Queue>& asked,
                                                                                   Query query) {
        auto task = [](worker<Queue>& one,
                       Query ask) -> boost::asio::awaitable<std::invoke_result_t<Query, worker<Queue>&>> {
            co_return ask(one);
        };
        co_return co_await boost::asio::co_spawn(asked.context(), task(asked, query),
                                                 boost::asio::use_awaitable);
    }

    boost::asio::awaitable<daemon_report> report() {
        daemon_report_fields fields{.name_ = state_.settings()->name_,
                                    .version_ = SASSAFRASDEAL_VERSION,
                                    .draining_ = state_.phase() == daemon_phase::draining};
        const auto configuration = state_.configuration().get();
        fields.configuration_revision_ = (*configuration)->revision_;
        const auto members = state_.members().get();
        for (const auto& one : members->members()) {
            fields.members_.push_back({.name_ = one->name_,
                                       .address_ = one->address_.to_string(),
                                       .region_ = one->region_,
                                       .failure_domain_ = one->failure_domain_,
                                       .state_ = std::string{daemons::name_of(one->state_)},
                                       .revision_ = one->configuration_revision_});
        }
        for (auto& one : workers_) {
            auto groups = co_await ask_worker(*one, [](auto& asked) { return asked.report(); });
            fields.groups_.insert(fields.groups_.end(), groups.begin(), groups.end());
        }
        std::sort(fields.groups_.begin(), fields.groups_.end());
        co_return daemon_report{std::move(fields)};
    }

    [[nodiscard]] std::map<base::metric_key, base::latency_buckets> latencies() const {
        std::map<base::metric_key, base::latency_buckets> totals;
        for (const auto& one : workers_) {
            one->metrics().collect(totals);
        }
        return totals;
    }

    static constexpr base::clock::duration readiness_period{20};
    /// Members hear of a leaving one within a few probe periods of 500 ms.
    static constexpr base::clock::duration announcement_time{1'500};
    static constexpr std::size_t most_operator_connections = 100;

    std::unique_ptr<control_plane> control_;
    daemon_state state_;
    std::vector<std::unique_ptr<worker<Queue>>> workers_;
    std::shared_ptr<operator_server> operator_server_;
    bool finished_ = true;
    bool cut_now_ = false;
};

} // namespace proxy
