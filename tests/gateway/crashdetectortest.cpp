#include "gateway/crashdetector.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;

namespace
{

constexpr Instant start{std::chrono::hours{1}};
const UpstreamProcess process{"e1", 7};

struct Break {
    int atMs;
    UpstreamProcess process;
    bool isSuspect;
    bool isCheckDue; ///< Expected.
};

struct DetectionCase {
    const char *name;
    std::vector<Break> breaks;
    int crashAtMs;
    std::optional<std::size_t> suspects; ///< In the report on e1; nothing if there is none.
    bool isSimultaneous;
};

const DetectionCase detections[] = {
    {"no break", {}, 0, {}, false},
    {"one break", {{0, process, true, true}}, 20, 1, false},
    {"breaks of answers that were going on", {{0, process, false, true}, {1, process, false, false}}, 20, 0, true},
    {"breaks at once", {{0, process, true, true}, {5, process, false, false}, {9, process, true, false}}, 20, 2, true},
    {"breaks at different times", {{0, process, true, true}, {400, process, true, true}}, 420, 2, false},
    {"a break long before the crash", {{0, process, true, true}}, 1600, {}, false},
    {"a break of an earlier process", {{0, {"e1", 6}, true, true}, {100, process, true, true}}, 120, 1, false},
    {"a break elsewhere", {{0, {"e2", 7}, true, true}}, 20, {}, false},
};

} // namespace

TABLE_TEST(CrashDetector, reportsTheSuspectsOfACrashOnce, detections)
{
    CrashDetector detector;
    std::uint64_t fingerprint = 0;
    for (const auto &each : row.breaks) {
        std::optional<CrashSuspect> suspect;
        if (each.isSuspect)
            suspect = CrashSuspect{++fingerprint, {0xbad}};
        cr_assert_eq(detector.onBroken(each.process, suspect, start + milliseconds{each.atMs}), each.isCheckDue, "%s",
                     row.name);
    }
    const auto at = start + milliseconds{row.crashAtMs};
    cr_assert_eq(detector.isSimultaneous(process, at), row.isSimultaneous, "%s", row.name);
    const auto report = detector.onCrash("e1", at);
    cr_assert_eq(report.has_value(), row.suspects.has_value(), "%s", row.name);
    if (!report)
        return;
    cr_assert(report->process == process, "%s", row.name);
    cr_assert_eq(report->suspects.size(), *row.suspects, "%s", row.name);
    cr_assert_not(detector.onCrash("e1", at).has_value(), "%s", row.name);
}
