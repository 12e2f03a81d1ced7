#pragma once

#include "access/organisation.h"
#include "scheduling/urgency.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gypsumtally::Access
{

/// Urgencies range from 0, which goes first, to this.
inline constexpr unsigned lastUrgency = Scheduling::urgencyCount - 1;

/// What a table needs of a route.
struct RouteAccess {
    unsigned priority = defaultPriority; ///< 0 is the most urgent.
    bool isPublic = false; ///< Requests need no key.
};

/// Returns why @p organisations can't be in force together, without stating a key; nothing if they can. Thread-safe.
std::optional<std::string> problemOf(const std::vector<Organisation> &organisations);

/// Finds out on whose behalf a request was sent and how urgent it is, under one configuration. Immutable, so
/// thread-safe.
class AccessTable
{
public:
    /// Without @p organisations, requests need no key. Precondition: problemOf() finds nothing in @p organisations.
    AccessTable(const std::optional<std::vector<Organisation>> &organisations, const std::vector<RouteAccess> &routes);

    /// Returns true if the configuration has organisations, if only an empty list.
    bool isEnabled() const
    {
        return m_isEnabled;
    }

    /// Returns the organisation that holds @p key, or null if none does.
    const Organisation *find(std::string_view key) const;

    /// Returns whose a request with @p key is; nothing if it must not be served. @p key is empty if the request has
    /// none, and @p isPublic tells if its route needs none.
    std::optional<Identity> identify(std::string_view key, bool isPublic) const;

    /// Returns the urgency, from 0 to lastUrgency, of a request of @p identity on a route of @p routePriority. With
    /// organisations it keeps the order of the pairs of both priorities that the configuration permits, of which
    /// neighbours share an urgency if there are too many.
    unsigned urgencyOf(const Identity &identity, unsigned routePriority) const;

private:
    using PriorityPair = std::pair<unsigned, unsigned>; ///< Of an organisation and of a route.

    unsigned priorityOf(const std::string &organisation) const;

    bool m_isEnabled = false;
    std::vector<Organisation> m_organisations;
    std::unordered_map<std::string, std::size_t> m_byKey; ///< Indices of organisations.
    std::unordered_map<std::string, std::size_t> m_byName;
    std::vector<PriorityPair> m_pairs; ///< In order, the most urgent first.
};

} // namespace Gypsumtally::Access
