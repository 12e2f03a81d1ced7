#pragma once

#include "configuration/configurationkeeper.h"
#include "http/eventloop.h"
#include "http/server.h"
#include "peer/controlserver.h"

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace Gypsumtally::Testing
{

/// The faults that a FakeDaemon injects.
struct DaemonFaults {
    unsigned lostApplyReplies = 0; ///< Replies dropped after a change took effect, once version 1 is in force.
    bool storeIsDown = false;
    unsigned laggingStatusReplies = 0; ///< Number of status replies in which a node has an older version.
    bool streamIsCut = false;
};

/// A fake of a daemon's control and callers interfaces on one loopback port, with an in-memory key-value service.
class FakeDaemon
{
public:
    static constexpr const char *operatorToken = "operator-token-0123456789";

    explicit FakeDaemon(DaemonFaults faults);
    ~FakeDaemon();
    FakeDaemon(const FakeDaemon &) = delete;
    FakeDaemon &operator=(const FakeDaemon &) = delete;

    /// Returns `IP:PORT`.
    std::string address() const;

private:
    void addConfigurationMethods();
    void addMethods();
    void serve(const Http::Request &request, const std::shared_ptr<Http::Responder> &responder);
    void complete(const std::shared_ptr<Http::Responder> &responder) const;
    void perform(const ConfigurationActionList &actions);
    KeyReply execute(const KeyCall &call);
    ControlReply status();

    DaemonFaults m_faults;
    Http::EventLoop m_loop;
    ControlServer m_control;
    ConfigurationKeeper m_keeper;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, ControlServer::Answer> m_answers; ///< Answers to changes in progress, by request number.
    std::vector<KeyValue> m_store;
    Revision m_revision = 0;
    Http::Server m_http;
    std::uint16_t m_port;
    std::thread m_thread;
};

} // namespace Gypsumtally::Testing
