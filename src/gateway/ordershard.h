#pragma once

#include "gateway/residency.h"

#include <array>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Engines are divided into this many shards, each with a holder of its own that orders them: the loss of a holder
/// stops loads on its shard only. All nodes must agree on the number.
inline constexpr unsigned orderShards = 2;

/// Returns the shard of an engine. Thread-safe.
unsigned shardOf(std::string_view instance);

/// How many engines of each shard take orders; none where nobody orders them at present.
using ShardSizes = std::array<unsigned, orderShards>;

/// Returns the shards that have engines in the order in which they take copies of @p target: equal on nodes that see
/// the same sizes, and larger shards come first more often. Thread-safe.
std::vector<unsigned> shardOrder(const ModelTarget &target, const ShardSizes &sizes);

} // namespace Gypsumtally::Gateway
