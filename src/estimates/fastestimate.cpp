#include "estimates/fastestimate.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Estimates
{

namespace
{

constexpr double timeConstantSeconds = 0.5; ///< Under a second, as slow phases of engines last little longer than one.
/// Ratio to the mean from which a sample deviates; engines with prompts that are not known of vary by less.
const double deviation = std::log(1.35);
const double maxDeviation = std::log(4.0); ///< Bounds the effect of one sample, such as one after a stalled process.
constexpr double maxWeight = 8; ///< Lets the estimate of a busy upstream fade as fast as that of others.
constexpr double convincingWeight = 1.5; ///< Of deviating samples that replace older ones: of more than one pause.
constexpr double replacedWeight = 0.2; ///< Weight that older samples keep then.

} // namespace

void FastEstimate::add(double sample, double weight, Instant now)
{
    if (!(sample > 0) || !std::isfinite(sample) || !(weight > 0) || !std::isfinite(weight))
        return;
    const double before = this->weight(now);
    double difference = m_weight > 0 ? std::log(sample) - m_mean : 0;
    if (m_weight > 0)
        difference = std::clamp(difference, -maxDeviation, maxDeviation);
    else
        m_mean = std::log(sample);
    double kept = before;
    const double signedWeight = std::copysign(weight, difference);
    if (std::abs(difference) < deviation)
        m_deviating = 0;
    else
        m_deviating = m_deviating * signedWeight > 0 ? m_deviating + signedWeight : signedWeight;
    if (std::abs(m_deviating) >= convincingWeight)
        kept = std::min(kept, replacedWeight);
    m_mean += difference * weight / (kept + weight);
    m_weight = std::min(kept + weight, maxWeight);
    m_updated = std::max(m_updated, now);
}

double FastEstimate::value() const
{
    return m_weight > 0 ? std::exp(m_mean) : 0;
}

double FastEstimate::weight(Instant now) const
{
    return m_weight * faded(now - m_updated);
}

double FastEstimate::faded(Duration age)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(age).count()) / timeConstantSeconds);
}

} // namespace Gypsumtally::Estimates
