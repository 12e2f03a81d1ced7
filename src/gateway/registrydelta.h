#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "common/keyvalue.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// One change of a key; no value if the key was removed.
struct KeyChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision = 0;
};

/// The parts of the store that a node follows.
enum class RegistryView {
    OperatorDocuments,
    UpstreamRecords,
    OwnRecords, ///< Written by the nodes: their addresses, order leases and estimates.
};

/// All changes under a prefix between two revisions. A node that has read them sends them to others, so that not every
/// node has to call the store.
struct RegistryDelta {
    Revision after = 0; ///< The last revision before those that are covered.
    std::vector<KeyChange> changes; ///< Ordered by revision.
    Revision revision = 0; ///< The last revision that is covered.
    /// Time since the store had not passed @c revision yet; nothing if it is not known.
    std::optional<Duration> age{};
};

/// Changes of one view, as one node has read them.
struct RegistryUpdate {
    RegistryView view = RegistryView::UpstreamRecords;
    RegistryDelta delta;
    StoreEra era = 0; ///< Of the store whose revisions the delta holds.
};

/// Returns the bytes of the keys and values in @p delta. Thread-safe.
std::size_t bytesOf(const RegistryDelta &delta);

/// Splits @p delta into consecutive parts, each with at most @p bytes of keys and values or with the changes of a
/// single revision. Drops the changes of a part above @p largest bytes and leaves a gap in its place, from which
/// receivers detect that they must call the store themselves. Only the last part has an age. Thread-safe.
std::vector<RegistryDelta> split(RegistryDelta delta, std::size_t bytes, std::size_t largest);

/// Empties the values in @p delta that are larger than @p bytes or hold bytes that a datagram cannot carry as they are,
/// if @p isUsable returns false for their change: receivers ignore an empty value like the odd one, but would miss all
/// changes of a datagram that is too large or not valid. Thread-safe.
void dropUnusableValues(RegistryDelta &delta, std::size_t bytes,
                        const std::function<bool(const KeyChange &)> &isUsable);

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
