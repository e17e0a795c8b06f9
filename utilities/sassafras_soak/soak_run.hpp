#pragma once

#include <base/clock.hpp>
#include <stand_ins/session_platform/fault_link.hpp>
#include <stand_ins/session_platform/store_server.hpp>
#include <utilities/sassafras_soak/daemon_process.hpp>
#include <utilities/sassafras_soak/database_group.hpp>
#include <utilities/sassafras_soak/fault_schedule.hpp>
#include <utilities/sassafras_soak/soak_client.hpp>
#include <utilities/sassafras_soak/tenant_check.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace soak {

/// What the times of `make_store_returns` mean.
enum class store_absence : std::uint8_t {
    none,
    /// The store is away and loses nothing.
    outage,
    returns_from_copy,
};

struct soak_settings {
    std::string program_;
    /// For the daemons' settings and logs; made by the caller.
    std::string folder_;
    std::uint16_t first_port_ = 0;
    std::uint32_t daemons_ = 4;
    std::uint32_t services_ = 2;
    std::uint32_t clients_ = 24;
    /// 0: the configuration has no tenants.
    std::uint32_t tenants_ = 0;
    bool has_faults_ = true;
    store_absence store_absence_ = store_absence::returns_from_copy;
    std::uint64_t seed_ = 0;
    base::clock::duration length_{0};

    friend auto operator<=>(const soak_settings&, const soak_settings&) = default;
};

/// One run: a store, databases and clients on one thread, daemons as separate processes, and faults on a
/// schedule. Afterwards the faults end, everybody has to be served again, and what clients saw is checked
/// against the logs. Thread safety: used by one thread.
class soak_run {
public:
    explicit soak_run(soak_settings settings);

    /// Plays the run. Returns a line for each broken promise. Faults are written to `progress` as they
    /// happen.
    [[nodiscard]] std::vector<std::string> play(std::ostream& progress);
    [[nodiscard]] const client_history& history() const noexcept { return history_; }
    /// Returns the longest time in which no write of any service was acknowledged. Precondition: the run was
    /// played.
    [[nodiscard]] base::clock::duration longest_pause_of_writes() const;
    /// Returns how many times the store came back from a copy. Precondition: the run was played.
    [[nodiscard]] std::uint64_t store_returns() const { return store_->era() - first_era; }

private:
    static constexpr std::uint64_t first_era = 1;

    [[nodiscard]] bool start_all();
    void start_daemons();
    void publish_configuration();
    /// Returns the member `tenants` of the configuration.
    [[nodiscard]] std::string tenants_text() const;
    void set_holder(const std::string& key, std::uint32_t tenant);
    [[nodiscard]] boost::asio::awaitable<void> change_keys(base::clock::time_point started_at);
    /// Lets the store keep copies until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> copy_store();
    [[nodiscard]] boost::asio::awaitable<void> return_store(base::clock::time_point started_at,
                                                            std::ostream& progress);
    /// Lets the store reject one daemon, which its peers keep up to date, so that no contact counts as lost.
    [[nodiscard]] boost::asio::awaitable<void> reject_daemon(base::clock::time_point started_at,
                                                             std::ostream& progress);
    /// Plays the strains of the databases, which may overlap.
    boost::asio::awaitable<void> strain_databases(base::clock::time_point started_at, std::ostream& progress);
    boost::asio::awaitable<void> strain(database_strain one);
    /// Notes that a daemon has no contact with the store for some time from now on.
    void note_lost_contact(std::uint32_t daemon, base::clock::duration length);
    void check_names_of_connections();
    [[nodiscard]] boost::asio::awaitable<void> conduct(std::ostream& progress);
    [[nodiscard]] boost::asio::awaitable<void> keep_daemons_running();
    [[nodiscard]] boost::asio::awaitable<void> strike(scheduled_fault fault);
    [[nodiscard]] boost::asio::awaitable<void>
    harm_link(stand_ins::fault_link& link, stand_ins::link_fault fault, base::clock::duration length);
    [[nodiscard]] boost::asio::awaitable<void> harm_store(fault_kind kind, base::clock::duration length);
    void strike_daemons(fault_kind kind, daemon_process& one);
    void strike_databases(const scheduled_fault& fault, database_group& group);
    /// Lets every daemon answer for every service, at most for some seconds; notes which does not.
    [[nodiscard]] boost::asio::awaitable<void> check_recovery();
    [[nodiscard]] boost::asio::awaitable<bool> serves(std::uint16_t port, std::string database);
    [[nodiscard]] boost::asio::awaitable<void> stop_clients();
    [[nodiscard]] std::map<std::string, service_log> logs() const;

    soak_settings settings_;
    boost::asio::io_context context_;
    std::unique_ptr<stand_ins::store_server> store_;
    std::vector<std::unique_ptr<database_group>> groups_;
    std::vector<std::shared_ptr<stand_ins::fault_link>> store_links_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::vector<std::unique_ptr<soak_client>> clients_;
    client_plan plan_;
    client_history history_;
    key_history keys_;
    std::vector<std::string> broken_;
    std::uint64_t configuration_version_ = 1;
};

} // namespace soak
