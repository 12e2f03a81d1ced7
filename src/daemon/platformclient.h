#pragma once

#include "daemon/outbox.h"
#include "http/client.h"
#include "keyvalue/keyvalueclient.h"
#include "keyvalue/nodelease.h"
#include "keyvalue/storewatcher.h"
#include "node/events.h"
#include "settings/settings.h"

namespace Gypsumtally
{

/// Client of the platform: the key-value service, the VM list and the weight store's catalogue. Use from its I/O thread
/// only.
class PlatformClient
{
public:
    PlatformClient(Http::EventLoop &loop, const Settings &settings, Outbox<NodeEvent> &outbox);

    /// Acquires the lease and starts watching and polling. Call once.
    void start();

    /// Makes a call to the key-value service; ignores other actions.
    void perform(NodeAction action);

    /// Revokes the lease and acquires no other.
    void release();

private:
    /// Last response of a polled list, kept so that only changes are reported.
    struct ListResponse {
        std::string etag;
        std::string body;
    };

    /// Polls a list every @p interval, and calls @p onChanged with the body of each changed response.
    void poll(const Http::Endpoint &endpoint, const char *path, Duration interval, const ListResponse &last,
              const std::function<void(const std::string &body)> &onChanged);
    void pollVms();
    void pollCatalogue();

    Http::EventLoop &m_loop;
    PlatformSettings m_settings;
    Outbox<NodeEvent> &m_outbox;
    KeyValueClient m_store;
    NodeLease m_lease;
    StoreWatcher m_watcher;
    Http::Client m_client;
};

} // namespace Gypsumtally
