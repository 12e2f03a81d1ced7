#include "report/latencyestimator.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace Gypsumtally
{

namespace accumulators = boost::accumulators;

namespace
{

constexpr Duration intervalLength = std::chrono::minutes{5};
constexpr std::array probabilities{0.25, 0.5, 0.75, 0.9, 0.95, 0.975, 0.99, 0.995};
/// Number of samples up to which quantiles are exact, from the sorted samples; the P-square estimator needs more.
constexpr std::uint64_t maxExactSamples = 128;

using Accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                                accumulators::tag::extended_p_square_quantile>>;

double exactQuantile(const std::vector<double> &sorted, double probability)
{
    const auto rank = std::ceil(probability * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

} // namespace

struct LatencyEstimator::Interval {
    Accumulator accumulator{accumulators::extended_p_square_probabilities = probabilities};
    std::vector<double> firstSamples;

    void add(double seconds)
    {
        accumulator(seconds);
        if (firstSamples.size() < maxExactSamples)
            firstSamples.push_back(seconds);
    }

    LatencySummary summary() const
    {
        const auto count = accumulators::count(accumulator);
        if (count == 0)
            return {};
        auto sorted = firstSamples;
        std::ranges::sort(sorted);
        const auto quantile = [&](double probability) {
            if (count <= maxExactSamples)
                return exactQuantile(sorted, probability);
            return accumulators::quantile(accumulator, accumulators::quantile_probability = probability);
        };
        return {count,
                accumulators::mean(accumulator),
                accumulators::max(accumulator),
                quantile(0.5),
                quantile(0.95),
                quantile(0.99)};
    }
};

LatencyEstimator::LatencyEstimator()
    : m_current(std::make_unique<Interval>())
{
}

LatencyEstimator::~LatencyEstimator() = default;
LatencyEstimator::LatencyEstimator(LatencyEstimator &&) noexcept = default;
LatencyEstimator &LatencyEstimator::operator=(LatencyEstimator &&) noexcept = default;

void LatencyEstimator::add(Duration latency, Instant now)
{
    if (m_intervalEnd == Instant{})
        m_intervalEnd = now + intervalLength;
    if (now >= m_intervalEnd) {
        m_previous = m_current->summary();
        m_current = std::make_unique<Interval>();
        m_intervalEnd = now + intervalLength;
    }
    m_current->add(std::chrono::duration<double>(latency).count());
}

LatencySummary LatencyEstimator::summary(Instant now) const
{
    const bool isOver = now >= m_intervalEnd;
    return m_previous.count == 0 || isOver ? m_current->summary() : m_previous;
}

} // namespace Gypsumtally
