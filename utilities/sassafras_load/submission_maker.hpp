#pragma once

#include <utilities/sassafras_load/session.hpp>
#include <utilities/sassafras_load/submission.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace sassafras_load {

/// Fills work classes in with tenants, keys and unique values. Thread safety: used by one thread.
class submission_maker {
public:
    /// `name` makes the values of this maker unique among all makers of all runs.
    submission_maker(std::string name, std::uint64_t seed) : name_{std::move(name)}, random_{seed} {}

    /// Returns whether an event that has a chance of `percent` happens.
    [[nodiscard]] bool draw_percent(std::uint64_t percent);

    /// Returns a submission outside any session.
    [[nodiscard]] submission make(const work_class& work);

    /// Returns the next submission of a session and remembers in it which key it writes.
    [[nodiscard]] submission make(const work_class& work, session& owner);

private:
    [[nodiscard]] submission_fields fill(const work_class& work, std::uint64_t key);
    [[nodiscard]] std::uint64_t draw_below(std::uint64_t bound);

    std::string name_;
    std::mt19937_64 random_;
    std::uint64_t made_ = 0;
};

} // namespace sassafras_load
