#include "fakes/fakeservice.h"

#include <cstdlib>

namespace Gypsumtally::Fakes
{

namespace
{

constexpr std::string_view crashMarker = "CRASH-SERVICE";

std::string nameOf(const Http::Request &request)
{
    return std::string(request.path()) + ' ' + std::string(request.headers.get("Idempotency-Key"));
}

} // namespace

FakeService::FakeService(Http::EventLoop &loop, Journal &journal, bool crashOnRequest)
    : m_loop(loop)
    , m_journal(journal)
    , m_crashOnRequest(crashOnRequest)
{
}

void FakeService::handle(Http::Request request, ResponderPointer responder)
{
    if (takeFault("not_started")) {
        responder->respond(refusal(503, "not_started", {{"X-Not-Started", "true"}}));
        return;
    }
    m_journal.record("arrive", {{"call", nameOf(request)}});
    if (takeFault("hang_before")) {
        m_hanging.push_back(std::move(responder));
        return;
    }
    if (takeFault("crash_before"))
        crash(nameOf(request));
    if (m_work == Duration::zero()) {
        run(request, std::move(responder));
        return;
    }
    m_loop.runAfter(
        m_work, [this, request = std::move(request), responder = std::move(responder)] { run(request, responder); });
}

void FakeService::run(const Http::Request &request, ResponderPointer responder)
{
    const auto call = nameOf(request);
    const auto times = ++m_ran[call];
    m_journal.record("run", {{"call", call}, {"method", request.method}, {"times", times}});
    if (takeFault("crash_after") || (m_crashOnRequest && request.body.find(crashMarker) != std::string::npos))
        crash(call);
    if (takeFault("hang_after")) {
        m_hanging.push_back(std::move(responder));
        return;
    }
    responder->respond(jsonResponse(200, {{"call", call}, {"times", times}}));
}

bool FakeService::takeFault(const std::string &fault)
{
    auto &left = m_faultsLeft[fault];
    if (left == 0)
        return false;
    --left;
    return true;
}

void FakeService::crash(const std::string &call)
{
    m_journal.record("crash", {{"call", call}});
    std::_Exit(1);
}

void FakeService::control(const json::object &fields)
{
    m_work = std::chrono::milliseconds{integerAt(fields, "work_ms", m_work / std::chrono::milliseconds{1})};
    for (const auto *fault : {"not_started", "hang_before", "hang_after", "crash_before", "crash_after"})
        m_faultsLeft[fault] = integerAt(fields, fault, m_faultsLeft[fault]);
}

json::object FakeService::report() const
{
    json::object ran;
    for (const auto &[call, times] : m_ran)
        ran[call] = times;
    return {{"ran", std::move(ran)}};
}

} // namespace Gypsumtally::Fakes
