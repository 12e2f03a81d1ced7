#include "allowances/fleetallowance.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace Gypsumtally::Allowances
{

namespace
{

/// Longest time between two calls of setHeardShare() for which buckets are refilled; ten times the usual one.
constexpr Duration maxShareAge = std::chrono::milliseconds{500};
/// Time that reports take, with the 50 ms for which a sum may wait for one.
constexpr Duration reportDelay = std::chrono::milliseconds{100};
/// Half-life of the rate at which other nodes spend; as long as reports take, as a flood begins within a second.
constexpr Duration spendingHalfLife = std::chrono::milliseconds{100};
/// Limit on the part of a bucket that counts as spent by others that have not reported it yet, so that a burst that is
/// small in relation to its rate can be used.
constexpr double maxUnseenPart = 0.5;
/// Part of the burst that is used. The rest covers what nodes grant in a flood before they hear of each other.
constexpr double burstPart = 0.9;
/// Seconds of the rate that a bucket without a stated burst holds, as requests come unevenly.
constexpr double defaultBurst = 0.3;
/// Debt with which a bucket begins, in seconds of the rate: what the processes before may have left after a flood.
constexpr double initialDebt = 0.5;
constexpr Duration partHalfLife = std::chrono::seconds{2};
/// Silence after which a process is taken to have used the share that this node withheld. As long as the time within
/// which it must be heard to count for that share.
constexpr Duration maxSilence = std::chrono::milliseconds{1200};
/// Age from which this process has heard from all others that it can hear from, also if some reports were lost.
constexpr Duration settlingTime = std::chrono::seconds{3};
/// A process sends a report for each request; one that has sent no more than so many has just begun.
constexpr std::uint64_t maxFirstReports = 256;
/// The same for a process that begins at about the same time as this one. An idle process sends so many in 8 s.
constexpr std::uint64_t maxFirstReportsAtStart = 20;
/// Heard share from which no good part of the fleet is cut off.
constexpr double wholeShare = 0.9;
/// Longest time in which the debt that follows from a cut is refilled.
constexpr Duration maxDebtTime = std::chrono::seconds{4};
constexpr Duration withheldTime = std::chrono::seconds{2}; ///< In which all processes that come back send a digest.
/// Time for which reports repeat a changed sum; as long as two that went different ways may differ in their delay.
constexpr Duration repeatTime = std::chrono::milliseconds{200};
constexpr Duration peerRetention = std::chrono::minutes{10};
constexpr int slicesOfSum = 10;
constexpr Duration retryMargin = std::chrono::milliseconds{1}; ///< For roundings.

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double costOf(const Limit &limit, const StatedTokens &tokens)
{
    if (!limit.countsTokens)
        return 1;
    return tokens.isStated ? tokens.count : limit.plainCost;
}

RecentSum::RecentSum(Duration time)
    : m_time(time)
{
}

void RecentSum::add(double amount, Instant now)
{
    if (m_slices.empty() || now - m_slices.back().begin >= m_time / slicesOfSum)
        m_slices.push_back({now, 0});
    m_slices.back().amount += amount;
    while (now - m_slices.front().begin > m_time)
        m_slices.pop_front();
}

double RecentSum::sum(Instant now) const
{
    double sum = 0;
    for (const auto &slice : m_slices)
        sum += now - slice.begin <= m_time ? slice.amount : 0;
    return sum;
}

std::map<std::string, LimitUse> LimitLabels::label(const std::map<std::string, LimitUse> &uses)
{
    std::map<std::string, LimitUse> labelled;
    for (const auto &name : m_names)
        labelled.emplace(name, LimitUse{});
    for (const auto &[organisation, use] : uses) {
        if (m_names.size() < maxNames)
            m_names.insert(organisation);
        auto &sum = labelled[m_names.contains(organisation) ? organisation : "other"];
        sum.perSecond += use.perSecond;
        sum.level += use.level;
        sum.granted += use.granted;
        sum.refusals += use.refusals;
    }
    return labelled;
}

FleetAllowance::Bucket::Bucket(const Limit &limit, Instant now)
    : limit(limit)
    , level(-initialDebt * limit.perSecond)
    , refilledAt(now)
    , spentByOthers(spendingHalfLife)
    , ownSpent(partHalfLife)
    , spent(partHalfLife)
    , spentInSilence(maxSilence)
{
}

void FleetAllowance::setLimits(const std::map<std::string, Limit> &limits, Instant now)
{
    std::erase_if(m_buckets, [&](const auto &item) {
        const auto it = limits.find(item.first);
        return it == limits.end() || it->second.perSecond <= 0;
    });
    for (const auto &[organisation, limit] : limits) {
        if (limit.perSecond <= 0)
            continue;
        auto &bucket = m_buckets.try_emplace(organisation, limit, now).first->second;
        refill(bucket, now);
        bucket.limit = limit;
        bucket.level = std::min(bucket.level, capacityOf(bucket));
    }
}

void FleetAllowance::setHeardShare(double share, Instant now)
{
    if (m_firstSharedAt == Instant{})
        m_firstSharedAt = now;
    if (share < wholeShare)
        m_partedAt = now;
    const bool isWhole = now - m_partedAt > withheldTime;
    for (auto &[organisation, bucket] : m_buckets)
        refill(bucket, now);
    const double before = std::exchange(m_share, std::clamp(share, 0.0, 1.0));
    m_sharedAt = now;
    for (auto &[organisation, bucket] : m_buckets) {
        if (m_share < before && m_share < wholeShare)
            takeBack(bucket, 1 - m_share / before, now);
        bucket.level = std::min(bucket.level, capacityOf(bucket));
        if (isWhole)
            bucket.withheld = 0;
    }
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.heardAt > peerRetention; });
}

/// Takes back what belonged to the part @p lost of the nodes since they were heard last: of the level, and of what the
/// others have spent meanwhile. The debt is limited, as a node that is cut off from most others would refuse all its
/// callers for too long. Single nodes that seem silent after lost reports are not worth it.
void FleetAllowance::takeBack(Bucket &bucket, double lost, Instant now) const
{
    const double lowest = std::min(bucket.level, -bucket.limit.perSecond * secondsOf(maxDebtTime) * m_share);
    const double before = std::max(0.0, bucket.level + bucket.spentInSilence.sum(now));
    const double taken = std::min(before * lost, bucket.level - lowest);
    bucket.level -= taken;
    bucket.withheld += taken;
}

double FleetAllowance::capacityOf(const Bucket &bucket) const
{
    const auto &limit = bucket.limit;
    const double burst = limit.burst > 0 ? limit.burst : defaultBurst * limit.perSecond;
    return burstPart * burst * m_share;
}

void FleetAllowance::refill(Bucket &bucket, Instant now) const
{
    const auto until = std::min(now, m_sharedAt + maxShareAge);
    const double refilled = bucket.limit.perSecond * std::max(0.0, secondsOf(until - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    bucket.level = std::min(bucket.level + refilled * m_share, std::max(bucket.level, capacityOf(bucket)));
    bucket.withheld += refilled * (1 - m_share);
}

/// Returns what other nodes are expected to have spent without a report that has arrived.
double FleetAllowance::unseenSpending(const Bucket &bucket, Instant now) const
{
    return std::min(bucket.spentByOthers.perSecond(now) * secondsOf(reportDelay), maxUnseenPart * capacityOf(bucket));
}

Decision FleetAllowance::take(const std::string &organisation, double cost, Instant now, Duration longestWait)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return {};
    auto &bucket = it->second;
    refill(bucket, now);
    // A request that costs more than the bucket holds is granted from a full one.
    const double unseen = unseenSpending(bucket, now);
    const double missing = std::min(cost, capacityOf(bucket) - unseen) + unseen - bucket.level;
    if (capacityOf(bucket) <= 0 || missing > 0) {
        ++bucket.refusals;
        return {false, waitFor(bucket, cost, missing, now, longestWait)};
    }
    bucket.level -= cost;
    bucket.granted += cost;
    bucket.ownSpent.count(now, cost);
    bucket.spent.count(now, cost);
    bucket.spentInSilence.add(cost, now);
    noteSum(organisation, cost, now);
    return {};
}

Decision FleetAllowance::charge(Charge &charge, const std::string &organisation, const StatedTokens &tokens,
                                Instant now, Duration longestWait)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return {};
    const double cost = costOf(it->second.limit, tokens);
    const auto decision = take(organisation, cost, now, longestWait);
    if (decision.isGranted)
        charge = {organisation, cost};
    return decision;
}

/// Returns the time until the bucket covers what is @p missing for @p cost, after the refused callers before that come
/// back. Those of other nodes take their part of the refill.
Duration FleetAllowance::waitFor(Bucket &bucket, double cost, double missing, Instant now, Duration longestWait) const
{
    const double perSecond = bucket.limit.perSecond * m_share;
    const double longest = secondsOf(maxRetryAfter);
    if (perSecond <= 0)
        return maxRetryAfter;
    const auto timeFor = [&](double amount, double rate) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(amount / rate, longest)));
    };
    const auto grantedAt = std::max(now + timeFor(missing, perSecond) + retryMargin, bucket.promisedUntil);
    if (grantedAt - now <= longestWait)
        bucket.promisedUntil = grantedAt + timeFor(cost, perSecond * partOf(bucket, now));
    return std::min(grantedAt - now, maxRetryAfter);
}

/// Returns the part of this node in the spending of all, between that of an average node and all.
double FleetAllowance::partOf(const Bucket &bucket, Instant now) const
{
    const double all = bucket.spent.weightAt(now);
    const double average = 1 / static_cast<double>(1 + m_peers.size());
    const double observed = all > 0 ? bucket.ownSpent.weightAt(now) / all : average;
    return std::clamp(observed, average, 1.0);
}

void FleetAllowance::noteSum(const std::string &organisation, double change, Instant now)
{
    auto &sum = m_ownSums[organisation];
    sum = std::max(0.0, sum + change);
    m_changed[organisation] = now;
    m_hasChanged = true;
}

void FleetAllowance::giveBack(const std::string &organisation, double cost, Instant now)
{
    if (cost <= 0)
        return;
    noteSum(organisation, -cost, now);
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return;
    auto &bucket = it->second;
    refill(bucket, now);
    bucket.level = std::min(bucket.level + cost, std::max(bucket.level, capacityOf(bucket)));
    bucket.granted -= cost;
}

void FleetAllowance::giveBack(Charge &charge, Instant now)
{
    const auto taken = std::exchange(charge, {});
    giveBack(taken.organisation, taken.cost, now);
}

std::map<std::string, double> FleetAllowance::takeChangedSums(Instant now)
{
    std::map<std::string, double> sums;
    for (const auto &[organisation, changedAt] : m_changed)
        sums.emplace(organisation, m_ownSums[organisation]);
    std::erase_if(m_changed, [&](const auto &item) { return now - item.second >= repeatTime; });
    m_hasChanged = false;
    return sums;
}

FleetAllowance::Peer &FleetAllowance::peerOf(const PeerSums &report, Instant now)
{
    const auto [it, isFirst] = m_peers.try_emplace(report.node);
    auto &peer = it->second;
    const bool wasSilent = now - peer.heardAt > maxSilence;
    if (isFirst || report.startedAt > peer.startedAt) {
        // The successor of a known process, or one that has begun since all processes were heard, has spent its sums
        // lately. The sums of others may have been spent at any time.
        const bool isSettled = m_firstSharedAt != Instant{} && now - m_firstSharedAt >= settlingTime;
        const bool hasJustBegun = report.sequence <= (isSettled ? maxFirstReports : maxFirstReportsAtStart);
        peer = Peer{report.startedAt, now, !isFirst || hasJustBegun, true, {}};
    }
    peer.isCatchingUp = peer.isCatchingUp || wasSilent;
    peer.heardAt = now;
    return peer;
}

void FleetAllowance::onPeerSums(const PeerSums &report, Instant now)
{
    if (const auto known = m_peers.find(report.node);
        known != m_peers.end() && report.startedAt < known->second.startedAt)
        return;
    auto &peer = peerOf(report, now);
    for (const auto &[organisation, sum] : report.sums) {
        const auto [it, isFirst] = peer.sums.try_emplace(organisation);
        auto &known = it->second;
        if (!isFirst && report.sequence <= known.sequence)
            continue;
        const double before = std::exchange(known, {sum, report.sequence}).sum;
        if (!isFirst || peer.startsAtZero)
            deduct(organisation, sum - before, peer.isCatchingUp, now);
    }
    if (report.isWhole) {
        peer.startsAtZero = true;
        peer.isCatchingUp = false;
    }
}

void FleetAllowance::deduct(const std::string &organisation, double spent, bool isCatchingUp, Instant now)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return;
    auto &bucket = it->second;
    refill(bucket, now);
    if (isCatchingUp && spent > 0) {
        const double covered = std::min(spent, bucket.withheld);
        bucket.withheld -= covered;
        spent -= covered;
    }
    bucket.level = std::min(bucket.level - spent, std::max(bucket.level, capacityOf(bucket)));
    if (isCatchingUp || spent <= 0)
        return;
    bucket.spentByOthers.count(now, spent);
    bucket.spent.count(now, spent);
    bucket.spentInSilence.add(spent, now);
}

std::map<std::string, LimitUse> FleetAllowance::uses(Instant now)
{
    std::map<std::string, LimitUse> uses;
    for (auto &[organisation, bucket] : m_buckets) {
        refill(bucket, now);
        uses.emplace(organisation, LimitUse{bucket.limit.perSecond, bucket.level, bucket.granted, bucket.refusals});
    }
    return uses;
}

std::string FleetAllowance::levelText(const std::string &organisation, Instant now)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return {};
    refill(it->second, now);
    return std::to_string(std::llround(it->second.level));
}

} // namespace Gypsumtally::Allowances
