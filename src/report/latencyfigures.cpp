#include "report/latencyfigures.h"

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

constexpr Duration spanLength = std::chrono::minutes{5};
constexpr std::array probabilities{0.25, 0.5, 0.75, 0.9, 0.95, 0.975, 0.99, 0.995};
constexpr std::uint64_t fewSamples = 128; ///< The estimator needs more; up to this many are kept and sorted.

using Accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                                accumulators::tag::extended_p_square_quantile>>;

double exactQuantile(const std::vector<double> &sorted, double probability)
{
    const auto rank = std::ceil(probability * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

} // namespace

struct LatencyFigures::Span {
    Accumulator accumulator{accumulators::extended_p_square_probabilities = probabilities};
    std::vector<double> first;

    void add(double seconds)
    {
        accumulator(seconds);
        if (first.size() < fewSamples)
            first.push_back(seconds);
    }

    LatencySummary summary() const
    {
        const auto count = accumulators::count(accumulator);
        if (count == 0)
            return {};
        auto sorted = first;
        std::ranges::sort(sorted);
        const auto quantile = [&](double probability) {
            if (count <= fewSamples)
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

LatencyFigures::LatencyFigures()
    : m_present(std::make_unique<Span>())
{
}

LatencyFigures::~LatencyFigures() = default;
LatencyFigures::LatencyFigures(LatencyFigures &&) noexcept = default;
LatencyFigures &LatencyFigures::operator=(LatencyFigures &&) noexcept = default;

void LatencyFigures::add(Duration latency, Instant now)
{
    if (m_spanEnd == Instant{})
        m_spanEnd = now + spanLength;
    if (now >= m_spanEnd) {
        m_last = m_present->summary();
        m_present = std::make_unique<Span>();
        m_spanEnd = now + spanLength;
    }
    m_present->add(std::chrono::duration<double>(latency).count());
}

LatencySummary LatencyFigures::summary(Instant now) const
{
    const bool isOver = now >= m_spanEnd;
    return m_last.count == 0 || isOver ? m_present->summary() : m_last;
}

} // namespace Gypsumtally
