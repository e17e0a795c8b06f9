#pragma once

#include <backends/database_line.hpp>
#include <backends/database_listing.hpp>
#include <backends/promotion_choice.hpp>
#include <base/clock.hpp>
#include <base/result.hpp>
#include <http/wait_signal.hpp>
#include <proxy/background_task.hpp>
#include <proxy/database_request.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// What the databases of a service report to the takeover that chooses a new primary.
///
/// The databases are asked at the same time and again and again. One that has not answered, for whatever
/// reason, stays known as missing: a takeover that took it for absent would promote another database without
/// the commits that only this one holds. Thread safety: used by the thread of its context only. Lifetime:
/// owned by a `std::shared_ptr`; its requests keep it alive.
template <typename Protocol>
class candidate_reports : public std::enable_shared_from_this<candidate_reports<Protocol>> {
public:
    candidate_reports(boost::asio::io_context& context, task_failure_log failures)
        : context_{context}, failures_{std::move(failures)} {}

    /// Sends a request to each database that is due and has none under way. Databases that are no longer
    /// listed are forgotten, and so is the report of one that has started again since.
    void ask(const std::vector<backends::database_listing>& databases, base::clock::time_point now) {
        std::erase_if(entries_, [&databases](const auto& known) {
            return std::none_of(databases.begin(), databases.end(), [&known](const auto& listing) {
                return listing->id_ == known.first && is_same_run(listing, known.second.listing_);
            });
        });
        for (const auto& listing : databases) {
            auto& known = entries_.try_emplace(listing->id_, listing, now).first->second;
            known.listing_ = listing;
            if (!known.is_asked_ && now >= known.next_request_at_) {
                known.is_asked_ = true;
                boost::asio::co_spawn(context_, request(this->shared_from_this(), listing, known.timeout_),
                                      failures_);
            }
        }
    }

    /// Waits until a request has ended, for at most `timeout`.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_change(base::clock::duration timeout) {
        co_await changed_.wait_for(timeout);
    }

    /// Returns the databases that have reported recently.
    [[nodiscard]] std::vector<backends::promotion_candidate> reported(base::clock::time_point now) const {
        std::vector<backends::promotion_candidate> found;
        for (const auto& [id, known] : entries_) {
            if (known.has_recent_report(now)) {
                found.push_back(
                    {id, *known.report_, known.listing_->state_ == backends::listed_state::draining});
            }
        }
        return found;
    }

    /// Returns the databases that have not reported recently.
    [[nodiscard]] std::vector<backends::missing_report> missing(base::clock::time_point now) const {
        std::vector<backends::missing_report> found;
        for (const auto& [id, known] : entries_) {
            if (!known.has_recent_report(now)) {
                found.push_back({id, known.reason_, now - known.missing_since_});
            }
        }
        return found;
    }

private:
    struct entry {
        entry(backends::database_listing listing, base::clock::time_point now)
            : listing_{std::move(listing)}, missing_since_{now} {}

        [[nodiscard]] bool has_recent_report(base::clock::time_point now) const {
            return report_ && now - missing_since_ <= max_report_age;
        }

        backends::database_listing listing_;
        std::optional<backends::database_report> report_;
        /// When the last report arrived, or the database became known.
        base::clock::time_point missing_since_;
        std::string reason_;
        bool is_asked_ = false;
        base::clock::time_point next_request_at_{};
        base::clock::duration timeout_ = default_report_timeout;
    };

    [[nodiscard]] static bool is_same_run(const backends::database_listing& first,
                                          const backends::database_listing& second) {
        return first->started_at_ == second->started_at_ && first->address_ == second->address_;
    }

    static boost::asio::awaitable<void> request(std::shared_ptr<candidate_reports> self,
                                                backends::database_listing database,
                                                base::clock::duration timeout) {
        std::exception_ptr exception;
        base::result<backends::database_report> report{
            base::error{base::error_kind::internal, "the request ended unexpectedly"}};
        try {
            auto message = Protocol::status();
            report = co_await ask_database<Protocol>(self->context_, database, std::move(message), timeout);
        } catch (...) {
            exception = std::current_exception();
        }
        self->record(database, report, base::clock::now());
        if (exception) {
            std::rethrow_exception(exception);
        }
    }

    void record(const backends::database_listing& database,
                const base::result<backends::database_report>& report, base::clock::time_point now) {
        const auto found = entries_.find(database->id_);
        if (found == entries_.end() || !is_same_run(found->second.listing_, database)) {
            return;
        }
        auto& known = found->second;
        known.is_asked_ = false;
        known.next_request_at_ = now + request_interval;
        if (report) {
            known.report_ = *report;
            known.missing_since_ = now;
            known.reason_.clear();
        } else {
            known.reason_ = report.last_reason().message();
            // A slow database answers a request that waits long enough.
            if (report.last_reason().kind() != base::error_kind::overloaded) {
                known.timeout_ = std::min(known.timeout_ * 2, max_request_timeout);
            }
        }
        changed_.notify_all();
    }

    static constexpr base::clock::duration request_interval{60};
    static constexpr base::clock::duration max_request_timeout{2'400};
    // A database that has failed since its report cannot be promoted.
    static constexpr base::clock::duration max_report_age{1'000};

    boost::asio::io_context& context_;
    task_failure_log failures_;
    std::map<std::string, entry> entries_;
    http::wait_signal changed_;
};

} // namespace proxy
