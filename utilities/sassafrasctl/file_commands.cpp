#include <utilities/sassafrasctl/file_commands.hpp>

#include <operators/configuration_codec.hpp>
#include <operators/declaration_folder.hpp>
#include <operators/declaration_reader.hpp>
#include <operators/publish.hpp>
#include <operators/settings_reader.hpp>
#include <platform/store_client.hpp>
#include <utilities/sassafrasctl/coroutine.hpp>
#include <utilities/sassafrasctl/print.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <utility>

namespace sassafrasctl {

namespace {

// Collects the declarations of all arguments, so that a service that stands in two of them is found.
class argument_checker {
public:
    void check(const std::string& path) {
        std::error_code failure;
        if (std::filesystem::is_directory(path, failure)) {
            check_directory(path);
        } else if (path.ends_with(operators::declaration_file_ending)) {
            take(path, operators::load_declaration(path));
        } else {
            auto settings = operators::load_settings(path);
            add(settings.problems_);
            settings_files_ += settings.value_ ? 1 : 0;
        }
    }

    operators::exit_code report() {
        const auto services = services_.size();
        add(operators::combine_declarations(std::move(services_)).problems_);
        if (!problems_.empty()) {
            return report_problems(problems_);
        }
        std::cout << "no problems: " << services << (services == 1 ? " service" : " services") << ", "
                  << settings_files_ << (settings_files_ == 1 ? " settings file\n" : " settings files\n");
        return operators::exit_code::success;
    }

private:
    void check_directory(const std::string& path) {
        auto listing = operators::load_declarations(path);
        add(listing.problems_);
        for (const auto& service : listing.services_) {
            add_service(service);
        }
    }

    void take(const std::string& path, const operators::checked<operators::service_declaration>& read) {
        add(read.problems_);
        if (read.value_) {
            add_service({path, *read.value_});
        }
    }

    // A file that several arguments name is one declaration.
    void add_service(const operators::declared_service& service) {
        const auto is_same_file = [&service](const operators::declared_service& other) {
            std::error_code failure;
            return std::filesystem::equivalent(service.file_, other.file_, failure);
        };
        if (std::none_of(services_.begin(), services_.end(), is_same_file)) {
            services_.push_back(service);
        }
    }

    void add(const std::vector<operators::problem>& problems) {
        problems_.insert(problems_.end(), problems.begin(), problems.end());
    }

    std::vector<operators::declared_service> services_;
    std::vector<operators::problem> problems_;
    std::size_t settings_files_ = 0;
};

} // namespace

operators::exit_code check_files(const command_line& line) {
    if (line.arguments_.empty()) {
        return report_usage_error("check needs a directory or files");
    }
    argument_checker checker;
    for (const auto& path : line.arguments_) {
        checker.check(path);
    }
    return checker.report();
}

operators::exit_code publish_folder(const command_line& line) {
    if (line.arguments_.size() != 1 || line.platform_.empty() || line.publisher_.empty()) {
        return report_usage_error("publish needs one directory, --platform and --publisher");
    }
    const auto address = base::endpoint::parse(line.platform_);
    if (!address) {
        return report_usage_error("--platform: " + address.last_reason().message());
    }
    const auto collected = operators::collect_declarations(line.arguments_.front());
    if (!collected.value_) {
        return report_problems(collected.problems_);
    }
    const auto wanted = collected.value_->with(
        [&line](operators::configuration_fields& fields) { fields.publisher_ = line.publisher_; });
    std::cout << "publishing " << wanted->services_.size() << " services with fingerprint "
              << operators::fingerprint_of(wanted) << std::endl;
    platform::store_client store{*address, line.timeout_};
    const operators::publication publication{wanted, line.based_on_};
    operators::timed_delay pause;
    const auto report = run_coroutine(operators::publish(store, publication, pause));
    (report.error_ ? std::cerr : std::cout) << to_string(report) << '\n';
    return report.error_ ? operators::exit_code_for(report.error_->kind()) : operators::exit_code::success;
}

} // namespace sassafrasctl
