#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "http/client.h"
#include "node/events.h"

#include <functional>
#include <unordered_map>

namespace Gypsumtally
{

/// Callbacks for the progress of an exchange; onEnd or onFailure ends it.
struct ExchangeObserver {
    std::function<void(unsigned status, const Http::Headers &headers)> onHead;
    std::function<void(std::string_view piece)> onPiece;
    std::function<void()> onEnd;
    std::function<void(const Http::TransportFailure &failure)> onFailure;
};

/// Collects the actions of a node's components and routes replies to the callbacks of the component that made the
/// request. Does no I/O itself. Not thread-safe.
class NodeIo
{
public:
    /// Returns the time of the event or tick that is being handled.
    Instant now() const;
    void setNow(Instant now);

    /// Appends an action.
    void emit(NodeAction action);

    /// Returns the actions collected since the last call, and clears them.
    NodeActions take();

    /// Starts an exchange. The observer must stay callable until onEnd, onFailure or cancel() is called.
    ExchangeId exchange(ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request,
                        Http::RequestOptions options, ExchangeObserver observer);

    /// Starts an exchange and passes its complete response to @p onEnd.
    ExchangeId fetch(ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request,
                     Http::RequestOptions options,
                     std::function<void(unsigned status, const Http::Headers &headers, const std::string &body)> onEnd,
                     std::function<void(const Http::TransportFailure &failure)> onFailure);

    /// Closes an exchange's connection; its observer is not called again.
    void cancel(ExchangeId id);

    /// Calls the key-value service; @p onReply is called once.
    void store(std::variant<KeyTransaction, KeyRead> operation, std::function<void(const KeyReply &)> onReply);

    // Each handle() passes an event to its callback, and ignores events of ended or cancelled exchanges.

    void handle(const ExchangeHead &event);
    void handle(const ExchangePiece &event);
    void handle(const ExchangeEnded &event);
    void handle(const ExchangeFailed &event);
    void handle(const KeyReplied &event);

    /// Returns the number of exchanges and calls to the key-value service that are in flight.
    std::size_t pending() const;

private:
    struct Exchange {
        ExchangeTarget target = ExchangeTarget::Upstream;
        ExchangeObserver observer;
    };

    Instant m_now{};
    NodeActions m_actions;
    ExchangeId m_lastExchange = 0;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::uint64_t m_lastTag = 0;
    std::unordered_map<std::uint64_t, std::function<void(const KeyReply &)>> m_storeCalls;
};

} // namespace Gypsumtally
