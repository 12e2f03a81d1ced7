#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace Gypsumtally
{

/// A bounded single-producer, single-consumer queue. One thread pushes, another one drains.
template<typename T>
class SpscQueue
{
public:
    /// Creates a queue of @p capacity items. @p wake notifies the consumer that items are queued; it is called on the
    /// producer's thread, and not again until the consumer calls drain(). Precondition: @p capacity is positive.
    SpscQueue(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    SpscQueue(const SpscQueue &) = delete;
    SpscQueue &operator=(const SpscQueue &) = delete;

    ~SpscQueue()
    {
        m_queue.consume_all([](T *item) { std::unique_ptr<T>{item}; });
    }

    /// Appends @p item; returns false and drops it if the queue is full. Producer's thread only.
    bool push(T item)
    {
        auto owned = std::make_unique<T>(std::move(item));
        if (!m_queue.push(owned.get()))
            return false;
        static_cast<void>(owned.release());
        if (!m_signalled.exchange(true))
            m_wake();
        return true;
    }

    /// Calls @p consume with each queued item, oldest first, and returns their number. Consumer's thread only.
    template<std::invocable<T> Consume>
    std::size_t drain(Consume &&consume)
    {
        m_signalled.store(false);
        return m_queue.consume_all([&](T *item) {
            const std::unique_ptr<T> owned{item};
            consume(std::move(*owned));
        });
    }

    /// Returns the number of items that fit into the queue now. Producer's thread only.
    std::size_t free() const
    {
        return m_queue.write_available();
    }

private:
    boost::lockfree::spsc_queue<T *> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_signalled{false};
};

} // namespace Gypsumtally
