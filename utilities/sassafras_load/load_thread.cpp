#include <utilities/sassafras_load/load_thread.hpp>

#include <http/sleep.hpp>
#include <utilities/sassafras_load/caller_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafras_load {

namespace asio = boost::asio;

namespace {

/// How long after its deadline an answer may still arrive before it counts as lost.
constexpr base::clock::duration response_grace_period{2'000};
/// Keeps the seeds of the threads' schedules and contents apart.
constexpr std::uint64_t seeds_per_thread = 2;

std::uint64_t seed_of(const load_plan& plan, std::size_t number) {
    return plan->profile_->seed_ * seeds_per_thread * plan->threads_ + number * seeds_per_thread;
}

std::vector<double> rates_of(const load_plan& plan) {
    std::vector<double> rates;
    for (const auto& work : plan->profile_->work_) {
        rates.push_back(work->rate_ / static_cast<double>(plan->threads_));
    }
    return rates;
}

std::string name_of(const load_plan& plan, std::size_t number) {
    return plan->run_name_ + '.' + std::to_string(number);
}

} // namespace

load_thread::load_thread(load_plan plan, std::size_t number)
    : plan_{std::move(plan)}, schedule_{rates_of(plan_), seed_of(plan_, number)},
      maker_{name_of(plan_, number), seed_of(plan_, number) + 1}, sessions_{name_of(plan_, number) + ".s",
                                                                            plan_->profile_->sessions_ /
                                                                                plan_->threads_},
      connections_{plan_->daemons_}, next_daemon_{number}, results_(plan_->profile_->work_.size()) {}

void load_thread::run() {
    asio::co_spawn(context_, follow_schedule(), asio::detached);
    context_.run();
}

const work_class& load_thread::work_of(arrival due) const {
    return plan_->profile_->work_[due.work_];
}

std::chrono::microseconds load_thread::since_start(steady_time moment) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(moment - plan_->start_);
}

asio::awaitable<void> load_thread::follow_schedule() {
    const auto executor = co_await asio::this_coro::executor;
    const std::chrono::seconds length{plan_->profile_->seconds_};
    asio::steady_timer timer{executor};
    for (auto due = schedule_.next(); due && due->due_ < length; due = schedule_.next()) {
        timer.expires_at(plan_->start_ + due->due_);
        co_await timer.async_wait(asio::use_awaitable);
        auto& result = results_[due->work_];
        result.count_offered();
        if (open_ >= plan_->most_open_) {
            result.count_unsent();
            continue;
        }
        ++open_;
        if (maker_.draw_percent(work_of(*due)->session_percent_)) {
            asio::co_spawn(executor, perform_in_session(*due), asio::detached);
        } else {
            asio::co_spawn(executor, perform(*due), asio::detached);
        }
    }
}

asio::awaitable<void> load_thread::perform(arrival due) {
    const auto request = maker_.make(work_of(due));
    co_await submit_and_repeat(request, due);
    --open_;
}

asio::awaitable<void> load_thread::perform_in_session(arrival due) {
    auto owner = sessions_.take();
    const auto request = maker_.make(work_of(due), owner);
    const auto response = co_await submit_and_repeat(request, due);
    if (!response->token_.empty()) {
        owner.tokens_[work_of(due)->service_] = response->token_;
    }
    sessions_.give_back(std::move(owner));
    --open_;
}

asio::awaitable<caller_response> load_thread::submit_and_repeat(submission request, arrival due) {
    const auto response = co_await submit(request, due);
    const auto answered = since_start(std::chrono::steady_clock::now());
    results_[due.work_].count_response(response, answered - due.due_);
    if (response->outcome_ == base::outcome::done &&
        answered < std::chrono::seconds{plan_->profile_->seconds_}) {
        results_[due.work_].count_done_in_run();
    }
    if (request->key_.empty() || !maker_.draw_percent(request->work_->repeat_percent_)) {
        co_return response;
    }
    results_[due.work_].count_repeat();
    auto repeated = co_await submit(request, due);
    if (repeated->token_.empty()) {
        co_return response;
    }
    co_return repeated;
}

asio::awaitable<caller_response> load_thread::submit(submission request, arrival due) {
    const auto sent = std::chrono::steady_clock::now();
    if (plan_->one_way_.count() > 0) {
        co_await http::sleep_for(plan_->one_way_);
    }
    const auto timeout = request->work_->deadline_ + response_grace_period;
    const auto message = encode_submission(request);
    const auto daemon = next_daemon_++;
    auto response = co_await connections_.ask(daemon, message, timeout);
    if (plan_->one_way_.count() > 0) {
        co_await http::sleep_for(plan_->one_way_);
    }
    if (plan_->history_ == history_use::keep) {
        keep(request, response, due, sent);
    }
    co_return response;
}

void load_thread::keep(const submission& request, const caller_response& response, arrival due,
                       steady_time sent) {
    records_.emplace_back(
        history::request_record_fields{.session_ = request->session_,
                                       .sequence_ = request->sequence_,
                                       .scheduled_us_ = due.due_.count(),
                                       .sent_us_ = since_start(sent).count(),
                                       .answered_us_ = since_start(std::chrono::steady_clock::now()).count(),
                                       .work_ = request->work_->name_,
                                       .service_ = request->work_->service_,
                                       .tenant_ = request->tenant_,
                                       .access_ = request->work_->access_,
                                       .statements_ = request->statements_,
                                       .key_ = request->key_,
                                       .outcome_ = response->outcome_,
                                       .error_ = response->error_,
                                       .results_ = response->results_,
                                       .served_by_ = response->served_by_,
                                       .token_ = response->token_});
}

} // namespace sassafras_load
