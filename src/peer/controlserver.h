#pragma once

#include "common/enumtable.h"
#include "http/server.h"
#include "peer/controlreply.h"
#include "peer/peerkeys.h"

#include <functional>
#include <memory>
#include <string>

namespace Gypsumtally
{

/// Role of the caller of a control method, derived from the key that the call carries.
enum class ControlRole {
    Peer,
    Operator,
};

template<>
inline constexpr EnumTable<ControlRole, 2> enumNames<ControlRole>{{
    {ControlRole::Peer, "peer"},
    {ControlRole::Operator, "operator"},
}};

/// HTTP path of control calls on the peers' listener.
inline constexpr const char *controlPath = "/control";

/// Serves JSON-RPC 2.0 calls. Not thread-safe: methods, calls and replies belong to one thread.
class ControlServer
{
public:
    using Answer = std::function<void(ControlReply reply)>;
    /// Calls @p answer exactly once, before it returns or later. If it throws, the call fails with InvalidParams.
    using Handler = std::function<void(const boost::json::value &params, Answer answer)>;

    ControlServer();
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /// Adds a method for callers of @p role. Precondition: no method of that name was added.
    void add(const std::string &method, ControlRole role, Handler handler);

    /// Adds a method whose handler returns the reply.
    void addImmediate(const std::string &method, ControlRole role,
                      std::function<ControlReply(const boost::json::value &params)> handler);

    /// Replaces the keys that authenticate callers.
    void setKeys(PeerKeys peers, PeerKeys operators);

    /// Processes the body of a call from an authenticated caller. @p done receives the body of the response, empty if
    /// the call expects none. A reply that arrives after the server was destroyed is dropped.
    void call(const std::string &body, ControlRole role, std::function<void(std::string body)> done);

    /// Responds to an HTTP request: 405 unless it is a POST, 401 without a valid key, otherwise the result of call().
    void serve(const Http::Request &request, const std::shared_ptr<Http::Responder> &responder);

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally
