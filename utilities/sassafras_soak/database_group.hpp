#pragma once

#include <base/clock.hpp>
#include <stand_ins/session_platform/fault_link.hpp>
#include <stand_ins/session_platform/line_database.hpp>
#include <stand_ins/session_platform/store_server.hpp>
#include <utilities/sassafras_soak/history_check.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace soak {

/// The databases of one service: replication between them, their entries in the store, promotions, and the
/// faults that strike them. Daemons reach each of them over a link. Thread safety: used by the thread of its
/// executor only. Lifetime: outlives its coroutine.
class database_group {
public:
    database_group(boost::asio::any_io_executor executor, std::string service, std::uint16_t first_port,
                   stand_ins::store_server& store);

    /// Starts the databases. Returns whether all addresses were free.
    [[nodiscard]] bool start();
    /// Replicates and writes entries until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Answers a promotion order with the status of the platform's call.
    [[nodiscard]] unsigned order(const std::string& id);

    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }
    /// Returns the database that leads the newest term.
    [[nodiscard]] std::size_t leader() const noexcept { return leader_; }
    [[nodiscard]] stand_ins::fault_link& link(std::size_t number) { return *members_.at(number).link_; }
    [[nodiscard]] stand_ins::line_database& database(std::size_t number) {
        return *members_.at(number).database_;
    }

    /// Ends a database as a crash does; it comes back with its log after `length`.
    void crash(std::size_t number, base::clock::duration length);
    /// Keeps a database from hearing of the others for `length`.
    void isolate(std::size_t number, base::clock::duration length);
    void set_lag(base::clock::duration lag) noexcept { lag_ = lag; }
    /// Lets a database announce that it leaves; it ends after `length` and comes back as a replica.
    void leave(std::size_t number, base::clock::duration length);

    /// Returns what the databases hold. Precondition: every database is back and follows the leader.
    [[nodiscard]] service_log log() const;

private:
    struct member {
        std::shared_ptr<stand_ins::line_database> database_;
        std::shared_ptr<stand_ins::fault_link> link_;
        std::uint16_t port_ = 0;
        std::optional<base::clock::time_point> down_until_;
        std::optional<base::clock::time_point> isolated_until_;
        /// When the database leaves; it says so until then.
        std::optional<base::clock::time_point> leaves_at_;
        /// Since when a former primary hears of the database that leads now.
        std::optional<base::clock::time_point> reaches_leader_since_;
        std::uint64_t starts_ = 1;
    };

    struct pending_order {
        std::size_t number_ = 0;
        base::clock::time_point effective_at_{};
    };

    void step(base::clock::time_point now);
    void return_if_due(member& one, base::clock::time_point now);
    void replicate(std::size_t number, base::clock::time_point now);
    void take_effect(const pending_order& order, base::clock::time_point now);
    void list(std::size_t number);
    [[nodiscard]] static bool hears(const member& one) { return !one.down_until_ && !one.isolated_until_; }

    boost::asio::any_io_executor executor_;
    std::string service_;
    stand_ins::store_server& store_;
    std::vector<member> members_;
    std::size_t leader_ = 0;
    std::uint64_t term_ = 1;
    base::clock::duration lag_;
    std::optional<pending_order> order_;
    std::vector<promotion_record> promotions_;
    base::clock::time_point next_listing_{};
    std::uint64_t sequence_ = 0;
};

} // namespace soak
