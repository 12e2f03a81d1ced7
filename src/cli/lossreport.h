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

/// How a request was not served in time.
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

/// Requests of one route that were not served in time within one span of time, for one cause.
struct LossRow {
    std::int64_t fromMs = 0; ///< When the span begins.
    std::string route;
    LossKind kind = LossKind::Late;
    std::string cause; ///< What a late request waited for longest, or the reason of a failure.
    std::uint64_t requests = 0;

    friend bool operator==(const LossRow &, const LossRow &) = default;
};

/// Adds up from the logs of nodes which requests were not served in time, when and why. Lines that the nodes left out
/// to bound their logs are counted, without their causes. Not thread-safe.
class LossReport
{
public:
    /// Precondition: @p spanMs, the length of a span of time, is positive.
    explicit LossReport(std::int64_t spanMs);

    /// Reads one log.
    void read(std::istream &log);

    /// Returns the losses by time, route, kind and cause.
    std::vector<LossRow> rows() const;

private:
    void count(const LoggedEvent &event, LossKind kind, const std::string &cause);

    std::int64_t m_spanMs;
    std::map<std::tuple<std::int64_t, std::string, LossKind, std::string>, std::uint64_t> m_counts;
};

} // namespace Gypsumtally
