#include "load/results.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Gypsumtally::Load
{

std::uint64_t ClassResults::calls() const
{
    return std::accumulate(ends.begin(), ends.end(), std::uint64_t{0});
}

std::uint64_t ClassResults::count(CallEnd end) const
{
    return ends[static_cast<std::size_t>(end)];
}

double Results::goodput() const
{
    return seconds > 0 ? static_cast<double>(inTime) / seconds : 0;
}

double Results::batchFill() const
{
    return batchCapacity > 0 ? batchTokens / batchCapacity : 0;
}

double Results::crossRegionBytesPerCall() const
{
    return calls() > 0 ? static_cast<double>(crossRegionBytes) / static_cast<double>(calls()) : 0;
}

std::uint64_t Results::calls() const
{
    std::uint64_t sum = 0;
    for (const auto &results : classes)
        sum += results.calls();
    return sum;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
}

} // namespace Gypsumtally::Load
