#include <utilities/sassafras_slopes/decision_slopes.hpp>
#include <utilities/sassafras_slopes/fleet_slopes.hpp>

#include <gflags/gflags.h>

#include <cstddef>
#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(part, "all", "membership, start, spread, backends, homes, operators or all");
DEFINE_string(members, "10,50,100,200,300", "sizes of the simulated fleets, at least two");
DEFINE_uint64(seed, 1, "seed of the simulated fleets");

namespace {

std::vector<std::size_t> sizes_from_flag() {
    std::vector<std::size_t> sizes;
    std::istringstream text{FLAGS_members};
    for (std::string size; std::getline(text, size, ',');) {
        sizes.push_back(std::stoul(size));
    }
    return sizes;
}

bool is_wanted(const std::string& part) {
    return FLAGS_part == part || FLAGS_part == "all";
}

} // namespace

int main(int argc, char** argv) {
    using namespace sassafras_slopes;
    gflags::SetUsageMessage("measures how the cost of the daemon's decisions grows with their sizes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto sizes = sizes_from_flag();
    if (sizes.size() < 2) {
        std::cerr << "sassafras_slopes: --members needs at least two sizes\n";
        return 1;
    }
    if (is_wanted("membership")) {
        measure_membership(sizes, FLAGS_seed);
        measure_member_memory({10, 100, 300, 700, 4'900});
    }
    if (is_wanted("start")) {
        measure_cold_start(sizes, FLAGS_seed);
    }
    if (is_wanted("spread")) {
        measure_spread(sizes, 1, FLAGS_seed);
        measure_spread(sizes, 7, FLAGS_seed);
    }
    if (is_wanted("backends")) {
        measure_gate();
        measure_queue();
    }
    if (is_wanted("homes")) {
        measure_owner_choice();
        measure_owner_table();
    }
    if (is_wanted("operators")) {
        measure_configuration();
    }
    return 0;
}
