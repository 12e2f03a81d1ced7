#include "fakes/fakeserver.h"

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace Gypsumtally::Fakes
{

Journal::Journal(const std::string &path)
{
    if (path.empty())
        return;
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_file < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

Journal::~Journal()
{
    if (m_file >= 0)
        ::close(m_file);
}

void Journal::record(std::string_view event, json::object fields)
{
    fields["event"] = event;
    fields["t"] = SteadyClock{}.now().time_since_epoch().count();
    if (m_file >= 0) {
        const std::string line = json::serialize(fields) + "\n";
        [[maybe_unused]] const auto written = ::write(m_file, line.data(), line.size());
    }
    m_events.emplace_back(std::move(fields));
}

FakeServer::FakeServer(Http::EventLoop &loop, const Journal &journal, Http::Server::Handler handler, Control control,
                       Report report)
    : m_loop(loop)
    , m_journal(journal)
    , m_handler(std::move(handler))
    , m_control(std::move(control))
    , m_report(std::move(report))
    , m_server(
          loop, {}, [this](auto request, auto responder) { route(std::move(request), std::move(responder)); },
          [](unsigned status, const std::string &reason) { return refusal(status, reason); })
{
}

void FakeServer::route(Http::Request request, ResponderPointer responder)
{
    if (request.path() == "/fake/control") {
        change(request, *responder);
        return;
    }
    if (request.path() == "/fake/journal") {
        auto report = m_report();
        report["events"] = m_journal.events();
        responder->respond(jsonResponse(200, report));
        return;
    }
    if (m_delay == Duration::zero()) {
        serve(std::move(request), std::move(responder));
        return;
    }
    m_loop.runAfter(m_delay, [this, request = std::move(request), responder = std::move(responder)]() mutable {
        serve(std::move(request), std::move(responder));
    });
}

void FakeServer::serve(Http::Request request, ResponderPointer responder)
{
    if (m_outage == "refuse")
        responder->respond(refusal(503, "outage"));
    else if (m_outage == "hang")
        m_hanging.push_back(std::move(responder));
    else
        m_handler(std::move(request), std::move(responder));
}

void FakeServer::change(const Http::Request &request, Http::Responder &responder)
{
    const auto fields = parseObject(request.body);
    m_delay = std::chrono::milliseconds{integerAt(fields, "delay_ms", m_delay / std::chrono::milliseconds{1})};
    if (fields.contains("outage"))
        m_outage = textAt(fields, "outage");
    if (m_outage != "hang")
        m_hanging.clear();
    m_control(fields);
    responder.respond(jsonResponse(200, {}));
}

json::object parseObject(const std::string &body)
{
    json::error_code error;
    auto value = json::parse(body, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

std::int64_t integerAt(const json::object &object, std::string_view name, std::int64_t missing)
{
    const auto *value = object.if_contains(name);
    if (!value)
        return missing;
    if (const auto *text = value->if_string()) {
        std::int64_t number = missing;
        std::from_chars(text->data(), text->data() + text->size(), number);
        return number;
    }
    return value->is_number() ? value->to_number<std::int64_t>() : missing;
}

std::string textAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

Http::Response jsonResponse(unsigned status, const json::object &body, Http::Headers headers)
{
    headers.add("Content-Type", "application/json");
    return {status, std::move(headers), json::serialize(body)};
}

Http::Response refusal(unsigned status, std::string_view code, Http::Headers headers)
{
    return jsonResponse(status, {{"error", {{"code", code}, {"message", code}}}}, std::move(headers));
}

int runUntilTerminated(Http::EventLoop &loop, FakeServer &server, const std::string &address)
{
    auto endpoint = Http::parseEndpoint(address);
    endpoint.port = server.listen(endpoint);
    loop.onTerminate([&loop] { loop.stop(); });
    std::printf("listening %s\n", Http::toString(endpoint).c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

} // namespace Gypsumtally::Fakes
