#pragma once

#include <base/immutable.hpp>
#include <utilities/sassafras_load/work_class.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras_load {

/// One request ready to be sent: a work class with its tenant, key and values filled in.
struct submission_fields {
    work_class work_;
    std::string tenant_;
    std::vector<std::string> statements_;
    /// The idempotency key; empty for none.
    std::string key_;
    /// Empty outside any session.
    std::string session_;
    std::uint64_t sequence_ = 0;
    /// The session's token; empty for none.
    std::string token_;

    friend auto operator<=>(const submission_fields&, const submission_fields&) = default;
    friend bool operator==(const submission_fields&, const submission_fields&) = default;
};

using submission = base::immutable<submission_fields>;

} // namespace sassafras_load
