#pragma once

#include "keyvalue/keyvalueclient.h"

#include <functional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// All watched keys at one revision. Keys that it leaves out do not exist.
struct StoreSnapshot {
    Revision revision = 0;
    std::vector<KeyValue> values;
};

/// Follows a range of keys: a snapshot first, then every change; a new snapshot after each break. One watch, so that
/// the service counts one call for it. Loop's thread only.
class StoreWatcher
{
public:
    struct Observer {
        std::function<void(StoreSnapshot)> onSnapshot;
        std::function<void(std::vector<StoreChange>, Revision)> onChanges;
        std::function<void(bool connected)> onConnection;
    };

    StoreWatcher(Http::EventLoop &loop, KeyValueClient &store, std::string first, std::string end, Observer observer);

    /// Starts to follow. Call once.
    void start();

private:
    void read();
    void follow(Revision from);
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
