#include "gateway/ordershard.h"

#include "support/table.h"

#include <algorithm>

using namespace Gypsumtally::Gateway;

namespace
{

struct SizesCase {
    ShardSizes sizes;
    std::size_t shards;
};

const SizesCase sizes[] = {
    {{3, 3, 3, 3}, 4},
    {{6, 0, 5, 1}, 3}, // Nobody orders shard 1, or it has no engine.
    {{0, 0, 12, 0}, 1},
    {{0, 0, 0, 0}, 0},
};

} // namespace

TABLE_TEST(OrderShard, onlyShardsWithEnginesTakeCopies, sizes)
{
    for (int i = 0; i < 50; ++i) {
        const auto order = shardOrder("m/a" + std::to_string(i), row.sizes);
        cr_assert_eq(order.size(), row.shards);
        cr_assert(std::ranges::all_of(order, [&](unsigned shard) { return row.sizes[shard] > 0; }));
    }
}

Test(OrderShard, largerShardsComeFirstMoreOften)
{
    int large = 0;
    for (int i = 0; i < 1000; ++i)
        large += shardOrder("m/a" + std::to_string(i), {9, 1, 1, 1}).front() == 0 ? 1 : 0;
    cr_assert(large > 650 && large < 850, "%d", large);
}

Test(OrderShard, theLossOfAShardMovesOnlyItsOwnTargets)
{
    for (int i = 0; i < 200; ++i) {
        const auto target = "m/a" + std::to_string(i);
        auto before = shardOrder(target, {3, 3, 3, 3});
        std::erase(before, 2U);
        cr_assert(shardOrder(target, {3, 3, 0, 3}) == before);
    }
}
