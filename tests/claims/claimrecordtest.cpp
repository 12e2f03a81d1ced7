#include "claims/claimrecord.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct NameCase {
    const char *customer;
    const char *service;
    const char *key;
    const char *name;
};

const NameCase names[] = {
    {"pirisidu", "shifts", "a-1", "pirisidu/services/shifts/a-1"},
    {"pirisidu", "", "a-1", "pirisidu/models/a-1"},
    {"a/b", "c", "../x y", "a%2fb/services/c/%2e%2e%2fx%20y"},
    {"a", "b/services/c", "k", "a/services/b%2fservices%2fc/k"},
};

const ClaimRecord records[] = {
    {{Incarnation{"4f"}, 7}, 0xffffffffffffffff, ClaimState::Claimed, std::nullopt},
    {{Incarnation{"4f"}, 7}, 1, ClaimState::Unknown, std::nullopt},
    {{Incarnation{"4f"}, 7}, 1, ClaimState::Ran, std::nullopt},
    {{Incarnation{"4f"}, 7}, 1, ClaimState::Ran, StoredAnswer{201, "text/plain", std::string("a\n\0\xff{", 5)}},
};

const char *const malformed[] = {"", "{}", "{}\n", "[]\n", "{\"incarnation\":\"4f\",\"call\":\"x\"}\n"};

} // namespace

TABLE_TEST(ClaimRecord, escapesNames, names)
{
    CallAttributes call;
    call.customer = CustomerId{row.customer};
    call.service = row.service;
    call.idempotencyKey = row.key;
    cr_assert_eq(claimName(call), std::string(row.name));
}

TABLE_TEST(ClaimRecord, roundTrips, records)
{
    cr_assert(decodeClaim(encodeClaim(row)) == row);
}

TABLE_TEST(ClaimRecord, refusesMalformedText, malformed)
{
    cr_assert(!decodeClaim(row));
}
