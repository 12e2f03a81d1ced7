#pragma once

#include "http/client.h"
#include "http/eventloop.h"
#include "http/server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Fakes
{

namespace json = boost::json;
using ResponderPointer = std::shared_ptr<Http::Responder>;

/// Records the events of a fake in the order in which they happened. Each event is also appended to a file at once, so
/// that it survives a kill of the process.
class Journal
{
public:
    /// Opens the file at @p path for appending; an empty path means no file. Throws std::system_error if the file can't
    /// be opened.
    explicit Journal(const std::string &path = {});
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// Appends an event; its field `t` is the machine's monotonic time in microseconds.
    void record(std::string_view event, json::object fields = {});

    const json::array &events() const
    {
        return m_events;
    }

private:
    json::array m_events;
    int m_file = -1;
};

/// A fake of a platform service or of an upstream, which runs on one event loop.
template<typename T>
concept Fake
    = requires(T &fake, const T &view, Http::Request request, ResponderPointer responder, const json::object &fields)
{
    fake.handle(std::move(request), std::move(responder));
    fake.control(fields);
    {
        view.report()
        } -> std::same_as<json::object>;
};

/// Serves the routes of a fake and, in addition, `POST /fake/control` and `GET /fake/journal`. Every fake accepts these
/// control fields: `outage` ("none", "refuse" to answer 503, or "hang" to send no answer) and `delay_ms`, the time
/// between the receipt of a request and its processing. Call only from the event loop's thread.
class FakeServer
{
public:
    template<Fake T>
    FakeServer(Http::EventLoop &loop, T &fake, const Journal &journal)
        : FakeServer(
            loop, journal,
            [&fake](auto request, auto responder) { fake.handle(std::move(request), std::move(responder)); },
            [&fake](const json::object &fields) { fake.control(fields); }, [&fake] { return fake.report(); })
    {
    }

    /// Listens on @p endpoint and returns the port.
    std::uint16_t listen(const Http::Endpoint &endpoint)
    {
        return m_server.listen(endpoint);
    }

private:
    using Control = std::function<void(const json::object &)>;
    using Report = std::function<json::object()>;

    FakeServer(Http::EventLoop &loop, const Journal &journal, Http::Server::Handler handler, Control control,
               Report report);
    void route(Http::Request request, ResponderPointer responder);
    void serve(Http::Request request, ResponderPointer responder);
    void change(const Http::Request &request, Http::Responder &responder);

    Http::EventLoop &m_loop;
    const Journal &m_journal;
    Http::Server::Handler m_handler;
    Control m_control;
    Report m_report;
    std::string m_outage = "none";
    Duration m_delay{};
    std::vector<ResponderPointer> m_hanging;
    Http::Server m_server;
};

/// Returns @p body parsed as a JSON object, or an empty object if it isn't one.
json::object parseObject(const std::string &body);

/// Returns the integer in field @p name, which may be a JSON number or, as in etcd's JSON, a string. Returns
/// @p missing if there is no such integer.
std::int64_t integerAt(const json::object &object, std::string_view name, std::int64_t missing = 0);

/// Returns the string in field @p name, or an empty string if there is none.
std::string textAt(const json::object &object, std::string_view name);

Http::Response jsonResponse(unsigned status, const json::object &body, Http::Headers headers = {});

/// Returns an error response with the body `{"error":{"code":CODE,"message":CODE}}`.
Http::Response refusal(unsigned status, std::string_view code, Http::Headers headers = {});

/// Listens on @p address, prints `listening ADDRESS:PORT` to standard output and serves until SIGTERM. Returns the exit
/// status of the process.
template<Fake T>
int serve(Http::EventLoop &loop, T &fake, const Journal &journal, const std::string &address);

/// Implements the part of serve() that does not depend on the type of the fake. Returns the exit status.
int runUntilTerminated(Http::EventLoop &loop, FakeServer &server, const std::string &address);

template<Fake T>
int serve(Http::EventLoop &loop, T &fake, const Journal &journal, const std::string &address)
{
    FakeServer server(loop, fake, journal);
    return runUntilTerminated(loop, server, address);
}

} // namespace Gypsumtally::Fakes
