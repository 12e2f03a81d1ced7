#include "daemon/platformclient.h"

#include "http/eventloop.h"

#include <memory>

namespace Gypsumtally
{

namespace
{

constexpr Duration storeTimeout = std::chrono::seconds{2};
constexpr Duration listTimeout = std::chrono::seconds{2};
constexpr Duration vmPollInterval = std::chrono::seconds{1};
constexpr Duration cataloguePollInterval = std::chrono::seconds{5};
constexpr unsigned httpOk = 200;

// Claims sort before these keys and are not watched: only the node that requests a claim needs it.
constexpr char firstWatchedKey[] = "/gypsumtally/configuration";
constexpr char watchedKeysEnd[] = "/gypsumtally/v";

std::chrono::seconds wholeSeconds(Duration duration)
{
    return std::max(std::chrono::seconds{1}, std::chrono::ceil<std::chrono::seconds>(duration));
}

} // namespace

PlatformClient::PlatformClient(Http::EventLoop &loop, const Settings &settings, Outbox<NodeEvent> &outbox)
    : m_loop(loop)
    , m_settings(settings.platform)
    , m_outbox(outbox)
    , m_store(loop, settings.platform.keyValue, storeTimeout)
    , m_lease(loop, m_store, wholeSeconds(settings.leaseTtl),
              [this](LeaseId lease) { m_outbox.send(LeaseTaken{lease}); })
    , m_watcher(loop, m_store, firstWatchedKey, watchedKeysEnd,
                {[this](StoreSnapshot snapshot) { m_outbox.send(StoreListed{std::move(snapshot)}); },
                 [this](std::vector<StoreChange> changes, Revision revision) {
                     m_outbox.send(StoreChanged{std::move(changes), revision});
                 },
                 [this](bool connected) { m_outbox.send(StoreConnection{connected}); }})
    , m_client(loop)
{
}

void PlatformClient::start()
{
    m_lease.start();
    m_watcher.start();
    pollVms();
    pollCatalogue();
}

void PlatformClient::perform(NodeAction action)
{
    const auto *call = std::get_if<CallStore>(&action);
    if (!call)
        return;
    const auto tag = call->call.tag;
    m_store.call(call->call, m_lease.id(), [this, tag](KeyReply reply) {
        m_outbox.send(KeyReplied{tag, std::move(reply)});
    });
}

void PlatformClient::release()
{
    m_lease.release();
}

void PlatformClient::pollVms()
{
    poll(m_settings.vmList, "/v1/vms", vmPollInterval, {}, [this](const std::string &body) {
        if (auto vms = parseVmList(body))
            m_outbox.send(VmsListed{std::move(*vms)});
    });
}

void PlatformClient::pollCatalogue()
{
    poll(m_settings.weightStore, "/v1/catalogue", cataloguePollInterval, {}, [this](const std::string &body) {
        if (auto catalogue = parseCatalogue(body))
            m_outbox.send(CatalogueListed{std::move(catalogue->adapters)});
    });
}

void PlatformClient::poll(const Http::Endpoint &endpoint, const char *path, Duration interval, const ListResponse &last,
                          const std::function<void(const std::string &body)> &onChanged)
{
    struct State {
        unsigned status = 0;
        ListResponse list;
    };
    auto state = std::make_shared<State>();
    const auto again = [this, endpoint, path, interval, onChanged](const ListResponse &latest) {
        m_loop.runAfter(interval, [this, endpoint, path, interval, onChanged, latest] {
            poll(endpoint, path, interval, latest, onChanged);
        });
    };
    Http::ResponseObserver observer;
    observer.onHead = [state](unsigned status, const Http::Headers &headers) {
        state->status = status;
        state->list.etag = std::string(headers.get("ETag"));
    };
    observer.onBody = [state](std::string_view piece) { state->list.body += piece; };
    observer.onEnd = [state, again, onChanged, last] {
        const bool isChanged = state->status == httpOk && state->list.body != last.body;
        if (isChanged)
            onChanged(state->list.body);
        again(isChanged ? state->list : last);
    };
    observer.onFailure = [again, last](const Http::TransportFailure &) { again(last); };
    Http::Request request{"GET", path, {}, {}};
    if (!last.etag.empty())
        request.headers.add("If-None-Match", last.etag);
    m_client.send(endpoint, std::move(request), std::move(observer),
                  {.connectTimeout = listTimeout, .idleTimeout = listTimeout});
}

} // namespace Gypsumtally
