#include "gateway/crashquarantine.h"

#include "support/table.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const CrashCause bad{CauseKind::PromptPart, 0xbad};
const std::string prefix = "own/quarantine/";
const std::string badKey = prefix + "prompt-part/bad";

/// A store that keeps the calls until they are answered.
struct FakeStore {
    void transact(const KeyTransaction &transaction, StoreLease, std::function<void(KeyReply)> onReply)
    {
        calls.emplace_back(transaction, std::move(onReply));
    }

    void readPrefix(const std::string &, const std::function<void(KeyReply)> &)
    {
    }

    void watch(const std::string &, Revision, Duration, const std::function<void(WatchResult)> &)
    {
    }

    void grantLease(Duration, const std::function<void(std::optional<StoreLease>)> &)
    {
    }

    void renewLease(StoreLease, const std::function<void(std::optional<bool>)> &)
    {
    }

    void endLease(StoreLease)
    {
    }

    void answer(KeyOutcome outcome)
    {
        const auto call = std::move(calls.front());
        calls.erase(calls.begin());
        call.second({outcome, 1, {}});
    }

    std::vector<std::pair<KeyTransaction, std::function<void(KeyReply)>>> calls;
};

class QuarantineFixture
{
public:
    QuarantineFixture()
    {
        context.node = "n1";
        context.crashes = CrashLedger("n1");
    }

    /// Crashes three upstreams with a part, and lets the node decide.
    void block()
    {
        for (int i = 0; i < 3; ++i) {
            now += seconds{1};
            quarantine.onCrash({{"e" + std::to_string(i), 1}, {{static_cast<Fingerprint>(i), {bad.id}}}}, now);
        }
        run(seconds{1});
    }

    void run(Duration time, std::size_t rank = 0)
    {
        for (const auto end = now + time; now < end; now += milliseconds{50})
            quarantine.tick(now, 1000, rank);
    }

    bool isBlocked() const
    {
        return context.crashes.verdictOn({bad}) != nullptr;
    }

    CallContext context;
    FakeStore store;
    Logging logging{LogLevel::Error, LogFormat::Json, "n1"};
    GatewayLog log{logging};
    Metrics metrics;
    std::vector<NodeReport> sent;
    CrashQuarantine<FakeStore> quarantine{store,
                                          context,
                                          log,
                                          metrics,
                                          prefix,
                                          [] { return NodeReport{}; },
                                          [this](NodeReport report) { sent.push_back(std::move(report)); }};
    Instant now = BootClock{}.now(); ///< Retries are due by this clock.
};

struct WriteCase {
    const char *name;
    std::vector<KeyOutcome> outcomes; ///< Of the writes.
    std::size_t writes; ///< Expected.
};

const WriteCase writes[] = {
    {"applied", {KeyOutcome::Applied}, 1},
    {"already there", {KeyOutcome::Conflict}, 1},
    {"not available at first", {KeyOutcome::Unavailable, KeyOutcome::Unavailable, KeyOutcome::Applied}, 3},
    {"lost replies", {KeyOutcome::Unknown, KeyOutcome::Conflict}, 2},
};

struct ValueCase {
    const char *text;
    bool isValid;
};

const ValueCase values[] = {
    {R"({"crashes":3,"requests":2,"decided_ms":1000,"node":"n1"})", true},
    {R"({})", true}, // Blocks, as the key names the cause.
    {"[]", false},
    {"", false},
};

} // namespace

TABLE_TEST(CrashQuarantine, writesAVerdictUntilTheStoreHasIt, writes)
{
    QuarantineFixture node;
    node.block();
    cr_assert(node.isBlocked());
    std::size_t count = 0;
    for (const auto outcome : row.outcomes) {
        node.run(seconds{2});
        cr_assert_eq(node.store.calls.size(), 1U, "%s", row.name);
        const auto &transaction = node.store.calls.front().first;
        cr_assert_eq(transaction.puts.front().key, badKey);
        cr_assert_eq(transaction.compares.front().modRevision, 0);
        node.store.answer(outcome);
        ++count;
    }
    node.run(seconds{2});
    cr_assert(node.store.calls.empty(), "%s", row.name);
    cr_assert_eq(count, row.writes);
}

Test(CrashQuarantine, nodesThatRankBehindWriteOnlyIfNoOtherDid)
{
    QuarantineFixture node;
    for (int i = 0; i < 3; ++i) {
        node.now += seconds{1};
        node.quarantine.onCrash({{"e" + std::to_string(i), 1}, {{static_cast<Fingerprint>(i), {bad.id}}}}, node.now);
    }
    node.run(seconds{1}, 8);
    cr_assert(node.isBlocked());
    cr_assert(node.store.calls.empty());
    node.quarantine.onChange({badKey, encode(CrashVerdict{bad, 3, 3, 1000, "n2"}), 9}, node.now);
    node.run(seconds{3}, 8);
    cr_assert(node.store.calls.empty());
}

Test(CrashQuarantine, aNodeThatStartsKnowsNoVerdictsUntilItHasReadThem)
{
    QuarantineFixture node;
    cr_assert(node.context.awaitsVerdicts);
    node.quarantine.onSnapshot({{badKey, {badKey, encode(CrashVerdict{bad, 5, 4, 1000, "n2"}), 9}}}, node.now);
    cr_assert_not(node.context.awaitsVerdicts);
    cr_assert(node.isBlocked());
    cr_assert_eq(node.context.crashes.verdictOn({bad})->crashes, 5U);
}

Test(CrashQuarantine, anOperatorLiftsAVerdictByRemovingItsKey)
{
    QuarantineFixture node;
    const std::map<std::string, KeyValue> stored{{badKey, {badKey, encode(CrashVerdict{bad, 5, 4, 1000, "n2"}), 9}}};
    node.quarantine.onSnapshot(stored, node.now);
    cr_assert(node.quarantine.onChange({badKey, {}, 10}, node.now));
    cr_assert_not(node.isBlocked());
    node.quarantine.onSnapshot(stored, node.now);
    cr_assert(node.isBlocked());
    node.quarantine.onSnapshot({}, node.now); // It was removed while the node was cut off.
    cr_assert_not(node.isBlocked());
    cr_assert_not(node.quarantine.onChange({"own/nodes/n2", "{}", 11}, node.now));
}

Test(CrashQuarantine, aSnapshotDoesNotLiftAVerdictThatTheStoreDoesNotHaveYet)
{
    QuarantineFixture node;
    node.block();
    node.quarantine.onSnapshot({}, node.now);
    cr_assert(node.isBlocked());
}

Test(CrashQuarantine, aSuccessLiftsAVerdictEverywhere)
{
    QuarantineFixture node;
    node.block();
    node.run(seconds{1});
    node.store.answer(KeyOutcome::Applied);
    node.sent.clear();
    node.context.recordSuccess({bad}, node.now - milliseconds{500}, node.now);
    cr_assert_not(node.isBlocked());
    cr_assert_eq(node.sent.size(), 1U);
    cr_assert_eq(node.sent.front().lifted.size(), 1U);
    cr_assert_eq(node.store.calls.front().first.deletes.front(), badKey);
    QuarantineFixture other;
    other.block();
    other.quarantine.onReport(node.sent.front(), other.now);
    cr_assert_not(other.isBlocked());
}

TABLE_TEST(CrashQuarantine, decodesVerdicts, values)
{
    const auto verdict = decodeCrashVerdict(bad, row.text);
    cr_assert_eq(verdict.has_value(), row.isValid, "%s", row.text);
    if (verdict)
        cr_assert(verdict->cause == bad);
}

Test(CrashQuarantine, verdictsKeepTheirEvidenceInTheStore)
{
    const CrashVerdict verdict{bad, 5, 4, 1234567890123, "n2"};
    cr_assert(decodeCrashVerdict(bad, encode(verdict)) == verdict);
}
