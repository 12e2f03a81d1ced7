#include "estimates/upstreamcapacity.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Estimates
{

namespace
{

constexpr double anchorWeight = 0.2; ///< Of the lasting estimate, in samples.
constexpr double anchorFadingSeconds = 1.5; ///< Time constant with which the lasting estimate fades without samples.
constexpr double vagueRatio = 1.2; ///< Width of a sample's range from which it may only confirm the estimate.
constexpr double confirmationWeight = 0.1;
constexpr double newsRatio = 1.25; ///< Change of a time that is reported without delay.
constexpr double minNewsWeight = 0.5; ///< Samples without which a change is not reported early.
/// Bound on the weight of one report, so that a node with many streams does not outweigh all others.
constexpr double maxReportWeight = 8;
constexpr double inFlightWeight = 0.1; ///< Of a sample in the moving average of requests in flight.
/// Bound on the expected effect of requests since the samples. Step times are presumed to grow in proportion to the
/// requests: nodes that know of a fast upstream would otherwise all send to it until its samples show that.
constexpr double maxCrowding = 2;
constexpr double minStrainWeight = 2; ///< Samples without which the limit is not lowered.
constexpr double decrease = 0.8;
/// Part of the limit from which it is lowered: an upstream that is slow with fewer requests is not slow because of
/// their number, and a lower limit after its slow phase would only keep requests away.
constexpr double crowdedShare = 0.75;
constexpr unsigned leastShare = 4; ///< The limit stays above the slots divided by this, so that sampling goes on.
constexpr double increasesToSlots = 8; ///< Increases from none to all slots.
constexpr Duration reactionTime = std::chrono::milliseconds{500}; ///< Nodes know of each other's samples by then.
/// Strain up to which the limit grows; above, it stays, so that probing does not oscillate around the tolerable one.
constexpr double growthStrain = 0.8;
/// Time without strain after which the limit grows without being reached.
constexpr Duration relaxationTime = std::chrono::seconds{1};

} // namespace

void UpstreamCapacity::addOwn(double lowMs, double highMs, double weight, Instant now)
{
    if (!(lowMs > 0) || !(highMs >= lowMs) || !std::isfinite(highMs))
        return;
    const double estimate = m_estimate.value();
    const bool isVague = highMs > vagueRatio * lowMs;
    if (isVague && (estimate == 0 || (estimate >= lowMs && estimate <= highMs)))
        return m_estimate.add(estimate > 0 ? estimate : std::sqrt(lowMs * highMs), confirmationWeight, now);
    const double ms = isVague ? std::clamp(estimate, lowMs, highMs) : std::sqrt(lowMs * highMs);
    m_estimate.add(ms, weight, now);
    m_pendingLogs += weight * std::log(ms);
    m_pendingWeight += weight;
    m_lastOwnAt = now;
}

void UpstreamCapacity::addReported(const CapacityReport &report, Duration age, Instant now)
{
    if (!(report.ms > 0) || !(report.weight > 0))
        return;
    const double weight = std::min(report.weight, maxReportWeight) * FastEstimate::faded(age);
    m_estimate.add(report.ms, weight, now);
    m_reported.add(report.ms, weight, now);
}

bool UpstreamCapacity::hasNews() const
{
    if (m_pendingWeight < minNewsWeight)
        return false;
    return m_reported.value() == 0
           || std::abs(m_pendingLogs / m_pendingWeight - m_reported.logarithm()) > std::log(newsRatio);
}

std::optional<CapacityReport> UpstreamCapacity::takeReport(Instant now)
{
    if (m_pendingWeight == 0)
        return std::nullopt;
    const CapacityReport report{std::exp(m_pendingLogs / m_pendingWeight), std::min(m_pendingWeight, maxReportWeight)};
    m_pendingLogs = 0;
    m_pendingWeight = 0;
    m_reported.add(report.ms, report.weight, now);
    return report;
}

bool UpstreamCapacity::isKnown(Instant now) const
{
    return m_estimate.lastSampleAt() != Instant{} && now - m_estimate.lastSampleAt() < fadingTime;
}

double UpstreamCapacity::slowness(double usualMs, double lastingMs, Instant now) const
{
    if (m_estimate.value() == 0)
        return lastingMs > 0 ? lastingMs / usualMs : 1;
    const double weight = m_estimate.weight(now);
    const double idleSeconds = std::chrono::duration<double>(now - m_estimate.lastSampleAt()).count();
    const double lasting = lastingMs > 0 ? std::log(lastingMs / usualMs) : 0;
    const double anchor = lasting * std::exp(-std::max(0.0, idleSeconds) / anchorFadingSeconds);
    return std::exp((weight * (m_estimate.logarithm() - std::log(usualMs)) + anchorWeight * anchor)
                    / (weight + anchorWeight));
}

double UpstreamCapacity::crowding(unsigned inFlight) const
{
    if (m_sampledInFlight < 0)
        return 1;
    return std::clamp((inFlight + 1) / (m_sampledInFlight + 1), 1 / maxCrowding, maxCrowding);
}

void UpstreamCapacity::adjustLimit(double strain, unsigned inFlight, unsigned slots, Instant now)
{
    m_sampledInFlight
        = m_sampledInFlight < 0 ? inFlight : m_sampledInFlight + inFlightWeight * (inFlight - m_sampledInFlight);
    const bool isStrained = strain > 1 && m_estimate.weight(now) >= minStrainWeight;
    if (isStrained)
        m_strainedAt = now;
    if (m_limiter && m_slots != slots)
        m_limiter.reset();
    if (!m_limiter) {
        if (!isStrained)
            return;
        m_slots = slots;
        m_limiter.emplace(ConcurrencySettings{
            static_cast<double>(slots), static_cast<double>(std::max(1U, slots / leastShare)),
            static_cast<double>(slots), decrease, std::max(1.0, slots / increasesToSlots), reactionTime});
    }
    if (isStrained && inFlight >= crowdedShare * m_limiter->limit())
        m_limiter->refused(now);
    if (strain > growthStrain)
        return;
    const bool isRelaxed = now - m_strainedAt > relaxationTime;
    m_limiter->report({}, isRelaxed ? m_limiter->limit() : inFlight, now);
}

unsigned UpstreamCapacity::limit(unsigned slots, Instant now) const
{
    return m_limiter && isKnown(now) ? std::min(slots, m_limiter->limit()) : slots;
}

} // namespace Gypsumtally::Estimates
