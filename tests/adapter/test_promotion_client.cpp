#include <adapter/promotion_client.hpp>
#include <http/listener.hpp>
#include <stand_ins/session_platform/store_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
using backends::promotion_outcome;

constexpr std::uint16_t port = 26'950;
constexpr std::uint64_t token = 16;
constexpr unsigned status_ok = 200;

class promotion_client : public ::testing::Test {
protected:
    /// Plays one call. Precondition: something listens at `address_`.
    [[nodiscard]] std::optional<promotion_outcome> promote(std::function<bool()> may_send) {
        backends::promotion_request request{"svc", "i-1", "d0", token};
        std::optional<promotion_outcome> outcome;
        asio::co_spawn(context_, client_.promote(std::move(request), std::move(may_send)),
                       [this, &outcome](const std::exception_ptr& failure, promotion_outcome result) {
                           EXPECT_FALSE(failure);
                           outcome = result;
                           context_.stop();
                       });
        context_.run();
        return outcome;
    }

    const base::endpoint address_{"127.0.0.1", port};
    asio::io_context context_;
    adapter::promotion_client client_{address_, base::clock::duration{600}};
};

TEST_F(promotion_client, SendsTheRequestWithItsToken) {
    std::vector<std::string> promoted;
    const auto record_promotion = [&promoted](const std::string& /*service*/, const std::string& id) {
        promoted.push_back(id);
        return status_ok;
    };
    stand_ins::store_server platform{context_.get_executor(), record_promotion};
    ASSERT_TRUE(platform.listen(address_));
    EXPECT_EQ(promote([] { return true; }), promotion_outcome::accepted);
    EXPECT_EQ(promoted, std::vector<std::string>{"i-1"});
    EXPECT_EQ(platform.promotion_tokens(), std::vector<std::uint64_t>{token});
}

// Guards against the call of a leader that was replaced while it connected (review/8).
TEST_F(promotion_client, SendsNothingWhenTheLeadershipEndsWhileItConnects) {
    auto listener = http::listener::open(context_.get_executor(), address_);
    ASSERT_TRUE(listener);
    // The leadership ends with the connection's arrival.
    const auto is_still_leader = [&listener] {
        return !listener->accept_pending().has_value();
    };
    EXPECT_EQ(promote(is_still_leader), promotion_outcome::not_sent);
}

} // namespace
