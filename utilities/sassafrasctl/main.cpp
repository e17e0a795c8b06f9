#include <base/event.hpp>
#include <utilities/sassafrasctl/command_line.hpp>
#include <utilities/sassafrasctl/print.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(daemon, "", "operator address of a daemon");
DEFINE_string(platform, "", "address of the platform's store");
DEFINE_string(publisher, "", "who publishes");
DEFINE_int64(based_on, -1, "publish only if this revision is in force; -1 for any");
DEFINE_string(output, "text", "text or json");
DEFINE_uint32(timeout_ms, 5000, "time limit of one call");
DEFINE_string(log_level, "off", "least severity of the events that are logged");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

sassafrasctl::command_line read_command_line(int count, char** words) {
    sassafrasctl::command_line line;
    line.command_ = count > 1 ? words[1] : "";
    for (int index = 2; index < count; ++index) {
        line.arguments_.emplace_back(words[index]);
    }
    line.daemon_ = FLAGS_daemon;
    line.platform_ = FLAGS_platform;
    line.publisher_ = FLAGS_publisher;
    if (FLAGS_based_on >= 0) {
        line.based_on_ = static_cast<std::uint64_t>(FLAGS_based_on);
    }
    line.output_ = FLAGS_output == "json" ? sassafrasctl::output_form::json : sassafrasctl::output_form::text;
    line.timeout_ = base::clock::duration{FLAGS_timeout_ms};
    return line;
}

} // namespace

int main(int count, char** words) {
    gflags::ParseCommandLineNonHelpFlags(&count, &words, true);
    if (FLAGS_help) {
        std::cout << sassafrasctl::help_text();
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "sassafrasctl " << SASSAFRASDEAL_VERSION << '\n';
        return 0;
    }
    base::start_logging(FLAGS_log_level);
    auto code = operators::exit_code::usage;
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        code = sassafrasctl::report_usage_error("--output is neither text nor json");
    } else {
        code = sassafrasctl::run_command(read_command_line(count, words));
    }
    base::flush_log();
    return static_cast<int>(code);
}
