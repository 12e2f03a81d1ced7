#include "relay/requestreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace Gypsumtally::Relay
{

namespace bhttp = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace
{

constexpr std::size_t minBodyCapacity = 1024;
/// Memory of a header field beside its text: two strings, of which a vector may have reserved as many again.
constexpr std::size_t fieldBytes = 2 * sizeof(std::pair<std::string, std::string>);

/// A body whose storage grows with what has arrived rather than with the stated length, and never beyond the limit, as
/// callers choose both the length and the size of chunks.
struct LimitedBody {
    struct value_type { // NOLINT(readability-identifier-naming): Beast's name.
        std::string text;
        std::size_t limit = 0;

        /// Returns the capacity that @p bytes more take.
        std::size_t capacityWith(std::size_t bytes) const
        {
            const auto size = text.size() + bytes;
            if (size <= text.capacity())
                return text.capacity();
            return std::max(size, std::min(limit, std::max(minBodyCapacity, 2 * text.capacity())));
        }
    };

    class reader // NOLINT(readability-identifier-naming): Beast's name.
    {
    public:
        template<bool isRequest, typename Fields>
        reader(bhttp::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, ErrorCode &error)
        {
            error = {};
            if (length)
                m_body.limit = std::min<std::uint64_t>(m_body.limit, *length);
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, ErrorCode &error)
        {
            error = {};
            std::size_t taken = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                append({static_cast<const char *>(buffer.data()), buffer.size()});
                taken += buffer.size();
            }
            return taken;
        }

        void finish(ErrorCode &error)
        {
            error = {};
        }

    private:
        void append(std::string_view bytes)
        {
            auto &text = m_body.text;
            if (const auto capacity = m_body.capacityWith(bytes.size()); capacity > text.capacity()) {
                std::string larger; // A string that grows takes at least twice its capacity, also beyond the limit.
                larger.reserve(capacity);
                larger.append(text);
                text.swap(larger);
            }
            text.append(bytes);
        }

        value_type &m_body;
    };
};

} // namespace

struct RequestReader::Private {
    bhttp::request_parser<LimitedBody> parser;
    bool hasHead = false;
};

RequestReader::RequestReader(const RequestLimits &limits)
    : m_d(std::make_unique<Private>())
{
    m_d->parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_d->parser.body_limit(limits.bodyBytes);
    m_d->parser.get().body().limit = limits.bodyBytes;
}

RequestReader::~RequestReader() = default;

std::size_t RequestReader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    if (m_state == State::Idle) {
        // Empty lines before a request are skipped, as some clients send one after a body.
        while (used < bytes.size() && (bytes[used] == '\r' || bytes[used] == '\n'))
            ++used;
        if (used == bytes.size())
            return used;
        m_state = State::Reading;
    }
    while (m_state == State::Reading && used < bytes.size()) {
        ErrorCode error;
        const bool isHead = !m_d->hasHead;
        const auto taken = m_d->parser.put(boost::asio::buffer(bytes.substr(used)), error);
        if (isHead) // The parser holds each line of the head as a field.
            m_headBytes += taken + fieldBytes * std::ranges::count(bytes.substr(used, taken), '\n');
        used += taken;
        if (error == bhttp::error::need_more)
            return used;
        if (error == bhttp::error::header_limit)
            fail(431, "the headers are too large");
        else if (error == bhttp::error::body_limit)
            fail(413, "the body is too large");
        else if (error)
            fail(400, "not an HTTP request: " + error.message());
        else if (m_d->parser.is_header_done() && !m_d->hasHead)
            readHead();
        if (m_state == State::Reading && m_d->parser.is_done()) {
            m_request.body = std::move(m_d->parser.get().body().text);
            m_state = State::Complete;
        } else if (taken == 0 && m_state == State::Reading) {
            return used;
        }
    }
    return used;
}

void RequestReader::readHead()
{
    m_d->hasHead = true;
    auto &message = m_d->parser.get();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    bool hasEncoding = false;
    for (const auto &field : message) {
        hasEncoding = hasEncoding || field.name() == bhttp::field::transfer_encoding;
        m_request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    m_keepsConnection = message.keep_alive();
    m_expectContinue = boost::beast::iequals(message[bhttp::field::expect], "100-continue");
    if (hasEncoding && !boost::beast::iequals(message[bhttp::field::transfer_encoding], "chunked"))
        return fail(400, "the transfer encoding is not supported");
    if (!m_request.target.starts_with('/'))
        return fail(400, "the request target is not a path");
    m_d->parser.eager(true);
    message.clear(); // The fields of the head were copied; trailers are dropped.
}

std::size_t RequestReader::growthFor(std::size_t bytes) const
{
    const auto &body = m_d->parser.get().body();
    return body.capacityWith(std::min(bytes, body.limit - std::min(body.limit, body.text.size())))
           - body.text.capacity();
}

std::size_t RequestReader::heldBytes() const
{
    return m_headBytes + m_d->parser.get().body().text.capacity() + m_request.body.capacity();
}

void RequestReader::fail(unsigned status, std::string reason)
{
    m_state = State::Failed;
    m_refusalStatus = status;
    m_refusalReason = std::move(reason);
}

bool RequestReader::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

const Http::Request *RequestReader::head() const
{
    return m_d->hasHead && m_state != State::Failed ? &m_request : nullptr;
}

Http::Request RequestReader::takeRequest()
{
    return std::move(m_request);
}

} // namespace Gypsumtally::Relay
