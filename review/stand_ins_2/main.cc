// Plays one case of the second review: review_case CASE ROOT FOLDER RECORD. Exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

#include "fleet.hh"

#include <http/sleep.hpp>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using base::clock;
using review::fleet;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;
constexpr const char* service = "huvo11a";
constexpr const char* other_service = "kafi81c";
constexpr std::size_t machines = 5;
constexpr clock::duration start_limit{10'000};

bool has_trouble() {
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

boost::asio::awaitable<bool> start_machines(fleet& all) {
    for (std::size_t number = 0; number < machines; ++number) {
        all.add_daemon();
    }
    for (std::size_t number = 0; number < machines; ++number) {
        const bool is_ready = co_await all.wait_until_ready(number, start_limit);
        if (!is_ready) {
            co_return false;
        }
    }
    co_return true;
}

/// Waits until a condition holds. Returns whether it did in time.
boost::asio::awaitable<bool> wait_for(std::function<bool()> condition, clock::duration limit) {
    const auto end = clock::now() + limit;
    while (!condition()) {
        if (clock::now() >= end) {
            co_return false;
        }
        co_await http::sleep_for(clock::duration{10});
    }
    co_return true;
}

std::size_t count_served(const fleet& all, clock::time_point from, clock::time_point to) {
    return static_cast<std::size_t>(
        std::count_if(all.operations().begin(), all.operations().end(), [from, to](const auto& one) {
            return one.sent_at_ >= from && one.sent_at_ < to && one.status_ == "COMPLETE";
        }));
}

std::size_t count_sent(const fleet& all, clock::time_point from, clock::time_point to) {
    return static_cast<std::size_t>(
        std::count_if(all.operations().begin(), all.operations().end(),
                      [from, to](const auto& one) { return one.sent_at_ >= from && one.sent_at_ < to; }));
}

/// Returns whether each promotion call has at least the token of the earlier ones. Each service is checked
/// for itself, which is less strict than the rule.
int check_tokens(fleet& all) {
    int result = held;
    std::map<std::string, std::uint64_t> greatest;
    for (const auto& call : all.promotions()) {
        auto& seen = greatest[call.service_];
        if (call.token_ < seen) {
            all.note("BROKEN: the platform saw token " + std::to_string(call.token_) + " of " + call.holder_ +
                     " for " + call.service_ + " after token " + std::to_string(seen));
            result = broken;
        }
        seen = std::max(seen, call.token_);
    }
    return result;
}

/// ONE: no promotion call of a service has a lower token than an earlier one.
boost::asio::awaitable<int> play_token(fleet& all) {
    constexpr clock::duration copy_age{6'000};
    constexpr clock::duration away{500};
    const bool is_started = co_await start_machines(all);
    if (!is_started) {
        co_return could_not_run;
    }
    all.run_client(0, service, "a", true, clock::duration{20});
    co_await http::sleep_for(clock::duration{8'000});
    const auto first_leader = all.leader();
    if (!first_leader) {
        co_return could_not_run;
    }
    // Planned work: a machine is stopped and started, and a primary is to be replaced.
    all.signal_daemon(*first_leader, SIGTERM);
    const std::function<bool()> has_other_leader = [&all, &first_leader] {
        return all.leader() && *all.leader() != *first_leader;
    };
    const bool has_changed = co_await wait_for(has_other_leader, clock::duration{5'000});
    if (!has_changed) {
        co_return could_not_run;
    }
    all.note("leader key of frontend-" + std::to_string(*all.leader()) + " has revision " +
             std::to_string(all.platform_store().revision_of("sassafrasdeal/duty")));
    all.drain(all.primary_of(service), clock::duration{2'000});
    const std::function<bool()> has_promotion = [&all] {
        return !all.promotions().empty();
    };
    const bool is_promoted = co_await wait_for(has_promotion, clock::duration{8'000});
    if (!is_promoted) {
        co_return could_not_run;
    }
    if (has_trouble()) {
        co_await http::sleep_for(clock::duration{100});
        all.note("drill: the store goes away, revision " + std::to_string(all.platform_store().revision()));
        co_await all.platform_store().drill(copy_age, away);
        all.note("drill: the store is back, revision " + std::to_string(all.platform_store().revision()) +
                 ", era " + std::to_string(all.platform_store().era()));
    }
    // More planned work: the primaries of two services are to be replaced.
    co_await http::sleep_for(clock::duration{4'000});
    all.drain(all.primary_of(service), clock::duration{12'000});
    all.drain(all.primary_of(other_service), clock::duration{12'000});
    co_await http::sleep_for(clock::duration{26'000});
    const auto result = check_tokens(all);
    const auto now = clock::now();
    all.note("last 10 s: served " + std::to_string(count_served(all, now - clock::duration{10'000}, now)) +
             " of " + std::to_string(count_sent(all, now - clock::duration{10'000}, now)) + " statements");
    co_return result;
}

/// ONE: no promotion call of a service has a lower token than an earlier one.
boost::asio::awaitable<int> play_suspension(fleet& all) {
    const bool is_started = co_await start_machines(all);
    if (!is_started) {
        co_return could_not_run;
    }
    all.run_client(0, service, "a", true, clock::duration{20});
    // The first leader has been the leader for longer than a new one waits for an earlier one.
    co_await http::sleep_for(clock::duration{15'000});
    const auto suspended = all.leader();
    if (!suspended) {
        co_return could_not_run;
    }
    if (has_trouble()) {
        all.note("the platform's queue of promotion calls is full");
        co_await all.promotion_gate().close();
    }
    // Planned work: a primary is to be replaced.
    all.drain(all.primary_of(service), clock::duration{15'000});
    const auto key = std::string{"sassafrasdeal/takeovers/"} + service;
    const std::function<bool()> has_record = [&all, &key] {
        return all.platform_store().value_of(key).find("promoting") != std::string::npos;
    };
    const bool is_recorded = co_await wait_for(has_record, clock::duration{8'000});
    if (!is_recorded) {
        co_return could_not_run;
    }
    if (has_trouble()) {
        co_await http::sleep_for(clock::duration{200});
        all.signal_daemon(*suspended, SIGSTOP);
        co_await http::sleep_for(clock::duration{300});
        all.promotion_gate().open();
        all.note("the platform takes promotion calls again");
        const std::function<bool()> has_promotion = [&all] {
            return !all.promotions().empty();
        };
        const bool is_promoted = co_await wait_for(has_promotion, clock::duration{12'000});
        co_await http::sleep_for(clock::duration{500});
        all.signal_daemon(*suspended, SIGCONT);
        if (!is_promoted) {
            co_return could_not_run;
        }
    }
    co_await http::sleep_for(clock::duration{5'000});
    co_return check_tokens(all);
}

/// Returns whether each read returned a value that is at least as new as the last one acknowledged before it
/// was sent, and no acknowledged write was rolled back.
int check_reads(fleet& all) {
    const auto lost = all.rolled_back();
    std::size_t lost_writes = 0;
    std::map<std::string, std::vector<std::pair<clock::time_point, std::uint64_t>>> acknowledged;
    for (const auto& one : all.operations()) {
        if (one.value_ == 0 || one.status_ != "COMPLETE") {
            continue;
        }
        if (lost.contains({one.key_, std::to_string(one.value_)})) {
            ++lost_writes;
            if (lost_writes <= 10) {
                all.note("acknowledged and rolled back: " + one.id_ + " by frontend-" +
                         std::to_string(one.daemon_) + " at " + one.database_ + " sent " +
                         fleet::time_text(one.sent_at_));
            }
        } else {
            acknowledged[one.key_].emplace_back(one.answered_at_, one.value_);
        }
    }
    std::size_t stale = 0;
    std::size_t reads = 0;
    for (const auto& one : all.operations()) {
        if (one.value_ > 0 || one.status_ != "COMPLETE") {
            continue;
        }
        ++reads;
        const auto& writes = acknowledged[one.key_];
        const auto next =
            std::lower_bound(writes.begin(), writes.end(), std::pair{one.sent_at_, std::uint64_t{0}});
        if (next != writes.begin() && one.read_value_ < std::prev(next)->second) {
            ++stale;
            if (stale <= 10) {
                all.note("stale: read " + one.id_ + " sent at " + fleet::time_text(one.sent_at_) +
                         " by frontend-" + std::to_string(one.daemon_) + " at " + one.database_ +
                         " returned " + std::to_string(one.read_value_) +
                         ", acknowledged before: " + std::to_string(std::prev(next)->second));
            }
        }
    }
    all.note("reads " + std::to_string(reads) + ", stale " + std::to_string(stale) +
             "; acknowledged writes that were rolled back " + std::to_string(lost_writes));
    if (stale > 0) {
        all.note("BROKEN: STALE");
    }
    return stale > 0 ? broken : held;
}

/// STALE: a read of a `primary` route runs on a log that has every commit acknowledged before it was sent.
boost::asio::awaitable<int> play_stale(fleet& all) {
    constexpr clock::duration copy_age{5'000};
    constexpr clock::duration away{500};
    constexpr clock::duration longer{10'000};
    constexpr clock::duration between_stops{1'500};
    const bool is_started = co_await start_machines(all);
    if (!is_started) {
        co_return could_not_run;
    }
    for (std::size_t number = 0; number < machines; ++number) {
        all.run_client(number, service, "a" + std::to_string(number), true, clock::duration{10});
        for (std::size_t reader = 1; reader <= 3; ++reader) {
            all.run_client(number, service, "a" + std::to_string((number + reader) % machines), false,
                           clock::duration{7});
        }
    }
    co_await http::sleep_for(clock::duration{7'000});
    // Planned work: the primary is replaced, and the new one again, 12 s later.
    for (int round = 0; round < 2; ++round) {
        const auto replaced = all.primary_of(service);
        all.drain(replaced, longer);
        const auto key = std::string{"sassafrasdeal/takeovers/"} + service;
        const std::function<bool()> is_settled = [&all, &key, &replaced] {
            const auto record = all.platform_store().value_of(key);
            return all.primary_of(service) != replaced && record.find("settled") != std::string::npos &&
                   record.find("\"chosen\":\"" + all.primary_of(service) + "\"") != std::string::npos;
        };
        const bool is_replaced = co_await wait_for(is_settled, clock::duration{8'000});
        if (!is_replaced) {
            co_return could_not_run;
        }
        all.note("the record names " + all.primary_of(service) + ", revision " +
                 std::to_string(all.platform_store().revision_of(key)));
        co_await http::sleep_for(round == 0 ? clock::duration{12'000} : clock::duration{500});
    }
    if (has_trouble()) {
        all.note("drill: the store goes away, revision " + std::to_string(all.platform_store().revision()));
        co_await all.platform_store().drill(copy_age, away);
        all.note("drill: the store is back, revision " + std::to_string(all.platform_store().revision()) +
                 ", era " + std::to_string(all.platform_store().era()));
    }
    co_await http::sleep_for(clock::duration{500});
    // Planned work: the machines are stopped and started in turn.
    for (std::size_t number = 0; number < machines; ++number) {
        all.signal_daemon(number, SIGTERM);
        co_await http::sleep_for(between_stops);
    }
    co_await http::sleep_for(clock::duration{4'000});
    co_return check_reads(all);
}

} // namespace

int main(int count, char** arguments) {
    const std::string name{count == 5 ? arguments[1] : ""};
    if (name != "stale" && name != "token" && name != "suspension") {
        std::cerr << "usage: review_case stale|token|suspension ROOT FOLDER RECORD\n";
        return could_not_run;
    }
    boost::asio::io_context context{1};
    int result = could_not_run;
    {
        fleet all{context, arguments[2], arguments[3], arguments[4]};
        if (!all.start()) {
            return could_not_run;
        }
        auto play = name == "stale"   ? play_stale(all)
                    : name == "token" ? play_token(all)
                                      : play_suspension(all);
        boost::asio::co_spawn(context, std::move(play), [&](const std::exception_ptr& failure, int outcome) {
            result = failure ? could_not_run : outcome;
            context.stop();
        });
        context.run();
        all.write_operations();
    }
    std::cout << "result " << result << std::endl;
    std::_Exit(result);
}
