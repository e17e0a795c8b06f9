#include <utilities/sassafrasctl/print.hpp>

#include <iostream>

namespace sassafrasctl {

operators::exit_code report_error(const base::error& reason) {
    std::cerr << "sassafrasctl: " << reason.to_string() << '\n';
    return operators::exit_code_for(reason.kind());
}

operators::exit_code report_usage_error(const std::string& what) {
    std::cerr << "sassafrasctl: " << what << "; see sassafrasctl --help\n";
    return operators::exit_code::usage;
}

operators::exit_code report_problems(const std::vector<operators::problem>& problems) {
    for (const auto& fault : problems) {
        std::cerr << to_string(fault) << '\n';
    }
    std::cerr << problems.size() << (problems.size() == 1 ? " problem\n" : " problems\n");
    return operators::exit_code::invalid_file;
}

} // namespace sassafrasctl
