#pragma once

#include "common/clock.h"
#include "http/eventloop.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// Callers that write several requests at once on one connection, and may reset it before all answers are there. Use
/// only on the event loop's thread.
class PipeliningCallers
{
public:
    /// @p onUnanswered is called with the id of the first request without an answer on a connection that its node has
    /// closed, and with the time at which the requests were sent.
    PipeliningCallers(Http::EventLoop &loop, std::function<void(const std::string &id, Instant sentAt)> onUnanswered);

    /// Sends POST requests for @p path to @p node, with the ids @p ids.
    void send(const Http::Endpoint &node, const std::string &path, const std::vector<std::string> &ids);

    /// Sends requests as send() does, and resets the connection after @p time.
    void sendAndReset(const Http::Endpoint &node, const std::string &path, const std::vector<std::string> &ids,
                      Duration time);

    /// Returns a description of each connection on which answers came out of turn or to other requests.
    const std::vector<std::string> &problems() const
    {
        return m_problems;
    }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr open(const Http::Endpoint &node, const std::string &path, const std::vector<std::string> &ids);
    void read(const ConnectionPtr &connection);
    void checkAnswers(const Connection &connection);
    void onClosed(const Connection &connection);

    Http::EventLoop &m_loop;
    std::function<void(const std::string &id, Instant sentAt)> m_onUnanswered;
    std::vector<std::string> m_problems;
};

} // namespace Gypsumtally::GatewayFleet
