#include "gateway/ordershard.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <array>

namespace Gypsumtally::Gateway
{

unsigned shardOf(std::string_view instance)
{
    return static_cast<unsigned>(XXH3_64bits(instance.data(), instance.size()) % orderShards);
}

std::vector<unsigned> shardOrder(const ModelTarget &target, const ShardSizes &sizes)
{
    const auto key = XXH3_64bits(target.data(), target.size());
    std::array<double, orderShards> scores{};
    std::vector<unsigned> order;
    for (unsigned shard = 0; shard < orderShards; ++shard) {
        if (sizes[shard] == 0)
            continue;
        scores[shard] = rendezvousScore(key, std::to_string(shard), sizes[shard]);
        order.push_back(shard);
    }
    std::ranges::sort(order, [&](unsigned first, unsigned second) { return scores[first] > scores[second]; });
    return order;
}

} // namespace Gypsumtally::Gateway
