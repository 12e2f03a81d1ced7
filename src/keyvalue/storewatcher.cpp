#include "keyvalue/storewatcher.h"

#include "http/eventloop.h"

namespace Gypsumtally
{

namespace
{

constexpr Duration retryDelay = std::chrono::milliseconds{500};

} // namespace

StoreWatcher::StoreWatcher(Http::EventLoop &loop, KeyValueClient &store, std::string first, std::string end,
                           Observer observer)
    : m_loop(loop)
    , m_store(store)
    , m_first(std::move(first))
    , m_end(std::move(end))
    , m_observer(std::move(observer))
{
}

void StoreWatcher::start()
{
    readSnapshot();
}

void StoreWatcher::readSnapshot()
{
    m_store.readRange(m_first, m_end, [this](KeyReply reply) {
        if (reply.outcome != KeyOutcome::Applied) {
            retryLater();
            return;
        }
        if (!m_connected) {
            m_connected = true;
            m_observer.onConnection(true);
        }
        const auto revision = reply.revision;
        m_observer.onSnapshot({revision, std::move(reply.values)});
        watchFrom(revision + 1);
    });
}

void StoreWatcher::watchFrom(Revision from)
{
    const auto generation = ++m_generation;
    m_store.watch(
        m_first, m_end, from,
        [this, generation](WatchMessage message) {
            if (generation != m_generation)
                return;
            if (message.cancelled) {
                ++m_generation;
                retryLater();
            } else if (!message.changes.empty()) {
                m_observer.onChanges(std::move(message.changes), message.revision);
            }
        },
        [this, generation] {
            if (generation == m_generation)
                retryLater();
        });
}

void StoreWatcher::retryLater()
{
    if (m_connected) {
        m_connected = false;
        m_observer.onConnection(false);
    }
    m_loop.runAfter(retryDelay, [this] { readSnapshot(); });
}

} // namespace Gypsumtally
