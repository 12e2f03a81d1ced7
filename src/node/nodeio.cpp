#include "node/nodeio.h"

#include <memory>
#include <utility>

namespace Gypsumtally
{

Instant NodeIo::now() const
{
    return m_now;
}

void NodeIo::setNow(Instant now)
{
    m_now = now;
}

void NodeIo::emit(NodeAction action)
{
    m_actions.push_back(std::move(action));
}

NodeActions NodeIo::take()
{
    return std::exchange(m_actions, {});
}

ExchangeId NodeIo::exchange(ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request,
                            Http::RequestOptions options, ExchangeObserver observer)
{
    const auto id = ++m_lastExchange;
    m_exchanges.emplace(id, Exchange{target, std::move(observer)});
    emit(StartExchange{id, target, endpoint, std::move(request), options});
    return id;
}

ExchangeId NodeIo::fetch(ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request,
                         Http::RequestOptions options,
                         std::function<void(unsigned, const Http::Headers &, const std::string &)> onEnd,
                         std::function<void(const Http::TransportFailure &)> onFailure)
{
    auto response = std::make_shared<Http::Response>();
    ExchangeObserver observer;
    observer.onHead = [response](unsigned status, const Http::Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    observer.onPiece = [response](std::string_view piece) { response->body += piece; };
    observer.onEnd
        = [response, onEnd = std::move(onEnd)] { onEnd(response->status, response->headers, response->body); };
    observer.onFailure = std::move(onFailure);
    return exchange(target, endpoint, std::move(request), options, std::move(observer));
}

void NodeIo::cancel(ExchangeId id)
{
    if (const auto found = m_exchanges.extract(id))
        emit(CancelExchange{id, found.mapped().target});
}

void NodeIo::store(std::variant<KeyTransaction, KeyRead> operation, std::function<void(const KeyReply &)> onReply)
{
    const auto tag = ++m_lastTag;
    m_storeCalls.emplace(tag, std::move(onReply));
    emit(CallStore{{tag, std::move(operation)}});
}

void NodeIo::handle(const ExchangeHead &event)
{
    const auto found = m_exchanges.find(event.id);
    if (found == m_exchanges.end() || !found->second.observer.onHead)
        return;
    const auto onHead = found->second.observer.onHead;
    onHead(event.status, event.headers);
}

void NodeIo::handle(const ExchangePiece &event)
{
    const auto found = m_exchanges.find(event.id);
    if (found == m_exchanges.end() || !found->second.observer.onPiece)
        return;
    const auto onPiece = found->second.observer.onPiece;
    onPiece(event.bytes);
}

void NodeIo::handle(const ExchangeEnded &event)
{
    if (const auto found = m_exchanges.extract(event.id); found && found.mapped().observer.onEnd)
        found.mapped().observer.onEnd();
}

void NodeIo::handle(const ExchangeFailed &event)
{
    if (const auto found = m_exchanges.extract(event.id); found && found.mapped().observer.onFailure)
        found.mapped().observer.onFailure(event.failure);
}

void NodeIo::handle(const KeyReplied &event)
{
    if (const auto found = m_storeCalls.extract(event.tag))
        found.mapped()(event.reply);
}

std::size_t NodeIo::pending() const
{
    return m_exchanges.size() + m_storeCalls.size();
}

} // namespace Gypsumtally
