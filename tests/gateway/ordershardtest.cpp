#include "gateway/ordershard.h"

#include "support/table.h"

#include <algorithm>

using namespace Gypsumtally::Gateway;

namespace
{

struct SizesCase {
    ShardSizes sizes;
    std::size_t shards; ///< Expected number of shards that load copies.
};

const SizesCase sizes[] = {
    {{3, 3}, 2},
    {{11, 1}, 2},
    {{0, 12}, 1}, // The first shard has no active lease holder or no engine.
    {{0, 0}, 0},
};

} // namespace

TABLE_TEST(OrderShard, excludesShardsWithoutEngines, sizes)
{
    for (int i = 0; i < 50; ++i) {
        const auto order = shardOrder("m/a" + std::to_string(i), row.sizes);
        cr_assert_eq(order.size(), row.shards);
        cr_assert(std::ranges::all_of(order, [&](unsigned shard) { return row.sizes[shard] > 0; }));
    }
}

Test(OrderShard, weightsShardsBySize)
{
    int large = 0;
    for (int i = 0; i < 1000; ++i)
        large += shardOrder("m/a" + std::to_string(i), {9, 3}).front() == 0 ? 1 : 0;
    cr_assert(large > 650 && large < 850, "%d", large);
}

Test(OrderShard, shardLossMovesOnlyItsTargets)
{
    for (int i = 0; i < 200; ++i) {
        const auto target = "m/a" + std::to_string(i);
        auto before = shardOrder(target, {6, 6});
        std::erase(before, 0U);
        cr_assert(shardOrder(target, {0, 6}) == before);
    }
}
