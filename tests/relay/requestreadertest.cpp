#include "relay/requestreader.h"

#include "support/table.h"

using namespace Gypsumtally::Relay;

namespace
{

struct RefusedCase {
    const char *bytes;
    unsigned status;
};

const RefusedCase refused[] = {
    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n", 400},
    {"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
    {"GET /a HTTP/1.1\r\nHost : h\r\n\r\n", 400},
    {"nonsense\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413},
};

struct WholeCase {
    const char *bytes;
    const char *target;
    const char *body;
    std::size_t left; ///< Number of bytes that belong to the next request.
};

const WholeCase whole[] = {
    {"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", "/a?b=c", "", 0},
    {"\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a", "", 0},
    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", "/a", "xyz", 0},
    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /b", "/a", "xyz", 6},
    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n", "/a", "xyz", 0},
    // Trailers are not headers: they must not set headers that only the system may set.
    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Hold: 7\r\n\r\n", "/a", "x", 0},
};

constexpr RequestLimits limits{512, 1000};

} // namespace

TABLE_TEST(RequestReader, refuses, refused)
{
    RequestReader reader(limits);
    reader.feed(row.bytes);
    cr_assert(reader.state() == RequestReader::State::Failed);
    cr_assert_eq(reader.refusalStatus(), row.status);
}

TABLE_TEST(RequestReader, readsWholeRequests, whole)
{
    RequestReader reader(limits);
    const std::string_view bytes = row.bytes;
    cr_assert_eq(bytes.size() - reader.feed(bytes), row.left);
    cr_assert(reader.state() == RequestReader::State::Complete);
    const auto request = reader.takeRequest();
    cr_assert_eq(request.target, std::string(row.target));
    cr_assert_eq(request.body, std::string(row.body));
    cr_assert_not(request.headers.contains("X-Hold"));
}

TABLE_TEST(RequestReader, readsByteByByte, whole)
{
    RequestReader reader(limits);
    std::string kept;
    for (const char byte : std::string_view(row.bytes)) {
        if (reader.state() == RequestReader::State::Complete)
            break;
        kept += byte;
        kept.erase(0, reader.feed(kept));
    }
    cr_assert(reader.state() == RequestReader::State::Complete);
    cr_assert_eq(reader.takeRequest().body, std::string(row.body));
}

Test(RequestReader, refusesLargeHeaders)
{
    RequestReader reader(limits);
    reader.feed("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
    cr_assert(reader.state() == RequestReader::State::Failed);
    cr_assert_eq(reader.refusalStatus(), 431U);
}

namespace
{

constexpr std::size_t limitedBody = 64 * 1024;
constexpr std::size_t limitedHead = 16 * 1024;

std::string repeated(std::string_view piece, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += piece;
    return text;
}

struct HeldCase {
    const char *name;
    std::string bytes;
    std::size_t least;
    std::size_t most;
};

const HeldCase held[] = {
    {"a length without a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n", 0, 2048},
    {"one-byte chunks",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + repeated("1\r\nx\r\n", limitedBody - 1),
     limitedBody - 1, limitedBody + 2048},
    {"many short fields", "POST /a HTTP/1.1\r\nHost: h\r\n" + repeated("a:b\r\n", 2000), 2000 * sizeof(std::string),
     600'000},
};

} // namespace

/// Guards against requests that hold more memory than is counted, or more than has arrived and the limits allow.
TABLE_TEST(RequestReader, countsWhatItHolds, held)
{
    RequestReader reader({limitedHead, limitedBody});
    reader.feed(row.bytes);
    cr_assert(reader.state() == RequestReader::State::Reading);
    cr_assert_geq(reader.heldBytes(), row.least, "%s: %zu", row.name, reader.heldBytes());
    cr_assert_leq(reader.heldBytes(), row.most, "%s: %zu", row.name, reader.heldBytes());
}
