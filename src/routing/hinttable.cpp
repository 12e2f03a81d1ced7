#include "routing/hinttable.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

const HintTable::Entries noEntries;

template<typename Map, typename Key>
const HintTable::Entries &lookUp(const Map &map, const Key &key)
{
    const auto it = map.find(key);
    return it == map.end() ? noEntries : it->second;
}

template<typename Map, typename Key>
void removeFrom(Map &map, const Key &key, const HintEntry *entry)
{
    const auto it = map.find(key);
    if (it == map.end())
        return;
    std::erase(it->second, entry);
    if (it->second.empty())
        map.erase(it);
}

bool isOlder(const UpstreamHint &hint, const UpstreamHint &known)
{
    if (hint.epoch != known.epoch)
        return hint.epoch < known.epoch;
    return hint.owner == known.owner && hint.sequence < known.sequence;
}

} // namespace

HintTable::HintTable(HintLimits limits)
    : m_limits(limits)
{
}

bool HintTable::apply(UpstreamHint hint, Instant now)
{
    const auto it = m_entries.find(hint.upstream);
    if (it == m_entries.end() && m_entries.size() >= m_limits.maxUpstreams)
        return false;
    if (it != m_entries.end() && isOlder(hint, it->second.hint))
        return false;
    hint.loaded.resize(std::min(hint.loaded.size(), m_limits.maxAdapters));
    hint.loading.resize(std::min(hint.loading.size(), m_limits.maxAdapters));
    if (it != m_entries.end())
        unindex(it->second);
    auto &entry = it != m_entries.end() ? it->second : m_entries[hint.upstream];
    entry = {std::move(hint), now};
    index(entry);
    return true;
}

void HintTable::expire(Instant now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        if (now - item.second.seen <= m_limits.maxAge)
            return false;
        unindex(item.second);
        return true;
    });
}

void HintTable::forget(const UpstreamId &upstream)
{
    const auto it = m_entries.find(upstream);
    if (it == m_entries.end())
        return;
    unindex(it->second);
    m_entries.erase(it);
}

const HintEntry *HintTable::find(const UpstreamId &upstream) const
{
    const auto it = m_entries.find(upstream);
    return it == m_entries.end() ? nullptr : &it->second;
}

const HintTable::Entries &HintTable::engines(const std::string &base) const
{
    return lookUp(m_byBase, base);
}

const HintTable::Entries &HintTable::workers(const std::string &service) const
{
    return lookUp(m_byService, service);
}

const HintTable::Entries &HintTable::holders(AdapterDigest adapter) const
{
    return lookUp(m_byAdapter, adapter);
}

std::size_t HintTable::size() const
{
    return m_entries.size();
}

void HintTable::index(const HintEntry &entry)
{
    if (!entry.hint.base.empty())
        m_byBase[entry.hint.base].push_back(&entry);
    if (!entry.hint.service.empty())
        m_byService[entry.hint.service].push_back(&entry);
    for (const auto adapter : entry.hint.loaded)
        m_byAdapter[adapter].push_back(&entry);
}

void HintTable::unindex(const HintEntry &entry)
{
    removeFrom(m_byBase, entry.hint.base, &entry);
    removeFrom(m_byService, entry.hint.service, &entry);
    for (const auto adapter : entry.hint.loaded)
        removeFrom(m_byAdapter, adapter, &entry);
}

} // namespace Gypsumtally
