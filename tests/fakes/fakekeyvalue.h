#pragma once

#include "fakes/fakeserver.h"
#include "fakes/keyvaluestore.h"

#include <map>
#include <random>

namespace Gypsumtally::Fakes
{

struct KeyValueOptions {
    std::uint64_t seed = 1;
    double loseReply = 0; ///< Probability that a call takes effect but its reply is lost.
    Duration progressInterval = std::chrono::seconds{5}; ///< Between two progress notifications of a watch.
};

/// A fake of etcd v3 with its JSON API. In addition to the common control fields it accepts:
/// - `lose_reply`: the probability that a reply is lost;
/// - `lose_next`: the number of next writes whose reply is lost;
/// - `reply_delay_ms`: the time between the effect of a call and its reply;
/// - `compact`: compacts the event log up to the current revision;
/// - `cut_watches`: closes the connections of all watches.
/// Call only from the event loop's thread.
class FakeKeyValue
{
public:
    FakeKeyValue(Http::EventLoop &loop, Journal &journal, KeyValueOptions options);

    void handle(const Http::Request &request, ResponderPointer responder);
    void control(const json::object &fields);

    /// Returns the revision, the number of calls of each kind, of open watches and of leases, and the current keys.
    json::object report() const;

private:
    struct Watcher {
        ResponderPointer responder;
        KeyRange range;
        std::int64_t next = 0;
        bool wantsProgress = false;
    };

    using Outcome = std::pair<unsigned, json::object>;

    Outcome run(const std::string &path, const json::object &call);
    Outcome range(const json::object &call) const;
    Outcome put(const json::object &call);
    Outcome transaction(const json::object &call);
    Outcome grant(const json::object &call);
    Outcome keepAlive(const json::object &call);
    Outcome revoke(const json::object &call);
    bool compareHolds(const json::object &compare) const;
    std::string leaseError(const json::object &operation) const;
    json::object apply(const json::object &operation);
    json::object writePut(const json::object &call);
    json::object writeDelete(const json::object &call);
    json::object header() const;

    void watch(const json::object &call, const ResponderPointer &responder);
    void notify();
    void tick();
    void reply(ResponderPointer responder, const Outcome &outcome, bool wrote);
    bool shouldLoseReply(bool wrote);
    void cutWatches();

    Http::EventLoop &m_loop;
    Journal &m_journal;
    KeyValueOptions m_options;
    std::mt19937_64 m_random;
    KeyValueStore m_store;
    std::vector<std::shared_ptr<Watcher>> m_watchers;
    std::map<std::string, std::int64_t> m_calls;
    std::int64_t m_journaledRevision = 1;
    std::int64_t m_loseNext = 0;
    Duration m_replyDelay{};
    Instant m_lastProgress{};
    bool m_paused = false;
};

} // namespace Gypsumtally::Fakes
