#pragma once

#include "gateway/residency.h"

#include <array>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Number of shards of engines. Each shard has its own lease holder, so the loss of a holder stops loads on its shard
/// only. All nodes must use the same number.
inline constexpr unsigned orderShards = 2;

/// Returns the shard of an engine. Thread-safe.
unsigned shardOf(std::string_view instance);

/// Number of engines that accept orders, by shard; 0 for a shard without an active lease holder.
using ShardSizes = std::array<unsigned, orderShards>;

/// Returns the shards that have engines, in the order in which they load copies of @p target. Nodes with equal sizes
/// get the same order; larger shards come first more often. Thread-safe.
std::vector<unsigned> shardOrder(const ModelTarget &target, const ShardSizes &sizes);

} // namespace Gypsumtally::Gateway
