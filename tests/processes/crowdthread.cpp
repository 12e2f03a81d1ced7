#include "processes/crowdthread.h"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace Gypsumtally::Processes
{

namespace
{

constexpr std::size_t maxCrowds = 3; ///< At a time.
constexpr std::size_t maxBody = std::size_t{4096} * 1024;
constexpr std::size_t chunk = std::size_t{64} * 1024;
constexpr Duration pause = std::chrono::milliseconds{700}; ///< From one crowd to the next.

const std::string head = "POST /v1/services/booking/crowd HTTP/1.1\r\nHost: h\r\nGypsumtally-Idempotent: false\r\n";
const std::string legalLength = "Content-Length: " + std::to_string(maxBody) + "\r\n\r\n";
const std::string chunkedEncoding = "Transfer-Encoding: chunked\r\n\r\n";
const std::string piece(chunk, 'x');
const std::string largeChunk = "10000\r\n" + piece + "\r\n";

struct Crowd {
    std::size_t callers;
    UntrustedBytes bytes; ///< That each of them sends, behind the first lines of the head if there is a beginning.
};

const std::array<Crowd, 7> crowds{{
    {64, {legalLength, piece, maxBody / chunk - 1}},
    {32, {legalLength, piece, maxBody / chunk}},
    {32, {legalLength, piece, maxBody / chunk, false, {}, true}},
    {64, {chunkedEncoding, largeChunk, maxBody / chunk - 1}},
    {16, {chunkedEncoding, oneByteChunks(chunk), maxBody / chunk - 1}},
    {200, {"X-Long: ", std::string(1024, 'x'), 1, true}},
    {1000, {}},
}};

} // namespace

CrowdThread::CrowdThread(std::vector<Http::Endpoint> listeners, std::uint64_t seed)
    : m_listeners(std::move(listeners))
    , m_random(seed)
{
    m_loop.post([this] { sendNext(); });
    m_thread = std::jthread([this] { m_loop.run(); });
}

CrowdThread::~CrowdThread()
{
    m_loop.stop();
}

void CrowdThread::sendNext()
{
    if (m_crowds.size() == maxCrowds)
        m_crowds.erase(m_crowds.begin());
    const auto &crowd = crowds.at(m_random() % crowds.size());
    const auto &listener = m_listeners.at(m_random() % m_listeners.size());
    auto bytes = crowd.bytes;
    if (!bytes.beginning.empty())
        bytes.beginning.insert(0, head + "Idempotency-Key: crowd-" + std::to_string(++m_count) + "-{n}\r\n");
    m_crowds.push_back(std::make_unique<UntrustedCallers>(m_loop, listener, crowd.callers, std::move(bytes)));
    m_loop.runAfter(pause, [this] { sendNext(); });
}

} // namespace Gypsumtally::Processes
