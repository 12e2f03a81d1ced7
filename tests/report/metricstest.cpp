#include "report/metrics.h"

#include "report/latencyestimator.h"
#include "support/table.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace Gypsumtally;
using namespace std::chrono_literals;

namespace
{

const std::size_t sampleCounts[] = {1, 3, 33, 128, 129, 500, 20000};

} // namespace

TABLE_TEST(LatencyEstimator, quantileAccuracy, sampleCounts)
{
    std::mt19937_64 random(11);
    LatencyEstimator estimator;
    std::vector<double> sorted;
    for (std::size_t i = 0; i < row; ++i) {
        const auto latency = Duration{1000 + static_cast<std::int64_t>(random() % 1'000'000)};
        estimator.add(latency, Instant{1s});
        sorted.push_back(std::chrono::duration<double>(latency).count());
    }
    std::ranges::sort(sorted);
    const auto summary = estimator.summary(Instant{2s});
    const auto exact
        = [&](double p) { return sorted[static_cast<std::size_t>(std::ceil(p * static_cast<double>(row))) - 1]; };
    cr_assert_eq(summary.count, row);
    cr_assert_float_eq(summary.max, sorted.back(), 1e-9);
    cr_assert_float_eq(summary.p50, exact(0.5), 0.08);
    cr_assert_float_eq(summary.p95, exact(0.95), 0.05);
    cr_assert_float_eq(summary.p99, exact(0.99), 0.05);
}

Test(LatencyEstimator, intervalExpiry)
{
    LatencyEstimator estimator;
    estimator.add(9s, Instant{1s});
    estimator.add(1s, Instant{400s});
    cr_assert_float_eq(estimator.summary(Instant{401s}).max, 9, 1e-9);
    estimator.add(2s, Instant{800s});
    cr_assert_float_eq(estimator.summary(Instant{801s}).max, 1, 1e-9);
    cr_assert_float_eq(estimator.summary(Instant{2000s}).max, 2, 1e-9);
}

Test(Metrics, prometheusText)
{
    Metrics metrics;
    metrics.add(Metric::Requests, {{"class", "urgent"}, {"verdict", "ran"}}, 3);
    metrics.set(Metric::ConfigurationVersion, 7);
    metrics.observe(Metric::RequestSeconds, {{"class", "bulk"}}, 80ms, Instant{1s});
    const auto text = metrics.text(Instant{2s});
    for (const auto *expected :
         {"gypsumtally_requests_total{class=\"urgent\",verdict=\"ran\"} 3", "# TYPE gypsumtally_requests_total counter",
          "gypsumtally_configuration_version 7", "gypsumtally_request_seconds_bucket{class=\"bulk\",le=\"0.1\"} 1",
          "gypsumtally_request_seconds_recent{class=\"bulk\",quantile=\"0.99\"} 0.08"})
        cr_assert_neq(text.find(expected), std::string::npos, "%s not in %s", expected, text.c_str());
}
