#include "gateway/residency.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// Maximum age of a received list: one heartbeat interval, the latency of the store and of a batched watch.
constexpr Duration listLag = std::chrono::milliseconds{2600};

} // namespace

void Residency::onListed(const std::vector<ListedTarget> &targets, Instant now)
{
    std::erase_if(m_dropped, [&](const auto &item) { return now - item.second > listLag; });
    std::unordered_map<ModelTarget, Copy> copies;
    for (const auto &[target, version] : targets) {
        if (m_dropped.contains(target))
            continue;
        const auto known = m_copies.find(target);
        // The list may predate the last orders: a target on it may have been unloaded since and be loading again.
        const bool isNewer = known != m_copies.end() && now - known->second.learnedAt <= listLag
                             && (known->second.version >= version || known->second.version == 0);
        if (isNewer)
            copies.insert(*known);
        else
            copies.emplace(target, Copy{{version, now, false}, {}});
    }
    for (const auto &[target, copy] : m_copies) {
        if (now - copy.learnedAt <= listLag || copy.usableAt > now)
            copies.try_emplace(target, copy);
    }
    m_copies = std::move(copies);
}

void Residency::onLoading(const ModelTarget &target, std::uint64_t version, Instant usableAt, Instant now)
{
    m_dropped.erase(target);
    m_copies.insert_or_assign(target, Copy{{version, usableAt, true}, now});
}

void Residency::onDropped(const ModelTarget &target, Instant now)
{
    m_copies.erase(target);
    m_dropped.insert_or_assign(target, now);
}

const ResidentCopy *Residency::find(const ModelTarget &target) const
{
    const auto it = m_copies.find(target);
    return it == m_copies.end() ? nullptr : &it->second;
}

} // namespace Gypsumtally::Gateway
