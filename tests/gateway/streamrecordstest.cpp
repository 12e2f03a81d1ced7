#include "gateway/streamrecords.h"

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

constexpr std::int64_t wallMs = 1'700'000'000'000;

/// A store that answers at once.
struct FakeStore {
    void transact(const KeyTransaction &transaction, StoreLease, const std::function<void(KeyReply)> &onReply)
    {
        ++writes;
        if (outcome == KeyOutcome::Applied) {
            for (const auto &put : transaction.puts)
                values[put.key] = put.value;
        }
        onReply({outcome, 1, {}});
    }

    void readPrefix(const std::string &prefix, const std::function<void(KeyReply)> &onReply)
    {
        KeyReply reply{outcome, 1, {}};
        for (const auto &[key, value] : values) {
            if (key.starts_with(prefix))
                reply.values.push_back({key, value, 1});
        }
        onReply(reply);
    }

    void watch(const std::string &, Revision, Duration, const std::function<void(WatchResult)> &)
    {
    }

    void grantLease(Duration, const std::function<void(std::optional<StoreLease>)> &onLease)
    {
        ++leases;
        onLease(outcome == KeyOutcome::Applied ? std::optional<StoreLease>(leases) : std::nullopt);
    }

    void renewLease(StoreLease, const std::function<void(std::optional<bool>)> &)
    {
    }

    void endLease(StoreLease)
    {
    }

    KeyOutcome outcome = KeyOutcome::Applied;
    std::map<std::string, std::string> values;
    unsigned writes = 0;
    unsigned leases = 0;
};

class RecordsFixture
{
public:
    RecordsFixture(FakeStore &fakeStore, const std::string &node, bool recordsItself = true)
        : records(fakeStore, context, log, {"own/software/", "streams/", node},
                  [this, recordsItself](const std::vector<StreamOrigin> &streams) {
                      sent.insert(sent.end(), streams.begin(), streams.end());
                      return !recordsItself;
                  })
    {
    }

    void addUpstream(const std::string &instance, const std::string &version)
    {
        UpstreamRecord record;
        record.instance = instance;
        record.service = "s";
        record.softwareVersion = version;
        context.upstreams.onRecord(record, now);
    }

    void run(Duration time, unsigned rank = 0)
    {
        for (const auto end = now + time; now < end; now += milliseconds{50})
            records.tick(now, wallMs, rank);
    }

    Instant now = BootClock{}.now();
    CallContext context;
    Logging logging{LogLevel::Error, LogFormat::Json, "n1"};
    GatewayLog log{logging};
    std::vector<StreamOrigin> sent; ///< To the recorder.
    StreamRecords<FakeStore> records;
};

struct MixCase {
    const char *name;
    std::vector<const char *> versions;
    bool isRecorded; ///< Streams and the versions are in the store.
};

const MixCase mixes[] = {
    {"no upstream", {}, false},
    {"one version", {"v1", "v1"}, false},
    {"two versions", {"v1", "v2"}, true},
    {"a version that is not stated", {"v1", ""}, true},
};

const char *const malformed[] = {"", "[]", "{", "7"};

} // namespace

TABLE_TEST(StreamRecords, writesOnlyWhileVersionsAreMixed, mixes)
{
    FakeStore store;
    RecordsFixture node(store, "n1");
    for (std::size_t i = 0; i < row.versions.size(); ++i)
        node.addUpstream("e" + std::to_string(i), row.versions[i]);
    node.run(seconds{1});
    node.context.streams.onBegun({1, "s", "v1"}, node.now);
    node.run(seconds{10});
    cr_assert_eq(store.values.contains("own/software/s"), row.isRecorded, "%s", row.name);
    cr_assert_eq(store.values.contains("streams/n1-1"), row.isRecorded, "%s", row.name);
    cr_assert_leq(store.writes, 2U, "%s", row.name);
}

Test(StreamRecords, anotherNodeFindsTheVersionOfAStream)
{
    FakeStore store;
    RecordsFixture first(store, "n1");
    RecordsFixture second(store, "n2");
    for (auto *node : {&first, &second}) {
        node->addUpstream("e1", "v1");
        node->addUpstream("e2", "v2");
        node->run(seconds{1}, 1);
    }
    first.context.streams.onBegun({7, "s", "v2"}, first.now);
    first.run(seconds{1}, 1);
    cr_assert_not(second.context.streams.versionFor(7, "s", {}, second.now).has_value());
    bool isRead = false;
    second.records.read([&] { isRead = true; });
    cr_assert(isRead);
    cr_assert(second.context.streams.versionFor(7, "s", {}, second.now) == "v2");
}

Test(StreamRecords, aNodeSendsItsStreamsToTheRecorder)
{
    FakeStore store;
    RecordsFixture node(store, "n1", false);
    node.addUpstream("e1", "v1");
    node.addUpstream("e2", "v2");
    node.context.streams.onBegun({7, "s", "v2"}, node.now);
    node.run(seconds{1}, 1);
    cr_assert_eq(node.sent.size(), 1U);
    cr_assert_eq(store.writes, 0U);
    RecordsFixture recorder(store, "n2");
    recorder.records.record(node.sent);
    recorder.run(seconds{1}, 1);
    cr_assert_eq(decodeStreamOrigins(store.values.at("streams/n2-1")).size(), 1U);
}

Test(StreamRecords, streamsOfAnOutageAreWrittenAfterIt)
{
    FakeStore store;
    RecordsFixture node(store, "n1");
    node.addUpstream("e1", "v1");
    node.addUpstream("e2", "v2");
    store.outcome = KeyOutcome::Unavailable;
    for (StreamId id = 1; id <= 3; ++id) {
        node.context.streams.onBegun({id, "s", "v2"}, node.now);
        node.run(seconds{1}, 1);
    }
    cr_assert(store.values.empty());
    store.outcome = KeyOutcome::Applied;
    node.run(seconds{1}, 1);
    std::size_t written = 0;
    for (const auto &[key, value] : store.values)
        written += decodeStreamOrigins(value).size();
    cr_assert_eq(written, 3U);
}

Test(StreamRecords, aNodeThatStartsKnowsWhichVersionsHaveLeft)
{
    FakeStore store;
    RecordsFixture before(store, "n1");
    before.addUpstream("e1", "v1");
    before.addUpstream("e2", "v2");
    before.run(seconds{1});
    RecordsFixture after(store, "n2");
    const std::string key = "own/software/s";
    after.records.onSnapshot({{key, {key, store.values.at(key), 1}}}, after.now, wallMs);
    after.addUpstream("e2", "v2");
    after.run(seconds{1}, 1);
    cr_assert(after.context.streams.isMixed("s", after.now));
}

Test(StreamRecords, roundTrip)
{
    const std::vector<StreamOrigin> streams{{0xfedcba9876543210, "s", "v1"}, {2, "s", "v2"}, {3, "t", ""}};
    auto read = decodeStreamOrigins(encode(streams));
    cr_assert(read == streams);
    const SoftwareHistory history{{"v1", "v2"}, {{"v0", wallMs}}, {{"v1", 0}, {"v2", wallMs - 100}}};
    cr_assert(decodeSoftwareHistory(encode(history)) == history);
}

TABLE_TEST(StreamRecords, skipsMalformedRecords, malformed)
{
    cr_assert(decodeStreamOrigins(row).empty());
    cr_assert_not(decodeSoftwareHistory(row).has_value());
}
