#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sassafras_load {

/// When a request is due after the start of the run, and the index of its work class.
struct arrival {
    std::chrono::microseconds due_{0};
    std::size_t work_ = 0;

    friend auto operator<=>(const arrival&, const arrival&) = default;
};

/// Poisson arrivals of several work classes in the order of their times. They depend only on the rates and
/// the seed, never on answers. Thread safety: used by one thread.
class arrival_schedule {
public:
    /// Rates are per second; a class with rate 0 never arrives.
    arrival_schedule(const std::vector<double>& rates, std::uint64_t seed);

    /// Returns the next arrival, or nothing when no class has a rate.
    [[nodiscard]] std::optional<arrival> next();

private:
    struct stream {
        std::size_t work_ = 0;
        double rate_ = 0;
        double due_seconds_ = 0;
    };

    void advance(stream& work);

    std::mt19937_64 random_;
    std::vector<stream> streams_;
};

} // namespace sassafras_load
