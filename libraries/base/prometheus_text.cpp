#include <base/prometheus_text.hpp>

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace base {

namespace {

constexpr double microseconds_per_second = 1e6;

enum class quoting : std::uint8_t { label_value, help_text };

std::string escape(std::string_view text, quoting place) {
    std::string escaped;
    for (const char character : text) {
        if (character == '\\') {
            escaped += "\\\\";
        } else if (character == '\n') {
            escaped += "\\n";
        } else if (character == '"' && place == quoting::label_value) {
            escaped += "\\\"";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

std::string_view name_of(metric_kind kind) {
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::histogram:
        return "histogram";
    }
    return "untyped";
}

std::string encode_number(double value) {
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return fmt::format("{}", value);
}

std::string encode_labels(const metric_sample& sample) {
    std::string encoded;
    for (const auto& [name, value] : sample.labels_) {
        encoded +=
            fmt::format("{}{}=\"{}\"", encoded.empty() ? "" : ",", name, escape(value, quoting::label_value));
    }
    return encoded;
}

std::string in_braces(std::string_view labels) {
    return labels.empty() ? "" : fmt::format("{{{}}}", labels);
}

std::string encode_buckets(std::string_view name, const std::string& labels, const latency_buckets& buckets) {
    std::string text;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < buckets->counts_.size(); ++index) {
        cumulative += buckets->counts_.at(index);
        const auto bound =
            index < latency_bounds_us.size()
                ? encode_number(static_cast<double>(latency_bounds_us.at(index)) / microseconds_per_second)
                : "+Inf";
        text += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, labels.empty() ? "" : ",", bound,
                            cumulative);
    }
    text += fmt::format("{}_sum{} {}\n", name, in_braces(labels),
                        encode_number(static_cast<double>(buckets->sum_us_) / microseconds_per_second));
    text += fmt::format("{}_count{} {}\n", name, in_braces(labels), cumulative);
    return text;
}

std::string encode_sample(std::string_view name, const metric_sample& sample) {
    const auto labels = encode_labels(sample);
    if (const auto* buckets = std::get_if<latency_buckets>(&sample.value_)) {
        return encode_buckets(name, labels, *buckets);
    }
    return fmt::format("{}{} {}\n", name, in_braces(labels), encode_number(std::get<double>(sample.value_)));
}

} // namespace

std::string encode_prometheus_text(std::span<const metric_family> families) {
    std::string text;
    for (const auto& family : families) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", family->name_,
                            escape(family->help_, quoting::help_text), family->name_, name_of(family->kind_));
        for (const auto& sample : family->samples_) {
            text += encode_sample(family->name_, sample);
        }
    }
    return text;
}

} // namespace base
