#pragma once

#include "common/clock.h"
#include "common/identifiers.h"
#include "routing/rendezvous.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally
{

/// State of one upstream as its owner gossips it to the other nodes. It is a hint: it may be stale, and guarantees
/// nothing.
struct UpstreamHint {
    UpstreamId upstream;
    NodeId owner;
    Epoch epoch = 0; ///< Epoch of the ownership; hints with a lower epoch than the latest one are ignored.
    std::uint64_t sequence = 0; ///< Increases with each hint of one owner.
    RegionId region;
    std::string base; ///< Base model; set for an engine only.
    std::string service; ///< Set for a plain service only.
    std::uint32_t slots = 0; ///< Adapter slots.
    std::uint32_t freeSlots = 0;
    std::uint32_t concurrency = 1; ///< Maximum number of calls that the owner dispatches at once.
    std::uint32_t running = 0; ///< Number of calls dispatched to the upstream.
    std::uint32_t waiting = 0; ///< Number of calls queued at the owner.
    std::uint32_t waitingLoads = 0; ///< Number of adapters that queued calls need loaded.
    std::vector<AdapterDigest> loaded; ///< Adapters that calls may be dispatched to.
    std::vector<AdapterDigest> loading; ///< Adapters whose load was requested or ordered.
    bool leaving = false; ///< The upstream is shutting down and gets no new calls.

    friend bool operator==(const UpstreamHint &, const UpstreamHint &) = default;
};

/// Bounds of a HintTable.
struct HintLimits {
    Duration maxAge = std::chrono::seconds{10}; ///< Older hints are dropped by expire().
    std::size_t maxUpstreams = 8192; ///< Hints of further upstreams are rejected.
    std::size_t maxAdapters = 64; ///< Per upstream, in each of its two lists; further ones are dropped.
};

/// A hint and the time at which this node received it.
struct HintEntry {
    UpstreamHint hint;
    Instant seen{};
};

/// Latest hint of each upstream, indexed by base model, service and adapter. Memory is bounded by HintLimits. Not
/// thread-safe; returned pointers and references stay valid until the next call that is not const.
class HintTable
{
public:
    using Entries = std::vector<const HintEntry *>;

    explicit HintTable(HintLimits limits = {});

    /// Stores a hint received at @p now in place of the upstream's previous one. Returns false, and changes nothing, if
    /// it is older than the previous one (a lower epoch, or the same owner and epoch with a lower sequence), or if the
    /// upstream has none and the table is full.
    bool apply(UpstreamHint hint, Instant now);

    /// Drops the hints that were received more than HintLimits::maxAge before @p now.
    void expire(Instant now);

    /// Drops the hint of @p upstream, if there is one.
    void forget(const UpstreamId &upstream);

    /// Returns the hint of @p upstream, or nullptr if there is none.
    const HintEntry *find(const UpstreamId &upstream) const;

    /// Returns the engines that run the base model @p base.
    const Entries &engines(const std::string &base) const;

    /// Returns the upstreams of the plain service @p service.
    const Entries &workers(const std::string &service) const;

    /// Returns the engines that have @p adapter loaded.
    const Entries &holders(AdapterDigest adapter) const;

    /// Returns the number of upstreams that have a hint.
    std::size_t size() const;

private:
    void index(const HintEntry &entry);
    void unindex(const HintEntry &entry);

    HintLimits m_limits;
    std::unordered_map<UpstreamId, HintEntry> m_entries;
    std::unordered_map<std::string, Entries> m_byBase;
    std::unordered_map<std::string, Entries> m_byService;
    std::unordered_map<AdapterDigest, Entries> m_byAdapter;
};

} // namespace Gypsumtally
