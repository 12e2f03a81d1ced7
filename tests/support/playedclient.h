#pragma once

#include "relay/upstreamclient.h"

#include <deque>
#include <string>
#include <utility>

namespace Gypsumtally::Testing
{

/// A request that a PlayedClient was asked to send, whose answer the test plays.
struct PlayedSend {
    Relay::UpstreamClient::Token token = 0;
    Relay::Destination destination;
    Http::Request request;
    Relay::ExchangeObserver observer;
    bool isOpen = true;
    bool isCancelled = false;

    void begin(unsigned status, const Http::Headers &headers) const
    {
        observer.onHead({status, headers, {}});
    }

    void write(std::string_view bytes) const
    {
        if (isOpen)
            observer.onBody(bytes);
    }

    void end()
    {
        if (std::exchange(isOpen, false))
            observer.onEnd();
    }

    void fail(Relay::ExchangeFailure kind, bool sent, bool isRefused = false)
    {
        if (std::exchange(isOpen, false))
            observer.onFailure({kind, sent, "played", isRefused});
    }
};

/// An ExchangeClient without a network. Liveness checks and connections get no answer.
class PlayedClient
{
public:
    using Token = Relay::UpstreamClient::Token;

    explicit PlayedClient(Http::EventLoop &)
    {
        sends().clear();
    }

    /// Returns the sends of the latest client, in their order; references to them stay valid.
    static std::deque<PlayedSend> &sends()
    {
        static std::deque<PlayedSend> all;
        return all;
    }

    Token send(const Relay::Destination &destination, const Http::Request &request, Relay::ExchangeObserver observer,
               const Relay::SendOptions &)
    {
        if (request.target != "/alive")
            sends().push_back({++m_lastToken, destination, request, std::move(observer)});
        return m_lastToken;
    }

    Token fetch(const Relay::Destination &, const Http::Request &,
                const std::function<void(const Relay::WholeResponse &)> &, const Relay::SendOptions &)
    {
        return ++m_lastToken;
    }

    Token connect(const Relay::Destination &, const std::function<void(Relay::ConnectResult)> &,
                  const Relay::SendOptions &)
    {
        return ++m_lastToken;
    }

    void cancel(Token token)
    {
        for (auto &send : sends()) {
            if (send.token == token && std::exchange(send.isOpen, false))
                send.isCancelled = true;
        }
    }

    void connectFrom(const Http::Endpoint &)
    {
    }

    void noteRefusal(Token, const std::string &)
    {
    }

    void dropIdle(const Relay::Destination &)
    {
    }

    void sweep(Instant)
    {
    }

private:
    Token m_lastToken = 0;
};

} // namespace Gypsumtally::Testing
