#include "capacity/slope.h"

#include "claims/claimkeeper.h"
#include "support/fakekeyvalue.h"

namespace Gypsumtally::Capacity
{

namespace
{

constexpr Instant start{std::chrono::seconds{1000}};

CallAttributes booking(std::size_t index)
{
    CallAttributes call;
    call.id = index * 2;
    call.service = "booking";
    call.customer = {"customer-" + std::to_string(index % 100)};
    call.idempotent = false;
    call.idempotencyKey = "0f8fad5b-d9cb-469f-a165-" + std::to_string(index);
    call.fingerprint = index;
    return call;
}

void settle(ClaimKeeper &keeper, Testing::FakeKeyValue &store, ClaimActions actions, Instant now)
{
    while (!actions.empty()) {
        ClaimActions next;
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<KeyCall>(&action))
                keeper.onReply(call->tag, store.apply(*call), now, next);
        }
        actions = std::move(next);
    }
}

struct Claims {
    Testing::FakeKeyValue store;
    ClaimKeeper keeper{Incarnation{"0123456789abcdef"}, {}};
    Instant now = start;

    void pass(Duration time)
    {
        now += time;
        ClaimActions actions;
        keeper.tick(now, actions);
        settle(keeper, store, std::move(actions), now);
    }
};

constexpr std::size_t claimsPerGroup = 20;

void claimAll(Claims &claims, const std::vector<CallAttributes> &calls)
{
    for (std::size_t index = 0; index < calls.size(); ++index) {
        ClaimActions actions;
        claims.keeper.begin(calls[index], claims.now, actions);
        settle(claims.keeper, claims.store, std::move(actions), claims.now);
        if (index % claimsPerGroup == 0)
            claims.pass(std::chrono::milliseconds{20});
    }
    claims.pass(std::chrono::milliseconds{20});
}

std::vector<CallAttributes> bookings(std::size_t count)
{
    std::vector<CallAttributes> calls;
    for (std::size_t index = 0; index < count; ++index)
        calls.push_back(booking(index));
    return calls;
}

/// Returns work that claims @p count bookings and keeps only the keeper, since the store's copy of the claims is not
/// state of a node.
Work claimsHeld(std::size_t count)
{
    return [calls = bookings(count)]() -> std::shared_ptr<void> {
        auto claims = std::make_shared<Claims>();
        claimAll(*claims, calls);
        auto keeper = std::make_shared<ClaimKeeper>(std::move(claims->keeper));
        return keeper;
    };
}

Work claimsFinished(std::size_t count)
{
    return [calls = bookings(count)]() -> std::shared_ptr<void> {
        auto claims = std::make_shared<Claims>();
        claimAll(*claims, calls);
        for (const auto &call : calls) {
            ClaimActions actions;
            const StoredAnswer answer{200, "application/json", R"({"ran":true})"};
            claims->keeper.finish(call.id, Verdict::Ran, answer, claims->now, actions);
            settle(claims->keeper, claims->store, std::move(actions), claims->now);
        }
        for (std::size_t group = 0; group <= calls.size() / claimsPerGroup; ++group)
            claims->pass(std::chrono::milliseconds{20});
        return std::make_shared<ClaimKeeper>(std::move(claims->keeper));
    };
}

} // namespace

std::vector<Subject> claimSubjects()
{
    const std::vector<std::size_t> sizes{500, 1000, 2000};
    return {
        {"claim in flight", "claims", sizes, claimsHeld},
        {"claim from begin to finish", "claims", sizes, claimsFinished},
    };
}

} // namespace Gypsumtally::Capacity
