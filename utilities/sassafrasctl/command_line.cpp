#include <utilities/sassafrasctl/command_line.hpp>

#include <utilities/sassafrasctl/daemon_commands.hpp>
#include <utilities/sassafrasctl/file_commands.hpp>
#include <utilities/sassafrasctl/log_commands.hpp>
#include <utilities/sassafrasctl/print.hpp>

#include <array>
#include <string_view>

namespace sassafrasctl {

namespace {

struct command_description {
    std::string_view name_;
    operators::exit_code (*run_)(const command_line& line);
};

constexpr std::array commands{
    command_description{"check", check_files},          command_description{"publish", publish_folder},
    command_description{"status", show_status},         command_description{"stats", show_statistics},
    command_description{"explain", explain_request},    command_description{"drain", drain_daemon},
    command_description{"trace", trace_logged_request},
};

} // namespace

operators::exit_code run_command(const command_line& line) {
    for (const auto& command : commands) {
        if (command.name_ == line.command_) {
            return command.run_(line);
        }
    }
    return report_usage_error(line.command_.empty() ? "a command is missing"
                                                    : "the command '" + line.command_ + "' is unknown");
}

std::string help_text() {
    std::string text =
        "sassafrasctl checks and publishes declarations and asks daemons about their state.\n"
        "\n"
        "Usage: sassafrasctl COMMAND [ARGUMENT...] [--FLAG=VALUE...]\n"
        "\n"
        "Commands:\n"
        "  check DIR|FILE...    check all *.service.ini files below a directory, or single files; a file "
        "with\n"
        "                       another ending is checked as a daemon's settings\n"
        "  publish DIR          put the declarations below a directory into force\n"
        "                       (needs --platform and --publisher)\n"
        "  status               state of a daemon, its members and groups (needs --daemon)\n"
        "  stats                counters and latencies of a daemon (needs --daemon)\n"
        "  explain FIELD=VALUE...\n"
        "                       how a daemon would handle a request (needs --daemon); fields: service, "
        "tenant,\n"
        "                       rank, access, read_class, session, idempotency_key, deadline_ms, statement\n"
        "  drain                make a daemon finish its requests and exit (needs --daemon)\n"
        "  trace ID LOG...      explain a request from the logs of session daemons\n"
        "\n"
        "Flags:\n"
        "  --daemon ADDRESS     operator address of a daemon, for example 127.0.0.1:7002\n"
        "  --platform ADDRESS   address of the platform's store, for example 127.0.0.1:7090\n"
        "  --publisher NAME     who publishes; shown to whoever loses a race\n"
        "  --based_on REVISION  publish only if this revision is in force; 0 means none yet\n"
        "  --output text|json   print a daemon's answer readably or as it is (default text)\n"
        "  --timeout_ms N       time limit of one call (default 5000)\n"
        "  --log_level LEVEL    also log events to standard error: debug, info, warning, error (default "
        "off)\n"
        "  --help, --version\n"
        "\n"
        "Exit codes:\n";
    return text.append(operators::exit_code_help());
}

} // namespace sassafrasctl
