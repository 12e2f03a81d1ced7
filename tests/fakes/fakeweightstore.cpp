#include "fakes/fakeweightstore.h"

#include "fakes/fakeengine.h"

#include <algorithm>

namespace Gypsumtally::Fakes
{

namespace
{

constexpr std::string_view weightsPath = "/v1/weights/";

std::vector<std::string> listAt(const json::object &fields, std::string_view name)
{
    std::vector<std::string> list;
    const auto *value = fields.if_contains(name);
    if (!value || !value->is_array())
        return list;
    for (const auto &item : value->as_array())
        list.emplace_back(item.as_string());
    return list;
}

} // namespace

FakeWeightStore::FakeWeightStore(Http::EventLoop &loop, Journal &journal, WeightStoreOptions options)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(std::move(options))
    , m_tokens(std::max(1.0, m_options.loadsPerSecond))
    , m_refilled(SteadyClock{}.now())
{
    for (std::size_t index = 0; index < m_options.adapters; ++index)
        m_names.insert(m_options.base + "/adapter-" + std::to_string(index) + "@1");
}

void FakeWeightStore::handle(const Http::Request &request, ResponderPointer responder)
{
    const auto path = request.path();
    if (path == "/v1/catalogue")
        sendCatalogue(request, *responder);
    else if (path.starts_with(weightsPath))
        sendWeights(std::string(path.substr(weightsPath.size())), std::move(responder));
    else
        responder->respond(refusal(404, "unknown_route"));
}

void FakeWeightStore::sendCatalogue(const Http::Request &request, Http::Responder &responder) const
{
    const auto tag = '"' + std::to_string(m_revision) + '"';
    if (request.headers.get("If-None-Match") == tag) {
        responder.respond({304, {{"ETag", tag}}, {}});
        return;
    }
    responder.respond(jsonResponse(
        200, {{"revision", m_revision}, {"adapters", json::array(m_names.begin(), m_names.end())}}, {{"ETag", tag}}));
}

void FakeWeightStore::sendWeights(const std::string &name, ResponderPointer responder)
{
    if (!m_names.contains(name)) {
        responder->respond(refusal(404, "unknown_adapter"));
        return;
    }
    if (!takeToken()) {
        ++m_refused;
        responder->respond(refusal(429, "store_busy", {{"Retry-After", "1"}}));
        return;
    }
    m_journal.record("fetch", {{"model", name}});
    ++m_inFlight;
    m_loop.runAfter(loadTime(m_inFlight), [this, name, responder = std::move(responder)] {
        --m_inFlight;
        responder->respond({200, {}, "weights of " + name});
    });
}

bool FakeWeightStore::takeToken()
{
    if (m_options.loadsPerSecond <= 0)
        return true;
    const auto now = SteadyClock{}.now();
    const std::chrono::duration<double> elapsed = now - m_refilled;
    const double burst = std::max(1.0, m_options.loadsPerSecond);
    m_tokens = std::min(burst, m_tokens + elapsed.count() * m_options.loadsPerSecond);
    m_refilled = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void FakeWeightStore::control(const json::object &fields)
{
    for (const auto &name : listAt(fields, "add"))
        m_names.insert(name);
    for (const auto &name : listAt(fields, "remove"))
        m_names.erase(name);
    if (fields.contains("add") || fields.contains("remove"))
        ++m_revision;
    if (const auto *rate = fields.if_contains("loads_per_second"))
        m_options.loadsPerSecond = rate->to_number<double>();
}

json::object FakeWeightStore::report() const
{
    return {{"revision", m_revision}, {"adapters", m_names.size()}, {"in_flight", m_inFlight}, {"refused", m_refused}};
}

} // namespace Gypsumtally::Fakes
