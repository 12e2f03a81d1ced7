#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Gypsumtally
{

namespace
{

constexpr double unknownTokens = 256; ///< Assumed answer length of a call that sets no maximum.
constexpr double bytesPerPromptToken = 4;
constexpr double bytesPerKibibyte = 1024;
/// Half-life of Demand::decayedCalls and Demand::regret.
constexpr double demandHalfLifeSeconds = 60;
constexpr double minPrefetchCalls = 3; ///< Minimum Demand::decayedCalls of the adapters that are prefetched.
constexpr Duration noUpstreamRetryAfter = std::chrono::seconds{1};

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

bool isExcluded(const RouteQuery &query, const UpstreamId &upstream)
{
    return std::find(query.excluded.begin(), query.excluded.end(), upstream) != query.excluded.end();
}

bool isUsable(const RouteQuery &query, const HintEntry &entry)
{
    return !entry.hint.leaving && !isExcluded(query, entry.hint.upstream);
}

bool contains(const std::vector<AdapterDigest> &adapters, AdapterDigest digest)
{
    return std::find(adapters.begin(), adapters.end(), digest) != adapters.end();
}

Failure noUpstream()
{
    return {Verdict::NotRun, ErrorCode::NoUpstream, "no upstream is known that may take the call",
            noUpstreamRetryAfter};
}

Route toUpstream(const HintEntry &entry, bool needsLoad)
{
    return RouteToUpstream{entry.hint.upstream, entry.hint.owner, needsLoad};
}

} // namespace

Router::Router(NodeId self, RegionId region, RouterSettings settings)
    : m_self(self)
    , m_region(std::move(region))
    , m_settings(settings)
    , m_members{std::move(self)}
{
}

void Router::setMembers(std::vector<NodeId> members)
{
    m_members = std::move(members);
}

void Router::setSettings(RouterSettings settings)
{
    m_settings = settings;
}

Route Router::route(const RouteQuery &query, const HintTable &hints, Instant now)
{
    if (query.suspect)
        return routeSuspect(query, hints);
    if (query.call.model)
        return routeModel(query, hints, now);
    return routeService(query, hints);
}

void Router::sent(CallId call, const UpstreamId &upstream, Instant)
{
    if (!m_sent.emplace(call, upstream).second)
        return;
    auto &local = m_local[upstream];
    ++local.outstanding;
    ++local.sentSinceHint;
}

void Router::finished(CallId call)
{
    const auto it = m_sent.find(call);
    if (it == m_sent.end())
        return;
    const auto local = m_local.find(it->second);
    if (--local->second.outstanding == 0)
        m_local.erase(local);
    m_sent.erase(it);
}

const NodeId &Router::homeOf(AdapterDigest adapter) const
{
    return *rendezvousPick(
        adapter, m_members, [](const NodeId &node) -> std::string_view { return node.value; },
        [](const NodeId &) { return 1.0; });
}

Route Router::routeModel(const RouteQuery &query, const HintTable &hints, Instant now)
{
    const auto digest = digestOf(*query.call.model);
    auto &demand = track(query.call, digest, now);
    for (const auto *entry : hints.engines(query.call.model->base)) {
        auto &local = m_local[entry->hint.upstream];
        if (local.hintSeen != entry->seen)
            local = {local.outstanding, 0, entry->seen};
    }
    const auto holder = cheapest(query, hints.holders(digest), digest, true);
    if (const auto *place = placed(query, hints, digest, now); place && !holder.entry)
        return toUpstream(*place, true);
    const auto &engines = hints.engines(query.call.model->base);
    const auto loader = cheapest(query, engines, digest, false);
    if (!loader.entry && !holder.entry)
        return noUpstream();
    if (holder.entry && (!loader.entry || holder.cost <= loader.cost)) {
        return toUpstream(*holder.entry, false);
    }
    if (!query.atHome && homeOf(digest) != m_self)
        return RouteToHome{homeOf(digest)};
    demand.regret = 0;
    m_placements[digest] = {loader.entry->hint.upstream, now + m_settings.placementTime};
    return toUpstream(*loader.entry, true);
}

Route Router::routeService(const RouteQuery &query, const HintTable &hints) const
{
    const HintEntry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto *entry : hints.workers(query.call.service)) {
        if (!isUsable(query, *entry))
            continue;
        const double cost = waitAt(*entry) + outstandingAt(*entry) + regionCost(query.call, *entry);
        if (cost >= bestCost)
            continue;
        best = entry;
        bestCost = cost;
    }
    if (!best)
        return noUpstream();
    return toUpstream(*best, false);
}

Route Router::routeSuspect(const RouteQuery &query, const HintTable &hints) const
{
    const HintEntry *best = nullptr;
    const auto digest = query.call.model ? digestOf(*query.call.model) : 0;
    const auto &entries = query.call.model ? hints.engines(query.call.model->base) : hints.workers(query.call.service);
    for (const auto *entry : entries) {
        if (!isUsable(query, *entry))
            continue;
        const auto load = [](const HintEntry &e) { return e.hint.running + e.hint.waiting; };
        if (!best || load(*entry) < load(*best))
            best = entry;
    }
    if (!best)
        return noUpstream();
    return toUpstream(*best, query.call.model && !contains(best->hint.loaded, digest));
}

Router::Choice Router::cheapest(const RouteQuery &query, const HintTable::Entries &entries, AdapterDigest digest,
                                bool holders) const
{
    Choice best;
    double bestScore = 0;
    for (const auto *entry : entries) {
        if (!isUsable(query, *entry) || (!holders && contains(entry->hint.loaded, digest)))
            continue;
        const double cost = holders ? holderCost(query, *entry) : loadCost(query, *entry, digest);
        const double score = rendezvousScore(digest, entry->hint.upstream.value);
        if (best.entry && (cost > best.cost || (cost == best.cost && score <= bestScore)))
            continue;
        best = {entry, cost};
        bestScore = score;
    }
    return best;
}

double Router::holderCost(const RouteQuery &query, const HintEntry &entry) const
{
    return waitAt(entry) + occupancy(entry) + regionCost(query.call, entry);
}

double Router::loadCost(const RouteQuery &query, const HintEntry &entry, AdapterDigest digest) const
{
    const double base = waitAt(entry) + occupancy(entry) + regionCost(query.call, entry);
    if (contains(entry.hint.loading, digest))
        return base + microseconds(m_settings.loadTime);
    const double price = microseconds(m_settings.loadPrice) * 2 * m_settings.weights.batchFraction();
    const double queue = entry.hint.waitingLoads + (entry.hint.freeSlots == 0 ? 1.0 : 0.0);
    return base + microseconds(m_settings.loadTime) * (1 + queue) + price;
}

double Router::regionCost(const CallAttributes &call, const HintEntry &entry) const
{
    if (entry.hint.region == call.callerRegion)
        return 0;
    const double answer = call.maxTokens > 0 ? call.maxTokens : unknownTokens;
    const double bytes
        = answer * static_cast<double>(m_settings.bytesPerToken) + call.promptTokens * bytesPerPromptToken;
    return microseconds(m_settings.regionHop)
           + bytes / bytesPerKibibyte * microseconds(m_settings.transferCostPerKibibyte);
}

double Router::outstandingAt(const HintEntry &entry) const
{
    const auto local = m_local.find(entry.hint.upstream);
    const double sent = local == m_local.end() ? 0.0 : local->second.sentSinceHint;
    return entry.hint.running + entry.hint.waiting + sent;
}

double Router::waitAt(const HintEntry &entry) const
{
    const double concurrency = std::max(entry.hint.concurrency, 1U);
    const double queued = outstandingAt(entry) + 1 - concurrency;
    return std::max(queued, 0.0) * microseconds(m_settings.callTime) / concurrency;
}

double Router::occupancy(const HintEntry &entry) const
{
    const double part = std::min(outstandingAt(entry) / std::max(entry.hint.concurrency, 1U), 1.0);
    // A fuller batch is slower, which makes it cost more; a weight of over one half on batch efficiency reverses that.
    const double slowdown = microseconds(m_settings.callTime) * 0.1;
    return slowdown * part * (1 - 2 * m_settings.weights.batchFraction()) + slowdown;
}

const HintEntry *Router::placed(const RouteQuery &query, const HintTable &hints, AdapterDigest digest,
                                Instant now) const
{
    const auto it = m_placements.find(digest);
    if (it == m_placements.end() || it->second.until <= now)
        return nullptr;
    const auto *entry = hints.find(it->second.upstream);
    return entry && isUsable(query, *entry) ? entry : nullptr;
}

Router::Demand &Router::track(const CallAttributes &call, AdapterDigest digest, Instant now)
{
    if (m_demand.size() >= m_settings.maxTracked)
        prune(now);
    auto &demand = m_demand[digest];
    if (demand.adapter.adapter.empty())
        demand.adapter = *call.model;
    const double decay
        = std::exp2(-std::chrono::duration<double>(now - demand.updated).count() / demandHalfLifeSeconds);
    demand.decayedCalls = demand.decayedCalls * decay + 1;
    demand.regret *= decay;
    demand.updated = now;
    return demand;
}

std::vector<PrefetchCandidate> Router::prefetchCandidates(const HintTable &hints, std::size_t limit, Instant now)
{
    prune(now);
    std::vector<PrefetchCandidate> result;
    for (const auto &[digest, demand] : m_demand) {
        if (demand.decayedCalls < minPrefetchCalls || homeOf(digest) != m_self || !hints.holders(digest).empty())
            continue;
        CallAttributes call;
        call.model = demand.adapter;
        call.callerRegion = m_region;
        call.serviceClass = ServiceClass::Bulk;
        const RouteQuery query{.call = call, .excluded = {}, .atHome = true};
        const auto choice = cheapest(query, hints.engines(demand.adapter.base), digest, false);
        if (choice.entry && !contains(choice.entry->hint.loading, digest))
            result.push_back({demand.adapter, {choice.entry->hint.upstream, choice.entry->hint.owner, true}});
        if (result.size() >= limit)
            break;
    }
    return result;
}

void Router::prune(Instant now)
{
    const auto idle = std::chrono::seconds{static_cast<int>(2 * demandHalfLifeSeconds)};
    std::erase_if(m_demand, [&](const auto &item) { return now - item.second.updated > idle; });
    std::erase_if(m_placements, [&](const auto &item) { return item.second.until <= now; });
    if (m_demand.size() >= m_settings.maxTracked)
        m_demand.clear();
}

} // namespace Gypsumtally
