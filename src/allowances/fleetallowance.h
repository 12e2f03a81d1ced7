#pragma once

#include "allowances/limit.h"
#include "common/clock.h"
#include "common/decayedrate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace Gypsumtally::Allowances
{

/// The tokens that a request states.
struct StatedTokens {
    double count = 0; ///< Of the prompt and of the longest answer together.
    bool isStated = false;
};

/// Returns what a request costs under @p limit. Thread-safe.
double costOf(const Limit &limit, const StatedTokens &tokens);

/// The sum of amounts over a time that ends now, to within a tenth of it. Not thread-safe.
class RecentSum
{
public:
    explicit RecentSum(Duration time);

    /// Precondition: @p now is not earlier than in previous calls.
    void add(double amount, Instant now);

    double sum(Instant now) const;

private:
    struct Slice {
        Instant begin;
        double amount = 0;
    };

    Duration m_time;
    std::deque<Slice> m_slices;
};

/// The answer to a request that is to be charged.
struct Decision {
    bool isGranted = true;
    Duration retryAfter{}; ///< Time until a refused request is expected to be granted.
};

/// What a call was charged, to be given back if it does not run.
struct Charge {
    std::string organisation;
    double cost = 0;
};

/// The cumulative sums in the report of another process.
struct PeerSums {
    std::string node;
    std::int64_t startedAt = 0; ///< Identifies the process among those of its node; greater in later ones.
    std::uint64_t sequence = 0; ///< Of the report.
    bool isWhole = false; ///< Organisations that are not among the sums have spent nothing at the process.
    std::map<std::string, double> sums; ///< By organisation.
};

/// The use of one organisation's limit at this node.
struct LimitUse {
    double perSecond = 0; ///< Of the limit, for the whole fleet.
    double level = 0;
    double granted = 0; ///< Cost of the requests granted by this process, less what was given back.
    std::uint64_t refusals = 0; ///< By this process.
};

/// Chooses the organisations whose use is shown under their names, so that the number of names is bounded while the
/// process runs. Not thread-safe.
class LimitLabels
{
public:
    /// Returns @p uses with those of all organisations without a name of their own summed as "other". Names that were
    /// shown before stay, without use.
    std::map<std::string, LimitUse> label(const std::map<std::string, LimitUse> &uses);

private:
    static constexpr std::size_t maxNames = 32;

    std::set<std::string> m_names;
};

/// The rate limits of organisations, which apply to all nodes together. Each node keeps for each organisation a token
/// bucket that models the fleet's: it deducts its own requests at once and those of other nodes when their cumulative
/// sums arrive. A node that does not hear from all others uses a share of the limits. See docs/design/allowances.md.
/// Not thread-safe; does no I/O. The times of successive calls must not decrease.
class FleetAllowance
{
public:
    /// The longest time that a refusal states.
    static constexpr Duration maxRetryAfter = std::chrono::seconds{30};

    /// Replaces the limits. Organisations without a limit, or without a rate, are not limited. Those that had one keep
    /// their level, up to the new burst; others begin with none.
    void setLimits(const std::map<std::string, Limit> &limits, Instant now);

    /// Sets the fraction of the known nodes, this one included, that this node hears from. To be called several times
    /// per second: buckets are not refilled while the calls stop, as in a process that is suspended, nor before the
    /// first one.
    void setHeardShare(double share, Instant now);

    /// Charges a request to @p organisation, or refuses it. @p longestWait is the longest time after which its caller
    /// would come back.
    Decision take(const std::string &organisation, double cost, Instant now, Duration longestWait = maxRetryAfter);

    /// Charges a request that states @p tokens by the limit of @p organisation and records that in @p charge.
    Decision charge(Charge &charge, const std::string &organisation, const StatedTokens &tokens, Instant now,
                    Duration longestWait);

    /// Gives back what was taken for a request that did not run.
    void giveBack(const std::string &organisation, double cost, Instant now);

    /// Gives back @p charge, and empties it.
    void giveBack(Charge &charge, Instant now);

    /// Returns the cumulative sums of this process, for reports: what it took less what it gave back.
    const std::map<std::string, double> &ownSums() const
    {
        return m_ownSums;
    }

    /// Returns true if a sum has changed since the last call of takeChangedSums().
    bool hasChangedSums() const
    {
        return m_hasChanged;
    }

    /// Returns the sums that have changed since the last call, and those that have changed shortly before. A report
    /// that is merged with a later one on the way would otherwise pass on a sum that one between them has replaced.
    std::map<std::string, double> takeChangedSums(Instant now);

    /// Returns true if any organisation has a limit.
    bool isLimiting() const
    {
        return !m_buckets.empty();
    }

    /// Applies a report of another process. To be called with each report, also one without sums.
    void onPeerSums(const PeerSums &report, Instant now);

    /// Returns the use of each limit, by organisation.
    std::map<std::string, LimitUse> uses(Instant now);

    /// Returns the level of the limit of @p organisation for a log line; empty if it has no limit.
    std::string levelText(const std::string &organisation, Instant now);

private:
    struct Bucket {
        Limit limit;
        double level = 0; ///< Negative after requests that this node learnt of too late.
        double withheld = 0; ///< What was not refilled, as nodes that were not heard may have used it.
        Instant refilledAt{};
        DecayedRate spentByOthers; ///< Over about the time that reports take.
        DecayedRate ownSpent; ///< Over some seconds; with spent, gives the part of this node.
        DecayedRate spent;
        RecentSum spentInSilence; ///< Over the time in which a silent node counts as heard.
        Instant promisedUntil{}; ///< Time at which all refused callers that come back have been granted.
        double granted = 0;
        std::uint64_t refusals = 0;

        Bucket(const Limit &limit, Instant now);
    };

    struct KnownSum {
        double sum = 0;
        std::uint64_t sequence = 0; ///< Of the newest report that stated it.
    };

    /// A process of another node.
    struct Peer {
        std::int64_t startedAt = 0;
        Instant heardAt{};
        bool startsAtZero = false; ///< A sum that is heard for the first time was spent lately, and is deducted.
        bool isCatchingUp = true; ///< Was not heard for a time, and has sent no whole report since.
        std::map<std::string, KnownSum> sums;
    };

    void refill(Bucket &bucket, Instant now) const;
    void takeBack(Bucket &bucket, double lost, Instant now) const;
    double capacityOf(const Bucket &bucket) const;
    double unseenSpending(const Bucket &bucket, Instant now) const;
    Duration waitFor(Bucket &bucket, double cost, double missing, Instant now, Duration longestWait) const;
    double partOf(const Bucket &bucket, Instant now) const;
    void noteSum(const std::string &organisation, double change, Instant now);
    Peer &peerOf(const PeerSums &report, Instant now);
    void deduct(const std::string &organisation, double spent, bool isCatchingUp, Instant now);

    std::map<std::string, Bucket> m_buckets; ///< Of the organisations with a limit.
    std::map<std::string, double> m_ownSums; ///< Kept while the process runs, as other nodes know them.
    std::map<std::string, Instant> m_changed; ///< When sums have changed last.
    bool m_hasChanged = false; ///< A sum was not reported since it changed.
    std::map<std::string, Peer> m_peers; ///< By node.
    double m_share = 0;
    Instant m_sharedAt{}; ///< Time of the last setHeardShare().
    Instant m_firstSharedAt{};
    Instant m_partedAt{}; ///< Last time that a good part of the nodes was not heard.
};

} // namespace Gypsumtally::Allowances
