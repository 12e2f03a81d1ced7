#include "capacity/slope.h"

#include "routing/hinttable.h"
#include "routing/router.h"

namespace Gypsumtally::Capacity
{

namespace
{

constexpr Instant start{std::chrono::seconds{1000}};
constexpr std::size_t adaptersPerHint = 8;
constexpr std::size_t adaptersInAll = 18000;
constexpr std::size_t decisions = 200;

AdapterVersion adapter(std::size_t index)
{
    return {"base-0", "adapter-" + std::to_string(index % adaptersInAll), "1"};
}

std::vector<UpstreamHint> hints(std::size_t count)
{
    std::vector<UpstreamHint> list;
    for (std::size_t index = 0; index < count; ++index) {
        UpstreamHint hint;
        hint.upstream = {"engine-" + std::to_string(index)};
        hint.owner = {"entry-" + std::to_string(index % 1300)};
        hint.epoch = 1;
        hint.sequence = 1;
        hint.region = {"region-" + std::to_string(index % 2)};
        hint.base = "base-0";
        hint.slots = adaptersPerHint;
        hint.concurrency = 16;
        for (std::size_t slot = 0; slot < adaptersPerHint; ++slot)
            hint.loaded.push_back(digestOf(adapter(index * adaptersPerHint + slot)));
        list.push_back(std::move(hint));
    }
    return list;
}

Work hintsKnown(std::size_t count)
{
    return [list = hints(count)] {
        auto table = std::make_shared<HintTable>();
        for (const auto &hint : list)
            table->apply(hint, start);
        return table;
    };
}

/// Returns work that routes calls for adapters of which each is loaded on an engine.
Work routingDecisions(std::size_t engines)
{
    auto table = std::make_shared<HintTable>();
    for (auto &hint : hints(engines))
        table->apply(std::move(hint), start);
    auto router = std::make_shared<Router>(NodeId{"entry-0"}, RegionId{"region-0"});
    router->setMembers({{"entry-0"}});
    return [table, router] {
        for (std::size_t index = 0; index < decisions; ++index) {
            CallAttributes call;
            call.id = index + 1;
            call.model = adapter(index);
            call.callerRegion = {"region-0"};
            router->route({.call = call, .excluded = {}}, *table, start);
        }
        return router;
    };
}

} // namespace

std::vector<Subject> routingSubjects()
{
    const std::vector<std::size_t> sizes{500, 2000, 6100};
    return {
        {"known hint of an upstream (8 adapters)", "routing", sizes, hintsKnown},
        {"known engine, per routing decision", "routing", sizes, routingDecisions, decisions},
    };
}

} // namespace Gypsumtally::Capacity
