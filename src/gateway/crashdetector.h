#pragma once

#include "gateway/crashledger.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Collects the exchanges of this node that break at upstream processes, until it is known whether the process has
/// crashed. Not thread-safe; does no I/O.
class CrashDetector
{
public:
    /// Records that an exchange broke at @p process. @p suspect is its request, or nothing if the answer had been going
    /// on for so long that the request is not to blame. Returns true if the process must be checked now, as it has not
    /// been checked since its exchanges began to break.
    bool onBroken(const UpstreamProcess &process, std::optional<CrashSuspect> suspect, Instant now);

    /// Returns true if two exchanges or more broke at @p process almost at the same time.
    bool isSimultaneous(const UpstreamProcess &process, Instant now) const;

    /// Returns the report on the crash of the process of @p instance at which exchanges broke recently; nothing if none
    /// did. The same breaks are reported once.
    std::optional<CrashReport> onCrash(const std::string &instance, Instant now);

private:
    struct Break {
        std::optional<CrashSuspect> suspect;
        Instant at{};
    };

    struct Scene {
        std::int64_t startedAt = 0; ///< Of the process.
        std::vector<Break> breaks; ///< Ordered by time.
        Instant checkedAt{}; ///< Time of the last check.
    };

    std::map<std::string, Scene> m_scenes; ///< By instance.
};

} // namespace Gypsumtally::Gateway
