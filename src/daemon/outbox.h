#pragma once

#include "common/spscqueue.h"
#include "http/eventloop.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace Gypsumtally
{

/// Sending side of a ring. Items that do not fit are queued in order and pushed after retryDelay. The producer sheds
/// new work while waiting() is not zero, so that the queue holds only items of work already accepted. Producer's thread
/// only.
template<typename T>
class Outbox
{
public:
    /// Preconditions: @p ring outlives this, and @p loop is the producer's.
    Outbox(SpscQueue<T> &ring, Http::EventLoop &loop)
        : m_ring(ring)
        , m_loop(loop)
    {
    }

    /// Sends @p item after all earlier items.
    void send(T item)
    {
        m_waiting.push_back(std::move(item));
        flush();
    }

    /// Returns the number of items that wait for space in the ring.
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    static constexpr Duration retryDelay = std::chrono::milliseconds{1};

    void flush()
    {
        while (!m_waiting.empty() && m_ring.free() > 0) {
            m_ring.push(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
        if (m_waiting.empty() || m_retrying)
            return;
        m_retrying = true;
        m_loop.runAfter(retryDelay, [this] {
            m_retrying = false;
            flush();
        });
    }

    SpscQueue<T> &m_ring;
    Http::EventLoop &m_loop;
    std::deque<T> m_waiting;
    bool m_retrying = false;
};

} // namespace Gypsumtally
