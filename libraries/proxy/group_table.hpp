#pragma once

#include <backends/preparation_log.hpp>
#include <backends/primary_health.hpp>
#include <backends/service_group.hpp>
#include <daemons/rendezvous.hpp>
#include <proxy/session_shared_state.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Holds the groups of the services that are assigned to one request thread. Thread safety: used by that
/// thread only, except for `executor`.
template <backends::database_protocol Protocol>
class group_table {
public:
    using group = backends::service_group<Protocol>;

    group_table(boost::asio::any_io_executor executor, session_shared_state& shared)
        : executor_{std::move(executor)}, shared_{shared}, preparations_{
                                                               shared.counters_.statements_prepared_} {}

    [[nodiscard]] const boost::asio::any_io_executor& executor() const noexcept { return executor_; }

    /// Returns the group of a service, which is created on first use.
    [[nodiscard]] std::shared_ptr<group> find_or_create(const std::string& service) {
        auto& found = groups_[service];
        if (!found) {
            const auto spread_seed = daemons::rendezvous_weight(service, shared_.daemon_name_);
            found = std::make_shared<group>(executor_, shared_.failure_domain_, spread_seed,
                                            shared_.published_lease_, preparations_,
                                            shared_.counters_.tenant_connections_, &shared_.memory_);
            apply_view(service, *found);
        }
        return found;
    }

    /// Applies the current view of the fleet to all groups.
    void refresh() {
        for (auto& [service, one] : groups_) {
            apply_view(service, *one);
        }
    }

    /// Runs the periodic maintenance of each group, which also refuses statements that have waited too long.
    /// Returns whether statements still wait.
    bool sweep() {
        bool is_busy = false;
        for (auto& [service, one] : groups_) {
            one->sweep();
            is_busy = is_busy || one->waiting() > 0;
        }
        return is_busy;
    }

    /// Returns the health of each group's primary as the group observes it.
    [[nodiscard]] std::vector<backends::primary_health> primary_healths() const {
        std::vector<backends::primary_health> reports;
        for (const auto& [service, one] : groups_) {
            reports.push_back(one->health());
        }
        return reports;
    }

    /// Returns how many lines about prepared statements were dropped since the last call, and resets the
    /// number.
    [[nodiscard]] std::uint64_t take_dropped_preparations() noexcept {
        return preparations_.take_dropped_count();
    }

private:
    void apply_view(const std::string& service, group& one) {
        const auto view = shared_.fleet_.read([&service](const fleet_view& fleet) {
            const auto found = fleet->services_.find(service);
            return found == fleet->services_.end() ? std::nullopt : std::optional{found->second};
        });
        if (view) {
            one.apply(*view);
        }
    }

    boost::asio::any_io_executor executor_;
    session_shared_state& shared_;
    backends::preparation_log preparations_;
    std::map<std::string, std::shared_ptr<group>> groups_;
};

/// The group tables of all request threads of a daemon. Thread safety: filled before the threads start, then
/// immutable.
template <backends::database_protocol Protocol>
class group_tables {
public:
    using table = group_table<Protocol>;

    void add(table& one) { tables_.push_back(&one); }

    /// Returns the table of the thread that a service is assigned to.
    [[nodiscard]] table& table_for(const std::string& service) const {
        return *tables_[std::hash<std::string>{}(service) % tables_.size()];
    }

    [[nodiscard]] const std::vector<table*>& all() const noexcept { return tables_; }

private:
    std::vector<table*> tables_;
};

/// Finds the groups of services for the sessions of one thread. Satisfies `group_directory`.
template <backends::database_protocol Protocol>
class service_directory {
public:
    service_directory(group_table<Protocol>& own, const group_tables<Protocol>& all) : own_{own}, all_{all} {}

    /// Returns the group of a service. Precondition: called on the thread that the service is assigned to.
    [[nodiscard]] std::shared_ptr<backends::service_group<Protocol>> group_of(const std::string& service) {
        return all_.table_for(service).find_or_create(service);
    }
    [[nodiscard]] const boost::asio::any_io_executor& executor_of(const std::string& service) const {
        return all_.table_for(service).executor();
    }
    [[nodiscard]] bool is_owned_here(const std::string& service) const {
        return &all_.table_for(service) == &own_;
    }

private:
    group_table<Protocol>& own_;
    const group_tables<Protocol>& all_;
};

} // namespace proxy
