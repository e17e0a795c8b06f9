#pragma once

#include <utilities/history/request_record.hpp>
#include <utilities/sassafras_load/arrival_schedule.hpp>
#include <utilities/sassafras_load/daemon_connections.hpp>
#include <utilities/sassafras_load/load_plan.hpp>
#include <utilities/sassafras_load/session_pool.hpp>
#include <utilities/sassafras_load/submission_maker.hpp>
#include <utilities/sassafras_load/work_result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <vector>

namespace sassafras_load {

/// One thread's part of a run: a fraction of all rates and of all sessions.
/// Thread safety: `run` on one thread; the results may be read after it has returned.
class load_thread {
public:
    /// Precondition: `number` is below the plan's count of threads.
    load_thread(load_plan plan, std::size_t number);

    /// Sends all requests of the schedule and returns after the last answer.
    void run();

    /// Returns the counts by work class, in the order of the profile.
    [[nodiscard]] const std::vector<work_result>& results() const noexcept { return results_; }
    /// Returns what was sent and answered; empty unless the plan keeps a history.
    [[nodiscard]] const std::vector<history::request_record>& records() const noexcept { return records_; }

private:
    using steady_time = std::chrono::steady_clock::time_point;

    [[nodiscard]] boost::asio::awaitable<void> follow_schedule();
    [[nodiscard]] boost::asio::awaitable<void> perform(arrival due);
    [[nodiscard]] boost::asio::awaitable<void> perform_in_session(arrival due);
    [[nodiscard]] boost::asio::awaitable<caller_response> submit(submission request, arrival due);
    [[nodiscard]] boost::asio::awaitable<caller_response> submit_and_repeat(submission request, arrival due);
    void keep(const submission& request, const caller_response& response, arrival due, steady_time sent);
    [[nodiscard]] const work_class& work_of(arrival due) const;
    [[nodiscard]] std::chrono::microseconds since_start(steady_time moment) const;

    /// Stands before the connections, whose sockets refer to it until they are destroyed.
    boost::asio::io_context context_{1};
    load_plan plan_;
    arrival_schedule schedule_;
    submission_maker maker_;
    session_pool sessions_;
    daemon_connections connections_;
    std::size_t open_ = 0;
    std::size_t next_daemon_;
    std::vector<work_result> results_;
    std::vector<history::request_record> records_;
};

} // namespace sassafras_load
