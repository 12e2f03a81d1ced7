#pragma once

#include "cli/logline.h"
#include "common/enumtable.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Gypsumtally
{

/// The ways in which a request can fail to be served in time.
enum class LossKind {
    Late,
    Refused,
    Failed,
};

template<>
inline constexpr EnumTable<LossKind, 3> enumNames<LossKind>{{
    {LossKind::Late, "late"},
    {LossKind::Refused, "refused"},
    {LossKind::Failed, "failed"},
}};

/// The number of requests of a route that were not served in time, in one interval and for one cause.
struct LossRow {
    std::int64_t fromMs = 0; ///< Start of the interval, Unix time in milliseconds.
    std::string route;
    LossKind kind = LossKind::Late;
    std::string cause; ///< The longest wait of a late request, `engine` or `pause`; else the logged reason.
    std::uint64_t requests = 0;

    friend bool operator==(const LossRow &, const LossRow &) = default;
};

/// Counts from node logs the requests that were not served in time, by interval, route, kind and cause. Lines that a
/// node omitted to bound its log are counted without a cause. Not thread-safe.
class LossReport
{
public:
    /// Creates a report with intervals of @p intervalMs milliseconds. Precondition: @p intervalMs is positive.
    explicit LossReport(std::int64_t intervalMs);

    /// Counts the events of a log.
    void read(std::istream &log);

    /// Returns the counts sorted by time, route, kind and cause.
    std::vector<LossRow> rows() const;

private:
    void count(const LoggedEvent &event, LossKind kind, const std::string &cause);

    std::int64_t m_intervalMs;
    std::map<std::tuple<std::int64_t, std::string, LossKind, std::string>, std::uint64_t> m_counts;
};

} // namespace Gypsumtally
