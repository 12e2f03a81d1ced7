#include "relay/callerserver.h"

#include "http/eventloop.h"
#include "relay/detail/bytequeue.h"
#include "relay/detail/socketwait.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/status.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <list>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Gypsumtally::Relay
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

constexpr std::size_t readBytes = 32 * 1024;
constexpr std::size_t maxPipelinedBytes = 256 * 1024; ///< Above this, reading pauses until the response has ended.
/// Bodies from this size on are sent without being copied to their head.
constexpr std::size_t largeBodyBytes = 16 * 1024;
/// Time without a request, or since the beginning of one, from which a connection may be closed for a new one. A caller
/// that has just connected is about to send.
constexpr Duration minWaitTime = std::chrono::seconds{1};
constexpr Duration acceptPause = std::chrono::milliseconds{50}; ///< After a lack of descriptors.
constexpr Duration lingerTime = std::chrono::seconds{1}; ///< Lets a caller read a rejection before the close.

std::string headText(unsigned status, const Http::Headers &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text;
}

std::string chunkHead(std::size_t size)
{
    std::array<char, 20> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return {digits.data(), end};
}

class Connection;

/// Its methods hold a reference to it, as a write that shows that the caller has gone lets the owner release it.
class Exchange : public CallerExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<Connection> connection, Http::Request request, Instant arrival)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_arrival(arrival)
    {
    }

    ~Exchange() override;

    const Http::Request &request() const override
    {
        return m_request;
    }

    Http::Request takeRequest() override
    {
        return std::move(m_request);
    }

    Instant arrival() const override
    {
        return m_arrival;
    }

    void respond(const Http::Response &response) override;
    void begin(unsigned status, const Http::Headers &headers, std::optional<std::uint64_t> length) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;

    void onGone(std::function<void()> task) override
    {
        m_onGone = std::move(task);
    }

    bool hasCallerLeft() override;

    void setId(const std::string &id) override
    {
        m_id = id;
    }

    void refuseOnRelease(Verdict verdict) override
    {
        m_verdictOnRelease = verdict;
    }

    const std::string &id() const
    {
        return m_id;
    }

    bool hasBegun() const
    {
        return m_hasBegun;
    }

    /// Reports the disconnect of the caller, whose task may release the exchange. Called by the connection when it
    /// closes.
    void detach()
    {
        m_connection.reset();
        if (const auto task = std::exchange(m_onGone, nullptr))
            task();
    }

private:
    std::shared_ptr<Connection> m_connection; ///< Null once the response has ended or the caller has disconnected.
    Http::Request m_request;
    Instant m_arrival;
    std::string m_id;
    std::optional<Verdict> m_verdictOnRelease;
    bool m_hasBegun = false; ///< A part of the response was passed to the connection.
    bool m_chunked = false;
    std::function<void()> m_onGone;
};

struct Shared {
    CallerServerSettings settings;
    CallerServer::Handler handler;
    std::function<void(const UnansweredRequest &)> onUnanswered;
    bool closing = false;
    bool leavesNext = false; ///< Requests that have not begun to arrive remain unread.
    std::size_t active = 0;
    CallerLosses losses;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    /// Connections that wait for a request, and those that wait for the rest of one. Those that have waited longest are
    /// first.
    std::list<Connection *> idle;
    std::list<Connection *> reading;
    std::vector<std::weak_ptr<Connection>> heldUp; ///< Connections that have stopped reading for want of memory.
};

class Connection : public std::enable_shared_from_this<Connection>, private Budget::MemoryHolder
{
public:
    Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_socket(std::move(socket))
        , m_shared(std::move(shared))
        , m_memory(m_shared->settings.memory, this)
    {
    }

    ~Connection() override
    {
        leaveQueue();
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void start()
    {
        ErrorCode ignored;
        m_socket.non_blocking(true, ignored);
        m_socket.set_option(tcp::no_delay(true), ignored);
        resetReader();
        noteState();
        waitForBytes();
    }

    void send(std::string_view bytes)
    {
        if (m_closed)
            return;
        if (m_output.empty()) {
            ErrorCode error;
            const auto written = m_socket.write_some(asio::buffer(bytes), error);
            if (error && error != asio::error::would_block)
                return closeNow(UnansweredCause::WriteFailed, error);
            bytes.remove_prefix(error ? 0 : written);
            m_writtenAt = BootClock{}.now();
        }
        if (bytes.empty())
            return;
        m_output.append(bytes);
        noteState();
        if (m_output.size() > m_shared->settings.maxBufferedBytes)
            return closeNow(UnansweredCause::BufferFull);
        if (m_memory.isExhausted() && m_output.size() > m_shared->settings.maxUnsentBeforeNext) {
            ++m_shared->losses.closedForMemory;
            return closeNow(UnansweredCause::ShortOfMemory);
        }
        waitForWritable();
    }

    /// Prepares for the next request, or closes the connection, after the current response, to the request with @p id,
    /// was written or buffered.
    void finishResponse(std::string id)
    {
        m_answeredId = std::move(id);
        m_exchange.reset();
        m_requestBytes = 0;
        --m_shared->active;
        m_stateSince = BootClock{}.now();
        noteState();
        if (!m_keepsConnection || (m_shared->leavesNext && !hasNextInput()))
            return closeGracefully();
        resetReader();
        parse();
        noteState();
        readOn();
    }

    /// Closes the connection without completing the response to @p exchange.
    void abortResponse(const Exchange &exchange)
    {
        report(UnansweredCause::Aborted, exchange);
        dropResponse();
        m_output.clear();
        closeNow(UnansweredCause::Aborted);
    }

    /// Closes the connection, as @p exchange is destroyed before its response has ended. Refuses the request first, if
    /// there is a @p verdict on it and nothing was sent yet.
    void releaseResponse(const Exchange &exchange, std::optional<Verdict> verdict)
    {
        if (m_closed)
            return;
        report(hasCallerClosed() ? UnansweredCause::CallerClosed : UnansweredCause::Released, exchange);
        dropResponse();
        if (!verdict || exchange.hasBegun()) {
            m_output.clear();
            return closeNow(UnansweredCause::Released);
        }
        m_keepsConnection = false;
        reject({RejectionCause::Dropped,
                *verdict == Verdict::NotRun ? 503U : 502U,
                "the request was dropped",
                *verdict,
                {}});
        closeGracefully();
    }

    /// Returns true if the connection closes after this response, which must then carry `Connection: close`. While the
    /// server closes its connections, that is the response to the last request that has arrived.
    bool closesAfterResponse()
    {
        if (m_shared->closing && m_keepsConnection)
            m_keepsConnection = hasNextRequest();
        return !m_keepsConnection;
    }

    /// Goes on after a lack of memory, if there is enough by now.
    void resume()
    {
        if (!std::exchange(m_isHeldUp, false) || m_closed)
            return;
        parse(); // A whole request may wait to be dispatched.
        noteState();
        readOn();
    }

    /// Lets new settings extend the time-out that the connection is subject to, which they never shorten, and applies
    /// the limits on requests to the next one.
    void onSettings()
    {
        if (m_reader->state() == RequestReader::State::Idle)
            m_reader = std::make_unique<RequestReader>(m_shared->settings.limits);
        m_limit = std::max(m_limit, timeoutOfState());
    }

    void sweep(Instant now)
    {
        if (m_lingering) {
            const auto limit = m_output.empty() && !isEndangered() ? lingerTime : m_limit;
            if (now - m_stateSince > limit || (m_hasUnread && m_output.empty() && undelivered() == 0))
                closeNow(UnansweredCause::NotRead);
            return;
        }
        if (!m_exchange.expired()) {
            if (!m_waitingForBytes && hasCallerClosed())
                closeNow(UnansweredCause::CallerClosed);
            return;
        }
        if (now - m_stateSince <= m_limit)
            return;
        if (isWhole())
            shed();
        else if (isReading())
            refuseUnlessComplete();
        else
            closeUnlessUsed();
    }

    /// Returns true if a request is being read or answered, or a close would cut a part of an answer.
    bool isBusy()
    {
        return !m_exchange.expired() || !m_output.empty() || (!m_lingering && isReading()) || isEndangered();
    }

    /// Returns the time for which the connection has been in its state. Precondition: no request is in progress.
    Duration waitedFor(Instant now) const
    {
        return now - m_stateSince;
    }

    void closeIfIdle()
    {
        if (isIdle() && m_output.empty())
            closeUnlessUsed();
    }

    /// Refuses a request that has arrived in part, and closes the connection at once. Precondition: such a one is read.
    void dropRequest()
    {
        const auto self = shared_from_this();
        reject({RejectionCause::TooManyConnections, 503, "the node has too many connections", Verdict::NotRun,
                retryAfter()});
        closeNow(UnansweredCause::NotRead);
    }

    /// Refuses a request that has arrived in part.
    void refuseIfReading()
    {
        if (!m_closed && !m_lingering && m_exchange.expired() && isReading())
            refuse({RejectionCause::Stopping, 503, "the node stops", Verdict::NotRun, {}});
    }

    /// Closes the connection at once. A caller that waits for a response observes that there is none, which is reported
    /// with @p cause, and with @p error if there is one.
    void closeNow(UnansweredCause cause, const ErrorCode &error = {})
    {
        if (m_closed)
            return;
        const auto self = shared_from_this();
        reportUnwritten(cause, error);
        m_closed = true;
        m_input.clear();
        m_reader = std::make_unique<RequestReader>(m_shared->settings.limits);
        m_requestBytes = 0;
        noteState();
        ErrorCode ignored;
        m_socket.close(ignored);
        m_shared->connections.erase(self);
        if (const auto exchange = m_exchange.lock()) {
            m_exchange.reset();
            --m_shared->active;
            exchange->detach();
        }
    }

    /// Reports the current request, or the last one if a part of its answer is unsent.
    void reportUnwritten(UnansweredCause cause, const ErrorCode &error = {})
    {
        if (const auto exchange = m_exchange.lock())
            report(cause, *exchange, error);
        else if (!m_output.empty())
            report({cause, m_answeredId, reasonOf(error), {}, true, m_output.size()});
        m_output.clear();
    }

    /// Returns true if the caller has closed or reset the connection, also behind bytes that have not been read.
    bool hasCallerClosed()
    {
        const auto state = tcpState();
        return state && state != TCP_ESTABLISHED;
    }

private:
    static std::string reasonOf(const ErrorCode &error)
    {
        return error ? error.message() : std::string{};
    }

    void report(UnansweredCause cause, const Exchange &exchange, const ErrorCode &error = {})
    {
        report({cause, exchange.id(), reasonOf(error), BootClock{}.now() - exchange.arrival(), exchange.hasBegun(),
                m_output.size()});
    }

    void report(const UnansweredRequest &request)
    {
        if (m_shared->onUnanswered)
            m_shared->onUnanswered(request);
    }

    /// Ends the current request without the rest of its response.
    void dropResponse()
    {
        m_exchange.reset();
        m_requestBytes = 0;
        --m_shared->active;
    }

    bool isIdle() const
    {
        return m_exchange.expired() && m_reader->state() == RequestReader::State::Idle && !m_lingering;
    }

    /// Records what the connection holds, and whether it is idle. To be called after each change of either.
    void noteState()
    {
        const auto held = m_input.capacity() + m_output.capacity() + m_reader->heldBytes();
        m_memory.set(m_closed ? 0 : held + requestCopies * m_requestBytes);
        auto *queue = queueOfState();
        if (queue == m_queue)
            return;
        leaveQueue();
        m_queue = queue;
        if (queue)
            m_place = queue->insert(queue->end(), this);
    }

    /// Returns the list of Shared that the connection belongs to; null if there is none.
    std::list<Connection *> *queueOfState()
    {
        if (m_closed || m_lingering || !m_exchange.expired() || !m_output.empty())
            return nullptr;
        if (isReading())
            return &m_shared->reading;
        return m_input.empty() ? &m_shared->idle : nullptr;
    }

    void leaveQueue()
    {
        if (const auto queue = std::exchange(m_queue, nullptr))
            queue->erase(m_place);
    }

    /// A caller that does not read its answers is responsible for what it has not read, one that sends a request slowly
    /// for that part. A request in progress is not shed, as it may have run.
    std::optional<Duration> stalledFor(Instant now) override
    {
        if (m_closed)
            return std::nullopt;
        if (!m_output.empty())
            return now - m_writtenAt;
        if (m_exchange.expired() && !m_lingering)
            return now - m_readAt;
        return std::nullopt;
    }

    bool isHeldUp() override
    {
        ErrorCode ignored;
        return m_isHeldUp && (isWhole() || m_socket.available(ignored) > 0);
    }

    void shed() override
    {
        const auto self = shared_from_this();
        if (m_output.empty() && isReading()) {
            ++m_shared->losses.refusedForMemory;
            return refuse({RejectionCause::ShortOfMemory, m_shared->settings.shedStatus, "the node is short of memory",
                           Verdict::NotRun, retryAfter()});
        }
        ++m_shared->losses.closedForMemory;
        closeNow(UnansweredCause::ShortOfMemory);
    }

    /// Returns true if a request has arrived, whole or in part, and was not dispatched.
    bool isReading() const
    {
        return m_reader->state() == RequestReader::State::Reading || isWhole();
    }

    /// Returns true if a whole request waits for memory to be dispatched.
    bool isWhole() const
    {
        return m_reader->state() == RequestReader::State::Complete;
    }

    /// Returns the time after which the caller should send a request again that is refused now; nothing without a
    /// budget.
    std::optional<Duration> retryAfter() const
    {
        return m_memory.retryAfter(BootClock{}.now());
    }

    Duration timeoutOfState() const
    {
        return isReading() ? m_shared->settings.headerTimeout : m_shared->settings.idleTimeout;
    }

    void startState()
    {
        m_stateSince = BootClock{}.now();
        m_limit = timeoutOfState();
    }

    /// Closes an idle connection at once, unless the kernel holds a request for it. A request that arrives later is
    /// certainly unread, so that its caller may send it again.
    void closeUnlessUsed()
    {
        const auto idleSince = m_stateSince;
        read();
        if (m_exchange.expired() && !m_lingering && m_stateSince == idleSince)
            closeNow(UnansweredCause::NotRead);
    }

    /// Refuses a request that is late, unless the kernel holds the rest of it, as after a stall of the process.
    void refuseUnlessComplete()
    {
        const auto begunAt = m_stateSince;
        const auto isSame = [&] { return !m_closed && isReading() && m_stateSince == begunAt; };
        ErrorCode ignored;
        // A caller that goes on sending must not hold up the loop, so no more is read than a whole request.
        const auto &limits = m_shared->settings.limits;
        for (auto left = limits.headerBytes + limits.bodyBytes;
             isSame() && !isWhole() && left > 0 && m_socket.available(ignored) > 0 && mayRead();
             left -= std::min(left, readBytes))
            read();
        if (isSame() && isWhole())
            shed();
        else if (isSame())
            refuse({RejectionCause::BadRequest, 408, "the request did not come in time", Verdict::NotRun, {}});
    }

    void resetReader()
    {
        m_reader = std::make_unique<RequestReader>(m_shared->settings.limits);
        startState();
    }

    void waitForBytes()
    {
        if (!m_closed)
            Detail::waitFor(m_socket, tcp::socket::wait_read, shared_from_this(), &Connection::m_waitingForBytes,
                            &Connection::read);
    }

    void read()
    {
        if (m_closed)
            return;
        if (isLastRequestRead())
            return leaveUnread();
        if (!m_lingering && !mayRead())
            return holdUp();
        const auto error = receive();
        if (error == asio::error::would_block)
            return waitForBytes();
        if (error)
            return onInputEnd(error);
        if (m_lingering) {
            m_input.clear(); // The rest of a refused request.
            return waitForBytes();
        }
        parse();
        noteState();
        readOn();
    }

    /// Waits for more bytes, unless enough has been read or there is no memory for more.
    void readOn()
    {
        if (m_closed || m_hasUnread || m_isHeldUp || m_input.size() >= maxPipelinedBytes)
            return;
        if (m_lingering || mayRead())
            return waitForBytes();
        holdUp();
    }

    bool mayRead() const
    {
        return m_memory.mayGrow(std::max(readBytes, m_reader->growthFor(readBytes)));
    }

    /// Stops reading until there is memory for more.
    void holdUp()
    {
        if (!std::exchange(m_isHeldUp, true))
            m_shared->heldUp.push_back(weak_from_this());
    }

    /// Appends what has arrived to the input.
    ErrorCode receive()
    {
        static thread_local std::array<char, readBytes> bytes;
        ErrorCode error;
        const auto size = m_socket.read_some(asio::buffer(bytes), error);
        m_input.append({bytes.data(), size});
        if (size > 0)
            m_readAt = BootClock{}.now();
        return error;
    }

    /// Returns true if another request, or a part of one, has arrived.
    bool hasNextRequest()
    {
        if (hasNextInput())
            return true;
        receive(); // An error is handled by read(), where it occurs again.
        return hasNextInput();
    }

    /// Returns true if another request, or a part of one, has been read.
    bool hasNextInput() const
    {
        return m_input.view().find_first_not_of("\r\n") != std::string_view::npos;
    }

    /// Returns true if the connection closes after a response that is in progress or has ended.
    bool isLastRequestRead() const
    {
        return m_lingering ? !m_isRefused : !m_exchange.expired() && !m_keepsConnection;
    }

    /// Leaves what has arrived in the kernel's buffer, so that the close resets the connection and the caller knows
    /// that its request is unread.
    void leaveUnread()
    {
        char byte = 0;
        ErrorCode error;
        m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block)
            return waitForBytes();
        if (error)
            return onInputEnd(error);
        if (!std::exchange(m_hasUnread, true))
            ++m_shared->losses.requests;
    }

    /// Closes the connection. A caller that has ended only its sending direction gets the rest of an answer first.
    void onInputEnd(const ErrorCode &error)
    {
        if (error != asio::error::eof)
            return closeNow(UnansweredCause::CallerReset, error);
        if (!m_exchange.expired() || m_output.empty())
            return closeNow(UnansweredCause::CallerClosed);
        m_lingering = true;
    }

    /// Returns the number of written bytes that the caller's kernel has not received but may still receive; nothing if
    /// this node's kernel does not tell.
    std::optional<int> undelivered()
    {
        if (tcpState() == TCP_CLOSE)
            return 0;
        int unacknowledged = 0;
        if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
            return std::nullopt;
        return unacknowledged;
    }

    /// Returns true if a close would reset the connection, as it holds unread bytes, before an answer is delivered.
    bool isEndangered()
    {
        return m_hasUnread && undelivered() > 0;
    }

    /// Returns the state of the connection, such as TCP_CLOSE; nothing if the kernel does not tell.
    std::optional<int> tcpState()
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == 0)
            return std::nullopt;
        return info.tcpi_state;
    }

    /// Dispatches the requests that have arrived, until one is not answered at once.
    void parse()
    {
        if (std::exchange(m_isParsing, true))
            return; // A handler has answered at once; its caller goes on with the next request.
        while (parseRequest()) { }
        m_isParsing = false;
    }

    /// Parses what has arrived of one request, and dispatches it if it is whole. Returns true if it did.
    bool parseRequest()
    {
        if (m_closed || m_lingering || !m_exchange.expired())
            return false;
        if (m_output.size() > m_shared->settings.maxUnsentBeforeNext)
            return false; // flush() goes on.
        if (!isWhole() && !feedReader())
            return false;
        if (!mayDispatch()) {
            holdUp();
            return false;
        }
        dispatchRequest();
        return true;
    }

    /// Feeds what has arrived to the reader, and refuses a request that it rejects. Returns true if the request is
    /// whole.
    bool feedReader()
    {
        if (m_input.empty())
            return false;
        const bool wasIdle = m_reader->state() == RequestReader::State::Idle;
        m_input.take(m_reader->feed(m_input.view()));
        if (wasIdle)
            startState();
        if (m_reader->state() == RequestReader::State::Failed)
            refuse({RejectionCause::BadRequest,
                    m_reader->refusalStatus(),
                    m_reader->refusalReason(),
                    Verdict::NotRun,
                    {}});
        else if (m_reader->state() == RequestReader::State::Reading)
            checkHead();
        if (m_reader->takeExpectContinue() && m_reader->state() == RequestReader::State::Reading)
            send("HTTP/1.1 100 Continue\r\n\r\n");
        return !m_lingering && !m_closed && isWhole();
    }

    /// Rejects a request by its head, once, before the rest of it is read.
    void checkHead()
    {
        const auto &check = m_shared->settings.checkHead;
        if (!check || m_isHeadChecked || !m_reader->head())
            return;
        m_isHeadChecked = true;
        if (const auto response = check(*m_reader->head()))
            refuse(*response);
    }

    /// Returns true if there is memory for the copies of the whole request, or if no other one takes it.
    bool mayDispatch() const
    {
        return m_shared->active == 0 || m_memory.mayGrow((requestCopies - 1) * m_reader->heldBytes());
    }

    void dispatchRequest()
    {
        m_keepsConnection = m_reader->keepsConnection();
        m_requestBytes = m_reader->heldBytes();
        auto exchange = std::make_shared<Exchange>(shared_from_this(), m_reader->takeRequest(), BootClock{}.now());
        m_exchange = exchange;
        m_reader = std::make_unique<RequestReader>(m_shared->settings.limits);
        m_isHeadChecked = false;
        ++m_shared->active;
        noteState();
        m_shared->handler(std::move(exchange));
    }

    void refuse(const Rejection &rejection)
    {
        refuse(m_shared->settings.writeRejection(rejection));
    }

    /// Refuses a request that was not dispatched, and closes the connection once the caller has had time to read that.
    void refuse(const Http::Response &response)
    {
        m_isRefused = true;
        m_input.clear();
        reject(response);
        closeGracefully();
    }

    void reject(const Rejection &rejection)
    {
        reject(m_shared->settings.writeRejection(rejection));
    }

    void reject(const Http::Response &response)
    {
        auto headers = response.headers;
        headers.add("Content-Length", std::to_string(response.body.size()));
        headers.add("Connection", "close");
        send(headText(response.status, headers) + "\r\n" + response.body);
    }

    void closeGracefully()
    {
        if (m_closed || m_lingering)
            return;
        m_lingering = true;
        startState();
        m_reader = std::make_unique<RequestReader>(m_shared->settings.limits);
        noteState();
        if (m_output.empty())
            shutdownSend();
        waitForBytes();
    }

    void shutdownSend()
    {
        ErrorCode ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void waitForWritable()
    {
        if (!m_closed)
            Detail::waitFor(m_socket, tcp::socket::wait_write, shared_from_this(), &Connection::m_waitingForWritable,
                            &Connection::flush);
    }

    void flush()
    {
        if (m_closed)
            return;
        ErrorCode error;
        const auto written = m_socket.write_some(asio::buffer(m_output.view()), error);
        if (error && error != asio::error::would_block)
            return closeNow(UnansweredCause::WriteFailed, error);
        m_output.take(error ? 0 : written);
        if (!error)
            m_writtenAt = BootClock{}.now();
        if (m_lingering || isIdle())
            m_stateSince = BootClock{}.now(); // The time-out is one of callers that do not read.
        noteState();
        parse(); // The next request may have waited for the caller to read.
        readOn();
        if (!m_output.empty())
            return waitForWritable();
        if (m_lingering && !m_closed)
            shutdownSend();
    }

    tcp::socket m_socket;
    std::shared_ptr<Shared> m_shared;
    std::unique_ptr<RequestReader> m_reader;
    std::weak_ptr<Exchange> m_exchange;
    Detail::ByteQueue m_input;
    Detail::ByteQueue m_output;
    Budget::MemoryShare m_memory; ///< Of all that the connection holds.
    std::size_t m_requestBytes = 0; ///< Held by the request in progress.
    std::list<Connection *> *m_queue = nullptr; ///< The list of Shared that it is in; null if it is in none.
    std::list<Connection *>::iterator m_place; ///< Its place there.
    Instant m_readAt = BootClock{}.now(); ///< When bytes were last read.
    Instant m_writtenAt{}; ///< When bytes were last written.
    std::string m_answeredId; ///< Id of the request that was answered last.
    Instant m_stateSince{}; ///< Start of the current state, for timeouts.
    Duration m_limit{}; ///< Timeout of the current state, while no request is in progress.
    bool m_keepsConnection = true;
    bool m_waitingForBytes = false;
    bool m_isParsing = false;
    bool m_waitingForWritable = false;
    bool m_lingering = false; ///< Sends only buffered bytes and gives the caller time to read them.
    bool m_isHeadChecked = false; ///< Of the request that arrives.
    bool m_isRefused = false; ///< What still arrives belongs to a request that was refused.
    bool m_isHeldUp = false; ///< Has stopped reading, or does not dispatch a whole request, for want of memory.
    bool m_hasUnread = false; ///< Bytes after the last request are in the kernel's buffer.
    bool m_closed = false;
};

Exchange::~Exchange()
{
    m_onGone = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->releaseResponse(*this, m_verdictOnRelease);
}

void Exchange::respond(const Http::Response &response)
{
    const auto self = shared_from_this();
    if (!m_connection)
        return;
    auto text = headText(response.status, response.headers);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (m_connection->closesAfterResponse())
        text += "Connection: close\r\n";
    text += "\r\n";
    m_hasBegun = true;
    const bool isLarge = response.body.size() >= largeBodyBytes;
    if (!isLarge)
        text += response.body;
    m_connection->send(text);
    if (isLarge && m_connection)
        m_connection->send(response.body);
    end();
}

void Exchange::begin(unsigned status, const Http::Headers &headers, std::optional<std::uint64_t> length)
{
    const auto self = shared_from_this();
    if (!m_connection)
        return;
    m_chunked = !length;
    auto text = headText(status, headers);
    text += length ? "Content-Length: " + std::to_string(*length) + "\r\n" : "Transfer-Encoding: chunked\r\n";
    if (m_connection->closesAfterResponse())
        text += "Connection: close\r\n";
    text += "\r\n";
    m_hasBegun = true;
    m_connection->send(text);
}

void Exchange::write(std::string_view piece)
{
    const auto self = shared_from_this();
    if (!m_connection || piece.empty())
        return;
    if (!m_chunked)
        return m_connection->send(piece);
    auto chunk = chunkHead(piece.size());
    chunk.append("\r\n").append(piece).append("\r\n");
    m_connection->send(chunk);
}

void Exchange::end()
{
    const auto self = shared_from_this();
    if (!m_connection)
        return;
    if (m_chunked)
        m_connection->send("0\r\n\r\n");
    m_onGone = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->finishResponse(m_id);
}

bool Exchange::hasCallerLeft()
{
    return !m_connection || m_connection->hasCallerClosed();
}

void Exchange::abort()
{
    const auto self = shared_from_this();
    m_onGone = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->abortResponse(*this);
}

} // namespace

Http::Response plainRejection(const Rejection &rejection)
{
    Http::Response response{rejection.status, {{"Content-Type", "text/plain"}}, rejection.reason + '\n'};
    if (rejection.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*rejection.retryAfter);
        response.headers.add("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

struct CallerServer::Private : std::enable_shared_from_this<CallerServer::Private> {
    Private(Http::EventLoop &eventLoop, CallerServerSettings settings, Handler handler)
        : context(eventLoop.context())
        , loop(eventLoop)
        , shared(std::make_shared<Shared>())
        , acceptor(context)
    {
        shared->settings = std::move(settings);
        shared->handler = std::move(handler);
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
            // A connection may have been accepted just before the acceptor was closed.
            if (!error && !self->isDestroyed)
                self->take(std::move(socket));
            if (error == asio::error::no_descriptors)
                return self->acceptLater();
            if (error != asio::error::operation_aborted && self->acceptor.is_open())
                self->accept();
        });
    }

    /// Accepts again after a pause, as the process has no descriptor left, and makes one free.
    void acceptLater()
    {
        makeRoom(BootClock{}.now());
        loop.runAfter(acceptPause, [self = shared_from_this()] {
            if (!self->isDestroyed && self->acceptor.is_open())
                self->accept();
        });
    }

    /// Closes the connection that has been idle longest, or the one that has been sending a request for longest, if
    /// that is some time. Returns true if it did.
    bool makeRoom(Instant now)
    {
        const auto waits
            = [now](const auto &queue) { return !queue.empty() && queue.front()->waitedFor(now) >= minWaitTime; };
        if (waits(shared->idle)) {
            const auto connection = shared->idle.front()->shared_from_this();
            connection->closeIfIdle();
            const bool isClosed = !shared->connections.contains(connection); // It may have had a request.
            shared->losses.idle += isClosed ? 1 : 0;
            return isClosed;
        }
        if (!waits(shared->reading))
            return false;
        shared->reading.front()->dropRequest();
        ++shared->losses.slow;
        return true;
    }

    /// Lets connections read on that have stopped for want of memory.
    void resumeHeldUp()
    {
        for (const auto &each : std::exchange(shared->heldUp, {})) {
            if (const auto connection = each.lock())
                connection->resume();
        }
    }

    /// Takes the connections that have been made and wait to be accepted, as after a stall of the process.
    void acceptWaiting()
    {
        ErrorCode error;
        acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(context);
            acceptor.accept(socket, error);
            if (!error)
                take(std::move(socket));
        }
    }

    void take(tcp::socket socket)
    {
        if (shared->connections.size() >= shared->settings.maxConnections && !makeRoom(BootClock{}.now())) {
            ++shared->losses.connections;
            return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket), shared);
        shared->connections.insert(connection);
        connection->start();
        if (shared->leavesNext)
            connection->closeIfIdle();
    }

    asio::io_context &context;
    Http::EventLoop &loop;
    std::shared_ptr<Shared> shared;
    tcp::acceptor acceptor;
    bool isDestroyed = false; ///< The server is gone, and its handler with it.
};

CallerServer::CallerServer(Http::EventLoop &loop, CallerServerSettings settings, Handler handler)
    : m_d(std::make_shared<Private>(loop, std::move(settings), std::move(handler)))
{
}

CallerServer::~CallerServer()
{
    ErrorCode ignored;
    m_d->acceptor.close(ignored);
    m_d->isDestroyed = true;
    m_d->shared->onUnanswered = nullptr;
}

void CallerServer::onUnanswered(std::function<void(const UnansweredRequest &)> task)
{
    m_d->shared->onUnanswered = std::move(task);
}

std::uint16_t CallerServer::listen(const Http::Endpoint &endpoint)
{
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    m_d->acceptor.open(address.protocol());
    m_d->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_d->acceptor.bind(address);
    m_d->acceptor.listen(1024);
    m_d->accept();
    return m_d->acceptor.local_endpoint().port();
}

void CallerServer::setSettings(const CallerServerSettings &settings)
{
    m_d->shared->settings = settings;
    for (const auto &connection : m_d->shared->connections)
        connection->onSettings();
}

void CallerServer::sweep(Instant now)
{
    const std::vector<std::shared_ptr<Connection>> all(m_d->shared->connections.begin(),
                                                       m_d->shared->connections.end());
    for (const auto &connection : all)
        connection->sweep(now);
    m_d->resumeHeldUp();
}

void CallerServer::announceClose()
{
    m_d->shared->closing = true;
}

void CallerServer::stopAccepting()
{
    m_d->shared->leavesNext = true;
    m_d->acceptWaiting();
    ErrorCode ignored;
    m_d->acceptor.close(ignored);
    const std::vector<std::shared_ptr<Connection>> all(m_d->shared->connections.begin(),
                                                       m_d->shared->connections.end());
    for (const auto &connection : all)
        connection->closeIfIdle();
}

void CallerServer::refuseRest()
{
    const std::vector<std::shared_ptr<Connection>> all(m_d->shared->connections.begin(),
                                                       m_d->shared->connections.end());
    for (const auto &connection : all)
        connection->refuseIfReading();
}

std::size_t CallerServer::connections() const
{
    return m_d->shared->connections.size();
}

std::size_t CallerServer::activeRequests() const
{
    return m_d->shared->active;
}

bool CallerServer::isDrained() const
{
    return std::ranges::none_of(m_d->shared->connections, [](const auto &connection) { return connection->isBusy(); });
}

void CallerServer::reportUnwritten()
{
    for (const auto &connection : m_d->shared->connections)
        connection->reportUnwritten(UnansweredCause::Exit);
    m_d->shared->onUnanswered = nullptr;
}

const CallerLosses &CallerServer::losses() const
{
    return m_d->shared->losses;
}

} // namespace Gypsumtally::Relay
