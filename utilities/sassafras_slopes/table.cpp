#include <utilities/sassafras_slopes/table.hpp>

#include <malloc.h>

#include <cmath>
#include <cstddef>
#include <ctime>
#include <iomanip>
#include <iostream>

namespace sassafras_slopes {

fitted_line fit(const std::vector<sample>& samples) {
    const auto count = static_cast<double>(samples.size());
    double sizes = 0;
    double values = 0;
    for (const auto& each : samples) {
        sizes += each.size_;
        values += each.value_;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto& each : samples) {
        const auto distance = each.size_ - sizes / count;
        covariance += distance * (each.value_ - values / count);
        variance += distance * distance;
    }
    const auto slope = covariance / variance;
    return {.constant_ = (values - slope * sizes) / count, .slope_ = slope};
}

void print_row(std::string_view quantity, std::string_view unit, const std::vector<sample>& samples,
               double target) {
    const auto line = fit(samples);
    std::vector<sample> logarithmic;
    logarithmic.reserve(samples.size());
    for (const auto& each : samples) {
        logarithmic.push_back({std::log2(each.size_ + 1), each.value_});
    }
    const auto by_doublings = fit(logarithmic);
    std::cout << "| " << quantity << " [" << unit << "] ";
    for (const auto& each : samples) {
        std::cout << "| " << std::setprecision(4) << each.value_ << ' ';
    }
    std::cout << "| " << std::setprecision(3) << line.constant_ << " | " << line.slope_ << " | "
              << std::setprecision(4) << line.constant_ + line.slope_ * target << " | " << by_doublings.slope_
              << " | " << by_doublings.constant_ + by_doublings.slope_ * std::log2(target + 1) << " |"
              << std::endl;
}

void print_header(std::string_view title, std::string_view size_unit, const std::vector<double>& sizes,
                  double target) {
    std::cout << "\n| " << title << "; " << size_unit << ": ";
    for (const auto size : sizes) {
        std::cout << "| " << size << ' ';
    }
    std::cout << "| constant | slope for each | line at " << target
              << " | slope for each doubling | logarithm at " << target << " |\n|---";
    for (std::size_t column = 0; column < sizes.size() + 5; ++column) {
        std::cout << "|---";
    }
    std::cout << "|" << std::endl;
}

double processor_seconds() {
    std::timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocated_bytes() {
    const auto use = mallinfo2();
    return static_cast<double>(use.uordblks + use.hblkhd);
}

} // namespace sassafras_slopes
