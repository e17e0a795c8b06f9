#include <utilities/sassafrasctl/log_commands.hpp>

#include <operators/request_trace.hpp>
#include <utilities/sassafrasctl/print.hpp>

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasctl {

namespace {

namespace json = boost::json;

/// Appends the events of a log. Returns whether the file could be read.
bool read_log(const std::string& path, std::vector<operators::log_line>& lines) {
    std::ifstream file{path};
    std::string text;
    while (std::getline(file, text)) {
        if (auto line = operators::parse_log_line(path, text)) {
            lines.push_back(std::move(*line));
        }
    }
    return file.eof();
}

json::array texts_of(const std::vector<operators::log_line>& lines) {
    json::array texts;
    for (const auto& line : lines) {
        texts.push_back(json::object{{"log", line.source_}, {"line", line.text_}});
    }
    return texts;
}

void print_lines(const char* title, const std::vector<operators::log_line>& lines) {
    if (!lines.empty()) {
        std::cout << title << '\n';
    }
    for (const auto& line : lines) {
        std::cout << "  " << line.source_ << ": " << line.text_ << '\n';
    }
}

} // namespace

operators::exit_code trace_logged_request(const command_line& line) {
    if (line.arguments_.size() < 2) {
        return report_usage_error("trace needs the id of a request and log files");
    }
    std::vector<operators::log_line> lines;
    for (std::size_t index = 1; index < line.arguments_.size(); ++index) {
        if (!read_log(line.arguments_[index], lines)) {
            std::cerr << "sassafrasctl: cannot read " << line.arguments_[index] << '\n';
            return operators::exit_code::invalid_file;
        }
    }
    const auto trace = operators::trace_request(line.arguments_.front(), lines);
    if (line.output_ == output_form::json) {
        std::cout << json::serialize(json::object{{"conclusion", trace.conclusion_},
                                                  {"request", texts_of(trace.own_lines_)},
                                                  {"related", texts_of(trace.related_lines_)}})
                  << '\n';
    } else {
        std::cout << trace.conclusion_ << '\n';
        print_lines("The request:", trace.own_lines_);
        print_lines("Around it:", trace.related_lines_);
    }
    return trace.own_lines_.empty() ? operators::exit_code::unresolved : operators::exit_code::success;
}

} // namespace sassafrasctl
