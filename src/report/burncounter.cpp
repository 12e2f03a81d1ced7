#include "report/burncounter.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

struct BucketLayout {
    Duration bucketLength;
    std::size_t buckets;
};

constexpr std::array<BucketLayout, burnWindowCount> bucketLayouts{{
    {std::chrono::seconds{10}, 30},
    {std::chrono::minutes{1}, 60},
    {std::chrono::minutes{5}, 72},
    {std::chrono::hours{1}, 72},
}};

std::int64_t bucketAt(const BucketLayout &layout, Instant now)
{
    return now.time_since_epoch() / layout.bucketLength;
}

void mergeWindow(WindowCounts &total, const WindowCounts &other)
{
    if (total.buckets.size() < other.buckets.size())
        total.buckets.insert(total.buckets.begin(), other.buckets.size() - total.buckets.size(), {});
    const auto offset = total.buckets.size() - other.buckets.size();
    for (std::size_t i = 0; i < other.buckets.size(); ++i)
        total.buckets[offset + i] += other.buckets[i];
}

void mergeClass(ClassCounts &total, const ClassCounts &other)
{
    for (const auto &window : other.windows) {
        const auto found = std::ranges::find(total.windows, window.window, &WindowCounts::window);
        if (found == total.windows.end())
            total.windows.push_back(window);
        else
            mergeWindow(*found, window);
    }
}

} // namespace

void merge(BurnCounts &total, const BurnCounts &other)
{
    total.nodes += other.nodes;
    for (const auto &entry : other.classes) {
        const auto found = std::ranges::find(total.classes, entry.serviceClass, &ClassCounts::serviceClass);
        if (found == total.classes.end())
            total.classes.push_back(entry);
        else
            mergeClass(*found, entry);
    }
}

BurnCounter::BurnCounter()
{
    for (auto &entry : m_classes) {
        for (std::size_t i = 0; i < burnWindowCount; ++i)
            entry.rings[i].buckets.resize(bucketLayouts[i].buckets);
    }
}

void BurnCounter::setObjective(ServiceClass serviceClass, Objective objective)
{
    m_classes[static_cast<std::size_t>(serviceClass)].objective = objective;
}

void BurnCounter::record(ServiceClass serviceClass, bool succeeded, Duration latency, Instant now)
{
    auto &entry = m_classes[static_cast<std::size_t>(serviceClass)];
    const RequestCounts one{1, succeeded && latency <= entry.objective.latency ? 1U : 0U};
    for (std::size_t i = 0; i < burnWindowCount; ++i) {
        auto &ring = entry.rings[i];
        const auto bucket = bucketAt(bucketLayouts[i], now);
        ring.advance(bucket);
        ring.buckets[static_cast<std::size_t>(bucket) % ring.buckets.size()] += one;
    }
}

void BurnCounter::Ring::advance(std::int64_t bucket)
{
    const auto steps = std::min<std::int64_t>(bucket - newest, static_cast<std::int64_t>(buckets.size()));
    for (std::int64_t i = 0; i < steps; ++i)
        buckets[static_cast<std::size_t>(bucket - i) % buckets.size()] = {};
    newest = std::max(newest, bucket);
}

BurnCounts BurnCounter::counts(Instant now) const
{
    BurnCounts result{1, {}};
    for (const auto &[serviceClass, name] : enumNames<ServiceClass>) {
        const auto &entry = m_classes[static_cast<std::size_t>(serviceClass)];
        ClassCounts counts{serviceClass, entry.objective.share, entry.objective.latency, {}};
        for (std::size_t i = 0; i < burnWindowCount; ++i) {
            auto ring = entry.rings[i];
            ring.advance(bucketAt(bucketLayouts[i], now));
            const auto oldest = static_cast<std::size_t>(ring.newest + 1) % ring.buckets.size();
            std::rotate(ring.buckets.begin(), ring.buckets.begin() + static_cast<std::ptrdiff_t>(oldest),
                        ring.buckets.end());
            counts.windows.push_back(
                {static_cast<BurnWindow>(i), bucketLayouts[i].bucketLength, std::move(ring.buckets)});
        }
        result.classes.push_back(std::move(counts));
    }
    return result;
}

} // namespace Gypsumtally
