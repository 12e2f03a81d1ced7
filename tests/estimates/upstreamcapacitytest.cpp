#include "estimates/upstreamcapacity.h"

#include "support/table.h"

#include <algorithm>
#include <cmath>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr Duration step = std::chrono::milliseconds{50};
constexpr unsigned slots = 12;

/// The strain of an upstream for a second after which it is sound, and the limit that follows.
struct LimitCase {
    const char *name;
    unsigned inFlight;
    double strain;
    double strainAfter;
    unsigned least; ///< Bounds on the limit at the end of the strained second.
    unsigned most;
    unsigned leastAfter; ///< At least this after three further seconds.
};

const LimitCase limits[] = {
    {"sound", 12, 0.9, 0.9, 12, 12, 12},
    {"crowded, recovers", 12, 2, 0.5, 7, 9, 12},
    {"crowded, remains near the bound", 12, 2, 0.9, 7, 9, 7},
    {"slow with few requests", 3, 3, 0.5, 12, 12, 12},
};

struct FadingCase {
    double lastingMs;
    Duration idle;
    double least; ///< Bounds on the slowness, which was 3.
    double most;
};

const FadingCase fadings[] = {
    {10, Duration{}, 2.8, 3},
    {10, std::chrono::seconds{2}, 1, 1.7},
    {30, std::chrono::seconds{2}, 1, 2},
    {0, std::chrono::seconds{2}, 1, 1.7},
    {0, std::chrono::seconds{4}, 1, 1.1},
};

} // namespace

TABLE_TEST(UpstreamCapacity, limitFollowsStrain, limits)
{
    UpstreamCapacity capacity;
    auto now = start;
    const auto runFor = [&](Duration time, double strain) {
        for (const auto end = now + time; now < end; now += step) {
            capacity.addOwn(10, 10, 1, now);
            capacity.adjustLimit(strain, std::min(row.inFlight, capacity.limit(slots, now)), slots, now);
        }
    };
    runFor(std::chrono::seconds{1}, row.strain);
    cr_assert(capacity.limit(slots, now) >= row.least && capacity.limit(slots, now) <= row.most, "%u",
              capacity.limit(slots, now));
    runFor(std::chrono::seconds{3}, row.strainAfter);
    cr_assert_geq(capacity.limit(slots, now), row.leastAfter, "%u", capacity.limit(slots, now));
}

/// Guards against an upstream that is never used again, and so never shows that it has recovered.
Test(UpstreamCapacity, limitStaysAboveItsMinimumAndIsForgottenWithoutSamples)
{
    UpstreamCapacity capacity;
    for (auto now = start; now < start + std::chrono::seconds{20}; now += step) {
        capacity.addOwn(100, 100, 1, now);
        capacity.adjustLimit(5, slots, slots, now);
        cr_assert_geq(capacity.limit(slots, now), slots / 4);
    }
    cr_assert_eq(capacity.limit(slots, start + std::chrono::seconds{24}), slots);
}

/// Guards against an engine that is avoided for as long as it gets no requests.
TABLE_TEST(UpstreamCapacity, slownessFadesWithoutSamples, fadings)
{
    UpstreamCapacity capacity;
    for (int i = 0; i < 40; ++i)
        capacity.addOwn(30, 30, 1, start);
    const double slowness = capacity.slowness(10, row.lastingMs, start + row.idle);
    cr_assert(slowness >= row.least && slowness <= row.most, "%f", slowness);
}

/// Guards against nodes that confirm each other's outdated estimates: what only confirms one is not reported.
Test(UpstreamCapacity, reportsOwnSamplesOnce)
{
    UpstreamCapacity capacity;
    capacity.addReported({10, 4}, {}, start);
    capacity.addOwn(5, 20, 1, start);
    cr_assert_not(capacity.takeReport(start).has_value());
    capacity.addOwn(20, 20, 1, start);
    cr_assert(capacity.hasNews());
    cr_assert_float_eq(capacity.takeReport(start)->ms, 20, 1e-6);
    cr_assert_not(capacity.takeReport(start).has_value());
    cr_assert_not(capacity.hasNews());
}

/// Eight of the nodes have a stream there; the others learn from their reports, a tenth of which are lost.
Test(UpstreamCapacity, nodesLearnAsOne)
{
    std::vector<UpstreamCapacity> nodes(89);
    auto now = start;
    int reports = 0;
    for (const double ms : {10.0, 27.0, 10.0}) {
        for (int event = 0; event < 8; ++event) {
            now += std::chrono::milliseconds{static_cast<int>(6 * ms)};
            for (std::size_t sampled = 0; sampled < 8; ++sampled) {
                nodes[sampled].addOwn(ms, ms, 0.5, now);
                const bool isDigest = event % 3 == 2;
                const auto report
                    = isDigest || nodes[sampled].hasNews() ? nodes[sampled].takeReport(now) : std::nullopt;
                for (auto &node : nodes) {
                    if (report && &node != &nodes[sampled] && ++reports % 10 > 0)
                        node.addReported(*report, std::chrono::milliseconds{25}, now);
                }
            }
        }
        for (const auto &node : nodes)
            cr_assert_float_eq(node.slowness(10, 0, now), ms / 10, 0.2 * ms / 10, "%f", node.slowness(10, 0, now));
    }
}
