#include <proxy/entry.hpp>

#include <daemons/throttle_table.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
using base::clock;
using base::error_kind;
using base::outcome;

using forward_result = base::result<base::response>;

const base::response done{base::response_fields{.outcome_ = outcome::done}};
const base::error unsent{error_kind::connection_failed, "refused"};
const base::error lost{error_kind::answer_lost, "reset"};

/// Serves the groups whose home is this daemon.
struct own_groups {
    asio::awaitable<base::response> execute(proxy::routed_request routed) {
        asked_.push_back(routed);
        co_return done;
    }
    std::vector<proxy::routed_request> asked_;
};

/// Gives the scripted results in turn, the last one again and again.
struct scripted_forwarder {
    asio::awaitable<forward_result> forward(base::endpoint peer, base::request request,
                                            clock::duration /*timeout*/) {
        peers_.push_back(peer.port());
        requests_.push_back(request);
        throttles_ = later_throttles_.value_or(throttles_);
        const forward_result next = script_.front();
        if (script_.size() > 1) {
            script_.pop_front();
        }
        co_return next;
    }
    [[nodiscard]] std::optional<clock::duration> find_throttle_delay(const base::endpoint& /*peer*/,
                                                                     std::string_view group,
                                                                     std::string_view rank,
                                                                     base::database_role role) const {
        return throttles_.find_refusal(group, rank, role, clock::now(), 0);
    }
    daemons::throttle_table throttles_;
    /// In force from the next forwarded request on.
    std::optional<daemons::throttle_table> later_throttles_;
    std::deque<forward_result> script_;
    std::vector<std::uint16_t> peers_;
    std::vector<base::request> requests_;
};

daemons::member member_of(const std::string& name, std::uint16_t port) {
    return daemons::member_fields{.name_ = name, .address_ = {"127.0.0.1", port}};
}

operators::configuration sample_configuration() {
    const operators::service_declaration ledger{operators::service_declaration_fields{
        .name_ = "ledger",
        .ranks_ = {{.name_ = "payout", .deadline_ = clock::duration{300}}},
        .read_classes_ = {{.name_ = "fresh"}}}};
    return operators::configuration_fields{.revision_ = 1, .services_ = {ledger}};
}

class entry : public testing::Test {
protected:
    using tested_entry = proxy::entry<own_groups, scripted_forwarder, base::clock>;

    base::response ask(const base::request& request, std::deque<forward_result> script) {
        forwarder_.script_ = std::move(script);
        forwarder_.requests_.clear();
        asio::io_context context{1};
        std::optional<base::response> answered;
        const auto task = [&]() -> asio::awaitable<void> {
            answered = co_await entry_.response(request);
        };
        asio::co_spawn(context, task, asio::detached);
        context.run_for(std::chrono::seconds{20});
        EXPECT_TRUE(answered) << "the request hangs";
        return answered.value_or(base::response{base::response_fields{}});
    }

    static base::request read_request() {
        return base::request_fields{
            .service_ = "ledger", .tenant_ = "zagreb", .rank_ = "payout", .statements_ = {"get a"}};
    }

    static base::request write_request(std::optional<std::string> key) {
        return read_request().with([&](auto& fields) {
            fields.access_ = base::access::write;
            fields.statements_ = {"add a 1"};
            fields.idempotency_key_ = key;
        });
    }

    static base::request outcome_request() {
        return write_request("k").with([](auto& fields) {
            fields.access_ = base::access::settle;
            fields.statements_.clear();
        });
    }

    void set_members(std::vector<daemons::member> members) {
        members_.publish(daemons::member_list{std::move(members)});
    }

    base::snapshot<operators::configuration> configuration_{sample_configuration()};
    base::snapshot<daemons::member_list> members_{daemons::member_list{{member_of("entry-2", 2)}}};
    proxy::daemon_state state_{operators::daemon_settings_fields{.name_ = "entry-1"}, "run", configuration_,
                               members_};
    own_groups owners_;
    scripted_forwarder forwarder_;
    base::clock clock_;
    tested_entry entry_{state_, owners_, forwarder_, clock_};
};

base::response refused(error_kind kind) {
    return base::not_run(base::error{kind, "refused by the home"}, clock::duration{50});
}

} // namespace

// Guards against requests that leave the daemon although it is the home, and that lose their deadline.
TEST_F(entry, serves_the_groups_of_this_daemon_here) {
    set_members({member_of("entry-1", 1)});
    EXPECT_EQ(ask(read_request(), {unsent})->outcome_, outcome::done);
    EXPECT_TRUE(forwarder_.requests_.empty());
    ASSERT_EQ(owners_.asked_.size(), 1U);
    EXPECT_GT(owners_.asked_.front()->request_->time_left_, clock::duration{0});
}

// Guards against giving up a request that is harmless to send again.
TEST_F(entry, harmless_requests_are_forwarded_again) {
    EXPECT_EQ(ask(write_request(std::nullopt), {unsent, done})->outcome_, outcome::done);
    for (const auto& request : {read_request(), write_request("k"), outcome_request()}) {
        for (const auto& failure : {unsent, lost}) {
            EXPECT_EQ(ask(request, {failure, done})->outcome_, outcome::done);
            EXPECT_EQ(forwarder_.requests_.size(), 2U);
        }
    }
}

// Guards against a write without a key that runs at two homes.
TEST_F(entry, a_write_without_key_is_not_forwarded_again_after_a_lost_response) {
    EXPECT_EQ(ask(write_request(std::nullopt), {lost, done})->outcome_, outcome::unknown);
    EXPECT_EQ(forwarder_.requests_.size(), 1U);
}

// Guards against a step that goes to the present home instead of the daemon that holds the transaction.
TEST_F(entry, steps_of_a_transaction_go_to_its_holder_once) {
    const auto step = write_request("k").with([](auto& fields) {
        fields.step_ = base::transaction_step::commit;
        fields.transaction_ = proxy::transaction_handle{"entry-3", 9}.to_string();
    });
    set_members({member_of("entry-2", 2), member_of("entry-3", 3)});
    EXPECT_EQ(ask(step, {lost, done})->outcome_, outcome::unknown);
    EXPECT_EQ(ask(step, {unsent, done})->outcome_, outcome::not_run);
    EXPECT_EQ(forwarder_.peers_, (std::vector<std::uint16_t>{3, 3}));
}

// Guards against "not run" for a write whose first answer was lost: the second home, or the failure to reach
// one, tells nothing about the first attempt. Only a settled cancellation does.
TEST_F(entry, after_a_lost_response_only_a_cancellation_counts_as_not_run) {
    const auto write = write_request("k");
    for (const auto kind : {error_kind::overloaded, error_kind::no_primary, error_kind::deadline_expired}) {
        EXPECT_EQ(ask(write, {refused(kind)})->outcome_, outcome::not_run);
        EXPECT_EQ(ask(write, {lost, refused(kind)})->outcome_, outcome::unknown);
    }
    EXPECT_EQ(ask(write, {unsent})->outcome_, outcome::not_run);
    EXPECT_EQ(ask(write, {lost, unsent})->outcome_, outcome::unknown);
    EXPECT_EQ(ask(write, {lost, refused(error_kind::key_cancelled)})->outcome_, outcome::not_run);
    EXPECT_EQ(ask(read_request(), {lost, refused(error_kind::overloaded)})->outcome_, outcome::not_run);
    set_members({});
    EXPECT_EQ(ask(write, {lost})->outcome_, outcome::not_run);
}

// Guards against requests that are sent to a home only to be refused there, and against a notice that stops
// what has to go through: steps of open transactions, questions for an outcome, and repeats of a lost write.
TEST_F(entry, throttled_requests_are_refused_at_the_edge) {
    const daemons::throttle_notice notice{daemons::throttle_notice_fields{
        "ledger", "payout", base::database_role::primary, 0, clock::duration{900}}};
    forwarder_.throttles_ = forwarder_.throttles_.with(std::span{&notice, 1}, clock::now());
    const auto begin =
        write_request("k").with([](auto& fields) { fields.step_ = base::transaction_step::begin; });
    for (const auto& request : {write_request("k"), write_request(std::nullopt), read_request(), begin}) {
        const auto refused_here = ask(request, {done});
        EXPECT_EQ(refused_here->outcome_, outcome::not_run);
        EXPECT_EQ(refused_here->error_->kind(), error_kind::overloaded);
        EXPECT_GT(refused_here->retry_after_, clock::duration{0});
        EXPECT_TRUE(forwarder_.requests_.empty());
    }
    EXPECT_EQ(ask(outcome_request(), {done})->outcome_, outcome::done);
    const auto commit = begin.with([](auto& fields) {
        fields.step_ = base::transaction_step::commit;
        fields.transaction_ = proxy::transaction_handle{"entry-2", 9}.to_string();
    });
    EXPECT_EQ(ask(commit, {done})->outcome_, outcome::done);
    forwarder_.later_throttles_ = std::exchange(forwarder_.throttles_, daemons::throttle_table{});
    EXPECT_EQ(ask(write_request("k"), {lost, done})->outcome_, outcome::done);
    set_members({member_of("entry-1", 1)});
    EXPECT_EQ(ask(write_request("k"), {unsent})->outcome_, outcome::done);
}

// Guards against a question for an outcome that is answered "not run" because the question itself failed.
TEST_F(entry, a_failed_outcome_request_says_nothing_about_its_key) {
    EXPECT_EQ(ask(outcome_request(), {unsent})->outcome_, outcome::unknown);
    EXPECT_EQ(ask(outcome_request(), {refused(error_kind::unknown_service)})->outcome_, outcome::unknown);
    EXPECT_EQ(ask(outcome_request(), {refused(error_kind::key_cancelled)})->outcome_, outcome::not_run);
    set_members({});
    EXPECT_EQ(ask(outcome_request(), {unsent})->outcome_, outcome::unknown);
}
