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

/// The real clock with jumps that a test makes.
struct skipping_clock {
    [[nodiscard]] base::clock::time_point now() const { return base::clock::now() + *skipped_; }
    std::shared_ptr<base::clock::duration> skipped_ = std::make_shared<base::clock::duration>(0);
};

/// Keeps the notices that a home sends.
struct announcer {
    void operator()(std::span<const daemons::throttle_notice> notices) const {
        announced_->insert(announced_->end(), notices.begin(), notices.end());
    }
    std::shared_ptr<std::vector<daemons::throttle_notice>> announced_;
};

/// Long enough for a takeover.
inline constexpr base::clock::duration patience{8'000};

/// A home over a group in memory, and a way to ask it.
class running_owner {
public:
    using owner = proxy::group_owner<backends::admission_queue, connector, skipping_clock, check, announcer>;

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
              connector{&group_}, clock_, check{&group_}, announcer{announced_})} {}

    /// Runs a test against the started home and then stops it.
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

    void spawn(std::function<boost::asio::awaitable<void>()> part) {
        parts_.push_back(std::make_unique<std::function<boost::asio::awaitable<void>()>>(std::move(part)));
        boost::asio::co_spawn(context_, *parts_.back(), boost::asio::detached);
    }

    [[nodiscard]] boost::asio::awaitable<base::response> ask(base::request request) {
        const operators::configuration configuration{operators::configuration_fields{
            .services_ = std::vector<operators::service_declaration>{declaration_}}};
        const auto routed = proxy::route(configuration, request);
        co_return co_await owner_->execute(*routed);
    }

    /// Waits until a condition holds; a test that waits in vain fails as one that hangs.
    [[nodiscard]] static boost::asio::awaitable<void> wait_until(std::function<bool()> condition) {
        while (!condition()) {
            co_await http::sleep_for(base::clock::duration{2});
        }
    }

    [[nodiscard]] database& primary() { return group_.databases_[0]; }

    boost::asio::io_context context_{1};
    skipping_clock clock_;
    group group_;
    operators::service_declaration declaration_;
    std::shared_ptr<std::vector<daemons::throttle_notice>> announced_ =
        std::make_shared<std::vector<daemons::throttle_notice>>();
    std::shared_ptr<owner> owner_;

private:
    std::vector<std::unique_ptr<std::function<boost::asio::awaitable<void>()>>> parts_;
    bool finished_ = false;
};

inline base::request read_request(base::clock::duration time = patience) {
    return base::request_fields{.service_ = "ledger",
                                .tenant_ = "zagreb",
                                .rank_ = "payout",
                                .statements_ = {"get a"},
                                .time_left_ = time};
}

inline base::request write_request(std::string statement, base::clock::duration time = patience) {
    return read_request(time).with([&](auto& fields) {
        fields.access_ = base::access::write;
        fields.statements_ = {std::move(statement)};
    });
}

inline base::request keyed_write(std::string statement, std::string key,
                                 base::clock::duration time = patience) {
    return write_request(std::move(statement), time).with([&](auto& fields) {
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
