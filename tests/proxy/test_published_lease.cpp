#include <adapter/platform_adapter.hpp>
#include <proxy/control_context.hpp>
#include <proxy/group_table.hpp>
#include <proxy/session_shared_state.hpp>
#include <stand_ins/session_platform/line_database.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace {

using protocol = adapter::line_protocol;
using grant = backends::connection_grant<protocol>;

// Below the ephemeral port range of outgoing connections, and apart from the other tests of this program.
constexpr std::uint16_t first_port = 25'700;

/// A control thread and a request thread of one daemon, whose handlers run only when the test says so.
class published_lease : public ::testing::Test {
protected:
    published_lease() {
        groups_.add(table_);
        std::vector<backends::database_listing> listings;
        for (std::uint16_t number = 0; number < 2; ++number) {
            const auto id = "i-" + std::to_string(number);
            const base::endpoint address{"127.0.0.1", static_cast<std::uint16_t>(first_port + number)};
            databases_.push_back(
                std::make_shared<stand_ins::line_database>(request_thread_.get_executor(), "svc", id));
            EXPECT_TRUE(databases_.back()->listen(address));
            const auto role = number == 0 ? backends::listed_role::primary : backends::listed_role::replica;
            listings.push_back(backends::database_listing{backends::database_listing_fields{
                .id_ = id, .service_ = "svc", .address_ = address, .slots_ = 4, .role_ = role}});
        }
        operators::session_routes_fields routes;
        routes.services_["svc"] = {.max_connections_ = 16};
        shared_.routes_.publish(operators::session_routes{routes});
        control_.knowledge_.set_databases(listings, base::clock::now());
        control_.publish();
        renew_lease();
    }

    void renew_lease() {
        control_.primary_lease_.note_store_read(base::clock::now());
        control_.publish_primary_lease();
    }

    /// Queues a statement for the primary. Its grant is stored in `granted`.
    void acquire(std::optional<grant>& granted) {
        backends::statement_requirements requirements;
        requirements.objective_ = base::clock::duration{60'000};
        requirements.deadline_ = base::clock::now() + requirements.objective_;
        boost::asio::co_spawn(request_thread_,
                              table_.find_or_create("svc")->acquire(std::move(requirements), session_),
                              [&granted](const std::exception_ptr&, grant result) { granted = result; });
    }

    [[nodiscard]] std::string run_until_granted(const std::optional<grant>& granted) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
        while (!granted && std::chrono::steady_clock::now() < end) {
            table_.sweep();
            request_thread_.run_for(std::chrono::milliseconds{5});
        }
        return granted && granted->is_granted() ? granted->connection_->database() : "none";
    }

    boost::asio::io_context control_thread_;
    boost::asio::io_context request_thread_;
    proxy::session_shared_state shared_{"a", "d0"};
    proxy::group_tables<protocol> groups_;
    proxy::group_table<protocol> table_{request_thread_.get_executor(), shared_};
    std::vector<std::shared_ptr<stand_ins::line_database>> databases_;
    proxy::control_context<adapter::platform_adapter> control_{control_thread_, {}, shared_, groups_, 1};
    std::map<std::string, std::string> session_;
};

// Guards against stale reads at a replaced primary: after a suspension, the lease was renewed for the new
// primary and counted at once, while the request thread still had the old view (review/15).
TEST_F(published_lease, CoversNoPrimaryThatWasReplacedBeforeItsRenewal) {
    std::optional<grant> first;
    acquire(first);
    ASSERT_EQ(run_until_granted(first), "i-0");
    table_.find_or_create("svc")->end_statement(*first);
    table_.find_or_create("svc")->release(*first);
    control_.primary_lease_.clear();
    control_.publish_primary_lease();
    std::optional<grant> waiting;
    acquire(waiting);
    request_thread_.poll();
    ASSERT_FALSE(waiting);
    control_.adopt(daemons::takeover_record{daemons::takeover_record_fields{
        "svc", daemons::takeover_phase::settled, "i-0", "i-1", {base::store_era{1}, 9}}});
    renew_lease();
    // The maintenance of the request thread is due before the view that the control thread has posted.
    EXPECT_EQ(run_until_granted(waiting), "i-1");
}

} // namespace
