#include "capacity/slope.h"

#include "ownership/upstreamowner.h"
#include "support/fakekeyvalue.h"

#include <string>

namespace Gypsumtally::Capacity
{

namespace
{

const std::vector<std::size_t> ownedSizes{5, 20, 80};
constexpr Instant start{std::chrono::seconds{1000}};
constexpr std::size_t slots = 8;
constexpr std::size_t ticks = 1000;

AdapterVersion adapter(std::size_t index)
{
    return {"base-0", "adapter-" + std::to_string(index), "1"};
}

EngineReport reportOf(Instant now)
{
    EngineReport report;
    report.engineIncarnation = "fedcba9876543210";
    report.asOf = now;
    report.slots = slots;
    for (std::size_t index = 0; index < slots; ++index)
        report.loaded.push_back(adapter(index));
    return report;
}

using Owners = std::vector<std::unique_ptr<UpstreamOwner>>;

void settle(UpstreamOwner &owner, Testing::FakeKeyValue &store, OwnershipActions actions)
{
    while (!actions.empty()) {
        OwnershipActions next;
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<KeyCall>(&action))
                owner.keyReply(call->tag, store.apply(*call), start, next);
        }
        actions = std::move(next);
    }
}

std::unique_ptr<UpstreamOwner> makeOwner(std::size_t index, Testing::FakeKeyValue &store)
{
    auto owner = std::make_unique<UpstreamOwner>(UpstreamId{"engine-" + std::to_string(index)}, UpstreamKind::Engine,
                                                 Predecessor{{"entry-0"}, {"0123456789abcdef"}}, OwnershipSettings{});
    OwnershipActions actions;
    owner->acquire(start, actions);
    settle(*owner, store, std::move(actions));
    actions.clear();
    owner->engineReported(reportOf(start), start, actions);
    settle(*owner, store, std::move(actions));
    return owner;
}

Work upstreamsOwned(std::size_t count)
{
    return [count] {
        Testing::FakeKeyValue store;
        auto owners = std::make_shared<Owners>();
        for (std::size_t index = 0; index < count; ++index)
            owners->push_back(makeOwner(index, store));
        return owners;
    };
}

Work upstreamsTicked(std::size_t count)
{
    Testing::FakeKeyValue store;
    auto owners = std::make_shared<Owners>();
    for (std::size_t index = 0; index < count; ++index)
        owners->push_back(makeOwner(index, store));
    return [owners] {
        OwnershipActions actions;
        for (std::size_t tick = 0; tick < ticks; ++tick) {
            for (const auto &owner : *owners)
                owner->tick(start, actions);
        }
        return owners;
    };
}

Work requestsCounted(std::size_t count)
{
    Testing::FakeKeyValue store;
    std::shared_ptr<UpstreamOwner> owner = makeOwner(0, store);
    return [owner, count] {
        OwnershipActions actions;
        for (std::size_t index = 0; index < count; ++index) {
            const auto number = owner->beginRequest(adapter(index % slots));
            owner->endRequest(*number, SendOutcome::Done, start, actions);
        }
        return owner;
    };
}

} // namespace

std::vector<Subject> ownershipSubjects()
{
    return {
        {"owned upstream (8 slots)", "ownership", ownedSizes, upstreamsOwned},
        {"tick of an owned upstream", "ownership", ownedSizes, upstreamsTicked, ticks},
        {"request past the dispatch guard", "ownership", {1000, 4000, 16000}, requestsCounted},
    };
}

} // namespace Gypsumtally::Capacity
