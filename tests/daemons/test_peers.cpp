#include <daemons/configuration_spread_service.hpp>
#include <daemons/frame_stream.hpp>
#include <daemons/membership_service.hpp>
#include <daemons/message_codec.hpp>
#include <daemons/peer_client.hpp>
#include <daemons/peer_server.hpp>
#include <operators/configuration.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace daemons;
using base::clock;
namespace asio = boost::asio;

constexpr clock::duration time_limit{5'000};
const base::endpoint local{"127.0.0.1", 19'301};

base::request make_request(std::uint64_t id, const std::string& statement) {
    return base::request_fields{.id_ = id, .service_ = "ledger", .statements_ = {statement}};
}

/// Responds with the statement; responds to `slow` only after the test releases it, and throws for `throw`.
struct echo_handler {
    asio::awaitable<base::response> forward(base::request message) {
        ++*handled_;
        const auto statement = message->statements_.front();
        while (statement == "slow" && !*released_) {
            co_await http::sleep_for(clock::duration{5});
        }
        if (statement == "throw") {
            throw std::runtime_error{"handler"};
        }
        co_return base::response_fields{.outcome_ = base::outcome::done, .results_ = {statement}};
    }
    asio::awaitable<reachability> check_suspicion(suspicion_check request) {
        co_return request->term_ == 1 ? reachability::reachable : reachability::unreachable;
    }
    asio::awaitable<configuration_offer> fetch_configuration(configuration_fetch request) {
        co_return configuration_offer{configuration_offer_fields{request->known_revision_ + 1, "content"}};
    }
    std::shared_ptr<int> handled_ = std::make_shared<int>(0);
    std::shared_ptr<bool> released_ = std::make_shared<bool>(false);
};

using echo_server = peer_server<echo_handler>;

/// A server and a client that share one I/O context.
class peers {
public:
    explicit peers(peer_limits limits = {}) : limits_{limits} {}

    void start_server() {
        auto socket = http::listener::open(context_.get_executor(), local);
        EXPECT_TRUE(socket);
        server_ =
            std::make_shared<echo_server>(context_.get_executor(), std::move(*socket), handler_, limits_);
        server_->start();
    }

    // Accepts connections without a `peer_server` and runs `serve` for each.
    void serve_manually(std::function<asio::awaitable<void>(std::shared_ptr<frame_stream>, int)> serve) {
        asio::co_spawn(context_, accept_manually(std::move(serve)), asio::detached);
    }

    template <typename Body>
    void spawn(Body work) {
        asio::co_spawn(context_, std::move(work), asio::detached);
    }

    template <typename Body>
    void run(Body work) {
        bool finished = false;
        spawn([&]() -> asio::awaitable<void> {
            co_await work();
            finished = true;
            context_.stop();
        });
        context_.run_for(std::chrono::seconds{20});
        EXPECT_TRUE(finished);
    }

    asio::awaitable<base::result<base::response>> ask(const std::string& statement,
                                                      clock::duration timeout = time_limit) {
        return client_.forward(local, make_request(++last_id_, statement), timeout);
    }

    asio::io_context context_;
    peer_limits limits_;
    echo_handler handler_;
    std::shared_ptr<echo_server> server_;
    peer_client client_{context_.get_executor(), limits_, 1};

private:
    asio::awaitable<void>
    accept_manually(std::function<asio::awaitable<void>(std::shared_ptr<frame_stream>, int)> serve) {
        auto socket = http::listener::open(context_.get_executor(), local);
        for (int number = 0; socket; ++number) {
            auto accepted = co_await socket->accept();
            if (accepted) {
                const auto stream = std::make_shared<frame_stream>(std::move(*accepted));
                asio::co_spawn(context_, serve(stream, number), asio::detached);
            }
        }
    }

    std::uint64_t last_id_ = 0;
};

frame response_to(const frame& request, const std::string& result) {
    return response_frame(request.id(), base::response{base::response_fields{.outcome_ = base::outcome::done,
                                                                             .results_ = {result}}});
}

std::string statement_of(const frame& request) {
    const auto message = read_request(request);
    return message ? (*message)->statements_.front() : "";
}

} // namespace

// Guards against responses that reach the wrong request, and against a slow request that blocks others.
TEST(peer_client, responses_out_of_order_reach_their_requests) {
    peers running;
    running.start_server();
    std::vector<std::string> order;
    running.run([&]() -> asio::awaitable<void> {
        for (const std::string statement : {"slow", "a", "b"}) {
            running.spawn([&, statement]() -> asio::awaitable<void> {
                const auto response = co_await running.ask(statement);
                EXPECT_TRUE(response && (*response)->results_ == std::vector{statement});
                order.push_back(statement);
            });
        }
        while (order.size() < 3) {
            *running.handler_.released_ = order.size() == 2;
            co_await http::sleep_for(clock::duration{10});
        }
        EXPECT_EQ(order.back(), "slow");
        EXPECT_EQ(running.server_->open_connections(), 1U);
    });
}

// Guards against a late response that is accepted as the response to the next request.
TEST(peer_client, a_late_response_is_discarded) {
    peers running;
    running.start_server();
    running.run([&]() -> asio::awaitable<void> {
        const auto connected = co_await running.ask("a");
        EXPECT_TRUE(connected);
        const auto late = co_await running.ask("slow", clock::duration{50});
        EXPECT_TRUE(!late && late.last_reason().kind() == base::error_kind::answer_lost);
        *running.handler_.released_ = true;
        const auto next = co_await running.ask("slow");
        EXPECT_TRUE(next && (*next)->results_.front() == "slow");
        EXPECT_EQ(*running.handler_.handled_, 3);
    });
}

// Guards against reporting that a request may have run when the connection was refused.
TEST(peer_client, without_a_server_nothing_was_sent) {
    peers running;
    running.run([&]() -> asio::awaitable<void> {
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto response = co_await running.ask("a");
            EXPECT_TRUE(!response && response.last_reason().kind() == base::error_kind::connection_failed);
            EXPECT_FALSE(may_have_run(response.last_reason()));
        }
    });
}

// Guards against reporting a request without a response as not run, and against a client that does not
// reconnect.
TEST(peer_client, a_server_that_closes_early_leaves_the_outcome_unknown) {
    peers running;
    running.serve_manually([](std::shared_ptr<frame_stream> stream, int number) -> asio::awaitable<void> {
        const auto request = co_await stream->read();
        if (number > 0 && request) {
            stream->send(response_to(*request, "second"));
            co_await http::sleep_for(time_limit);
        }
        stream->close();
    });
    running.run([&]() -> asio::awaitable<void> {
        const auto first = co_await running.ask("a");
        EXPECT_TRUE(!first && may_have_run(first.last_reason()));
        const auto second = co_await running.ask("b");
        EXPECT_TRUE(second && (*second)->results_.front() == "second");
    });
}

// Guards against the continued use of an unresponsive connection while new ones would work.
TEST(peer_client, a_silent_connection_is_replaced) {
    peers running;
    running.serve_manually([](std::shared_ptr<frame_stream> stream, int number) -> asio::awaitable<void> {
        while (true) {
            const auto request = co_await stream->read();
            if (!request) {
                co_return;
            }
            if (number > 0 && request->type() == frame_type::request) {
                stream->send(response_to(*request, "fresh"));
            }
        }
    });
    running.run([&]() -> asio::awaitable<void> {
        const auto first = co_await running.ask("a", clock::duration{600'000});
        EXPECT_TRUE(!first && may_have_run(first.last_reason()));
        const auto second = co_await running.ask("b");
        EXPECT_TRUE(second && (*second)->results_.front() == "fresh");
    });
}

// Guards against reporting an unsent request as possibly run, and against the reverse.
TEST(frame_stream, only_frames_that_are_not_being_written_can_be_withdrawn) {
    asio::io_context context;
    auto socket = http::listener::open(context.get_executor(), local);
    ASSERT_TRUE(socket);
    asio::ip::tcp::socket connected{context};
    connected.connect({asio::ip::make_address(local.address()), local.port()});
    const auto stream = std::make_shared<frame_stream>(std::move(connected));
    stream->send(frame{frame_type::request, 1, "first"});
    stream->send(frame{frame_type::request, 2, "second"});
    stream->close();
    EXPECT_FALSE(stream->withdraw(1));
    EXPECT_TRUE(stream->withdraw(2));
    EXPECT_FALSE(stream->withdraw(2));
    context.run();
}

// Guards against mismatched responses when a peer responds in reverse order, repeats responses and uses
// unknown ids.
TEST(peer_client, repeated_and_unknown_ids_are_ignored) {
    peers running;
    running.serve_manually([](std::shared_ptr<frame_stream> stream, int /*number*/) -> asio::awaitable<void> {
        std::vector<frame> requests;
        while (requests.size() < 3) {
            auto request = co_await stream->read();
            if (!request) {
                co_return;
            }
            requests.push_back(std::move(*request));
        }
        stream->send(response_to(frame{frame_type::request, 999, {}}, "nobody"));
        std::ranges::reverse(requests);
        for (const auto& request : requests) {
            stream->send(response_to(request, statement_of(request)));
            stream->send(response_to(request, "repeated"));
        }
        co_await http::sleep_for(time_limit);
    });
    int answered = 0;
    running.run([&]() -> asio::awaitable<void> {
        for (const std::string statement : {"a", "b", "c"}) {
            running.spawn([&, statement]() -> asio::awaitable<void> {
                const auto response = co_await running.ask(statement);
                EXPECT_TRUE(response && (*response)->results_.front() == statement);
                ++answered;
            });
        }
        while (answered < 3) {
            co_await http::sleep_for(clock::duration{10});
        }
    });
}

// Guards against an invalid frame that ends other connections or the server.
TEST(peer_server, an_invalid_frame_closes_its_connection_only) {
    peers running;
    running.start_server();
    running.run([&]() -> asio::awaitable<void> {
        const auto before = co_await running.ask("a");
        EXPECT_TRUE(before);
        for (const std::string& bad :
             {std::string(64, '\xff'), encode_frame(frame{frame_type::request, 1, "x"}),
              encode_frame(frame{frame_type::response, 1, {}})}) {
            asio::ip::tcp::socket socket{running.context_};
            socket.connect({asio::ip::make_address(local.address()), local.port()});
            socket.send(asio::buffer(bad));
            frame_stream stream{std::move(socket)};
            const auto closed = co_await stream.read();
            EXPECT_TRUE(!closed && closed.last_reason().kind() == base::error_kind::connection_failed);
        }
        const auto after = co_await running.ask("b");
        EXPECT_TRUE(after);
        EXPECT_EQ(running.server_->open_connections(), 1U);
    });
}

// Guards against a drain that aborts requests in flight, or that runs later ones.
TEST(peer_server, drain_finishes_what_is_in_flight_and_refuses_the_rest) {
    peers running;
    running.start_server();
    running.run([&]() -> asio::awaitable<void> {
        bool finished = false;
        running.spawn([&]() -> asio::awaitable<void> {
            const auto response = co_await running.ask("slow");
            EXPECT_TRUE(response && (*response)->outcome_ == base::outcome::done);
            finished = true;
        });
        while (running.server_->requests_in_flight() == 0) {
            co_await http::sleep_for(clock::duration{5});
        }
        running.server_->drain();
        // The first request may reach the server before the client receives the goodbye frame; neither may
        // run.
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto refused = co_await running.ask("a");
            EXPECT_TRUE(refused ? (*refused)->outcome_ == base::outcome::not_run
                                : !may_have_run(refused.last_reason()));
        }
        *running.handler_.released_ = true;
        while (!finished || running.server_->has_work()) {
            co_await http::sleep_for(clock::duration{5});
        }
        EXPECT_EQ(*running.handler_.handled_, 1);
    });
}

// Guards against unbounded work for one connection; refused requests provably did not run.
TEST(peer_server, requests_beyond_the_bound_are_refused) {
    peers running{{.max_in_flight_ = 2}};
    running.start_server();
    running.limits_.max_in_flight_ = 100;
    peer_client eager{running.context_.get_executor(), running.limits_, 1};
    int done = 0;
    int refused = 0;
    running.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < 10; ++number) {
            running.spawn([&]() -> asio::awaitable<void> {
                const auto message = make_request(1, "slow");
                const auto response = co_await eager.forward(local, message, time_limit);
                const bool ran = response && (*response)->outcome_ == base::outcome::done;
                const bool not_run = response && (*response)->outcome_ == base::outcome::not_run &&
                                     (*response)->error_->kind() == base::error_kind::overloaded;
                done += ran ? 1 : 0;
                refused += not_run ? 1 : 0;
            });
        }
        while (done + refused < 10) {
            *running.handler_.released_ = refused == 8;
            co_await http::sleep_for(clock::duration{10});
        }
    });
    EXPECT_EQ(done, 2);
    EXPECT_EQ(*running.handler_.handled_, 2);
}

// Guards against the loss of other request types, throttle notices or handler failures.
TEST(peer_server, every_kind_of_request_is_answered) {
    peers running;
    running.start_server();
    running.run([&]() -> asio::awaitable<void> {
        const suspicion_check check{suspicion_check_fields{"ledger", local, 1}};
        const auto verdict = co_await running.client_.check_suspicion(local, check, time_limit);
        EXPECT_TRUE(verdict && *verdict == reachability::reachable);
        const auto offer = co_await running.client_.fetch_configuration(local, 6, time_limit);
        EXPECT_TRUE(offer && (*offer)->revision_ == 7);
        const auto failed = co_await running.ask("throw");
        EXPECT_TRUE(failed && (*failed)->outcome_ == base::outcome::unknown);
        const auto primary = base::database_role::primary;
        const throttle_notice notice{throttle_notice_fields{"ledger", "low", primary, 0, time_limit}};
        running.server_->send_throttle_notice(notice);
        const auto after = co_await running.ask("a");
        EXPECT_TRUE(after);
        EXPECT_TRUE(running.client_.find_throttle_delay(local, "ledger", "low", primary));
        EXPECT_FALSE(
            running.client_.find_throttle_delay(local, "ledger", "low", base::database_role::replica));
        EXPECT_FALSE(running.client_.find_throttle_delay(local, "ledger", "high", primary));
        EXPECT_FALSE(running.client_.find_throttle_delay(local, "board", "low", primary));
    });
}

namespace {

std::string encode(const operators::configuration& value) {
    return std::to_string(value->revision_) + " " + value->publisher_;
}

struct text_codec {
    using configuration = operators::configuration;

    std::uint64_t revision_of(const operators::configuration& value) const { return value->revision_; }
    base::result<operators::configuration> decode(std::string_view text) const {
        const auto space = text.find(' ');
        if (space == std::string_view::npos) {
            return base::error{base::error_kind::declaration_invalid, "no space"};
        }
        return operators::configuration{operators::configuration_fields{
            std::stoull(std::string{text.substr(0, space)}), std::string{text.substr(space + 1)}, {}}};
    }
};

/// Fetches directly from the spread services of one test, identified by port.
struct direct_fetcher {
    asio::awaitable<base::result<configuration_offer>>
    fetch_configuration(base::endpoint peer, std::uint64_t known, clock::duration /*timeout*/) {
        const configuration_fetch request{configuration_fetch_fields{known}};
        co_return offers_.at(peer.port())(request);
    }
    std::map<std::uint16_t, std::function<configuration_offer(const configuration_fetch&)>> offers_;
};

using direct_spread = configuration_spread_service<base::clock, direct_fetcher, text_codec>;
using udp_membership = membership_service<base::clock, std::mt19937_64, udp_transport, direct_spread>;

operators::configuration make_configuration(std::uint64_t revision) {
    return operators::configuration_fields{.revision_ = revision, .publisher_ = "operator"};
}

} // namespace

// Guards against services that do not find each other over real sockets, against a configuration that is not
// fetched after announcements, and against activating an invalid one.
TEST(services, members_find_each_other_and_the_newest_configuration_spreads) {
    asio::io_context context;
    direct_fetcher fetcher;
    fetcher.offers_[1] = [](const auto&) {
        return configuration_offer{configuration_offer_fields{900, "garbage"}};
    };
    std::map<std::uint16_t, std::shared_ptr<direct_spread>> spreads;
    std::vector<std::shared_ptr<udp_membership>> members;
    for (std::uint16_t port = 19'310; port < 19'314; ++port) {
        auto spread = std::make_shared<direct_spread>(context.get_executor(), fetcher, text_codec{});
        spreads[port] = spread;
        fetcher.offers_[port] = [spread](const configuration_fetch& fetch) {
            return spread->offer(fetch);
        };
        spread->start({});
        EXPECT_EQ(spread->phase(), spread_phase::asking_store);
        const base::endpoint address{"127.0.0.1", port};
        const member self{member_fields{std::to_string(port), address, "zagreb", "rack"}};
        membership_settings settings;
        settings.seeds_ = {{"127.0.0.1", 19'310}};
        auto transport = udp_transport::open(context.get_executor(), address);
        ASSERT_TRUE(transport);
        members.push_back(std::make_shared<udp_membership>(
            context.get_executor(), self, settings, std::move(*transport), std::mt19937_64{port}, *spread));
        members.back()->start();
    }
    auto& first = *spreads.at(19'310);
    EXPECT_TRUE(first.accept_from_store(make_configuration(8), encode(make_configuration(8))));
    EXPECT_FALSE(first.accept_from_store(make_configuration(7), encode(make_configuration(7))));
    spreads.at(19'312)->note_announcement({{"127.0.0.1", 1}, 900});
    const auto settled = [&] {
        return std::ranges::all_of(members,
                                   [](const auto& one) {
                                       return one->members().read([](const member_list& list) {
                                           return list.serving().size() == 4;
                                       });
                                   }) &&
               std::ranges::all_of(spreads, [](const auto& entry) {
                   return entry.second->revision() == 8 &&
                          (*entry.second->configuration().get())->revision_ == 8;
               });
    };
    for (int turn = 0; turn < 200 && !settled(); ++turn) {
        context.run_for(std::chrono::milliseconds{100});
    }
    EXPECT_TRUE(settled());
    members.back()->leave();
    const auto left = [&] {
        return members.front()->members().read([](const member_list& list) {
            const auto* found = list.find("19313");
            return found != nullptr && (*found)->state_ == member_state::leaving;
        });
    };
    for (int turn = 0; turn < 200 && !left(); ++turn) {
        context.run_for(std::chrono::milliseconds{100});
    }
    EXPECT_TRUE(left());
}
