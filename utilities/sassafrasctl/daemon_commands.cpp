#include <utilities/sassafrasctl/daemon_commands.hpp>

#include <http/client_connection.hpp>
#include <operators/json_text.hpp>
#include <operators/request_words.hpp>
#include <utilities/sassafrasctl/coroutine.hpp>
#include <utilities/sassafrasctl/print.hpp>

#include <iostream>
#include <utility>

namespace sassafrasctl {

namespace {

constexpr unsigned first_success_status = 200;
constexpr unsigned last_success_status = 299;

boost::asio::awaitable<base::result<http::response>> call_daemon(base::endpoint daemon, http::request message,
                                                                 base::clock::duration timeout) {
    auto connection = co_await http::client_connection::connect(daemon, timeout);
    if (!connection) {
        co_return connection.last_reason();
    }
    co_return co_await connection->exchange(std::move(message), timeout);
}

operators::exit_code print_response(const http::response& response, output_form form) {
    if (response->status_ < first_success_status || response->status_ > last_success_status) {
        if (form == output_form::json) {
            std::cout << response->body_ << '\n';
        }
        return report_error(operators::read_error_response(response->status_, response->body_));
    }
    if (form == output_form::json) {
        std::cout << response->body_ << '\n';
        return operators::exit_code::success;
    }
    const auto text = operators::render_json(response->body_);
    if (!text) {
        return report_error(text.last_reason());
    }
    std::cout << *text;
    return operators::exit_code::success;
}

operators::exit_code ask_daemon(const command_line& line, http::request message) {
    if (line.daemon_.empty()) {
        return report_usage_error(line.command_ + " needs --daemon");
    }
    const auto daemon = base::endpoint::parse(line.daemon_);
    if (!daemon) {
        return report_usage_error("--daemon: " + daemon.last_reason().message());
    }
    const auto response = run_coroutine(call_daemon(*daemon, std::move(message), line.timeout_));
    return response ? print_response(*response, line.output_) : report_error(response.last_reason());
}

operators::exit_code ask_without_arguments(const command_line& line, http::request message) {
    if (!line.arguments_.empty()) {
        return report_usage_error(line.command_ + " takes no arguments");
    }
    return ask_daemon(line, std::move(message));
}

} // namespace

operators::exit_code show_status(const command_line& line) {
    return ask_without_arguments(line, http::request_fields{.method_ = "GET", .target_ = "/status"});
}

operators::exit_code show_statistics(const command_line& line) {
    return ask_without_arguments(line, http::request_fields{.method_ = "GET", .target_ = "/stats"});
}

operators::exit_code explain_request(const command_line& line) {
    auto body = operators::encode_explain_arguments(line.arguments_);
    if (!body) {
        return report_error(body.last_reason());
    }
    return ask_daemon(line, http::json_post("/explain", std::move(*body)));
}

operators::exit_code drain_daemon(const command_line& line) {
    return ask_without_arguments(line, http::json_post("/drain", "{}"));
}

} // namespace sassafrasctl
