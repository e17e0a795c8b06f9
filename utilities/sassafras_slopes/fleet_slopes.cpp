#include <utilities/sassafras_slopes/fleet_slopes.hpp>

#include <daemons/member_list.hpp>
#include <utilities/sassafras_slopes/simulated_fleet.hpp>
#include <utilities/sassafras_slopes/table.hpp>

#include <iostream>
#include <map>
#include <string>
#include <utility>

namespace sassafras_slopes {

namespace {

using base::clock;

constexpr double target_members = 4'900;
constexpr clock::duration longest_wait{300'000};
constexpr clock::duration steady_time{20'000};
constexpr clock::duration settling_time{3'000};
constexpr std::size_t failure_domains = 18;

std::vector<double> as_numbers(const std::vector<std::size_t>& sizes) {
    return {sizes.begin(), sizes.end()};
}

/// Rows of a table in the order in which they were first named.
class rows {
public:
    void add(const std::string& quantity, const std::string& unit, double size, double value) {
        if (!samples_.contains(quantity)) {
            order_.emplace_back(quantity, unit);
        }
        samples_[quantity].push_back({size, value});
    }

    void print(double target) const {
        for (const auto& [quantity, unit] : order_) {
            print_row(quantity, unit, samples_.at(quantity), target);
        }
    }

private:
    std::vector<std::pair<std::string, std::string>> order_;
    std::map<std::string, std::vector<sample>> samples_;
};

void measure_steady(simulated_fleet& fleet, double size, rows& table) {
    const auto datagrams = fleet.datagrams();
    const auto bytes = fleet.datagram_bytes();
    const auto processor = processor_seconds();
    fleet.run(steady_time);
    const auto member_seconds = size * static_cast<double>(steady_time.count()) / 1'000;
    table.add("datagrams sent", "1/s", size, (fleet.datagrams() - datagrams) / member_seconds);
    table.add("bytes sent", "B/s", size, (fleet.datagram_bytes() - bytes) / member_seconds);
    table.add("processor time", "us/s", size, (processor_seconds() - processor) / member_seconds * 1e6);
}

void measure_changes(simulated_fleet& fleet, std::size_t size, rows& table) {
    const auto number = static_cast<double>(size);
    fleet.crash(size / 2);
    table.add(
        "one death known by all", "s", number,
        fleet.run_until([&] { return fleet.all_see(size / 2, daemons::member_state::dead); }, longest_wait));
    fleet.leave(size / 3);
    table.add("one leave known by all", "s", number,
              fleet.run_until([&] { return fleet.all_see(size / 3, daemons::member_state::leaving); },
                              longest_wait));
    const auto added = fleet.add();
    table.add(
        "one new member known by all", "s", number,
        fleet.run_until([&] { return fleet.all_see(added, daemons::member_state::live); }, longest_wait));
}

void measure_domain_loss(simulated_fleet& fleet, std::size_t size, rows& table) {
    // The crash of one member before this is still known as a death.
    std::size_t lost = 1;
    for (std::size_t member = 1; member < size; member += failure_domains) {
        if (member != size / 2) {
            fleet.crash(member);
            ++lost;
        }
    }
    const auto bytes = fleet.datagram_bytes();
    const auto processor = processor_seconds();
    const auto number = static_cast<double>(size);
    const auto seconds = fleet.run_until([&] { return fleet.all_count_dead(lost); }, longest_wait);
    table.add("1/18 lost at once, known by all", "s", number, seconds);
    table.add("bytes sent meanwhile", "B/s", number, (fleet.datagram_bytes() - bytes) / number / seconds);
    table.add("processor time meanwhile", "us/s", number,
              (processor_seconds() - processor) / number / seconds * 1e6);
}

} // namespace

void measure_membership(const std::vector<std::size_t>& sizes, std::uint64_t seed) {
    rows table;
    for (const auto size : sizes) {
        simulated_fleet fleet{size, 1, first_knowledge::everyone, seed};
        fleet.run(settling_time);
        measure_steady(fleet, static_cast<double>(size), table);
        measure_changes(fleet, size, table);
        fleet.run(steady_time);
        measure_domain_loss(fleet, size, table);
    }
    print_header("membership, one process, simulated time", "members", as_numbers(sizes), target_members);
    table.print(target_members);
}

void measure_cold_start(const std::vector<std::size_t>& sizes, std::uint64_t seed) {
    rows table;
    for (const auto size : sizes) {
        const auto number = static_cast<double>(size);
        simulated_fleet fleet{size, 1, first_knowledge::seeds, seed};
        const auto seconds = fleet.run_until([&] { return fleet.all_see_live(size); }, longest_wait);
        table.add("all known by all", "s", number, seconds);
        table.add("bytes sent meanwhile", "B/s", number, fleet.datagram_bytes() / number / seconds);
    }
    print_header("start of a whole fleet, one process, simulated time", "members", as_numbers(sizes),
                 target_members);
    table.print(target_members);
}

void measure_member_memory(const std::vector<std::size_t>& sizes) {
    rows table;
    for (const auto size : sizes) {
        const auto number = static_cast<double>(size);
        const auto make = [](std::size_t index) {
            return daemons::member{
                daemons::member_fields{.name_ = "entry-" + std::to_string(index),
                                       .address_ = {"10.120.130.140", static_cast<std::uint16_t>(index + 1)},
                                       .region_ = "region-1",
                                       .failure_domain_ = "domain-12"}};
        };
        const auto before = allocated_bytes();
        auto state = daemons::start_membership(make(0), {}, clock::time_point{});
        for (std::size_t index = 1; index < size; ++index) {
            const daemons::datagram message{
                daemons::datagram_fields{.kind_ = daemons::datagram_kind::ack, .sender_ = make(index)}};
            state = daemons::step(std::move(state), daemons::datagram_received{message}, clock::time_point{},
                                  std::uint64_t{index})
                        .state_;
        }
        table.add("state of membership", "B", number, allocated_bytes() - before);
        const auto without_list = allocated_bytes();
        const auto processor = processor_seconds();
        const daemons::member_list list{state};
        table.add("build the published list", "us", number, (processor_seconds() - processor) * 1e6);
        table.add("published list", "B", number, allocated_bytes() - without_list);
    }
    print_header("membership of one daemon", "members", as_numbers(sizes), target_members);
    table.print(target_members);
}

void measure_spread(const std::vector<std::size_t>& sizes, std::size_t regions, std::uint64_t seed) {
    // 49,000 changes a day are one in 1,763 ms.
    constexpr clock::duration change_period{1'763};
    constexpr int changes = 12;
    rows table;
    for (const auto size : sizes) {
        const auto number = static_cast<double>(size);
        simulated_fleet fleet{size, regions, first_knowledge::everyone, seed};
        fleet.run(settling_time);
        auto fetches = fleet.fetches();
        fleet.publish(1);
        table.add("one revision in force everywhere", "s", number,
                  fleet.run_until([&] { return fleet.all_have(1); }, longest_wait));
        table.add("fetches for one revision and daemon", "1", number, (fleet.fetches() - fetches) / number);
        fetches = fleet.fetches();
        for (int change = 0; change < changes; ++change) {
            fleet.publish(static_cast<std::uint64_t>(change) + 2);
            fleet.run(change_period);
        }
        table.add("fetches at 49,000 changes a day", "1/s", number,
                  (fleet.fetches() - fetches) / number / changes /
                      static_cast<double>(change_period.count()) * 1'000);
        table.add("last of them in force everywhere", "s", number,
                  fleet.run_until([&] { return fleet.all_have(changes + 1); }, longest_wait) +
                      static_cast<double>(change_period.count()) / 1'000);
    }
    print_header("configuration, one process, simulated time, " + std::to_string(regions) + " region(s)",
                 "members", as_numbers(sizes), target_members);
    table.print(target_members);
}

} // namespace sassafras_slopes
