#pragma once

#include "fake_group.hpp"

#include <backends/admission_queue.hpp>
#include <proxy/group_owner.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace fakes {

/// The real clock plus an offset that a test advances.
struct adjustable_clock {
    [[nodiscard]] base::clock::time_point now() const { return base::clock::now() + *offset_; }
    std::shared_ptr<base::clock::duration> offset_ = std::make_shared<base::clock::duration>(0);
};

/// Records the throttle notices of a group's owner.
struct notice_recorder {
    void operator()(std::span<const daemons::throttle_notice> notices) const {
        announced_->insert(announced_->end(), notices.begin(), notices.end());
    }
    std::shared_ptr<std::vector<daemons::throttle_notice>> announced_;
};

/// Request timeout that is long enough for a takeover.
inline constexpr base::clock::duration long_timeout{8'000};

/// Runs the owner of a group in memory and sends requests to it.
class running_owner {
public:
    using owner = proxy::group_owner<backends::admission_queue, connector, adjustable_clock, suspicion_check,
                                     notice_recorder>;

    explicit running_owner(std::uint32_t slots = 2, std::uint32_t queue_items = 100)
        : declaration_{operators::service_declaration_fields{
              .name_ = "ledger",
              .databases_ = group_.declarations(),
              .slots_ = slots,
              .queue_items_ = queue_items,
              .ranks_ = {{.name_ = "payout", .least_share_percent_ = 50},
                         {.name_ = "batch", .least_share_percent_ = 10}},
              .read_classes_ = {{.name_ = "standing", .staleness_ = base::clock::duration{5'000}},
                                {.name_ = "fresh"}}}},
          owner_{std::make_shared<owner>(
              context_.get_executor(), declaration_,
              proxy::owner_identity{.daemon_ = "entry-1", .proposer_ = "entry-1/1", .random_seed_ = 7},
              connector{&group_}, clock_, suspicion_check{&group_}, notice_recorder{announced_})} {}

    /// Starts the owner, runs a test against it and then stops it.
    void run(const std::function<boost::asio::awaitable<void>()>& test) {
        owner_->start();
        spawn([this, &test]() -> boost::asio::awaitable<void> {
            co_await test();
            owner_->stop();
            finished_ = true;
        });
        context_.run_for(std::chrono::seconds{40});
        EXPECT_TRUE(finished_) << "the test hangs";
    }

    void spawn(std::function<boost::asio::awaitable<void>()> task) {
        tasks_.push_back(std::make_unique<std::function<boost::asio::awaitable<void>()>>(std::move(task)));
        boost::asio::co_spawn(context_, *tasks_.back(), boost::asio::detached);
    }

    [[nodiscard]] boost::asio::awaitable<base::response> send_request(base::request request) {
        const operators::configuration configuration{operators::configuration_fields{
            .services_ = std::vector<operators::service_declaration>{declaration_}}};
        const auto routed = proxy::route(configuration, request);
        co_return co_await owner_->execute(*routed);
    }

    /// Waits until a condition holds. If it never does, `run` fails the test by its time limit.
    [[nodiscard]] static boost::asio::awaitable<void> wait_until(std::function<bool()> condition) {
        while (!condition()) {
            co_await http::sleep_for(base::clock::duration{2});
        }
    }

    [[nodiscard]] database& primary() { return group_.databases_[0]; }

    boost::asio::io_context context_{1};
    adjustable_clock clock_;
    group group_;
    operators::service_declaration declaration_;
    std::shared_ptr<std::vector<daemons::throttle_notice>> announced_ =
        std::make_shared<std::vector<daemons::throttle_notice>>();
    std::shared_ptr<owner> owner_;

private:
    std::vector<std::unique_ptr<std::function<boost::asio::awaitable<void>()>>> tasks_;
    bool finished_ = false;
};

inline base::request read_request(base::clock::duration timeout = long_timeout) {
    return base::request_fields{.service_ = "ledger",
                                .tenant_ = "zagreb",
                                .rank_ = "payout",
                                .statements_ = {"get a"},
                                .time_left_ = timeout};
}

inline base::request write_request(std::string statement, base::clock::duration timeout = long_timeout) {
    return read_request(timeout).with([&](auto& fields) {
        fields.access_ = base::access::write;
        fields.statements_ = {std::move(statement)};
    });
}

inline base::request keyed_write(std::string statement, std::string key,
                                 base::clock::duration timeout = long_timeout) {
    return write_request(std::move(statement), timeout).with([&](auto& fields) {
        fields.idempotency_key_ = std::move(key);
    });
}

inline base::request step_of(base::transaction_step step, std::string handle = {},
                             std::string statement = {}) {
    return write_request(std::move(statement)).with([&](auto& fields) {
        fields.step_ = step;
        fields.transaction_ = std::move(handle);
        if (fields.statements_.front().empty()) {
            fields.statements_.clear();
        }
    });
}

} // namespace fakes
