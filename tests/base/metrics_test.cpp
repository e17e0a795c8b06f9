#include <base/latency_histogram.hpp>
#include <base/metric_registry.hpp>
#include <base/prometheus_text.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace {

using std::chrono::microseconds;

base::latency_buckets record_all(const std::vector<std::uint32_t>& latencies) {
    base::latency_histogram histogram;
    for (const auto latency : latencies) {
        histogram.record(microseconds{latency});
    }
    return histogram.buckets();
}

} // namespace

// Guards against counts that are lost or doubled when the histograms of two threads are added.
TEST(latency_histogram, merged_buckets_equal_one_histogram_of_everything) {
    EXPECT_TRUE(
        rc::check("merge", [](std::vector<std::uint32_t> one, const std::vector<std::uint32_t>& other) {
            const auto merged = base::merge(record_all(one), record_all(other));
            one.insert(one.end(), other.begin(), other.end());
            RC_ASSERT(merged == record_all(one));
            RC_ASSERT(base::count_of(merged) == one.size());
        }));
}

// Guards against quantiles that are below the real ones, which would hide slow requests.
TEST(latency_histogram, bucket_quantile_is_never_below_the_real_one) {
    EXPECT_TRUE(rc::check("quantile", [](std::vector<std::uint32_t> latencies) {
        RC_PRE(!latencies.empty());
        const auto estimate = base::estimate_quantile(record_all(latencies), 0.5);
        std::sort(latencies.begin(), latencies.end());
        RC_ASSERT(estimate.count() >= latencies[(latencies.size() - 1) / 2]);
        RC_ASSERT(estimate.count() <= latencies.back());
    }));
}

// Guards against statistics of a wrong unit or quantile, for few and for many latencies.
TEST(latency_histogram, summary_holds_count_mean_longest_and_quantiles) {
    base::latency_histogram histogram;
    EXPECT_EQ(histogram.summary(), base::latency_summary{});
    histogram.record(microseconds{1'000});
    EXPECT_EQ(histogram.summary()->median_us_, 1'000);
    for (int value = 1; value <= 10'000; ++value) {
        histogram.record(microseconds{value * 7'919 % 10'000});
    }
    const auto summary = histogram.summary();
    EXPECT_EQ(summary->count_, 10'001U);
    EXPECT_EQ(summary->max_us_, 9'999);
    EXPECT_NEAR(summary->mean_us_, 5'000, 10);
    EXPECT_NEAR(summary->median_us_, 5'000, 100);
    EXPECT_NEAR(summary->quantile_99_us_, 9'900, 100);
}

// Guards against memory that grows with the names that callers invent, and against requests not counted at
// all.
TEST(metric_registry, tenants_beyond_the_bound_are_counted_as_other) {
    base::metric_registry registry{2};
    for (const auto* tenant : {"a", "b", "c", "d", "a"}) {
        registry.record("ledger", tenant, "low", base::outcome::done, microseconds{10});
    }
    std::map<base::metric_key, base::latency_buckets> totals;
    registry.collect(totals);
    const auto count = [&](const char* tenant) {
        return base::count_of(totals[base::metric_key_fields{"ledger", tenant, "low", base::outcome::done}]);
    };
    EXPECT_EQ(totals.size(), 3U);
    EXPECT_EQ(count("a"), 2U);
    EXPECT_EQ(count("b"), 1U);
    EXPECT_EQ(count("other"), 2U);
}

// Guards against a reader that sees half of a new series or counts that go back while the owner records.
TEST(metric_registry, other_threads_collect_while_the_owner_records) {
    constexpr int requests = 20'000;
    base::metric_registry registry{50};
    std::atomic<bool> is_finished{false};
    std::atomic<int> faults{0};
    std::thread reader{[&] {
        std::uint64_t before = 0;
        while (!is_finished) {
            std::map<base::metric_key, base::latency_buckets> totals;
            registry.collect(totals);
            std::uint64_t count = 0;
            for (const auto& [key, buckets] : totals) {
                faults += key->service_ == "ledger" ? 0 : 1;
                count += base::count_of(buckets);
            }
            faults += count < before ? 1 : 0;
            before = count;
        }
    }};
    for (int request = 0; request < requests; ++request) {
        registry.record("ledger", "t" + std::to_string(request % 80), "low", base::outcome::done,
                        microseconds{request});
    }
    is_finished = true;
    reader.join();
    std::map<base::metric_key, base::latency_buckets> totals;
    registry.collect(totals);
    std::uint64_t count = 0;
    for (const auto& [key, buckets] : totals) {
        count += base::count_of(buckets);
    }
    EXPECT_EQ(count, static_cast<std::uint64_t>(requests));
    EXPECT_EQ(totals.size(), 51U);
    EXPECT_EQ(faults, 0);
}

// Guards against a tenant name that breaks out of its label and forges other metrics.
TEST(prometheus_text, escapes_label_values) {
    const base::metric_family family{base::metric_family_fields{
        .name_ = "queued",
        .help_ = "Waiting \\ requests\nnow",
        .kind_ = base::metric_kind::gauge,
        .samples_ = {{.labels_ = {{"tenant", "a\"} 1\nfake\\"}, {"rank", "low"}}, .value_ = 2.5},
                     {.labels_ = {}, .value_ = 3.0}}}};
    EXPECT_EQ(base::encode_prometheus_text(std::vector{family}),
              "# HELP queued Waiting \\\\ requests\\nnow\n# TYPE queued gauge\n"
              "queued{tenant=\"a\\\"} 1\\nfake\\\\\",rank=\"low\"} 2.5\nqueued 3\n");
}

// Guards against buckets that are not cumulative or lack the last one, which Prometheus needs.
TEST(prometheus_text, histogram_has_cumulative_buckets_in_seconds) {
    std::map<base::metric_key, base::latency_buckets> totals;
    totals[base::metric_key_fields{"ledger", "a", "low", base::outcome::not_run}] =
        record_all({400, 400, 1'500, 20'000'000});
    const auto text = base::encode_prometheus_text(std::vector{base::request_metrics(totals)});
    const std::string labels = "service=\"ledger\",tenant=\"a\",rank=\"low\",outcome=\"not_run\"";
    for (const auto& line :
         {"_bucket{" + labels + ",le=\"0.0005\"} 2\n", "_bucket{" + labels + ",le=\"0.002\"} 3\n",
          "_bucket{" + labels + ",le=\"10\"} 3\n", "_bucket{" + labels + ",le=\"+Inf\"} 4\n",
          "_sum{" + labels + "} 20.0023\n", "_count{" + labels + "} 4\n"}) {
        EXPECT_NE(text.find("sassafrasdeal_request_seconds" + line), std::string::npos) << line << text;
    }
}
