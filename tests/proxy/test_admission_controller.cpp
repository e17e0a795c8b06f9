#include <backends/admission_queue.hpp>
#include <backends/first_come_first_served_queue.hpp>
#include <proxy/admission_controller.hpp>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using base::clock;

constexpr clock::duration long_timeout{600'000};

template <typename Queue>
class admission_controller : public testing::Test {
protected:
    using controller = proxy::admission_controller<Queue, base::clock>;

    static operators::service_declaration declaration(std::uint32_t items) {
        return operators::service_declaration_fields{.name_ = "ledger",
                                                     .slots_ = 2,
                                                     .queue_items_ = items,
                                                     .ranks_ = {{.name_ = "payout"}},
                                                     .read_classes_ = {{.name_ = "fresh"}}};
    }

    void run(const std::function<asio::awaitable<void>()>& test) {
        asio::co_spawn(context_, test, asio::detached);
        context_.run_for(std::chrono::seconds{20});
        EXPECT_TRUE(context_.stopped()) << "the test hangs";
    }

    /// Requests a slot and stores the ticket or the refusal.
    void spawn(clock::duration timeout) { asio::co_spawn(context_, admit(timeout), asio::detached); }

    asio::awaitable<void> admit(clock::duration timeout) {
        const backends::queue_item item{backends::queue_item_fields{
            .rank_ = "payout", .tenant_ = "zagreb", .deadline_ = clock::now() + timeout}};
        auto admission = co_await controller_->admit(item);
        if (admission.ticket_) {
            tickets_.push_back(std::move(*admission.ticket_));
        } else {
            refusals_.push_back(admission.refusal_->reason_.kind());
        }
    }

    static asio::awaitable<void> let_tasks_run() { co_await http::sleep_for(clock::duration{60}); }

    asio::io_context context_{1};
    std::shared_ptr<controller> controller_ =
        std::make_shared<controller>(context_.get_executor(), declaration(4), base::clock{});
    std::vector<typename controller::ticket> tickets_;
    std::vector<base::error_kind> refusals_;
};

using queues = testing::Types<backends::admission_queue, backends::first_come_first_served_queue>;
TYPED_TEST_SUITE(admission_controller, queues);

} // namespace

// Guards against more running requests than slots, and against a slot that stays taken after its request
// ended.
TYPED_TEST(admission_controller, runs_as_many_as_there_are_slots) {
    this->run([this]() -> asio::awaitable<void> {
        for (int index = 0; index < 4; ++index) {
            this->spawn(long_timeout);
        }
        co_await this->let_tasks_run();
        EXPECT_TRUE(this->tickets_.empty());
        this->controller_->set_slots(2);
        co_await this->let_tasks_run();
        EXPECT_EQ(this->tickets_.size(), 2U);
        EXPECT_EQ(this->controller_->running(), 2U);
        this->tickets_.front().release();
        co_await this->let_tasks_run();
        EXPECT_EQ(this->tickets_.size(), 3U);
        this->controller_->set_slots(0);
        this->tickets_.clear();
        co_await this->let_tasks_run();
        EXPECT_TRUE(this->tickets_.empty());
        this->controller_->set_slots(1);
        co_await this->let_tasks_run();
        EXPECT_EQ(this->tickets_.size(), 1U);
        this->tickets_.clear();
        EXPECT_TRUE(this->controller_->is_idle());
    });
}

// Guards against a full queue that accepts more requests, and against an expired request that gets a slot
// after its caller was told that it did not run.
TYPED_TEST(admission_controller, full_queues_and_expired_deadlines_refuse) {
    this->run([this]() -> asio::awaitable<void> {
        for (int index = 0; index < 6; ++index) {
            this->spawn(clock::duration{100});
        }
        co_await http::sleep_for(clock::duration{20});
        EXPECT_EQ(this->refusals_, (std::vector{base::error_kind::overloaded, base::error_kind::overloaded}));
        while (this->refusals_.size() < 6) {
            co_await this->let_tasks_run();
        }
        EXPECT_EQ(
            std::count(this->refusals_.begin(), this->refusals_.end(), base::error_kind::deadline_expired),
            4);
        this->controller_->set_slots(2);
        co_await this->let_tasks_run();
        EXPECT_TRUE(this->tickets_.empty());
        EXPECT_TRUE(this->controller_->is_idle());
    });
}

// Guards against requests that wait until their deadlines in the queue of a closed group.
TYPED_TEST(admission_controller, stop_refuses_waiting_and_later_requests) {
    this->run([this]() -> asio::awaitable<void> {
        this->controller_->set_slots(1);
        this->spawn(long_timeout);
        this->spawn(long_timeout);
        co_await this->let_tasks_run();
        EXPECT_EQ(this->tickets_.size(), 1U);
        this->controller_->stop();
        this->spawn(long_timeout);
        co_await this->let_tasks_run();
        EXPECT_EQ(this->refusals_,
                  (std::vector{base::error_kind::shutting_down, base::error_kind::shutting_down}));
        this->tickets_.clear();
        co_await this->let_tasks_run();
        EXPECT_TRUE(this->controller_->is_idle());
    });
}
