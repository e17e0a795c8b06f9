#pragma once

#include <base/ini_document.hpp>
#include <base/result.hpp>
#include <utilities/sassafras_load/profile.hpp>

#include <string_view>

namespace sassafras_load {

/// Reads a profile: a section `[run]` and sections `[work NAME]`.
/// Errors: `settings_invalid` names section and key.
[[nodiscard]] base::result<profile> read_profile(const base::ini_document& document);

/// Multiplies the rates of all work by `scale`, and those of single classes as in `NAME=FACTOR,...`.
/// Errors: `settings_invalid` for a name that the profile does not have or a factor that is no number.
[[nodiscard]] base::result<profile> scale_rates(const profile& base_rates, double scale,
                                                std::string_view work_scales);

} // namespace sassafras_load
