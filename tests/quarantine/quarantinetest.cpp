#include "quarantine/quarantine.h"

#include "support/fakekeyvalue.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr Instant start{std::chrono::seconds{1000}};
constexpr Fingerprint request = 7;
const FailureDomainId domain{"d1"};

/// Advances the nodes by @p span, answering their key-value calls at once. Returns the time afterwards.
Instant pass(const std::vector<Quarantine *> &nodes, FakeKeyValue &store, Instant now, Duration span)
{
    const auto end = now + span;
    for (; now <= end; now += std::chrono::milliseconds{100}) {
        for (auto *node : nodes) {
            std::vector<KeyCall> calls;
            node->tick(now, calls);
            while (!calls.empty()) {
                const auto call = calls.front();
                calls.erase(calls.begin());
                node->onReply(call.tag, store.apply(call), now, calls);
            }
        }
    }
    return now;
}

} // namespace

Test(Quarantine, isSharedListedAndCleared)
{
    FakeKeyValue store;
    Quarantine first{Incarnation{"a"}, {}};
    Quarantine second{Incarnation{"b"}, {}};
    std::vector<KeyCall> calls;
    auto now = start;
    cr_assert_eq(first.placement(request, 0, now), Placement::Anywhere);
    first.onDispatched(UpstreamId{"e1"}, 1, request, 0, now);
    first.onDispatched(UpstreamId{"e1"}, 2, request + 1, 0, now);
    first.onCrashed(UpstreamId{"e1"}, domain, CrashCause::ProcessEnded, now, calls);
    first.onReply(calls.at(0).tag, store.apply(calls.at(0)), now, calls);
    now = pass({&first, &second}, store, now, std::chrono::seconds{2});
    cr_assert_eq(second.placement(request, 0, now), Placement::Isolated);
    second.onDispatched(UpstreamId{"e2"}, 1, request, 0, now);
    cr_assert_eq(second.placement(request, 0, now), Placement::Wait);
    calls.clear();
    second.onCrashed(UpstreamId{"e2"}, domain, CrashCause::ProcessEnded, now, calls);
    second.onReply(calls.at(0).tag, store.apply(calls.at(0)), now, calls);
    cr_assert(second.check(request, now)->retryAfter.has_value(), "pending");
    now = pass({&first, &second}, store, now, std::chrono::seconds{6});
    cr_assert(!first.check(request, now)->retryAfter.has_value(), "final");
    cr_assert(!first.check(request + 1, now));
    cr_assert_eq(first.list().at(0).upstreams.size(), 2);
    calls.clear();
    cr_assert(first.clear(request, now, calls));
    first.onReply(calls.at(0).tag, store.apply(calls.at(0)), now, calls);
    now = pass({&first, &second}, store, now, std::chrono::seconds{2});
    cr_assert(!second.check(request, now));
    cr_assert_eq(second.placement(request, 0, now), Placement::Anywhere);
    cr_assert(first.list().empty());
}

Test(Quarantine, countsSeveralReportsOfOneCrashOnce)
{
    FakeKeyValue store;
    Quarantine node{Incarnation{"a"}, {}};
    std::vector<KeyCall> calls;
    node.onDispatched(UpstreamId{"e1"}, 1, request, 0, start);
    for (int connection = 0; connection < 3; ++connection)
        node.onCrashed(UpstreamId{"e1"}, domain, CrashCause::ProcessEnded, start, calls);
    cr_assert_eq(calls.size(), 1);
    node.onReply(calls.at(0).tag, store.apply(calls.at(0)), start, calls);
    pass({&node}, store, start, std::chrono::seconds{1});
    cr_assert_eq(store.values().size(), 1);
}
