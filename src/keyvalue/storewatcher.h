#pragma once

#include "keyvalue/keyvalueclient.h"

#include <functional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// All watched keys that exist at one revision.
struct StoreSnapshot {
    Revision revision = 0;
    std::vector<KeyValue> values;
};

/// Observes a range of keys: reports a snapshot first, then every change, and a new snapshot after each interruption.
/// Uses a single watch, so that the service counts one call for it. Use only on the event loop's thread.
class StoreWatcher
{
public:
    struct Observer {
        std::function<void(StoreSnapshot)> onSnapshot;
        std::function<void(std::vector<StoreChange>, Revision)> onChanges;
        std::function<void(bool connected)> onConnection;
    };

    StoreWatcher(Http::EventLoop &loop, KeyValueClient &store, std::string first, std::string end, Observer observer);

    /// Reads the first snapshot and starts the watch. Call once.
    void start();

private:
    void readSnapshot();
    void watchFrom(Revision from);
    void retryLater();

    Http::EventLoop &m_loop;
    KeyValueClient &m_store;
    std::string m_first;
    std::string m_end;
    Observer m_observer;
    bool m_connected = false;
    std::uint64_t m_generation = 0;
};

} // namespace Gypsumtally
