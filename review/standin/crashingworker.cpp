#include "crashingworker.h"

#include "http/eventloop.h"
#include "relay/requestreader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <array>
#include <set>
#include <utility>

namespace Gypsumtally::Review
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned slots = 6;
constexpr Duration heartbeatInterval = milliseconds{1200};
constexpr Duration entryLifetime = 3 * heartbeatInterval; ///< Of silence, after which the entry is removed.
constexpr Duration answerTime = milliseconds{15};
constexpr Duration timeToCrash = milliseconds{5}; ///< From the begin of the request.
constexpr Duration restartTime = std::chrono::seconds{2};
constexpr std::int64_t firstStart = 1'700'000'000'000; ///< In ms since the Unix epoch.

} // namespace

struct CrashingWorker::Channel {
    explicit Channel(tcp::socket accepted)
        : socket(std::move(accepted))
        , reader(std::make_unique<Relay::RequestReader>(Relay::RequestLimits{}))
    {
    }

    tcp::socket socket;
    std::unique_ptr<Relay::RequestReader> reader;
    std::array<char, 16 * 1024> bytes{};
};

struct CrashingWorker::Private {
    Http::EventLoop &loop;
    Store &store;
    WorkerLedger &ledger;
    std::string name;
    std::string service;
    std::string crashingPath;
    unsigned incarnation = 0;
    std::string id; ///< Of the current incarnation.
    bool isUp = false;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<Channel>> channels;
};

CrashingWorker::CrashingWorker(Http::EventLoop &loop, Store &store, WorkerLedger &ledger, std::string name,
                               std::string service, std::string crashingPath)
    : m_d(std::make_unique<Private>(
        Private{loop, store, ledger, std::move(name), std::move(service), std::move(crashingPath), 0, {}, {}, {}, {}}))
{
    start();
    heartbeat();
}

CrashingWorker::~CrashingWorker() = default;

void CrashingWorker::start()
{
    ++m_d->incarnation;
    m_d->id = m_d->name + '-' + std::to_string(m_d->incarnation);
    m_d->acceptor
        = std::make_unique<tcp::acceptor>(m_d->loop.context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    m_d->isUp = true;
    publish();
    accept();
}

void CrashingWorker::publish()
{
    if (!m_d->isUp)
        return;
    const auto port = m_d->acceptor->local_endpoint().port();
    const json::object record{{"service", m_d->service},
                              {"address", "127.0.0.1:" + std::to_string(port)},
                              {"zone", "z1"},
                              {"version", "v1"},
                              {"slots", slots},
                              {"state", "ready"},
                              {"cold_ms", 0},
                              {"seq", 0},
                              {"born", firstStart + m_d->incarnation}};
    m_d->store.put("servers/" + m_d->id, json::serialize(record));
}

void CrashingWorker::heartbeat()
{
    publish();
    m_d->loop.runAfter(heartbeatInterval, [this] { heartbeat(); });
}

void CrashingWorker::runAfter(Duration delay, std::function<void()> task)
{
    m_d->loop.runAfter(delay, [this, incarnation = m_d->incarnation, task = std::move(task)] {
        if (m_d->isUp && m_d->incarnation == incarnation)
            task();
    });
}

void CrashingWorker::accept()
{
    m_d->acceptor->async_accept([this, incarnation = m_d->incarnation](ErrorCode error, tcp::socket socket) {
        if (error || !m_d->isUp || m_d->incarnation != incarnation)
            return;
        const auto channel = std::make_shared<Channel>(std::move(socket));
        m_d->channels.insert(channel);
        read(channel);
        accept();
    });
}

void CrashingWorker::read(const std::shared_ptr<Channel> &channel)
{
    channel->socket.async_read_some(asio::buffer(channel->bytes), [this, channel](ErrorCode error, std::size_t size) {
        if (!m_d->channels.contains(channel))
            return;
        if (error) {
            m_d->channels.erase(channel);
            return;
        }
        channel->reader->feed({channel->bytes.data(), size});
        if (channel->reader->state() == Relay::RequestReader::State::Complete) {
            const auto request = channel->reader->takeRequest();
            channel->reader = std::make_unique<Relay::RequestReader>(Relay::RequestLimits{});
            serve(channel, request);
        }
        read(channel);
    });
}

void CrashingWorker::serve(const std::shared_ptr<Channel> &channel, const Http::Request &request)
{
    const std::string id(request.headers.get("X-Request-Id"));
    const auto expected = request.headers.get("X-Expect-Instance");
    if (!expected.empty() && expected != m_d->id)
        return reply(channel, "421 Misdirected Request", id);
    const std::string path(request.path());
    m_d->ledger.runs.push_back({id, m_d->id, path, BootClock{}.now()});
    if (path == m_d->crashingPath)
        return runAfter(timeToCrash, [this] { crash(); });
    runAfter(answerTime, [this, channel, id] { reply(channel, "200 OK", id); });
}

void CrashingWorker::reply(const std::shared_ptr<Channel> &channel, const std::string &status, const std::string &id)
{
    const std::string body = "body of " + id;
    const auto text = std::make_shared<std::string>(
        "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\nX-Instance-Id: " + m_d->id
        + "\r\nX-Response-Signature: sig\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    asio::async_write(channel->socket, asio::buffer(*text), [channel, text](ErrorCode, std::size_t) {});
}

/// Ends the process: its channels are reset, its port is closed, and its entry is removed after some silence.
void CrashingWorker::crash()
{
    m_d->ledger.crashes.push_back({m_d->id, BootClock{}.now()});
    m_d->isUp = false;
    ErrorCode ignored;
    m_d->acceptor->close(ignored);
    for (const auto &channel : std::exchange(m_d->channels, {})) {
        channel->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        channel->socket.close(ignored);
    }
    m_d->loop.runAfter(entryLifetime, [this, key = "servers/" + m_d->id] { m_d->store.remove(key); });
    m_d->loop.runAfter(restartTime, [this] { start(); });
}

} // namespace Gypsumtally::Review
