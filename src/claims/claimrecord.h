#pragma once

#include "common/call.h"
#include "common/enumtable.h"
#include "common/identifiers.h"
#include "common/keyvalue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally
{

/// The complete answer of an upstream, kept to be replayed to retries of the call.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// Identifies the attempt that holds a claim, so that its writer recognizes the claim after a lost reply.
struct ClaimToken {
    Incarnation incarnation;
    CallId call = 0;

    friend bool operator==(const ClaimToken &, const ClaimToken &) = default;
};

/// The state of a claimed call as recorded in the key-value service.
enum class ClaimState {
    Claimed, ///< It may be dispatched or running, or its node may have crashed.
    Ran, ///< It ran to completion.
    Unknown, ///< It was interrupted after it was sent to the upstream.
};

template<>
inline constexpr EnumTable<ClaimState, 3> enumNames<ClaimState>{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Ran, "ran"},
    {ClaimState::Unknown, "unknown"},
}};

/// The stored value of a claim.
struct ClaimRecord {
    ClaimToken token;
    std::uint64_t fingerprint = 0; ///< Fingerprint of the call that created the claim.
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredAnswer> answer; ///< Only in state Ran; absent if not to be replayed or too large.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// Serializes a record: one line of JSON, then the unmodified body of the answer. Thread-safe.
std::string encodeClaim(const ClaimRecord &record);

/// Parses the output of encodeClaim(); returns nothing if the text is malformed. Thread-safe.
std::optional<ClaimRecord> decodeClaim(std::string_view text);

/// Returns the part of a key that identifies a claim: the escaped customer, service (or "models") and Idempotency-Key.
/// Thread-safe.
std::string claimName(const CallAttributes &call);

} // namespace Gypsumtally
