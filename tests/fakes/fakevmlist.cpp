#include "fakes/fakevmlist.h"

namespace Gypsumtally::Fakes
{

FakeVmList::FakeVmList(Http::EventLoop &loop, Journal &journal, Duration lag)
    : m_loop(loop)
    , m_journal(journal)
    , m_lag(lag)
{
}

void FakeVmList::handle(const Http::Request &request, const ResponderPointer &responder)
{
    if (request.path() != "/v1/vms")
        responder->respond(refusal(404, "unknown_route"));
    else
        responder->respond(jsonResponse(200, list()));
}

void FakeVmList::control(const json::object &fields)
{
    m_lag = std::chrono::milliseconds{integerAt(fields, "lag_ms", m_lag / std::chrono::milliseconds{1})};
    if (!fields.contains("upsert") && !fields.contains("remove"))
        return;
    m_journal.record("change", fields);
    if (m_lag == Duration::zero())
        apply(fields);
    else
        m_loop.runAfter(m_lag, [this, fields] { apply(fields); });
}

void FakeVmList::apply(const json::object &fields)
{
    if (const auto *vms = fields.if_contains("upsert")) {
        for (const auto &vm : vms->as_array())
            m_vms[textAt(vm.as_object(), "id")] = vm.as_object();
    }
    if (const auto *ids = fields.if_contains("remove")) {
        for (const auto &id : ids->as_array())
            m_vms.erase(std::string(id.as_string()));
    }
}

json::object FakeVmList::list() const
{
    json::array vms;
    for (const auto &[id, vm] : m_vms)
        vms.emplace_back(vm);
    return {{"vms", std::move(vms)}};
}

json::object FakeVmList::report() const
{
    return list();
}

} // namespace Gypsumtally::Fakes
