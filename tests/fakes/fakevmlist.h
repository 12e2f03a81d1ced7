#pragma once

#include "fakes/fakeserver.h"

#include <deque>
#include <map>
#include <string>

namespace Gypsumtally::Fakes
{

/// A fake of the platform's VM list. In addition to the common control fields it accepts `upsert` (an array of VMs in
/// the format of docs/PROTOCOLS.md), `remove` (an array of VM ids) and `lag_ms`, the time until a change becomes
/// visible. Call only from the event loop's thread.
class FakeVmList
{
public:
    FakeVmList(Http::EventLoop &loop, Journal &journal, Duration lag);

    void handle(const Http::Request &request, const ResponderPointer &responder);
    void control(const json::object &fields);
    json::object report() const;

private:
    void apply(const json::object &fields);
    json::object list() const;

    Http::EventLoop &m_loop;
    Journal &m_journal;
    Duration m_lag;
    std::map<std::string, json::object> m_vms;
};

} // namespace Gypsumtally::Fakes
