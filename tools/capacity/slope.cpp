#include "capacity/slope.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace Gypsumtally::Capacity
{

namespace
{

constexpr int runsPerSize = 3;

double heapInUse()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double processorTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

Sample runOnce(const Subject &subject, std::size_t items)
{
    const auto work = subject.prepare(items);
    const double heap = heapInUse();
    const double start = processorTime();
    const auto kept = work();
    const double time = processorTime() - start;
    return {items, heapInUse() - heap, time / static_cast<double>(subject.repeats)};
}

double slopeOf(const std::vector<Sample> &samples, double Sample::*value)
{
    double meanItems = 0;
    double meanValue = 0;
    for (const auto &sample : samples) {
        meanItems += static_cast<double>(sample.items) / static_cast<double>(samples.size());
        meanValue += sample.*value / static_cast<double>(samples.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &sample : samples) {
        const double distance = static_cast<double>(sample.items) - meanItems;
        covariance += distance * (sample.*value - meanValue);
        variance += distance * distance;
    }
    return variance == 0 ? 0 : covariance / variance;
}

} // namespace

Slope measure(const Subject &subject)
{
    Slope slope;
    for (const auto items : subject.sizes) {
        auto best = runOnce(subject, items);
        for (int run = 1; run < runsPerSize; ++run) {
            const auto sample = runOnce(subject, items);
            best.cpuNanoseconds = std::min(best.cpuNanoseconds, sample.cpuNanoseconds);
        }
        slope.samples.push_back(best);
    }
    slope.bytesPerItem = slopeOf(slope.samples, &Sample::heapBytes);
    slope.nanosecondsPerItem = slopeOf(slope.samples, &Sample::cpuNanoseconds);
    return slope;
}

} // namespace Gypsumtally::Capacity
