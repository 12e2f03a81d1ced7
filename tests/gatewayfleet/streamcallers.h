#pragma once

#include "common/clock.h"
#include "http/eventloop.h"
#include "relay/upstreamclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// A node that callers may use, and the id of a request to it.
struct CallerTarget {
    Http::Endpoint endpoint;
    std::string requestId;
    bool isInTouch = true; ///< The users' rules bind it.
};

/// Callers of streams, who take a stream up again, at any node, when it breaks off. Use only on the event loop's
/// thread.
class StreamCallers
{
public:
    struct Tally {
        unsigned begun = 0; ///< New streams that brought an event, at nodes in touch.
        unsigned sent = 0; ///< New streams, at nodes in touch.
        unsigned resumed = 0; ///< Streams taken up that brought a further event, at nodes in touch.
        unsigned takenUp = 0; ///< Streams taken up, at nodes in touch.
        unsigned whole = 0; ///< Streams that callers got to the end.
        unsigned refusedTakeUps = 0; ///< With a promise that nothing has run, at any node.
        unsigned lateRefusals = 0; ///< Of take-ups, after half of the caller's time.
    };

    /// Selects a node for a request of a stream whose events came from the given software versions; nothing if none is
    /// open.
    using Draw = std::function<std::optional<CallerTarget>(const std::set<std::string> &versions)>;

    StreamCallers(Http::EventLoop &loop, Relay::UpstreamClient &client, Draw draw);

    /// Sends a new stream of @p adapter.
    void start(const std::string &adapter);

    /// Breaks off streams whose events have stopped, so that their callers take them up. Call it several times per
    /// second.
    void sweep(Instant now);

    /// Returns what callers got, and forgets it.
    Tally takeTally();

    /// Returns a description of each stream with events that are missing or came twice, or that ended too early.
    std::vector<std::string> problems() const;

    /// Returns the number of streams with events of two software versions.
    unsigned joinedStreams() const
    {
        return m_joined;
    }

private:
    struct Stream {
        std::string adapter;
        std::string firstId; ///< Id of the request that brought the first event; empty before.
        unsigned lastEvent = 0;
        std::set<std::string> versions; ///< That its events came from.
        unsigned tries = 0;
        Instant deadline{};
        std::string partial; ///< Bytes of the current answer that are no whole event yet.
        bool isInTouch = true; ///< The node of the current request is.
        unsigned eventsBefore = 0; ///< Before the current request.
        Instant sentAt{};
        unsigned status = 0;
        Relay::UpstreamClient::Token token = 0;
        Instant lastBytesAt{};
        bool isWaiting = false; ///< For an answer, or for the rest of it.
    };
    using StreamPtr = std::shared_ptr<Stream>;

    void send(const StreamPtr &stream);
    void onBytes(const StreamPtr &stream, const std::string &id, std::string_view bytes);
    void onEvent(Stream &stream, const std::string &id, const std::string &event);
    void onOver(const StreamPtr &stream, bool isWhole);
    void count(const Stream &stream);

    Http::EventLoop &m_loop;
    Relay::UpstreamClient &m_client;
    Draw m_draw;
    Tally m_tally;
    unsigned m_joined = 0;
    std::vector<std::weak_ptr<Stream>> m_streams;
    std::vector<std::string> m_problems;
};

} // namespace Gypsumtally::GatewayFleet
