#include <utilities/sassafras_slopes/decision_slopes.hpp>

#include <backends/acknowledgement_gate.hpp>
#include <backends/admission_queue.hpp>
#include <backends/group_view.hpp>
#include <daemons/member_list.hpp>
#include <daemons/owner_choice.hpp>
#include <daemons/owner_table.hpp>
#include <operators/configuration_codec.hpp>
#include <utilities/sassafras_slopes/table.hpp>

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sassafras_slopes {

namespace {

using base::clock;

constexpr double target_services = 12'000;
constexpr double target_region_members = 700;

/// Returns the microseconds of processor time that one call of `work` takes.
template <std::invocable Work>
double microseconds_of(int repetitions, Work work) {
    const auto start = processor_seconds();
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        work();
    }
    return (processor_seconds() - start) / repetitions * 1e6;
}

std::string database_name(int number) {
    return "ledger_zagreb_" + std::to_string(number + 1);
}

backends::group_view view_at(std::uint64_t index) {
    auto view = backends::group_view::of({database_name(0), database_name(1), database_name(2)});
    for (int number = 0; number < 3; ++number) {
        view = view.record_status(
            backends::database_status_fields{.database_ = database_name(number),
                                             .term_ = 1,
                                             .role_ = number == 0 ? base::database_role::primary
                                                                  : base::database_role::replica,
                                             .last_ = {1, index},
                                             .start_ = number == 0 ? 1U : 0U},
            clock::time_point{}, clock::time_point{});
    }
    return view;
}

operators::service_declaration declare(std::size_t number) {
    operators::service_declaration_fields fields;
    fields.name_ = "ledger_" + std::to_string(1'000'000 + number);
    fields.region_ = "region-1";
    for (int database = 0; database < 3; ++database) {
        fields.databases_.push_back({fields.name_ + "_" + std::to_string(database + 1),
                                     {"10.120.130.140", static_cast<std::uint16_t>(7'000 + database)},
                                     "domain-" + std::to_string(database)});
    }
    fields.ranks_ = {{"payout_confirmation", 40, 4, clock::duration{3'000}},
                     {"member_standing", 20, 2, clock::duration{2'000}},
                     {"contribution_batch", 20, 1, clock::duration{10'000}}};
    fields.read_classes_ = {{"fresh", clock::duration{0}}, {"member_standing", clock::duration{2'000}}};
    fields.tenants_ = {{"default", 200}};
    return fields;
}

daemons::member_list region_of(std::size_t members) {
    std::vector<daemons::member> made;
    for (std::size_t number = 0; number < members; ++number) {
        made.emplace_back(
            daemons::member_fields{.name_ = "entry-" + std::to_string(number),
                                   .address_ = {"10.120.130.140", static_cast<std::uint16_t>(number + 1)},
                                   .region_ = "region-1",
                                   .failure_domain_ = "domain-" + std::to_string(number % 18)});
    }
    return daemons::member_list{std::move(made)};
}

} // namespace

void measure_gate() {
    const std::vector<double> sizes{0, 10, 100, 400, 1'600};
    std::vector<sample> updates;
    std::vector<sample> steps;
    for (const auto size : sizes) {
        backends::acknowledgement_gate gate;
        for (std::uint64_t id = 0; id < static_cast<std::uint64_t>(size); ++id) {
            gate = gate.record_response({id, {1, 1'000'000 + id}, clock::time_point{clock::duration{1}}});
        }
        const auto view = view_at(10);
        const backends::database_status status = *view.databases().back().status_;
        updates.push_back({size, microseconds_of(20'000, [&] {
                               static_cast<void>(
                                   view.record_status(status, clock::time_point{}, clock::time_point{}));
                           })});
        steps.push_back({size, microseconds_of(2'000, [&] {
                             static_cast<void>(gate.advance(view, clock::time_point{}));
                         })});
    }
    print_header("view and gate of one group", "waiting answers", sizes, 100);
    print_row("update of the view by one status", "us", updates, 100);
    print_row("step of the gate", "us", steps, 100);
}

void measure_queue() {
    const std::vector<double> sizes{10, 100, 1'000, 5'000, 9'000};
    std::vector<sample> samples;
    std::vector<sample> memory;
    for (const auto size : sizes) {
        const auto declaration = declare(1);
        const auto& ranks = declaration->ranks_;
        const auto before = allocated_bytes();
        backends::admission_queue queue{declaration};
        std::uint64_t last = 0;
        clock::time_point now{clock::duration{1'000}};
        const auto offer = [&] {
            ++last;
            static_cast<void>(
                queue.offer(backends::queue_item_fields{.id_ = last,
                                                        .rank_ = ranks[last % ranks.size()].name_,
                                                        .tenant_ = "tenant-" + std::to_string(last % 7),
                                                        .bytes_ = 100,
                                                        .deadline_ = now + clock::duration{1'000'000}},
                            now));
        };
        while (last < static_cast<std::uint64_t>(size)) {
            offer();
        }
        memory.push_back({size, allocated_bytes() - before});
        samples.push_back({size, microseconds_of(20'000, [&] {
                               offer();
                               for (const auto id : queue.next(now, 1)) {
                                   queue.finish(id, now);
                               }
                               now += clock::duration{1};
                           })});
    }
    print_header("queue of one group", "queued requests", sizes, 10'000);
    print_row("offer, next and finish of one request", "us", samples, 10'000);
    print_row("memory", "B", memory, 10'000);
}

void measure_owner_choice() {
    const std::vector<double> sizes{10, 50, 100, 300, 700, 4'900};
    std::vector<sample> samples;
    for (const auto size : sizes) {
        const auto members = region_of(static_cast<std::size_t>(size));
        int group = 0;
        samples.push_back({size, microseconds_of(1'000, [&] {
                               static_cast<void>(daemons::choose_owner(members, "region-1",
                                                                       "ledger_" + std::to_string(++group)));
                           })});
    }
    print_header("home of one group", "members in the region", sizes, target_region_members);
    print_row("choose_home", "us", samples, target_region_members);
}

void measure_owner_table() {
    const std::vector<double> sizes{100, 1'000, 3'000, 12'000};
    std::vector<sample> anew;
    std::vector<sample> gone;
    std::vector<sample> come;
    std::vector<sample> memory;
    const auto all = std::make_shared<const daemons::member_list>(region_of(700));
    const auto fewer = std::make_shared<const daemons::member_list>(region_of(699));
    for (const auto size : sizes) {
        std::vector<std::string> groups;
        for (std::size_t number = 0; number < static_cast<std::size_t>(size); ++number) {
            groups.push_back("ledger_" + std::to_string(1'000'000 + number));
        }
        const auto before = allocated_bytes();
        daemons::owner_table table;
        const auto change = [&](const std::shared_ptr<const daemons::member_list>& members) {
            return microseconds_of(1, [&] {
                table.update(members);
                for (const auto& group : groups) {
                    static_cast<void>(table.find("region-1", group));
                }
            });
        };
        anew.push_back({size, change(all)});
        memory.push_back({size, allocated_bytes() - before});
        gone.push_back({size, change(fewer)});
        come.push_back({size, change(all)});
    }
    print_header("homes of all groups, 700 members in the region", "services", sizes, target_services);
    print_row("choose all anew", "us", anew, target_services);
    print_row("one member goes", "us", gone, target_services);
    print_row("one member comes", "us", come, target_services);
    print_row("memory", "B", memory, target_services);
}

void measure_configuration() {
    const std::vector<double> sizes{10, 100, 300, 1'000, 3'000};
    std::vector<sample> bytes;
    std::vector<sample> memory;
    std::vector<sample> encoding;
    std::vector<sample> decoding;
    for (const auto size : sizes) {
        operators::configuration_fields fields{.revision_ = 7, .publisher_ = "ana"};
        for (std::size_t number = 0; number < static_cast<std::size_t>(size); ++number) {
            fields.services_.push_back(declare(number));
        }
        const operators::configuration configuration{std::move(fields)};
        const auto text = operators::encode_configuration(configuration);
        bytes.push_back({size, static_cast<double>(text.size())});
        const auto before = allocated_bytes();
        const auto copy = operators::decode_configuration(text);
        memory.push_back({size, copy ? allocated_bytes() - before : -1});
        encoding.push_back({size, microseconds_of(5, [&] {
                                static_cast<void>(operators::encode_configuration(configuration));
                            })});
        decoding.push_back(
            {size, microseconds_of(5, [&] { static_cast<void>(operators::decode_configuration(text)); })});
    }
    print_header("configuration", "services", sizes, target_services);
    print_row("encoded", "B", bytes, target_services);
    print_row("decoded in memory", "B", memory, target_services);
    print_row("encode", "us", encoding, target_services);
    print_row("decode", "us", decoding, target_services);
}

} // namespace sassafras_slopes
