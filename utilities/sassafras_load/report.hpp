#pragma once

#include <utilities/sassafras_load/load_plan.hpp>
#include <utilities/sassafras_load/work_result.hpp>

#include <string>
#include <vector>

namespace sassafras_load {

/// Returns a table with one line for each work class. Precondition: one result for each class of the profile.
[[nodiscard]] std::string render_table(const profile& offered, const std::vector<work_result>& results);

/// Returns the result as JSON: how the run was made and what each work class got. Precondition: as above.
[[nodiscard]] std::string encode_results(const load_plan& plan, const std::vector<work_result>& results);

} // namespace sassafras_load
