#include "http/responsereader.h"

#include "support/rawserver.h"
#include "support/table.h"

#include <string>
#include <vector>

using namespace Gypsumtally::Http;

namespace
{

using State = ResponseReader::State;

struct ResponseCase {
    const char *bytes;
    bool ends; ///< True if the connection is closed after the bytes.
    State state;
    const char *body;
    std::size_t surplus;
};

const ResponseCase responses[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", false, State::Complete, "xyz", 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyzHTTP/1.1 200", false, State::Complete, "xyz", 12},
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxy", true, State::Failed, "xy", 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n", false, State::Complete, "xyz", 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n", true, State::Failed, "xyz", 0},
    {"HTTP/1.1 200 OK\r\n\r\nxyz", true, State::Complete, "xyz", 0},
    {"HTTP/1.1 200 OK\r\n\r\nxyz", false, State::Reading, "xyz", 0},
    {"HTTP/1.1 204 No Content\r\n\r\n", false, State::Complete, "", 0},
    {"HTTP/1.1 200 OK\r\nContent-L", true, State::Failed, "", 0},
    {"garbage\r\n\r\n", false, State::Failed, "", 0},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", false, State::Complete, "xyz", 0},
    {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
     false, State::Complete, "", 0},
    {"HTTP/1.1 100 Continue\r\n\r\n", false, State::Reading, "", 0},
    {"HTTP/1.1 100 Continue\r\n\r\n", true, State::Failed, "", 0},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-L", true, State::Failed, "", 0},
};

struct Read {
    State state = State::Reading;
    std::string body;
    std::size_t surplus = 0;
};

Read readInPieces(const ResponseCase &row, std::size_t pieceSize)
{
    Read read;
    ResponseReader reader({[](const ResponseHead &) {}, [&](std::string_view piece) { read.body += piece; }});
    std::string_view bytes = row.bytes;
    while (!bytes.empty() && reader.state() == State::Reading) {
        const auto piece = bytes.substr(0, pieceSize);
        reader.feed(piece);
        bytes.remove_prefix(piece.size());
    }
    if (row.ends)
        reader.finish({});
    read.state = reader.state();
    read.surplus = reader.surplus();
    return read;
}

} // namespace

TABLE_TEST(ResponseReader, readsAtOnce, responses)
{
    const auto read = readInPieces(row, 1000);
    cr_assert(read.state == row.state);
    cr_assert_eq(read.body, std::string(row.body));
    cr_assert_eq(read.surplus, row.surplus);
}

// Guards against the loss of the first half of a chunk header that arrives in two reads.
TABLE_TEST(ResponseReader, readsByteByByte, responses)
{
    const auto read = readInPieces(row, 1);
    cr_assert(read.state == row.state);
    cr_assert_eq(read.body, std::string(row.body));
}

namespace
{

/// Reads @p bytes in pieces of @p pieceSize; sets @p heads to the number of heads that are passed on.
Read readWithHeads(const std::string &bytes, std::size_t pieceSize, unsigned &heads)
{
    Read read;
    heads = 0;
    ResponseReader reader(
        {[&](const ResponseHead &) { ++heads; }, [&](std::string_view piece) { read.body += piece; }});
    for (std::size_t at = 0; at < bytes.size() && reader.state() == State::Reading; at += pieceSize)
        reader.feed(std::string_view(bytes).substr(at, pieceSize));
    read.state = reader.state();
    return read;
}

const char *const statusLines[] = {"HTTP/1.1 200 OK", "HTTP/1.1 204 No Content", "HTTP/1.1 421 Misdirected",
                                   "HTTP/1.1 599 Unknown", "HTTP/1.1 299 Unknown"};

} // namespace

/// A worker in trouble sent status 000, which its caller got as a response.
TABLE_TEST(ResponseReader, rejectsInvalidStatuses, Gypsumtally::Testing::invalidStatusLines)
{
    const std::string invalid = std::string(row) + "\r\nContent-Length: 3\r\n\r\nxyz";
    for (const auto &bytes : {invalid, "HTTP/1.1 100 Continue\r\n\r\n" + invalid}) {
        for (const std::size_t pieceSize : {1000, 1}) {
            unsigned heads = 0;
            const auto read = readWithHeads(bytes, pieceSize, heads);
            cr_assert(read.state == State::Failed, "%s in pieces of %zu", row, pieceSize);
            cr_assert_eq(heads, 0U, "%s", row);
            cr_assert_eq(read.body, std::string(), "%s", row);
        }
    }
}

/// Workers in trouble sent names of fields with blanks or control bytes, which callers got as they were, or which hid
/// the length of the body.
TABLE_TEST(ResponseReader, rejectsInvalidFields, Gypsumtally::Testing::invalidFields)
{
    const auto responses = Gypsumtally::Testing::responsesWith(row.line);
    for (const auto &bytes : responses) {
        for (const std::size_t pieceSize : {1000, 1}) {
            unsigned heads = 0;
            const bool isTrailer = &bytes == &responses.back();
            const auto read = readWithHeads(bytes, pieceSize, heads);
            cr_assert(read.state == State::Failed, "%s in pieces of %zu", row.name, pieceSize);
            cr_assert_eq(heads, isTrailer ? 1U : 0U, "%s", row.name);
            cr_assert_eq(read.body, std::string(isTrailer ? "xyz" : ""), "%s", row.name);
        }
    }
}

/// Guards against a body that is passed on in a coding that nobody names to the caller, or together with lines of
/// chunks.
TABLE_TEST(ResponseReader, removesAllTransferCodings, Gypsumtally::Testing::codedAnswers)
{
    const auto bytes = std::string(row.version) + " 200 OK\r\n" + row.fields + "\r\n" + row.body;
    for (const std::size_t pieceSize : {1000, 1}) {
        const auto read = readInPieces({bytes.c_str(), true, State::Reading, "", 0}, pieceSize);
        cr_assert(read.state == (row.isWhole ? State::Complete : State::Failed), "%s", row.name);
        cr_assert_eq(read.body, std::string(row.decoded), "%s: %s", row.name, read.body.c_str());
    }
}

/// Guards against the rejection of a response with an unusual status.
TABLE_TEST(ResponseReader, takesAllFinalStatuses, statusLines)
{
    unsigned heads = 0;
    const auto read = readWithHeads(std::string(row) + "\r\nContent-Length: 0\r\n\r\n", 1000, heads);
    cr_assert(read.state == State::Complete, "%s", row);
    cr_assert_eq(heads, 1U, "%s", row);
}

namespace
{

const char *const wholeResponses[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nX-A: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz",
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
};

} // namespace

/// Guards against a response that counts as whole although its connection was closed inside its head or body.
TABLE_TEST(ResponseReader, failsIfClosedBeforeTheLastByte, wholeResponses)
{
    const std::string_view whole = row;
    for (std::size_t length = 0; length < whole.size(); ++length) {
        ResponseReader reader({[](const ResponseHead &) {}, [](std::string_view) {}});
        if (length > 0)
            reader.feed(whole.substr(0, length));
        cr_assert(reader.state() == State::Reading, "complete after %zu bytes", length);
        reader.finish({});
        cr_assert(reader.state() == State::Failed, "whole after %zu bytes", length);
    }
    ResponseReader reader({[](const ResponseHead &) {}, [](std::string_view) {}});
    reader.feed(whole);
    cr_assert(reader.state() == State::Complete);
}

/// Guards against an interim response that is taken for the answer.
Test(ResponseReader, passesOnTheHeadAfterInterimResponses)
{
    std::vector<unsigned> heads;
    ResponseReader reader({[&](const ResponseHead &head) { heads.push_back(head.status); }, [](std::string_view) {}});
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 "
                "Busy\r\nContent-Length: 0\r\n\r\n");
    cr_assert_eq(heads.size(), 1U);
    cr_assert_eq(heads.front(), 503U);
}

Test(ResponseReader, readsKeepAliveTimeout)
{
    ResponseReader reader({[](const ResponseHead &) {}, {}});
    reader.feed("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=9\r\nContent-Length: 0\r\n\r\n");
    cr_assert(reader.keepsConnection());
    cr_assert_eq(reader.keepAliveSeconds().value_or(0), 5U);
}

namespace
{

struct EndlessCase {
    const char *head;
    const char *filler;
};

const EndlessCase endless[] = {
    {"HTTP/1.1 200 ", "OK"},
    {"", "x"},
    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=", "b"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "b"},
};

} // namespace

TABLE_TEST(ResponseReader, rejectsEndlessInput, endless)
{
    std::size_t body = 0;
    ResponseReader reader({[](const ResponseHead &) {}, [&](std::string_view piece) { body += piece.size(); }});
    if (row.head[0] != 0)
        reader.feed(row.head);
    std::string filler;
    while (filler.size() < 1000)
        filler += row.filler;
    for (int i = 0; i < 100 && reader.state() == State::Reading; ++i)
        reader.feed(filler);
    cr_assert(reader.state() == State::Failed);
    cr_assert_eq(body, 0U);
}
