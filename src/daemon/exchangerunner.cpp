#include "daemon/exchangerunner.h"

namespace Gypsumtally
{

ExchangeRunner::ExchangeRunner(Http::EventLoop &loop, Outbox<NodeEvent> &outbox)
    : m_outbox(outbox)
    , m_client(loop)
{
}

void ExchangeRunner::perform(NodeAction action)
{
    if (auto *start = std::get_if<StartExchange>(&action)) {
        this->start(std::move(*start));
    } else if (const auto *cancel = std::get_if<CancelExchange>(&action)) {
        if (const auto token = m_tokens.extract(cancel->id))
            m_client.cancel(token.mapped());
    }
}

void ExchangeRunner::start(StartExchange action)
{
    const auto id = action.id;
    Http::ResponseObserver observer;
    observer.onHead = [this, id](unsigned status, const Http::Headers &headers) {
        m_outbox.send(ExchangeHead{id, status, headers});
    };
    observer.onBody = [this, id](std::string_view piece) { m_outbox.send(ExchangePiece{id, std::string(piece)}); };
    observer.onEnd = [this, id] {
        m_tokens.erase(id);
        m_outbox.send(ExchangeEnded{id});
    };
    observer.onFailure = [this, id](const Http::TransportFailure &failure) {
        m_tokens.erase(id);
        m_outbox.send(ExchangeFailed{id, failure});
    };
    m_tokens[id] = m_client.send(action.endpoint, std::move(action.request), std::move(observer), action.options);
}

} // namespace Gypsumtally
