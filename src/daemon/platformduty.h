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

/// Speaks with the platform: the key-value service, the VM list and the weight store's catalogue. Duty's thread only.
class PlatformDuty
{
public:
    PlatformDuty(Http::EventLoop &loop, const Settings &settings, Outbox<NodeEvent> &outbox);

    /// Takes the lease and starts to watch and to poll. Call once.
    void start();

    /// Makes a call to the key-value service; ignores other actions.
    void perform(NodeAction action);

    /// Gives the lease back.
    void release();

private:
    /// What a list answered last, so that only changes are passed on.
    struct LastList {
        std::string etag;
        std::string body;
    };

    void poll(const Http::Endpoint &endpoint, const char *path, Duration interval, const LastList &last,
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
