#include "relay/callerserver.h"
#include "relay/upstreamclient.h"

#include "http/eventloop.h"
#include "support/rawcaller.h"
#include "support/table.h"

#include <malloc.h>

#include <cstdlib>
#include <cstring>
#include <new>

#if !defined(__SANITIZE_ADDRESS__)
// Overwrites what is freed, so that its use shows without AddressSanitizer, too.
void operator delete(void *memory) noexcept
{
    static void *(*const volatile fill)(void *, int, std::size_t) = std::memset; // Is not optimised away.
    if (memory)
        fill(memory, 0xA5, ::malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}
#endif

using namespace Gypsumtally;
using namespace Gypsumtally::Relay;
using Testing::RawCaller;

namespace
{

const char question[] = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nqq";

constexpr std::size_t overflowBytes = 64 * 1024 * 1024; ///< More than a connection buffers.

/// The last step of an answer, at which the caller's reset is noticed.
enum class Step {
    Respond,
    Begin,
    Write,
    EndChunked,
    WriteWithLength,
    Abort,
    Overflow, ///< The caller does not read, and is disconnected.
};

struct LifetimeCase {
    const char *name;
    Step step;
    bool isAtOnce; ///< The step comes from within the server's handler.
    bool isPipelined; ///< Another request lies behind the first one.
};

const LifetimeCase lifetimes[] = {
    {"whole answer", Step::Respond, false, false},
    {"whole answer at once", Step::Respond, true, false},
    {"whole answer before another request", Step::Respond, false, true},
    {"whole answer at once before another request", Step::Respond, true, true},
    {"head", Step::Begin, false, false},
    {"head at once", Step::Begin, true, true},
    {"piece", Step::Write, false, false},
    {"piece at once", Step::Write, true, true},
    {"end of chunks", Step::EndChunked, false, false},
    {"end of chunks at once", Step::EndChunked, true, true},
    {"piece of a body with a length", Step::WriteWithLength, false, false},
    {"piece of a body with a length at once", Step::WriteWithLength, true, true},
    {"break", Step::Abort, false, false},
    {"break at once", Step::Abort, true, true},
    {"caller that does not read", Step::Overflow, false, false},
    {"caller that does not read, at once", Step::Overflow, true, true},
};

/// A server whose handler owns the only reference to its exchange, and releases it when the caller has gone.
class OwningServer
{
public:
    explicit OwningServer(const LifetimeCase &row)
        : m_row(row)
        , m_server(m_loop, {}, [this](auto exchange) { take(std::move(exchange)); })
        , m_endpoint{"127.0.0.1", m_server.listen({"127.0.0.1", 0}), false}
    {
    }

    void play()
    {
        RawCaller caller(m_loop, m_endpoint);
        m_caller = &caller;
        caller.send(question);
        if (m_row.isPipelined)
            caller.send(question);
        caller.wait();
        if (!m_row.isAtOnce)
            takeStep();
        RawCaller::runLoop(m_loop, std::chrono::milliseconds{30});
    }

    std::size_t active() const
    {
        return m_server.activeRequests();
    }

    std::size_t connections() const
    {
        return m_server.connections();
    }

    unsigned requests = 0;
    unsigned gone = 0;

private:
    void take(std::shared_ptr<CallerExchange> exchange)
    {
        ++requests;
        m_held = std::move(exchange);
        m_held->onGone([this] {
            ++gone;
            m_held.reset();
        });
        if (m_row.isAtOnce)
            takeStep();
    }

    /// Begins an answer as the last step needs it, resets the caller's connection and takes that step.
    void takeStep()
    {
        const bool hasBegun = m_row.step == Step::Write || m_row.step == Step::EndChunked;
        if (hasBegun)
            m_held->begin(200, {}, std::nullopt);
        if (m_row.step == Step::WriteWithLength)
            m_held->begin(200, {}, 2);
        if (m_row.step != Step::Overflow)
            m_caller->reset();
        takeLastStep(*m_held);
    }

    void takeLastStep(CallerExchange &exchange)
    {
        switch (m_row.step) {
        case Step::Respond:
            return exchange.respond({200, {}, "a"});
        case Step::Begin:
            return exchange.begin(200, {}, std::nullopt);
        case Step::Write:
        case Step::WriteWithLength:
            return exchange.write("aa");
        case Step::EndChunked:
            return exchange.end();
        case Step::Abort:
            return exchange.abort();
        case Step::Overflow:
            return exchange.respond({200, {}, std::string(overflowBytes, 'x')});
        }
    }

    const LifetimeCase &m_row;
    Http::EventLoop m_loop;
    std::shared_ptr<CallerExchange> m_held;
    RawCaller *m_caller = nullptr;
    CallerServer m_server;
    Http::Endpoint m_endpoint;
};

} // namespace

/// Guards against the use of an exchange that its owner has released because a write showed that the caller had gone.
TABLE_TEST(ExchangeLifetime, outlivesItsOwnersRelease, lifetimes)
{
    OwningServer server(row);
    server.play();
    cr_assert_geq(server.requests, 1U, "%s", row.name);
    cr_assert_eq(server.gone, row.step == Step::Abort ? 0U : 1U, "%s: %u times", row.name, server.gone);
    cr_assert_eq(server.active(), 0U, "%s", row.name);
    cr_assert_eq(server.connections(), 0U, "%s", row.name);
}
