#pragma once

#include "common/enumtable.h"
#include "common/keyvalue.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// One change of a key; without a value it was removed.
struct KeyChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision = 0;
};

/// What of the store a node follows.
enum class RegistryView {
    OperatorDocuments,
    UpstreamRecords,
    OwnRecords, ///< The nodes' own: who they are and who orders engines.
};

/// All changes under a prefix between two revisions, as one node has read them and tells others, so that not every node
/// has to ask the store.
struct RegistryShare {
    Revision after = 0;
    std::vector<KeyChange> changes; ///< By revision.
    Revision revision = 0; ///< The last one that is covered.
};

/// One node's share of what it has read of a view.
struct RegistryUpdate {
    RegistryView view = RegistryView::UpstreamRecords;
    RegistryShare share;
};

/// Divides @p share into parts that follow on each other, each with at most @p bytes of keys and values or with the
/// changes of one revision. What one revision has beyond @p largest bytes is left out, so that its part shows receivers
/// that they must ask themselves. Thread-safe.
std::vector<RegistryShare> split(RegistryShare share, std::size_t bytes, std::size_t largest);

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::RegistryView, 3> enumNames<Gateway::RegistryView>{{
    {Gateway::RegistryView::OperatorDocuments, "operator"},
    {Gateway::RegistryView::UpstreamRecords, "upstreams"},
    {Gateway::RegistryView::OwnRecords, "own"},
}};

} // namespace Gypsumtally
