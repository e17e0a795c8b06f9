#pragma once

#include <base/error.hpp>
#include <operators/exit_code.hpp>
#include <operators/problem.hpp>

#include <string>
#include <vector>

namespace sassafrasctl {

/// Prints one error to standard error and returns its exit code.
[[nodiscard]] operators::exit_code report_error(const base::error& reason);

/// Prints what is wrong with the command line and returns the exit code for it.
[[nodiscard]] operators::exit_code report_usage_error(const std::string& what);

/// Prints all problems to standard error and returns the exit code for them.
[[nodiscard]] operators::exit_code report_problems(const std::vector<operators::problem>& problems);

} // namespace sassafrasctl
