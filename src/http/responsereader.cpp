#include "http/responsereader.h"

#include "http/interimresponse.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace Gypsumtally::Http
{

namespace bhttp = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace
{

using Parser = bhttp::response_parser<bhttp::buffer_body>;

constexpr std::size_t bodyBufferBytes = 16 * 1024;
/// Limit for a head, a chunk header or a trailer, which are buffered until they are complete.
constexpr std::size_t maxUnparsedBytes = 32 * 1024;

std::optional<unsigned> keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const auto at = value.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const auto *begin = value.data() + at + key.size();
    const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
    return error == std::errc{} ? std::optional(seconds) : std::nullopt;
}

/// Returns true if @p parser takes off all transfer codings that the head names. Codings other than chunks are owed to
/// a client only if it asks for them (RFC 9112, 7.4), and are not known to those that the body is passed on to.
bool removesTransferCodings(const Parser &parser)
{
    unsigned chunkedTimes = 0;
    for (const auto &field : parser.get()) {
        if (field.name() != bhttp::field::transfer_encoding)
            continue;
        const bhttp::token_list codings(field.value());
        if (codings.begin() == codings.end() && !field.value().empty())
            return false;
        for (const auto &coding : codings) {
            if (boost::beast::iequals(coding, "chunked"))
                ++chunkedTimes;
            else if (!boost::beast::iequals(coding, "identity"))
                return false;
        }
    }
    return chunkedTimes == (parser.chunked() ? 1U : 0U);
}

/// Returns true if a line of @p head begins with a blank, which the parser takes for a part of the value before it. A
/// gateway may refuse such a head (RFC 9112, 5.2); the line can be a field of its own that was written wrongly.
bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

/// Returns why a complete head, of which @p fields holds all fields, is not one of a response that can be passed on, or
/// an empty string.
std::string problemOfHead(const Parser &parser, std::string_view fields)
{
    if (!isFinal(parser.get().result_int()))
        return "the status is not one of a response";
    if (hasFoldedLine(fields))
        return "a line of the head begins with a blank";
    return removesTransferCodings(parser) ? "" : "the body has an unknown transfer coding";
}

} // namespace

struct ResponseReader::Private {
    Private()
    {
        restart();
    }

    /// Starts to parse a response from its first byte.
    void restart()
    {
        parser.emplace();
        parser->body_limit(boost::none);
        parser->eager(false);
    }

    std::optional<Parser> parser;
    bool hasHead = false;
    unsigned interimResponses = 0;
    std::array<char, bodyBufferBytes> bytes;
};

ResponseReader::ResponseReader(Observer observer)
    : m_d(std::make_unique<Private>())
    , m_observer(std::move(observer))
{
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::feed(std::string_view bytes)
{
    if (!m_unparsed.empty()) {
        m_unparsed += bytes;
        bytes = m_unparsed;
    }
    const auto used = parse(bytes);
    const auto rest = bytes.substr(used);
    if (m_state == State::Reading && rest.size() > maxUnparsedBytes) {
        m_state = State::Failed;
        m_problem = "a head or a trailer has no end";
        m_unparsed.clear();
    } else if (m_state == State::Reading)
        m_unparsed = std::string(rest);
    else if (m_state == State::Complete)
        m_surplus = rest.size();
}

std::size_t ResponseReader::parse(std::string_view bytes)
{
    std::size_t used = 0;
    while (m_state == State::Reading && used < bytes.size()) {
        auto &parser = *m_d->parser;
        parser.get().body().data = m_d->bytes.data();
        parser.get().body().size = m_d->bytes.size();
        parser.get().body().more = true;
        ErrorCode error;
        const auto taken = parser.put(boost::asio::buffer(bytes.substr(used)), error);
        used += taken;
        const auto received = m_d->hasHead ? m_d->bytes.size() - parser.get().body().size : 0;
        if (parser.is_header_done() && !m_d->hasHead) {
            if (isInterim(parser.get().result_int())) {
                skipInterim();
                continue;
            }
            m_problem = problemOfHead(parser, bytes.substr(used - taken, taken));
            if (!m_problem.empty()) {
                m_state = State::Failed;
                return used;
            }
            readHead();
        }
        if (received > 0)
            m_observer.onBody(std::string_view(m_d->bytes.data(), received));
        if (error == bhttp::error::need_more)
            return used;
        if (error && error != bhttp::error::need_buffer) {
            m_state = State::Failed;
            m_problem = error.message();
        } else if (parser.is_done()) {
            m_state = State::Complete;
        } else if (taken == 0 && received == 0) {
            return used;
        }
    }
    return used;
}

void ResponseReader::skipInterim()
{
    m_d->restart();
    if (++m_d->interimResponses <= maxInterimResponses)
        return;
    m_state = State::Failed;
    m_problem = "interim responses have no end";
}

void ResponseReader::readHead()
{
    m_d->hasHead = true;
    m_d->parser->eager(true);
    const auto &message = m_d->parser->get();
    ResponseHead head;
    head.status = message.result_int();
    for (const auto &field : message)
        head.headers.add(std::string(field.name_string()), std::string(field.value()));
    if (const auto length = m_d->parser->content_length())
        head.length = *length;
    m_keepAliveSeconds = keepAliveTimeout(head.headers.get("Keep-Alive"));
    m_observer.onHead(head);
}

void ResponseReader::finish(const ConnectionEnd &end)
{
    if (m_state != State::Reading)
        return;
    const bool isDelimitedByEnd = m_d->hasHead && m_d->parser->need_eof();
    if (isDelimitedByEnd && endsBody(end, m_d->parser->get().result_int())) {
        m_state = State::Complete;
        return;
    }
    m_state = State::Failed;
    m_problem = isDelimitedByEnd && end.isOrderly
                    ? "the connection ended in a success without a length, before the request was received"
                    : "the connection ended inside the response";
}

bool ResponseReader::keepsConnection() const
{
    return m_d->parser->keep_alive() && !m_d->parser->need_eof();
}

} // namespace Gypsumtally::Http
