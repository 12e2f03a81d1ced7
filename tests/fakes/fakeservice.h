#pragma once

#include "fakes/fakeserver.h"

#include <map>
#include <string>

namespace Gypsumtally::Fakes
{

/// A fake service that counts the calls it ran by path and Idempotency-Key. In addition to the common control fields it
/// accepts:
/// - `work_ms`: the time between the receipt of a call and its effect;
/// - `not_started`: the number of next calls that are rejected before they start;
/// - `hang_before`, `hang_after`: the number of next calls that get no answer, before or after their effect;
/// - `crash_before`, `crash_after`: the number of next calls that end the process, before or after their effect.
/// Call only from the event loop's thread.
class FakeService
{
public:
    FakeService(Http::EventLoop &loop, Journal &journal, bool crashOnRequest);

    void handle(Http::Request request, ResponderPointer responder);
    void control(const json::object &fields);

    /// Returns `{"ran":{"PATH KEY":COUNT}}`, the number of times each call ran.
    json::object report() const;

private:
    void run(const Http::Request &request, ResponderPointer responder);
    bool takeFault(const std::string &fault);
    [[noreturn]] void crash(const std::string &call);

    Http::EventLoop &m_loop;
    Journal &m_journal;
    bool m_crashOnRequest;
    Duration m_work{};
    std::map<std::string, std::int64_t> m_faultsLeft;
    std::map<std::string, std::int64_t> m_ran;
    std::vector<ResponderPointer> m_hanging;
};

} // namespace Gypsumtally::Fakes
