#pragma once

#include "common/call.h"
#include "common/clock.h"
#include "common/describedjson.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// The time windows over which the burn rate of the error budget is computed.
enum class BurnWindow {
    FiveMinutes,
    OneHour,
    SixHours,
    ThreeDays,
};

inline constexpr std::size_t burnWindowCount = 4;

template<>
inline constexpr EnumTable<BurnWindow, burnWindowCount> enumNames<BurnWindow>{{
    {BurnWindow::FiveMinutes, "5m"},
    {BurnWindow::OneHour, "1h"},
    {BurnWindow::SixHours, "6h"},
    {BurnWindow::ThreeDays, "3d"},
}};

/// The number of requests that ended in one interval.
struct RequestCounts {
    std::uint64_t total = 0;
    std::uint64_t good = 0; ///< Requests that succeeded within the objective's latency.

    RequestCounts &operator+=(const RequestCounts &other)
    {
        total += other.total;
        good += other.good;
        return *this;
    }

    friend bool operator==(const RequestCounts &, const RequestCounts &) = default;
};
BOOST_DESCRIBE_STRUCT(RequestCounts, (), (total, good))

/// The request counts of one window in buckets, oldest first; the last bucket is still being filled.
struct WindowCounts {
    BurnWindow window = BurnWindow::FiveMinutes;
    Duration bucketLength{};
    std::vector<RequestCounts> buckets;
};
BOOST_DESCRIBE_STRUCT(WindowCounts, (), (window, bucketLength, buckets))

/// The objective and the request counts of one class of service.
struct ClassCounts {
    ServiceClass serviceClass = ServiceClass::Standard;
    double objectiveShare = 0;
    Duration objectiveLatency{};
    std::vector<WindowCounts> windows;
};
BOOST_DESCRIBE_STRUCT(ClassCounts, (), (serviceClass, objectiveShare, objectiveLatency, windows))

/// The counts of one node, or the merged counts of several. Result of the control method `report.burn`.
struct BurnCounts {
    std::uint64_t nodes = 0;
    std::vector<ClassCounts> classes;
};
BOOST_DESCRIBE_STRUCT(BurnCounts, (), (nodes, classes))

/// Adds the counts of another node to @p total. Buckets are merged by age, so that nodes need no synchronised clocks;
/// the result may be off by one bucket. If objectives differ while a change propagates, those of @p total are kept.
void merge(BurnCounts &total, const BurnCounts &other);

/// The service-level objective of a class of service.
struct Objective {
    Duration latency{};
    double share = 0.95;
};

/// Counts requests against the objective of their class in ring buffers; uses about 12 KB. Not thread-safe.
class BurnCounter
{
public:
    BurnCounter();

    /// Sets the objective for requests recorded from now on; earlier counts are unchanged.
    void setObjective(ServiceClass serviceClass, Objective objective);

    /// Counts a request that has ended. Precondition: @p now is not earlier than in the previous call.
    void record(ServiceClass serviceClass, bool succeeded, Duration latency, Instant now);

    /// Returns the counts of all windows up to @p now.
    BurnCounts counts(Instant now) const;

private:
    struct Ring {
        std::int64_t newest = 0; ///< Index of the newest bucket, counted from the clock's epoch.
        std::vector<RequestCounts> buckets; ///< The bucket with index n is at position n modulo the size.

        void advance(std::int64_t bucket);
    };

    struct ClassRings {
        Objective objective;
        std::array<Ring, burnWindowCount> rings;
    };

    std::array<ClassRings, enumNames<ServiceClass>.size()> m_classes;
};

} // namespace Gypsumtally
