#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

/// Measures how the cost of the decision code grows with the size of what it decides about.
namespace sassafras_slopes {

/// A measured value at one size.
struct sample {
    double size_ = 0;
    double value_ = 0;

    friend auto operator<=>(const sample&, const sample&) = default;
};

/// The line `value = constant_ + slope_ * size` that fits samples best.
struct fitted_line {
    double constant_ = 0;
    double slope_ = 0;

    friend auto operator<=>(const fitted_line&, const fitted_line&) = default;
};

/// Fits by least squares. Precondition: at least two different sizes.
[[nodiscard]] fitted_line fit(const std::vector<sample>& samples);

/// Prints the samples of one quantity as one row of Markdown, with the line and the logarithm that fit them
/// best and the values of both at `target`. What spreads by gossip grows with the logarithm of the fleet.
void print_row(std::string_view quantity, std::string_view unit, const std::vector<sample>& samples,
               double target);

/// Prints the header of a table whose rows share these sizes.
void print_header(std::string_view title, std::string_view size_unit, const std::vector<double>& sizes,
                  double target);

/// Returns the processor time that this process has used, in seconds.
[[nodiscard]] double processor_seconds();

/// Returns the bytes that this process has allocated and not freed.
[[nodiscard]] double allocated_bytes();

} // namespace sassafras_slopes
