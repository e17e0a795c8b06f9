#include <tests/stand_ins/conversation.hpp>

#include <http/client_connection.hpp>
#include <http/sleep.hpp>

#include <gtest/gtest.h>

#include <map>

namespace tests {

namespace asio = boost::asio;

namespace {

constexpr base::clock::duration time_limit{5'000};
constexpr base::clock::duration short_limit{60};

asio::awaitable<std::string> make_step(http::client_connection& connection, const conversation_step& step) {
    if (step.path_ == "close") {
        connection.close();
        // Gives the server's thread, which is this one, the time to see the end of the connection.
        co_await http::sleep_for(short_limit);
        co_return step.expected_;
    }
    auto message = http::json_post(step.path_, step.body_);
    const auto limit = step.expected_ == "timeout" ? short_limit : time_limit;
    const auto answer = co_await connection.exchange(std::move(message), limit);
    co_return answer ? (*answer)->body_ : std::string{base::name_of(answer.last_reason().kind())};
}

} // namespace

asio::awaitable<void> hold_conversation(base::endpoint peer, std::vector<conversation_step> steps) {
    std::map<std::size_t, http::client_connection> connections;
    for (const auto& step : steps) {
        auto found = connections.find(step.connection_);
        if (found == connections.end()) {
            auto connected = co_await http::client_connection::connect(peer, time_limit);
            EXPECT_TRUE(connected);
            found = connections.emplace(step.connection_, std::move(*connected)).first;
        }
        const auto answer = co_await make_step(found->second, step);
        EXPECT_NE(answer.find(step.expected_), std::string::npos)
            << step.path_ << " " << step.body_ << " was answered with " << answer << " instead of "
            << step.expected_;
    }
}

} // namespace tests
