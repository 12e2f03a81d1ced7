#pragma once

#include "common/enumtable.h"
#include "common/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// Identifies requests with the same content: a hash of the model or service and the body.
using Fingerprint = std::uint64_t;

/// Kind of an upstream's crash, that is, of its end without having been stopped.
enum class CrashCause {
    ProcessEnded, ///< Its connections were closed while its VM was still listed as live.
    VmLost, ///< Its VM is gone, leaving or unresponsive, which a request cannot cause.
};

template<>
inline constexpr EnumTable<CrashCause, 2> enumNames<CrashCause>{{
    {CrashCause::ProcessEnded, "process-ended"},
    {CrashCause::VmLost, "vm-lost"},
}};

/// Request content that an upstream was running when it crashed.
struct CrashSuspect {
    Fingerprint fingerprint = 0;
    /// Number of earlier crash events of which the request was a suspect, as known when it was dispatched. Crashes with
    /// the same rank may have a common cause; crashes with different ranks are separate events.
    std::uint32_t rank = 0;
    bool hasCompleted = false; ///< A request with this content completed on the recording node before the crash.

    friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/// Record of one upstream's crash in the key-value service.
struct CrashRecord {
    UpstreamId upstream;
    FailureDomainId failureDomain;
    Incarnation recorder; ///< The node process that recorded the crash.
    CrashCause cause = CrashCause::ProcessEnded;
    std::vector<CrashSuspect> suspects; ///< An entry for each fingerprint that was running, up to maxSuspects.

    friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// State of a fingerprint that is or was quarantined.
enum class QuarantineState {
    Quarantined, ///< Requests with the fingerprint are answered without being run.
    Cleared, ///< An operator cleared it; crashes recorded before no longer count against it.
};

template<>
inline constexpr EnumTable<QuarantineState, 2> enumNames<QuarantineState>{{
    {QuarantineState::Quarantined, "quarantined"},
    {QuarantineState::Cleared, "cleared"},
}};

/// Value stored under the key `/gypsumtally/quarantine/FINGERPRINT`.
struct QuarantineRecord {
    QuarantineState state = QuarantineState::Quarantined;
    std::vector<UpstreamId> upstreams; ///< Upstreams that crashed while they ran it.

    friend bool operator==(const QuarantineRecord &, const QuarantineRecord &) = default;
};

/// Returns the record as JSON. Thread-safe.
std::string encodeCrash(const CrashRecord &record);

/// Parses a record written by encodeCrash(). Returns nothing if @p text is malformed. Thread-safe.
std::optional<CrashRecord> decodeCrash(std::string_view text);

/// Returns the record as JSON. Thread-safe.
std::string encodeQuarantine(const QuarantineRecord &record);

/// Parses a record written by encodeQuarantine(). Returns nothing if @p text is malformed. Thread-safe.
std::optional<QuarantineRecord> decodeQuarantine(std::string_view text);

/// Returns @p fingerprint as 16 hexadecimal digits. Thread-safe.
std::string toText(Fingerprint fingerprint);

/// Parses a fingerprint. Returns nothing if @p text is not exactly 16 hexadecimal digits. Thread-safe.
std::optional<Fingerprint> parseFingerprint(std::string_view text);

} // namespace Gypsumtally
