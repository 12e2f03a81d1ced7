#pragma once

#include "common/spscqueue.h"
#include "daemon/outbox.h"
#include "http/eventloop.h"
#include "node/events.h"

#include <cstddef>

namespace Gypsumtally
{

/// The two rings between an I/O thread and the core thread: events to the core, actions to the I/O thread.
class CoreLink
{
public:
    static constexpr std::size_t ringCapacity = 16 * 1024;

    /// Precondition: @p ioLoop and @p coreLoop, the loops of the I/O thread and the core thread, outlive this.
    CoreLink(Http::EventLoop &ioLoop, Http::EventLoop &coreLoop, std::function<void()> onEvents,
             std::function<void()> onActions)
        : m_events(ringCapacity, [&coreLoop, onEvents = std::move(onEvents)] { coreLoop.post(onEvents); })
        , m_actions(ringCapacity, [&ioLoop, onActions = std::move(onActions)] { ioLoop.post(onActions); })
        , m_eventOutbox(m_events, ioLoop)
        , m_actionOutbox(m_actions, coreLoop)
    {
    }

    SpscQueue<NodeEvent> &events()
    {
        return m_events;
    }

    SpscQueue<NodeAction> &actions()
    {
        return m_actions;
    }

    /// Returns the outbox for events to the core. I/O thread only.
    Outbox<NodeEvent> &eventOutbox()
    {
        return m_eventOutbox;
    }

    /// Returns the outbox for actions of the I/O thread. Core thread only.
    Outbox<NodeAction> &actionOutbox()
    {
        return m_actionOutbox;
    }

private:
    SpscQueue<NodeEvent> m_events;
    SpscQueue<NodeAction> m_actions;
    Outbox<NodeEvent> m_eventOutbox;
    Outbox<NodeAction> m_actionOutbox;
};

} // namespace Gypsumtally
