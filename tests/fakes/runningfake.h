#pragma once

#include "fakes/fakeserver.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

namespace Gypsumtally::Fakes
{

/// A fake of type T that serves on its own thread until this object is destroyed.
template<Fake T>
class RunningFake
{
public:
    template<typename... Arguments>
    explicit RunningFake(Arguments... arguments)
        : m_fake(m_loop, m_journal, std::move(arguments)...)
        , m_server(m_loop, m_fake, m_journal)
        , m_endpoint{"127.0.0.1", m_server.listen({"127.0.0.1", 0, false}), false}
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~RunningFake()
    {
        m_loop.stop();
        m_thread.join();
    }

    const Http::Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    Http::FetchResult post(const std::string &target, const std::string &body, Http::Headers headers = {}) const
    {
        return Http::fetch(m_endpoint, {"POST", target, std::move(headers), body});
    }

    /// Returns the HTTP status of a call, or 0 if no response arrived.
    unsigned status(const std::string &target, const std::string &body, Http::Headers headers = {}) const
    {
        const auto result = post(target, body, std::move(headers));
        return result.response ? result.response->status : 0;
    }

    /// Returns the JSON body of the response. Fails the test if no response arrives.
    json::object answer(const std::string &target, const std::string &body, Http::Headers headers = {}) const
    {
        const auto result = post(target, body, std::move(headers));
        cr_assert(result.response.has_value(), "%s: %s", target.c_str(), result.failure.reason.c_str());
        return parseObject(result.response->body);
    }

    /// Returns the fake's report, whose field `events` holds its journal.
    json::object journal() const
    {
        return parseObject(Http::fetch(m_endpoint, {"GET", "/fake/journal", {}, {}}).response->body);
    }

    /// Returns the number of journal events whose kind is @p event.
    std::size_t count(std::string_view event) const
    {
        std::size_t found = 0;
        const auto present = journal();
        for (const auto &entry : present.at("events").as_array())
            found += textAt(entry.as_object(), "event") == event ? 1 : 0;
        return found;
    }

private:
    Http::EventLoop m_loop;
    Journal m_journal;
    T m_fake;
    FakeServer m_server;
    Http::Endpoint m_endpoint;
    std::thread m_thread;
};

} // namespace Gypsumtally::Fakes
