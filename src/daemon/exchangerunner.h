#pragma once

#include "daemon/outbox.h"
#include "http/client.h"
#include "node/events.h"

#include <unordered_map>

namespace Gypsumtally
{

/// Performs the core's HTTP exchanges with upstreams or peers. Use from its I/O thread only.
class ExchangeRunner
{
public:
    ExchangeRunner(Http::EventLoop &loop, Outbox<NodeEvent> &outbox);

    /// Starts or cancels an exchange; ignores other actions.
    void perform(NodeAction action);

private:
    void start(StartExchange action);

    Outbox<NodeEvent> &m_outbox;
    Http::Client m_client;
    std::unordered_map<ExchangeId, Http::Client::Token> m_tokens;
};

} // namespace Gypsumtally
