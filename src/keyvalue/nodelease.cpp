#include "keyvalue/nodelease.h"

#include "http/eventloop.h"

namespace Gypsumtally
{

namespace
{

constexpr Duration retryDelay = std::chrono::milliseconds{500};
constexpr int renewalsPerTtl = 3;

} // namespace

NodeLease::NodeLease(Http::EventLoop &loop, KeyValueClient &store, std::chrono::seconds ttl,
                     std::function<void(LeaseId)> onLease)
    : m_loop(loop)
    , m_store(store)
    , m_ttl(ttl)
    , m_onLease(std::move(onLease))
{
}

void NodeLease::start()
{
    grant();
}

void NodeLease::release()
{
    m_released = true;
    if (m_lease != 0)
        m_store.revoke(m_lease);
    m_lease = 0;
}

LeaseId NodeLease::id() const
{
    return m_lease;
}

void NodeLease::grant()
{
    if (m_released)
        return;
    m_store.grantLease(m_ttl.count(), [this](std::optional<LeaseId> lease) {
        if (m_released)
            return;
        if (!lease) {
            m_loop.runAfter(retryDelay, [this] { grant(); });
            return;
        }
        m_lease = *lease;
        m_onLease(m_lease);
        m_loop.runAfter(m_ttl / renewalsPerTtl, [this] { renew(); });
    });
}

void NodeLease::renew()
{
    if (m_released || m_lease == 0)
        return;
    m_store.keepAlive(m_lease, [this](std::optional<std::int64_t> secondsLeft) {
        if (m_released)
            return;
        if (secondsLeft && *secondsLeft <= 0) {
            m_lease = 0;
            grant();
            return;
        }
        const auto next = secondsLeft ? Duration{m_ttl} / renewalsPerTtl : retryDelay;
        m_loop.runAfter(next, [this] { renew(); });
    });
}

} // namespace Gypsumtally
