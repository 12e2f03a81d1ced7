#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Hash of a request's path, query and body. A request that is sent again under a new id keeps its fingerprint.
using Fingerprint = std::uint64_t;

/// The kinds of things that may crash each upstream that runs a request with them.
enum class CauseKind {
    Request, ///< The request as a whole, identified by its fingerprint.
    PromptPart, ///< A part of its prompt that other requests may share.
};

/// Something that may crash each upstream that runs a request with it.
struct CrashCause {
    CauseKind kind = CauseKind::Request;
    std::uint64_t id = 0;

    friend auto operator<=>(const CrashCause &, const CrashCause &) = default;
};

/// Returns @p cause as `KIND/HEX`. Thread-safe.
std::string toText(const CrashCause &cause);

/// Parses the text of a cause; returns nothing if it is not valid. Thread-safe.
std::optional<CrashCause> parseCrashCause(std::string_view text);

/// A request whose answer an upstream had not begun, or had just begun, when it crashed.
struct CrashSuspect {
    Fingerprint fingerprint = 0;
    std::vector<std::uint64_t> parts; ///< Shared parts of its prompt, in order.

    friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/// What one node has seen of the crash of an upstream process.
struct CrashReport {
    UpstreamProcess process;
    std::vector<CrashSuspect> suspects; ///< At most CrashLedger::maxSuspects.

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// The observation that an upstream went on writing, or ended, an answer to a request with a suspected cause.
struct CauseAcquittal {
    CrashCause cause;
    Duration age{}; ///< Time since the observation.

    friend bool operator==(const CauseAcquittal &, const CauseAcquittal &) = default;
};

/// The decision that requests with a cause must not be sent any more.
struct CrashVerdict {
    CrashCause cause;
    std::uint32_t crashes = 0; ///< Number of upstream processes that crashed.
    std::uint32_t requests = 0; ///< Number of different requests at those crashes.
    std::int64_t decidedAt = 0; ///< Wall clock, in ms since the Unix epoch.
    std::string node; ///< The node that decided.

    friend bool operator==(const CrashVerdict &, const CrashVerdict &) = default;
};

/// What follows from a success.
struct SuccessEffects {
    std::vector<CauseAcquittal> acquittals;
    std::vector<CrashCause> lifted; ///< Causes that were blocked.
};

/// What a ledger has decided since it was last asked.
struct CrashDecisions {
    std::vector<CrashCause> proposals; ///< Causes that are to be blocked unless a node knows of a success.
    std::vector<CrashVerdict> verdicts;
};

/// Finds, from the crashes and the successes that all nodes see, what crashes each upstream that runs it. Not
/// thread-safe; does no I/O.
///
/// A crash counts against each cause in the requests whose answers had not begun or had just begun. It counts no more
/// once an upstream has written an answer to a request with that cause shortly before the crash or at any time after
/// it: what crashes upstreams has no success. A cause that was ever served needs more crashes than another.
///
/// A node that has the proof against a cause waits for reports on their way, proposes to block it, and blocks it unless
/// another node objects. The cause that explains most crashes comes first; a crash that a blocked prompt part explains
/// does not count against other causes.
class CrashLedger
{
public:
    static constexpr std::size_t maxSuspects = 64; ///< Limit on the suspects in one report.
    /// Time from the first to a further event of an answer after which a crash of its upstream has another cause.
    static constexpr Duration beginningTime = std::chrono::milliseconds{300};

    explicit CrashLedger(std::string node = {});

    /// Records what another node has seen of a crash.
    void add(const CrashReport &report, Instant now);

    /// Records what this node has seen of a crash; recent() then returns it for dissemination.
    void addOwn(const CrashReport &report, Instant now);

    /// Records that an upstream wrote an answer to a request with @p causes that was sent at @p sentAt. Returns what
    /// all nodes must hear of at once.
    SuccessEffects onSuccess(const std::vector<CrashCause> &causes, Instant sentAt, Instant now);

    /// Records an acquittal by another node. Returns true if it lifts a verdict of this node.
    bool onAcquittal(const CauseAcquittal &acquittal, Instant now);

    /// Returns acquittals of causes that have become suspected, or are proposed to be blocked, although this node knows
    /// of successes with them; all nodes must hear of them. Call it several times per second.
    std::vector<CauseAcquittal> takeContested(Instant now);

    /// Returns the proposals and verdicts that follow from the evidence and have not been returned before. @p wallMs is
    /// the time by the wall clock, in ms. Call it several times per second.
    CrashDecisions decide(Instant now, std::int64_t wallMs);

    /// Records that another node proposes to block @p cause.
    void onProposal(const CrashCause &cause, Instant now);

    /// Records a verdict from the store. Returns true if its cause was not blocked before.
    bool addVerdict(const CrashVerdict &verdict, Instant now);

    /// Records a verdict of another node, unless this node knows of a success that the other one does not. Returns true
    /// if its cause is blocked now and was not before.
    bool onPeerVerdict(const CrashVerdict &verdict, Instant now);

    /// Ends a verdict, with the evidence behind it. Returns true if the cause was blocked.
    bool lift(const CrashCause &cause, Instant now);

    /// Returns the verdict on the first blocked one of @p causes, or null.
    const CrashVerdict *verdictOn(const std::vector<CrashCause> &causes) const;

    /// Returns true if a verdict on one of @p causes is about to be decided, so that requests should wait for it.
    bool isUndecided(const std::vector<CrashCause> &causes, Instant now) const;

    /// Returns the number of crashes that count against @p cause.
    std::size_t crashCount(const CrashCause &cause) const;

    /// Returns this node's own reports that others may not have received yet, namely those not older than @p age, and
    /// removes the older ones. Leaves out the reports of other nodes: if nodes repeated each other's reports, these
    /// would circulate forever.
    std::vector<CrashReport> recent(Instant now, Duration age);

    /// Returns all verdicts.
    const std::map<CrashCause, CrashVerdict> &verdicts() const
    {
        return m_verdicts;
    }

private:
    struct Crash {
        Instant at{}; ///< Time of the first report.
        std::set<Fingerprint> requests; ///< Suspects with the cause.
    };

    /// Evidence on one cause.
    struct Evidence {
        std::map<UpstreamProcess, Crash> crashes;
        Instant lastReport{};
        Instant lastSuccess{}; ///< Of this node, or told by another.
        Instant sharedSuccess{}; ///< Last success that all nodes have been told of.
        std::optional<Instant> provenSince; ///< Time since which the crashes suffice for a verdict.
        std::optional<Instant> proposedAt;
        std::size_t position = 0; ///< Greatest index among the parts of a prompt.
    };

    struct Weight {
        std::size_t crashes = 0;
        std::size_t requests = 0;
        std::size_t moments = 0; ///< Groups of crashes that happened together.

        friend auto operator<=>(const Weight &, const Weight &) = default;
    };

    struct Hash {
        std::size_t operator()(const CrashCause &cause) const;
    };

    /// A blocked cause.
    struct Block {
        Instant firstCrash{};
        Evidence evidence; ///< Of this node, when the cause was blocked.
    };

    /// A crash that a blocked prompt part explains.
    struct Explanation {
        CrashCause cause;
        Instant at{};
    };

    /// A cause whose successes other nodes may have to hear of.
    struct Contest {
        Instant since{};
        bool isObjection = false; ///< Another node proposes to block it.
    };

    struct OwnReport {
        CrashReport report;
        Instant at{};
    };

    bool insert(const CrashReport &report, Instant now);
    void explainByBlockedPart(const CrashReport &report, Instant now);
    void explain(const UpstreamProcess &process, const CrashCause &cause, Instant now);
    void updateProofsOf(const UpstreamProcess &process, Instant now);
    bool addSuspect(const UpstreamProcess &process, const CrashCause &cause, const CrashSuspect &suspect,
                    std::size_t position, Instant now);
    Instant recentSuccess(const CrashCause &cause) const;
    Weight weightOf(const CrashCause &cause, const Evidence &evidence) const;
    bool suffices(const CrashCause &cause, const Evidence &evidence) const;
    static bool hasAcquittedCrash(const Evidence &evidence);
    bool objectsTo(const CrashCause &cause, Instant now);
    bool isWorthTelling(const Evidence &evidence, const Contest &contest) const;
    void updateProof(const CrashCause &cause, Evidence &evidence, Instant now);
    void noteSuccess(const CrashCause &cause, Instant now);
    CrashVerdict verdictFor(const CrashCause &cause, const Evidence &evidence, std::int64_t wallMs) const;
    std::optional<CrashCause> heaviestProven(Instant now) const;
    void prune(Instant now);
    void evictOld(Instant now);

    std::string m_node;
    std::deque<OwnReport> m_own; ///< Ordered by time.
    std::unordered_map<CrashCause, Evidence, Hash> m_evidence;
    std::unordered_map<CrashCause, Instant, Hash> m_successes; ///< This node's last ones, of prompt parts.
    std::unordered_map<CrashCause, Instant, Hash> m_olderSuccesses; ///< Replaced when m_successes is full.
    std::set<CrashCause> m_proven; ///< Causes whose evidence has a proof.
    std::map<CrashCause, Contest> m_contested; ///< Causes with a new crash beside earlier ones, or with a proposal.
    Instant m_prunedAt{};
    std::map<UpstreamProcess, Explanation> m_explained;
    std::map<CrashCause, CrashVerdict> m_verdicts;
    std::map<CrashCause, Instant> m_lifted; ///< Verdicts that have ended recently, by time.
    std::map<CrashCause, Block> m_blocks; ///< Of the causes with a verdict.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::CauseKind, 2> enumNames<Gateway::CauseKind>{{
    {Gateway::CauseKind::Request, "request"},
    {Gateway::CauseKind::PromptPart, "prompt-part"},
}};

} // namespace Gypsumtally
