#pragma once

#include <backends/group_view.hpp>
#include <base/clock.hpp>
#include <base/immutable.hpp>
#include <base/response.hpp>
#include <operators/service_declaration.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace proxy {

/// What a home knows of one database, for operators.
struct database_report {
    std::string name_;
    std::string address_;
    base::database_role role_ = base::database_role::none;
    std::uint64_t term_ = 0;
    std::uint64_t last_index_ = 0;
    bool reachable_ = false;
    bool leaving_ = false;

    friend auto operator<=>(const database_report&, const database_report&) = default;
};

/// Work of one rank at a home.
struct rank_report {
    std::string name_;
    std::uint64_t queued_ = 0;
    std::uint64_t running_ = 0;
    base::clock::duration expected_wait_{0};

    friend auto operator<=>(const rank_report&, const rank_report&) = default;
};

/// One database group at its home.
struct group_report {
    std::string group_;
    std::uint64_t term_ = 0;
    /// Empty while no primary takes new work.
    std::string primary_;
    std::uint64_t committed_index_ = 0;
    std::vector<database_report> databases_;
    std::vector<rank_report> ranks_;
    std::uint64_t open_transactions_ = 0;

    friend auto operator<=>(const group_report&, const group_report&) = default;
};

/// One member of the fleet as this daemon sees it.
struct member_report {
    std::string name_;
    std::string address_;
    std::string region_;
    std::string failure_domain_;
    std::string state_;
    std::uint64_t revision_ = 0;

    friend auto operator<=>(const member_report&, const member_report&) = default;
};

/// What `sassafrasctl status` shows of one daemon.
struct daemon_report_fields {
    std::string name_;
    std::string version_;
    bool draining_ = false;
    std::uint64_t configuration_revision_ = 0;
    std::vector<member_report> members_;
    std::vector<group_report> groups_;

    friend auto operator<=>(const daemon_report_fields&, const daemon_report_fields&) = default;
    friend bool operator==(const daemon_report_fields&, const daemon_report_fields&) = default;
};

using daemon_report = base::immutable<daemon_report_fields>;

/// Describes one database of a declared group.
[[nodiscard]] database_report report_of(const backends::known_database& database,
                                        const operators::service_declaration& declaration);

} // namespace proxy
