#pragma once

#include "common/clock.h"
#include "daemon/outbox.h"
#include "http/server.h"
#include "node/events.h"

#include <functional>
#include <memory>
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

    /// @p authenticate returns the owner of a token; it is not used for callers, who need no token.
    RequestServer(Http::EventLoop &loop, Audience audience, const Http::ServerLimits &limits, Outbox<NodeEvent> &outbox,
                  Authenticate authenticate);

    /// Listens on @p endpoint and returns the port. Throws std::system_error if the address can't be bound.
    std::uint16_t listen(const Http::Endpoint &endpoint);

    /// Sends an answer of the core; ignores other actions.
    void perform(NodeAction action);

    /// Stops accepting connections and closes each open one when its answer has ended.
    void drain();

private:
    void received(Http::Request request, const std::shared_ptr<Http::Responder> &responder);
    void receivedFromCaller(Http::Request request, const std::shared_ptr<Http::Responder> &responder);
    void receivedFromPeer(Http::Request request, const std::shared_ptr<Http::Responder> &responder);
    void takeCall(std::variant<ParsedCall, Failure> result, const std::shared_ptr<Http::Responder> &responder);
    CallId registerResponder(const std::shared_ptr<Http::Responder> &responder);
    bool shedIfFull(const std::shared_ptr<Http::Responder> &responder);

    void reply(ReplyWhole &&action);
    void reply(ReplyBegin &&action);
    void reply(ReplyPiece &&action);
    void reply(ReplyEnd &&action);

    Audience m_audience;
    Outbox<NodeEvent> &m_outbox;
    Authenticate m_authenticate;
    SteadyClock m_clock;
    std::unordered_map<CallId, std::shared_ptr<Http::Responder>> m_responders;
    std::uint64_t m_calls = 0;
    Http::Server m_server;
};

} // namespace Gypsumtally
