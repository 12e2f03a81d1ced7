#pragma once

#include "claims/claimgroup.h"
#include "claims/claimpolicy.h"
#include "claims/claimrecord.h"
#include "claims/claimwindow.h"
#include "common/call.h"
#include "common/keyvalue.h"
#include "common/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// The outcome of a request for a claim.
enum class ClaimOutcome {
    Granted, ///< The claim is durable: the call must be dispatched once and its outcome passed to finish().
    Finished, ///< An earlier attempt ran; its answer is replayed unless it was too large to keep.
    InProgress, ///< An earlier attempt holds the claim and may be running.
    OutcomeUnknown, ///< An earlier attempt may have run; its outcome can't be determined any more.
    KeyReused, ///< The key was used for a request with different content.
    Unavailable, ///< The claim could not be made durable in time.
    Invalid, ///< The call has no Idempotency-Key.
};

template<>
inline constexpr EnumTable<ClaimOutcome, 7> enumNames<ClaimOutcome>{{
    {ClaimOutcome::Granted, "granted"},
    {ClaimOutcome::Finished, "finished"},
    {ClaimOutcome::InProgress, "in-progress"},
    {ClaimOutcome::OutcomeUnknown, "outcome-unknown"},
    {ClaimOutcome::KeyReused, "key-reused"},
    {ClaimOutcome::Unavailable, "unavailable"},
    {ClaimOutcome::Invalid, "invalid"},
}};

/// The result of begin().
struct ClaimDecision {
    CallId call = 0;
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    std::optional<StoredAnswer> answer; ///< On Finished, if it was kept.
    std::optional<Failure> failure; ///< The caller's failure; absent on Granted and if there is an answer.
};

using ClaimAction = std::variant<KeyCall, ClaimDecision>;
using ClaimActions = std::vector<ClaimAction>;

/// Ensures that a non-idempotent call runs at most once within the retention time.
///
/// Before a call is dispatched, a claim for its customer, service and Idempotency-Key is created in the key-value
/// service unless there is one. A claim is released only by the incarnation that created it and only if its call has
/// not run; claims of crashed nodes remain until they expire. Writes of several waiting claims share a transaction.
///
/// Not thread-safe; every method must be called on the core thread, with a monotonic `now`.
class ClaimKeeper
{
public:
    /// Precondition: @p incarnation is unique to this run of the process.
    ClaimKeeper(Incarnation incarnation, const ClaimPolicy &policy);

    /// Requests a claim for @p call. Its ClaimDecision is appended now or by a later method call, at the latest at the
    /// call's deadline or after the claim timeout. Precondition: the call's id is unique in this process.
    void begin(const CallAttributes &call, Instant now, ClaimActions &actions);

    /// Records the outcome of a granted call: the combined verdict on all its attempts, as sent to the caller.
    /// @p answer is the complete answer of a call that ran, or nothing if it must not be replayed, for example a
    /// forwarded stream. Does nothing for a call that was not granted.
    void finish(CallId call, Verdict verdict, std::optional<StoredAnswer> answer, Instant now, ClaimActions &actions);

    /// Processes the reply to a KeyCall. Precondition: each KeyCall eventually gets one reply, if necessary Unknown.
    void onReply(std::uint64_t tag, const KeyReply &reply, Instant now, ClaimActions &actions);

    /// Handles timeouts and sends waiting writes. Must be called every few milliseconds.
    void tick(Instant now, ClaimActions &actions);

    /// Records that an incarnation of another node has ended: the outcome of its claims will not be recorded any more,
    /// so repeated calls get OutcomeUnknown instead of InProgress, which asks the caller to retry. A false report is
    /// harmless.
    void incarnationEnded(const Incarnation &incarnation);

    /// Sets the retention of claims. A shorter one takes effect only in a new process, because existing claims
    /// must be kept for the longer one.
    void setRetention(Duration retention);

    /// Returns the number of claims in memory.
    std::size_t size() const
    {
        return m_claims.size();
    }

private:
    /// The progress of a claim.
    enum class Stage {
        Waiting, ///< Not confirmed to be durable.
        Held, ///< Durable and granted.
        Recording, ///< The outcome of its call is being written.
        Releasing, ///< Its call did not run and it is being deleted.
    };

    /// A claim of this process that is not finished.
    struct Claim {
        std::string name;
        Stage stage = Stage::Waiting;
        std::optional<CallId> caller; ///< The call that waits for a decision or holds the grant.
        Instant deadline{}; ///< End of the caller's wait.
        ClaimRecord record;
        std::string key; ///< Key of the claim once it is durable.
        Revision revision = 0; ///< Last observed revision; 0 if none.
        bool isQueued = false; ///< Its name is in m_queue.
        bool isSending = false; ///< A write of it is in flight.
        bool isUncertain = false; ///< A write of this stage may have taken effect, but its reply was lost.
    };

    /// The kind of a call for the claim window.
    enum class WindowStep {
        Read,
        Create,
        Advance,
    };

    /// A group of writes in flight.
    struct SentGroup {
        ClaimGroup group;
        Instant sentAt;
    };

    void refuse(CallId call, ClaimOutcome outcome, Failure failure, ClaimActions &actions) const;
    void refuseUnavailable(CallId call, ClaimActions &actions) const;
    void decideFromRecord(const ClaimRecord &record, CallId call, std::uint64_t fingerprint,
                          ClaimActions &actions) const;
    void grant(Claim &claim, ClaimActions &actions);
    bool isStalled(Instant now) const;
    void beginNew(const std::string &name, const CallAttributes &call, Instant now, ClaimActions &actions);
    void beginRetry(const std::string &name, Claim &claim, const CallAttributes &call, Instant now,
                    ClaimActions &actions);
    void awaitDecision(const std::string &name, Claim &claim, const CallAttributes &call, Instant now);

    void enqueue(const std::string &name, Claim &claim);
    void flush(Instant now, ClaimActions &actions);
    std::vector<ClaimWrite> nextWrites();
    ClaimWrite writeOf(const std::string &name, const Claim &claim) const;
    void onGroupReply(const ClaimGroup &group, const KeyReply &reply, Instant now, ClaimActions &actions);
    void onSettled(const ClaimWrite &write, const ClaimWriteResult &result, ClaimActions &actions);
    void onCreated(const std::string &name, Claim &claim, const ClaimWriteResult &result, ClaimActions &actions);
    void onCreateLost(const std::string &name, Claim &claim, const ClaimWriteResult &result, ClaimActions &actions);
    void onHeldWritten(const std::string &name, Claim &claim);
    void onFailed(const ClaimWrite &write, KeyOutcome outcome, ClaimActions &actions);
    void onNeverSent(const std::string &name, Claim &claim, ClaimActions &actions);

    void callWindow(WindowStep step, Instant now, ClaimActions &actions);
    void onWindowReply(const KeyReply &reply, Instant now, ClaimActions &actions);
    void refuseWaiting(Instant now, ClaimActions &actions);
    void expireWaiting(Instant now, ClaimActions &actions);
    void forget(const std::string &name);

    Incarnation m_incarnation;
    ClaimPolicy m_policy;
    ClaimWindow m_window;
    std::unordered_map<std::string, Claim> m_claims; ///< By name.
    std::unordered_map<CallId, std::string> m_granted; ///< Claim names by the call that holds the grant.
    std::deque<std::string> m_queue; ///< Names of claims with a write to send.
    std::set<std::pair<Instant, std::string>> m_deadlines;
    std::map<std::uint64_t, SentGroup> m_sent; ///< Groups in flight by the tag of their call.
    std::optional<std::uint64_t> m_windowTag; ///< Tag of the window's call in flight.
    WindowStep m_windowStep = WindowStep::Read;
    Instant m_windowSentAt{};
    Instant m_nextWindowCall{}; ///< Earliest time of the next window call.
    std::uint64_t m_lastTag = 0;
    Instant m_nextSend{}; ///< Earliest time to send the next group.
    Instant m_refuseUntil{}; ///< New calls are refused until then, as the key-value service is unavailable.
    std::unordered_set<Incarnation> m_ended; ///< Ended incarnations.
    std::deque<Incarnation> m_endedByAge; ///< The same, oldest first, to bound their number.
};

} // namespace Gypsumtally
