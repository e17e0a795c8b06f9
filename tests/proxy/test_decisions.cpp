#include <proxy/entry_decision.hpp>
#include <proxy/fingerprint.hpp>
#include <proxy/routing.hpp>
#include <proxy/transaction_handle.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <variant>

namespace {

operators::configuration sample_configuration() {
    const operators::service_declaration ledger{operators::service_declaration_fields{
        .name_ = "ledger",
        .ranks_ = {{.name_ = "payout", .deadline_ = base::clock::duration{900}}, {.name_ = "batch"}},
        .read_classes_ = {{.name_ = "standing", .staleness_ = base::clock::duration{500}},
                          {.name_ = "fresh"}}}};
    return operators::configuration_fields{.revision_ = 4, .services_ = {ledger}};
}

base::request read_of(std::string service, std::string rank) {
    return base::request_fields{.service_ = std::move(service),
                                .tenant_ = "zagreb",
                                .rank_ = std::move(rank),
                                .statements_ = {"get a"}};
}

const base::error reset{base::error_kind::connection_failed, "connection reset"};
constexpr base::clock::duration some_time{100};

} // namespace

// Guards against a request that runs with no deadline or with the staleness of another class.
TEST(routing, fills_in_deadline_and_staleness_from_the_declaration) {
    const auto routed = proxy::route(sample_configuration(), read_of("ledger", "payout"));
    ASSERT_TRUE(routed);
    EXPECT_EQ((*routed)->request_->time_left_, base::clock::duration{900});
    EXPECT_EQ((*routed)->staleness_, base::clock::duration{500});
    const auto fresh =
        proxy::route(sample_configuration(),
                     read_of("ledger", "batch").with([](auto& fields) { fields.read_class_ = "fresh"; }));
    ASSERT_TRUE(fresh);
    EXPECT_EQ((*fresh)->staleness_, base::clock::duration{0});
    EXPECT_EQ((*fresh)->rank_, 1U);
}

// Guards against unknown names being served under somebody else's rules.
TEST(routing, refuses_unknown_services_ranks_and_read_classes) {
    const auto configuration = sample_configuration();
    EXPECT_EQ(proxy::route(configuration, read_of("board", "payout")).last_reason().kind(),
              base::error_kind::unknown_service);
    EXPECT_EQ(proxy::route(configuration, read_of("ledger", "urgent")).last_reason().kind(),
              base::error_kind::unknown_rank);
    const auto odd = read_of("ledger", "payout").with([](auto& fields) { fields.read_class_ = "odd"; });
    EXPECT_EQ(proxy::route(configuration, odd).last_reason().kind(), base::error_kind::invalid_request);
}

// Guards against a handle that loses digits and then names another transaction.
TEST(transaction_handle, round_trip_keeps_daemon_and_number) {
    EXPECT_TRUE(rc::check("round trip", [](std::uint64_t number) {
        const proxy::transaction_handle handle{"entry-1/odd", number};
        RC_ASSERT(*proxy::transaction_handle::parse(handle.to_string()) == handle);
    }));
    EXPECT_TRUE(rc::check("no crash", [](const std::string& text) {
        static_cast<void>(proxy::transaction_handle::parse(text));
    }));
}

// Guards against two requests with other statements that share a fingerprint because their parts run
// together.
TEST(fingerprint, tells_apart_where_statements_end) {
    const auto one = read_of("ledger", "payout").with([](auto& fields) { fields.statements_ = {"ab", "c"}; });
    const auto other = one.with([](auto& fields) { fields.statements_ = {"a", "bc"}; });
    EXPECT_NE(proxy::fingerprint_of(one), proxy::fingerprint_of(other));
    EXPECT_EQ(proxy::fingerprint_of(one), proxy::fingerprint_of(one));
}

// Guards against a tenant that finds or cancels the outcome of another tenant's key.
TEST(fingerprint, keys_of_two_tenants_never_meet) {
    EXPECT_TRUE(rc::check("distinct", [](std::string tenant, std::string key, std::string other,
                                         std::string other_key) {
        RC_PRE(tenant != other || key != other_key);
        const auto one = base::request{base::request_fields{.tenant_ = tenant, .idempotency_key_ = key}};
        const auto two = base::request{base::request_fields{.tenant_ = other, .idempotency_key_ = other_key}};
        RC_ASSERT(proxy::recorded_key_of(one) != proxy::recorded_key_of(two));
    }));
}

// Guards against a write without a key that is sent twice, and against "not run" on a guess.
TEST(entry_decision, a_write_without_key_whose_response_was_lost_is_unknown) {
    const auto write =
        read_of("ledger", "payout").with([](auto& fields) { fields.access_ = base::access::write; });
    const auto action =
        proxy::decide_after_lost_owner(write, proxy::forward_failure::answer_lost, reset, some_time);
    ASSERT_TRUE(std::holds_alternative<base::response>(action));
    EXPECT_EQ(std::get<base::response>(action)->outcome_, base::outcome::unknown);
}

// Guards against giving up while the caller still waits and repeating is harmless.
TEST(entry_decision, harmless_requests_are_sent_again_within_the_deadline) {
    const auto read = read_of("ledger", "payout");
    const auto keyed = read.with([](auto& fields) {
        fields.access_ = base::access::write;
        fields.idempotency_key_ = "k";
    });
    for (const auto& request : {read, keyed}) {
        for (const auto failure : {proxy::forward_failure::not_sent, proxy::forward_failure::answer_lost}) {
            EXPECT_TRUE(std::holds_alternative<proxy::forward_again>(
                proxy::decide_after_lost_owner(request, failure, reset, some_time)));
        }
    }
    const auto expired = proxy::decide_after_lost_owner(keyed, proxy::forward_failure::answer_lost, reset,
                                                        base::clock::duration{0});
    EXPECT_EQ(std::get<base::response>(expired)->outcome_, base::outcome::unknown);
}

// Guards against a step of a transaction that runs again on another connection.
TEST(entry_decision, steps_of_a_transaction_are_never_sent_again) {
    for (const auto step : {base::transaction_step::statement, base::transaction_step::commit,
                            base::transaction_step::rollback}) {
        for (const auto failure : {proxy::forward_failure::not_sent, proxy::forward_failure::answer_lost}) {
            const auto request = read_of("ledger", "payout").with([step](auto& fields) {
                fields.access_ = base::access::write;
                fields.step_ = step;
                fields.idempotency_key_ = "k";
            });
            const auto action = proxy::decide_after_lost_owner(request, failure, reset, some_time);
            ASSERT_TRUE(std::holds_alternative<base::response>(action));
            const bool may_have_committed =
                step == base::transaction_step::commit && failure == proxy::forward_failure::answer_lost;
            EXPECT_EQ(std::get<base::response>(action)->outcome_,
                      may_have_committed ? base::outcome::unknown : base::outcome::not_run);
        }
    }
}
