#pragma once

#include "http/client.h"
#include "peer/controlreply.h"

#include <functional>
#include <string>

namespace Gypsumtally
{

/// Returns the HTTP request of a control call, authenticated with @p key. @p params is a JSON object or array; throws
/// std::invalid_argument if it is neither. Thread-safe.
Http::Request controlRequest(const std::string &key, const std::string &method, const std::string &params);

/// Converts the complete HTTP response to a control call, or the failure to get one, to a reply. Thread-safe.
ControlReply readControlReply(unsigned status, const std::string &body);
ControlReply readControlReply(const Http::TransportFailure &failure);

/// Calls a control method of a daemon and waits for the reply. Thread-safe; blocks.
ControlReply callControl(const Http::Endpoint &endpoint, const std::string &key, const std::string &method,
                         const boost::json::value &params, Http::RequestOptions options = {});

/// Calls control methods of peers without blocking. Use only on the event loop's thread.
class ControlClient
{
public:
    using Callback = std::function<void(ControlReply reply)>;

    /// @p client must outlive this object. @p key is called for each call and returns the key to send, so that the key
    /// can be replaced.
    ControlClient(Http::Client &client, std::function<std::string()> key);

    /// Calls @p method. @p done is called once, from the loop, unless the call is cancelled.
    Http::Client::Token call(const Http::Endpoint &endpoint, const std::string &method,
                             const boost::json::value &params, Callback done, Http::RequestOptions options = {});

    /// Cancels a call; its callback is not called.
    void cancel(Http::Client::Token token);

private:
    Http::Client &m_client;
    std::function<std::string()> m_key;
};

} // namespace Gypsumtally
