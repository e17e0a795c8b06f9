#include <utilities/sassafras_soak/soak_run.hpp>

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>

DEFINE_string(program, SASSAFRASDEAL_SESSIOND, "the daemon to play, for example of an earlier build");
DEFINE_uint64(seed, 0, "seed of the schedule and the clients; 0 draws one");
DEFINE_uint64(seconds, 15, "how long faults are staged");
DEFINE_uint64(daemons, 4, "daemons, at most 10");
DEFINE_uint64(services, 2, "services of three databases each, at most 4");
DEFINE_uint64(clients, 24, "clients");
DEFINE_uint64(tenants, 3, "tenants, whose keys change; 0 for a configuration without tenants");
DEFINE_bool(faults, true, "whether the schedule of faults is played");
DEFINE_string(store_absence, "copy",
              "whether the store is away at times: none, outage, or copy, from which it then comes back");
DEFINE_uint64(first_port, 23'000, "the run uses the 100 ports from here");
DEFINE_string(folder, "",
              "where settings and logs of the daemons go; they are kept when a promise is broken");

namespace {

constexpr int exit_broken = 1;
constexpr int exit_invalid = 2;
constexpr std::uint64_t most_daemons = 10;
constexpr std::uint64_t most_services = 4;

std::uint64_t draw_seed() {
    std::random_device random;
    return random();
}

std::optional<soak::store_absence> parse_absence(const std::string& text) {
    const std::map<std::string, soak::store_absence> names{{"none", soak::store_absence::none},
                                                           {"outage", soak::store_absence::outage},
                                                           {"copy", soak::store_absence::returns_from_copy}};
    const auto found = names.find(text);
    return found == names.end() ? std::nullopt : std::optional{found->second};
}

int run() {
    if (FLAGS_folder.empty() || FLAGS_daemons == 0 || FLAGS_daemons > most_daemons || FLAGS_services == 0 ||
        FLAGS_services > most_services) {
        std::cerr << "sassafras_soak: give --folder, 1 to 10 --daemons and 1 to 4 --services\n";
        return exit_invalid;
    }
    const auto absence = parse_absence(FLAGS_store_absence);
    if (!absence) {
        std::cerr << "sassafras_soak: --store_absence is none, outage or copy\n";
        return exit_invalid;
    }
    std::filesystem::create_directories(FLAGS_folder);
    soak::soak_settings settings;
    settings.program_ = FLAGS_program;
    settings.folder_ = FLAGS_folder;
    settings.first_port_ = static_cast<std::uint16_t>(FLAGS_first_port);
    settings.daemons_ = static_cast<std::uint32_t>(FLAGS_daemons);
    settings.services_ = static_cast<std::uint32_t>(FLAGS_services);
    settings.clients_ = static_cast<std::uint32_t>(FLAGS_clients);
    settings.tenants_ = static_cast<std::uint32_t>(FLAGS_tenants);
    settings.has_faults_ = FLAGS_faults;
    settings.store_absence_ = *absence;
    settings.seed_ = FLAGS_seed == 0 ? draw_seed() : FLAGS_seed;
    settings.length_ = std::chrono::seconds{FLAGS_seconds};
    std::cout << "seed " << settings.seed_ << "\n";
    soak::soak_run soak{settings};
    const auto broken = soak.play(std::cout);
    std::cout << soak.history().writes_.size() << " writes, " << soak.history().reads_.size() << " reads, "
              << soak.history().key_refusals_.size() << " keys refused, " << soak.store_returns()
              << " returns of the store, " << broken.size() << " promises broken\n";
    std::cout << "longest pause of writes " << soak.longest_pause_of_writes().count() << " ms\n";
    for (const auto& line : broken) {
        std::cout << "broken: " << line << "\n";
    }
    return broken.empty() ? 0 : exit_broken;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "plays a randomized soak of session daemons: sassafras_soak --folder=DIR --seed=N");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
