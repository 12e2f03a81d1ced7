#include "ownership/upstreamowner.h"

#include "support/fakekeyvalue.h"

#include <criterion/criterion.h>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr Instant start = Instant{} + std::chrono::hours(1);

AdapterVersion adapter(int index)
{
    return {"base", "adapter" + std::to_string(index), "1"};
}

/// An owner whose key-value calls complete immediately. If `outcome` is set, it replaces the outcome in the reply.
class Owner
{
public:
    Owner(FakeKeyValue &keyValue, const std::string &node, UpstreamKind kind = UpstreamKind::Engine)
        : machine({"upstream"}, kind, {{node}, {node}}, OwnershipSettings{})
        , m_keyValue(keyValue)
    {
    }

    template<typename Event>
    void act(Event event)
    {
        OwnershipActions actions;
        event(actions);
        while (!actions.empty()) {
            OwnershipActions next;
            for (const auto &action : actions) {
                if (const auto *call = std::get_if<KeyCall>(&action))
                    reply(*call, next);
                else if (const auto *ask = std::get_if<AskRelease>(&action))
                    asked.push_back(*ask);
            }
            actions = std::move(next);
        }
    }

    void acquire()
    {
        act([this](auto &actions) { machine.acquire(now, actions); });
    }

    void tick(Duration step)
    {
        now += step;
        act([this](auto &actions) { machine.tick(now, actions); });
    }

    void report(std::vector<AdapterVersion> loaded)
    {
        act([&](auto &actions) {
            machine.engineReported({"engine", now, 3, std::move(loaded), {}, 0, {}}, now, actions);
        });
    }

    void giveUp(const AdapterVersion &given)
    {
        act([&](auto &actions) { cr_assert(machine.giveUp(given, now, actions)); });
    }

    UpstreamOwner machine;
    Instant now = start;
    std::optional<KeyOutcome> outcome;
    bool isApplied = true; ///< A call whose outcome is replaced takes effect.
    std::vector<AskRelease> asked;

private:
    void reply(const KeyCall &call, OwnershipActions &actions)
    {
        KeyReply answer = !outcome || isApplied ? m_keyValue.apply(call) : KeyReply{};
        if (outcome)
            answer = {*outcome, 0, {}};
        machine.keyReply(call.tag, answer, now, actions);
    }

    FakeKeyValue &m_keyValue;
};

} // namespace

Test(UpstreamOwner, loadsAndServesDuringOutage)
{
    FakeKeyValue keyValue;
    Owner owner(keyValue, "node1");
    owner.acquire();
    owner.report({adapter(0), adapter(1), adapter(2)});
    owner.giveUp(adapter(0));
    owner.outcome = KeyOutcome::Unavailable;
    owner.isApplied = false;
    const auto writes = keyValue.writes();
    owner.tick(std::chrono::minutes(5));
    cr_assert(owner.machine.beginRequest(adapter(1)));
    owner.act([&](auto &actions) {
        const auto order = owner.machine.evict(adapter(0), actions);
        owner.machine.orderEnded(order.value(), SendOutcome::Done, owner.now, actions);
        cr_assert(owner.machine.load(adapter(3), actions));
        cr_assert_not(owner.machine.evict(adapter(1), actions));
    });
    cr_assert_eq(keyValue.writes(), writes);
}

Test(UpstreamOwner, givesUpSeveralAdaptersWithOneWrite)
{
    FakeKeyValue keyValue;
    Owner owner(keyValue, "node1");
    owner.acquire();
    owner.report({adapter(0), adapter(1), adapter(2)});
    const auto writes = keyValue.writes();
    owner.act([&](auto &actions) {
        cr_assert(owner.machine.beginRequest(adapter(2)));
        cr_assert_eq(owner.machine.giveUp({adapter(0), adapter(1), adapter(2)}, owner.now, actions), 2);
    });
    cr_assert_eq(keyValue.writes(), writes + 1);
    cr_assert(owner.machine.mayEvict(adapter(0)) && owner.machine.mayEvict(adapter(1)));
    cr_assert(owner.machine.mayDispatch(adapter(2)));
}

Test(UpstreamOwner, blocksAdapterWhileWriteIsUnsettled)
{
    FakeKeyValue keyValue;
    Owner owner(keyValue, "node1");
    owner.acquire();
    owner.report({adapter(0)});
    owner.outcome = KeyOutcome::Unknown;
    owner.giveUp(adapter(0));
    cr_assert_not(owner.machine.mayDispatch(adapter(0)));
    cr_assert_not(owner.machine.mayEvict(adapter(0)));
    owner.act([&](auto &actions) { cr_assert(owner.machine.releaseAsked(99, owner.now, actions)); });
    cr_assert_not(owner.machine.isIdle());
    owner.outcome.reset();
    owner.tick(std::chrono::seconds(1));
    cr_assert(owner.machine.isIdle());
}

Test(UpstreamOwner, ignoresReleaseAnswersForOtherEpochs)
{
    FakeKeyValue keyValue;
    Owner previous(keyValue, "node1");
    Owner owner(keyValue, "node2");
    previous.acquire();
    owner.acquire();
    cr_assert_eq(owner.asked.size(), 1);
    const Epoch epoch = owner.asked.front().newEpoch;
    owner.act([&](auto &actions) { owner.machine.releaseAnswered({"node1"}, epoch - 1, true, owner.now, actions); });
    cr_assert(owner.machine.isFrozen());
    owner.act([&](auto &actions) { owner.machine.releaseAnswered({"node1"}, epoch, true, owner.now, actions); });
    cr_assert_not(owner.machine.isFrozen());
    cr_assert(owner.machine.record().predecessors.empty());
}

Test(UpstreamOwner, needsNoReportOfPlainService)
{
    FakeKeyValue keyValue;
    Owner previous(keyValue, "node1", UpstreamKind::Service);
    Owner owner(keyValue, "node2", UpstreamKind::Service);
    previous.acquire();
    owner.acquire();
    cr_assert(owner.machine.beginRequest(std::nullopt));
    owner.act([&](auto &actions) { owner.machine.predecessorEnded({"node1"}, owner.now, actions); });
    cr_assert(owner.machine.record().predecessors.empty());
}
