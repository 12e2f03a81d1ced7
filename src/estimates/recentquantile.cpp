#include "estimates/recentquantile.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Gypsumtally::Estimates
{

RecentQuantile::RecentQuantile(double quantile, std::size_t capacity, Duration span)
    : m_quantile(quantile)
    , m_capacity(capacity)
    , m_span(span)
{
}

void RecentQuantile::add(double sample, Instant now)
{
    if (!(sample > 0) || !std::isfinite(sample))
        return;
    m_samples.push_back({now, sample});
    while (m_samples.size() > m_capacity || now - m_samples.front().at > m_span)
        m_samples.pop_front();
    std::vector<double> values;
    values.reserve(m_samples.size());
    for (const auto &each : m_samples)
        values.push_back(each.value);
    const auto rank = static_cast<std::ptrdiff_t>(m_quantile * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + rank);
    m_value = values[static_cast<std::size_t>(rank)];
}

} // namespace Gypsumtally::Estimates
