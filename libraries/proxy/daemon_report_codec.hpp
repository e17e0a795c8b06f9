#pragma once

#include <proxy/daemon_report.hpp>

#include <string>

namespace proxy {

/// Encodes a report as the JSON object that `/status` of the operator port returns. Thread safety: any
/// thread.
[[nodiscard]] std::string encode_report(const daemon_report& report);

} // namespace proxy
