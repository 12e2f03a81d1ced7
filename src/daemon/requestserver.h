#pragma once

#include "budget/memorybudget.h"
#include "common/clock.h"
#include "daemon/outbox.h"
#include "node/events.h"
#include "relay/callerserver.h"
#include "settings/settings.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Gypsumtally
{

/// Owner of a bearer token.
enum class Bearer {
    Nobody,
    Peer,
    Operator,
};

/// What each client of a listener may send and keep open.
struct ListenerLimits {
    Relay::RequestLimits requests;
    std::size_t connections = 0;
    std::size_t unsentBytes = 0; ///< Of the answers on one connection.
};

/// HTTP server for callers, or for peers and operators: checks requests, passes them to the core and sends its answers.
/// Use from its I/O thread only.
class RequestServer
{
public:
    enum class Audience {
        Callers,
        Peers,
    };

    using Authenticate = std::function<Bearer(std::string_view token)>;

    /// @p memory limits what all clients hold together. It must outlive @p loop, whose tasks hold connections.
    /// @p authenticate returns the owner of a token; it is not used for callers, who need no token.
    RequestServer(Http::EventLoop &loop, Audience audience, const ListenerLimits &limits, Budget::MemoryBudget &memory,
                  Outbox<NodeEvent> &outbox, Authenticate authenticate);

    /// Listens on @p endpoint and returns the port. Throws std::system_error if the address can't be bound.
    std::uint16_t listen(const Http::Endpoint &endpoint);

    /// Sends an answer of the core; ignores other actions.
    void perform(NodeAction action);

    /// Stops accepting connections and closes each open one when its answer has ended.
    void drain();

    /// Refuses requests that have arrived in part, as the process ends. Precondition: drain() was called.
    void refuseRest();

private:
    using Exchange = std::shared_ptr<Relay::CallerExchange>;

    Relay::CallerServerSettings serverSettings(const ListenerLimits &limits);
    std::optional<Http::Response> checkPeerHead(const Http::Request &head) const;
    void received(const Exchange &exchange);
    void receivedFromCaller(Http::Request request, const Exchange &exchange);
    void receivedFromPeer(Http::Request request, const Exchange &exchange);
    void takeCall(std::variant<ParsedCall, Failure> result, const Exchange &exchange);
    CallId registerExchange(const Exchange &exchange);
    void abandon(CallId id, std::size_t bodyBytes);
    bool shedIfFull(const Exchange &exchange);
    void tick();
    void reportLosses();

    void reply(ReplyWhole &&action);
    void reply(ReplyBegin &&action);
    void reply(ReplyPiece &&action);
    void reply(ReplyEnd &&action);

    Http::EventLoop &m_loop;
    Audience m_audience;
    Outbox<NodeEvent> &m_outbox;
    Authenticate m_authenticate;
    SteadyClock m_clock;
    Budget::MemoryBudget &m_memory;
    std::uint64_t m_calls = 0;
    std::uint64_t m_ticks = 0;
    Relay::CallerLosses m_reported; ///< Losses that were reported to the core.
    std::map<Relay::UnansweredCause, std::uint64_t> m_unanswered; ///< Requests that were not.
    Relay::CallerServer m_server;
    std::unordered_map<CallId, Exchange> m_exchanges;
    /// Memory of calls that go on although their callers have disconnected.
    std::unordered_map<CallId, std::unique_ptr<Budget::MemoryShare>> m_abandoned;
};

} // namespace Gypsumtally
