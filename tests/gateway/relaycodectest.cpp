#include "gateway/relaycodec.h"

#include "support/table.h"

#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

const Http::Request request{"POST",
                            "/stream/1",
                            {{"Host", "h"},
                             {"X-Request-Id", "r1"},
                             {"Content-Length", "4"},
                             {"Connection", "close, X-Private"},
                             {"X-Private", "p"},
                             {"gypsumtally-Sends", "9"}},
                            "body"};

const RelayedCall calls[] = {
    {"n1", std::chrono::milliseconds{1500}, {}, 0, 0, 1, false, false, {}, {}, 0},
    {"n1", std::chrono::milliseconds{1500}, Duration{1}, 3, 2, 4, false, true, 18446744073709551615U, "v\r\n1",
     18446744073709551615U},
    {"n1", Duration{1}, std::chrono::milliseconds{700}, 1, 0, 1, true, false, 0, "", 12},
};

const RelayedAnswer answers[] = {
    {Verdict::NotRun, 0, 0, "", true},
    {Verdict::MayHaveRun, 2, 1, "v 2", false},
    {Verdict::Ran, 1, 0, "", false},
};

/// Headers of a relayed call with the value of one replaced; null: left out.
struct MalformedCase {
    const char *name;
    const char *value;
};

const MalformedCase malformed[] = {
    {"Gypsumtally-Relayed-By", nullptr},
    {"Gypsumtally-Relayed-By", ""},
    {"Gypsumtally-Time-Left-Us", nullptr},
    {"Gypsumtally-Time-Left-Us", "0"},
    {"Gypsumtally-Time-Left-Us", "1e3"},
    {"Gypsumtally-Time-Left-Us", "99999999999999999999"},
    {"Gypsumtally-Time-Spent-Us", "-1"},
    {"Gypsumtally-Sends", "4294967296"},
    {"Gypsumtally-Sends", "1"},
    {"Gypsumtally-Runs", "20000"},
    {"Gypsumtally-Runs", ""},
    {"Gypsumtally-Attempts", nullptr},
    {"Gypsumtally-Attempts", "0"},
    {"Gypsumtally-Configuration", nullptr},
    {"Gypsumtally-Configuration", "-1"},
    {"Gypsumtally-Last-Event", "x"},
    {"Gypsumtally-Last-Event", "-1"},
    {"Gypsumtally-Software", "7"},
    {"Gypsumtally-Software", "zz"},
};

/// Returns @p headers with the field of @p row replaced.
Http::Headers replaced(const Http::Headers &headers, const MalformedCase &row)
{
    Http::Headers changed;
    for (const auto &[name, value] : headers) {
        if (name != row.name)
            changed.add(name, value);
    }
    if (row.value)
        changed.add(row.name, row.value);
    return changed;
}

} // namespace

TABLE_TEST(RelayCodec, readsWhatItWrites, calls)
{
    const auto relayed = writeRelayedRequest(request, row);
    const auto read = readRelayedCall(relayed.headers);
    cr_assert(read.has_value());
    cr_assert(*read == row);
    std::size_t bytes = 0;
    for (const auto &[name, value] : relayed.headers)
        bytes += name.size() + value.size() + 4;
    cr_assert(bytes < relayHeaderBytes);
}

TABLE_TEST(RelayCodec, readsAnswersThatItWrites, answers)
{
    const auto headers = writeRelayedAnswer({{"X-Response-Signature", "s"}, {"Gypsumtally-Verdict", "forged"}}, row);
    const auto read = readRelayedAnswer(headers);
    cr_assert(read.has_value());
    cr_assert(*read == row);
    const auto forCaller = callerHeadersOf(headers);
    cr_assert_eq(std::distance(forCaller.begin(), forCaller.end()), 1);
    cr_assert_eq(forCaller.get("X-Response-Signature"), std::string_view("s"));
}

TABLE_TEST(RelayCodec, rejectsMalformedCalls, malformed)
{
    const RelayedCall call{"n1", std::chrono::seconds{1}, std::chrono::seconds{1}, 3, 2, 1, false, false, 5, "v1", 12};
    cr_assert(!readRelayedCall(replaced(writeRelayedRequest(request, call).headers, row)));
}

Test(RelayCodec, rejectsAnswersOfOthers)
{
    cr_assert(!readRelayedAnswer({}));
    cr_assert(!readRelayedAnswer({{"Gypsumtally-Verdict", "not-run"}}));
}

Test(RelayCodec, passesCallersHeadersOn)
{
    const auto relayed = writeRelayedRequest(request, calls[0]);
    cr_assert_eq(relayed.method, request.method);
    cr_assert_eq(relayed.target, request.target);
    cr_assert_eq(relayed.body, request.body);
    cr_assert_eq(relayed.headers.get("X-Request-Id"), std::string_view("r1"));
    cr_assert_eq(relayed.headers.get("X-Private"), std::string_view("p"));
    cr_assert_eq(relayed.headers.get("Connection"), std::string_view("X-Private"));
    cr_assert(!relayed.headers.contains("Content-Length"));
    cr_assert_eq(relayed.headers.get("Gypsumtally-Sends"), std::string_view("0"));
}

Test(RelayCodec, removesItsHeaders)
{
    const auto relayed = writeRelayedRequest(request, calls[1]);
    const auto headers = withoutRelayHeaders(relayed.headers);
    for (const auto &[name, value] : headers)
        cr_assert(!name.starts_with("Gypsumtally"), "%s", name.c_str());
    cr_assert_eq(headers.get("X-Request-Id"), std::string_view("r1"));
}
