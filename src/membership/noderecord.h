#pragma once

#include "common/enumtable.h"
#include "common/identifiers.h"
#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally
{

/// State that an entry node publishes in its record.
enum class NodeState {
    Live,
    Stopping, ///< The node finishes its work in progress; callers and peers send it no new work.
};

template<>
inline constexpr EnumTable<NodeState, 2> enumNames<NodeState>{{
    {NodeState::Live, "live"},
    {NodeState::Stopping, "stopping"},
}};

/// Record of a node in the key-value service, attached to the node's lease.
struct NodeRecord {
    NodeId id;
    Incarnation incarnation;
    Http::Endpoint callers; ///< Address for callers.
    Http::Endpoint peers; ///< Address for the other nodes.
    RegionId region;
    FailureDomainId failureDomain;
    NodeState state = NodeState::Live;

    friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// Prefix of the keys of all node records.
inline constexpr std::string_view nodePrefix = "/gypsumtally/nodes/";

/// Returns the key of the record of @p node. Thread-safe.
std::string nodeKey(const NodeId &node);

/// Returns the record as JSON. Thread-safe.
std::string encodeNode(const NodeRecord &record);

/// Parses a record written by encodeNode(). Returns nothing if @p text is not JSON or lacks the id, the incarnation or
/// the port for peers. Thread-safe.
std::optional<NodeRecord> decodeNode(std::string_view text);

} // namespace Gypsumtally
