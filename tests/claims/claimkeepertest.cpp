#include "claims/claimkeeper.h"

#include "support/fakekeyvalue.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr Instant start{std::chrono::seconds{1000}};

/// Executes the key-value calls among the actions until none is left; returns the decisions.
std::vector<ClaimDecision> settle(ClaimKeeper &keeper, FakeKeyValue &store, ClaimActions actions, Instant now)
{
    std::vector<ClaimDecision> decisions;
    while (!actions.empty()) {
        ClaimActions next;
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<KeyCall>(&action))
                keeper.onReply(call->tag, store.apply(*call), now, next);
            else
                decisions.push_back(std::get<ClaimDecision>(action));
        }
        actions = std::move(next);
    }
    return decisions;
}

CallAttributes booking(CallId id, std::uint64_t fingerprint = 1)
{
    CallAttributes call;
    call.id = id;
    call.service = "shifts";
    call.idempotent = false;
    call.idempotencyKey = "k";
    call.fingerprint = fingerprint;
    return call;
}

struct EndCase {
    Verdict verdict;
    std::uint64_t fingerprint;
    ClaimOutcome outcome;
};

const EndCase ends[] = {
    {Verdict::NotRun, 1, ClaimOutcome::Granted},       {Verdict::MayHaveRun, 1, ClaimOutcome::OutcomeUnknown},
    {Verdict::Ran, 1, ClaimOutcome::Finished},         {Verdict::NotRun, 2, ClaimOutcome::Granted},
    {Verdict::MayHaveRun, 2, ClaimOutcome::KeyReused}, {Verdict::Ran, 2, ClaimOutcome::KeyReused},
};

} // namespace

TABLE_TEST(ClaimKeeper, answersRetryThroughAnotherNode, ends)
{
    FakeKeyValue store;
    ClaimKeeper first{Incarnation{"a"}, {}};
    ClaimKeeper second{Incarnation{"b"}, {}};
    const auto run = [&](ClaimKeeper &keeper, auto &&event, Instant now) {
        ClaimActions actions;
        event(actions);
        return settle(keeper, store, std::move(actions), now);
    };
    auto now = start;
    auto decisions = run(
        first, [&](auto &actions) { first.begin(booking(1), now, actions); }, now);
    cr_assert_eq(decisions.at(0).outcome, ClaimOutcome::Granted);
    now += std::chrono::seconds{1};
    const StoredAnswer answer{200, "text/plain", "done"};
    run(
        first, [&](auto &actions) { first.finish(1, row.verdict, answer, now, actions); }, now);
    cr_assert_eq(first.size(), 0);
    decisions = run(
        second, [&](auto &actions) { second.begin(booking(2, row.fingerprint), now, actions); }, now);
    cr_assert_eq(decisions.at(0).outcome, row.outcome);
    if (row.outcome == ClaimOutcome::Finished)
        cr_assert(decisions.at(0).answer == answer);
}

Test(ClaimKeeper, removesExpiredClaimsOfCrashedNodes)
{
    FakeKeyValue store;
    ClaimActions actions;
    ClaimKeeper gone{Incarnation{"a"}, {}};
    gone.begin(booking(1), start, actions);
    settle(gone, store, std::move(actions), start);
    cr_assert_eq(store.values().size(), 2);
    ClaimKeeper idle{Incarnation{"b"}, {}};
    const auto writesBefore = store.writes();
    for (auto now = start; now < start + 3 * ClaimPolicy{}.retention; now += std::chrono::seconds{10}) {
        ClaimActions ticked;
        idle.tick(now, ticked);
        settle(idle, store, std::move(ticked), now);
    }
    cr_assert_eq(store.values().size(), 1);
    cr_assert_eq(store.writes() - writesBefore, 2, "one call for each bucket");
}

Test(ClaimKeeper, reportsRanIfAnswerWasNotKept)
{
    FakeKeyValue store;
    ClaimKeeper keeper{Incarnation{"a"}, {}};
    ClaimActions actions;
    keeper.begin(booking(1), start, actions);
    settle(keeper, store, std::exchange(actions, {}), start);
    const auto later = start + std::chrono::seconds{1};
    keeper.finish(1, Verdict::Ran, std::nullopt, later, actions);
    settle(keeper, store, std::exchange(actions, {}), later);
    keeper.begin(booking(2), later + std::chrono::seconds{1}, actions);
    const auto decision = settle(keeper, store, std::move(actions), later).at(0);
    cr_assert_eq(decision.outcome, ClaimOutcome::Finished);
    cr_assert(!decision.answer);
    cr_assert_eq(decision.failure->verdict, Verdict::Ran);
}
