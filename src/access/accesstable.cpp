#include "access/accesstable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Gypsumtally::Access
{

namespace
{

/// Limit for names, which upstreams get in a header.
constexpr std::size_t maxNameBytes = 200;

/// Priority of requests on public routes that belong to no organisation.
constexpr unsigned anonymousPriority = defaultPriority;

/// Returns true if @p name can be the value of a header.
bool isName(std::string_view name)
{
    constexpr char del = '\x7f';
    const auto isPrintable = [](char c) { return static_cast<unsigned char>(c) >= ' ' && c != del; };
    return !name.empty() && name.size() <= maxNameBytes && !name.starts_with(' ') && !name.ends_with(' ')
           && std::ranges::all_of(name, isPrintable);
}

bool isAmount(double number)
{
    return std::isfinite(number) && number >= 0;
}

} // namespace

std::optional<std::string> problemOf(const std::vector<Organisation> &organisations)
{
    std::set<std::string_view> names;
    std::unordered_map<std::string_view, std::string_view> holders;
    for (const auto &each : organisations) {
        if (each.name.empty())
            return "an organisation has no name";
        if (!isName(each.name))
            return "the name of an organisation can't be the value of a header";
        if (!names.insert(each.name).second)
            return "two organisations have the name '" + each.name + "'";
        if (!isAmount(each.limit.perSecond) || !isAmount(each.limit.burst) || !isAmount(each.limit.plainCost))
            return "a limit of organisation '" + each.name + "' is negative or not a number";
        for (const auto &key : each.keys) {
            if (key.empty())
                return "a key of organisation '" + each.name + "' is empty";
            const auto [holder, isNew] = holders.emplace(key, each.name);
            if (!isNew && holder->second != each.name)
                return "organisations '" + std::string(holder->second) + "' and '" + each.name + "' share a key";
        }
    }
    return std::nullopt;
}

AccessTable::AccessTable(const std::optional<std::vector<Organisation>> &organisations,
                         const std::vector<RouteAccess> &routes)
    : m_isEnabled(organisations.has_value())
    , m_organisations(organisations.value_or(std::vector<Organisation>{}))
{
    if (!m_isEnabled)
        return;
    for (std::size_t i = 0; i < m_organisations.size(); ++i) {
        m_byName.emplace(m_organisations[i].name, i);
        for (const auto &key : m_organisations[i].keys)
            m_byKey.emplace(key, i);
    }
    std::set<PriorityPair> pairs;
    for (const auto &route : routes) {
        if (route.isPublic)
            pairs.emplace(anonymousPriority, route.priority);
        for (const auto &organisation : m_organisations)
            pairs.emplace(organisation.priority, route.priority);
    }
    m_pairs.assign(pairs.begin(), pairs.end());
}

const Organisation *AccessTable::find(std::string_view key) const
{
    const auto it = m_byKey.find(std::string(key));
    return it == m_byKey.end() ? nullptr : &m_organisations[it->second];
}

std::optional<Identity> AccessTable::identify(std::string_view key, bool isPublic) const
{
    if (!m_isEnabled)
        return Identity{};
    if (const auto *organisation = find(key))
        return Identity{true, organisation->name};
    return isPublic ? std::optional(Identity{true, {}}) : std::nullopt;
}

unsigned AccessTable::priorityOf(const std::string &organisation) const
{
    const auto it = m_byName.find(organisation);
    return it == m_byName.end() ? anonymousPriority : m_organisations[it->second].priority;
}

unsigned AccessTable::urgencyOf(const Identity &identity, unsigned routePriority) const
{
    if (!m_isEnabled)
        return Scheduling::urgencyOf(routePriority);
    const PriorityPair pair{priorityOf(identity.organisation), routePriority};
    const auto before = std::ranges::lower_bound(m_pairs, pair) - m_pairs.begin();
    const auto place = static_cast<std::size_t>(before);
    constexpr std::size_t urgencies = Scheduling::urgencyCount;
    const auto urgency = m_pairs.size() <= urgencies ? place : place * urgencies / m_pairs.size();
    return static_cast<unsigned>(std::min<std::size_t>(urgency, lastUrgency));
}

} // namespace Gypsumtally::Access
