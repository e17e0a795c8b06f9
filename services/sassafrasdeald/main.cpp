#include <base/event.hpp>
#include <operators/settings_reader.hpp>
#include <proxy/run_daemon.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "INI file with the settings of this daemon (required)");
DEFINE_string(queue, "ranked",
              "order of requests at homes: ranked, or first_come_first_served for measurements");

namespace {

constexpr int exit_invalid_settings = 2;

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Runs one daemon of the database proxy: sassafrasdeald --settings=FILE");
    gflags::SetVersionString(SASSAFRASDEAL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_queue != "ranked" && FLAGS_queue != "first_come_first_served") {
        std::cerr << "sassafrasdeald: --queue is neither ranked nor first_come_first_served\n";
        return exit_invalid_settings;
    }
    const auto settings = operators::load_settings(FLAGS_settings);
    if (!settings.value_) {
        for (const auto& problem : settings.problems_) {
            std::cerr << to_string(problem) << '\n';
        }
        return exit_invalid_settings;
    }
    base::start_logging((*settings.value_)->log_level_);
    const auto order =
        FLAGS_queue == "ranked" ? proxy::queue_order::ranked : proxy::queue_order::first_come_first_served;
    return proxy::run_daemon(*settings.value_, order);
}
