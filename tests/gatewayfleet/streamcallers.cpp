#include "gatewayfleet/streamcallers.h"

#include <cstdlib>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace
{

constexpr unsigned eventsOfStream = 6;
constexpr unsigned maxTries = 5;
constexpr Duration timeout = std::chrono::seconds{12};
constexpr Duration longestGap = std::chrono::seconds{2}; ///< Between events, before a caller gives up the answer.
constexpr Duration retryPause = std::chrono::milliseconds{300};

bool promisesNotRun(unsigned status)
{
    return status == 429 || status == 503;
}

} // namespace

StreamCallers::StreamCallers(Http::EventLoop &loop, Relay::UpstreamClient &client, Draw draw)
    : m_loop(loop)
    , m_client(client)
    , m_draw(std::move(draw))
{
}

void StreamCallers::start(const std::string &adapter)
{
    auto stream = std::make_shared<Stream>();
    stream->adapter = adapter;
    stream->deadline = BootClock{}.now() + timeout;
    m_streams.emplace_back(stream);
    send(stream);
}

void StreamCallers::send(const StreamPtr &stream)
{
    const auto now = BootClock{}.now();
    const auto target = m_draw(stream->versions);
    if (now >= stream->deadline || stream->tries >= maxTries)
        return;
    if (!target) {
        m_loop.runAfter(retryPause, [this, stream] { send(stream); });
        return;
    }
    ++stream->tries;
    stream->partial.clear();
    stream->isInTouch = target->isInTouch;
    stream->eventsBefore = stream->lastEvent;
    stream->sentAt = now;
    stream->status = 0;
    stream->lastBytesAt = now;
    stream->isWaiting = true;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(stream->deadline - now);
    Http::Request request{"POST",
                          "/stream/1",
                          {{"Host", "h"},
                           {"X-Request-Id", target->requestId},
                           {"X-Timeout-Ms", std::to_string(left.count())},
                           {"X-Model", stream->adapter},
                           {"X-Token-Count", "200,18"}},
                          {}};
    if (!stream->firstId.empty()) {
        request.headers.add("Last-Event-Id", std::to_string(stream->lastEvent));
        request.headers.add("Resumes", stream->firstId);
    }
    Relay::SendOptions options;
    options.connectTimeout = std::chrono::seconds{1};
    options.timeout = stream->deadline - now;
    Relay::ExchangeObserver observer;
    observer.onHead = [stream](const Relay::ResponseHead &head) { stream->status = head.status; };
    observer.onBody = [this, stream, id = target->requestId](std::string_view bytes) { onBytes(stream, id, bytes); };
    observer.onEnd = [this, stream] { onOver(stream, true); };
    observer.onFailure = [this, stream](const Relay::FailedExchange &) { onOver(stream, false); };
    stream->token = m_client.send({target->endpoint, {}}, request, std::move(observer), options);
}

void StreamCallers::onBytes(const StreamPtr &stream, const std::string &id, std::string_view bytes)
{
    stream->lastBytesAt = BootClock{}.now();
    if (stream->status != 200)
        return;
    stream->partial += bytes;
    for (auto end = stream->partial.find("\n\n"); end != std::string::npos; end = stream->partial.find("\n\n")) {
        onEvent(*stream, id, stream->partial.substr(0, end));
        stream->partial.erase(0, end + 2);
    }
}

void StreamCallers::onEvent(Stream &stream, const std::string &id, const std::string &event)
{
    const auto number = static_cast<unsigned>(std::strtoul(event.c_str() + event.find("id: ") + 4, nullptr, 10));
    const auto version = event.substr(event.find("data: ") + 6);
    if (number != stream.lastEvent + 1)
        m_problems.push_back(id + " got event " + std::to_string(number) + " after "
                             + std::to_string(stream.lastEvent));
    if (stream.firstId.empty())
        stream.firstId = id;
    stream.lastEvent = number;
    stream.versions.insert(version);
}

void StreamCallers::onOver(const StreamPtr &stream, bool isWhole)
{
    stream->isWaiting = false;
    count(*stream);
    const bool isComplete = isWhole && stream->status == 200;
    if (isComplete && stream->lastEvent != eventsOfStream)
        m_problems.push_back(stream->firstId + " ended after " + std::to_string(stream->lastEvent) + " events");
    if (isComplete)
        ++m_tally.whole;
    const bool isOver = isComplete || BootClock{}.now() >= stream->deadline || stream->tries >= maxTries;
    if (!isOver)
        return m_loop.runAfter(stream->status == 0 || stream->status == 200 ? Duration{} : retryPause,
                               [this, stream] { send(stream); });
    if (stream->versions.size() > 1)
        ++m_joined;
}

void StreamCallers::count(const Stream &stream)
{
    const bool isTakeUp = stream.eventsBefore > 0;
    const bool hasEvents = stream.lastEvent > stream.eventsBefore;
    if (isTakeUp && promisesNotRun(stream.status)) {
        ++m_tally.refusedTakeUps;
        if (BootClock{}.now() - stream.sentAt > (stream.deadline - stream.sentAt) / 2)
            ++m_tally.lateRefusals;
    }
    if (!stream.isInTouch)
        return;
    ++(isTakeUp ? m_tally.takenUp : m_tally.sent);
    if (hasEvents)
        ++(isTakeUp ? m_tally.resumed : m_tally.begun);
}

void StreamCallers::sweep(Instant now)
{
    std::erase_if(m_streams, [](const auto &each) { return each.expired(); });
    for (const auto &each : std::vector(m_streams)) {
        const auto stream = each.lock();
        if (!stream || !stream->isWaiting || stream->lastEvent == 0 || now - stream->lastBytesAt <= longestGap)
            continue;
        m_client.cancel(stream->token);
        onOver(stream, false);
    }
}

StreamCallers::Tally StreamCallers::takeTally()
{
    return std::exchange(m_tally, {});
}

std::vector<std::string> StreamCallers::problems() const
{
    return m_problems;
}

} // namespace Gypsumtally::GatewayFleet
