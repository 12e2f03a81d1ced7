#include "gateway/orderterm.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

namespace
{

constexpr unsigned termBits = 32; ///< For the number of a term within an era.
constexpr unsigned revisionBits = 40; ///< For the revision in a fencing token; 13 bits remain for eras in JSON numbers.

std::uint64_t erasPassed(const OrderTerm &term)
{
    return term.era > term.firstEra ? term.era - term.firstEra : 0;
}

} // namespace

Predecessor predecessorOf(const OrderTerm &last, const OrderHolder &self, StoreEra era)
{
    return last.holder.node == self.node && last.settled && last.era == era ? Predecessor::Own : Predecessor::Other;
}

OrderTerm termAfter(const OrderTerm &last, const OrderHolder &self, StoreEra era)
{
    OrderTerm term{0, self, false, 0, era, last.firstEra != 0 ? last.firstEra : era};
    term.number = std::max(last.number + 1, erasPassed(term) << termBits);
    return term;
}

std::uint64_t fenceOf(const OrderTerm &term, Revision revision)
{
    return (erasPassed(term) << revisionBits) + static_cast<std::uint64_t>(revision);
}

std::string encode(const OrderTerm &term)
{
    return json::serialize(json::object{{"term", term.number},
                                        {"node", term.holder.node},
                                        {"started", term.holder.startedAt},
                                        {"settled", term.settled},
                                        {"era", term.era},
                                        {"first_era", term.firstEra}});
}

OrderTerm decodeOrderTerm(const std::optional<std::string> &value, Revision revision)
{
    const auto object = value ? parseObject(*value) : std::nullopt;
    if (!object)
        return {};
    return {numberAt<std::uint64_t>(*object, "term"),
            {textAt(*object, "node"), numberAt<std::int64_t>(*object, "started")},
            flagAt(*object, "settled"),
            revision,
            numberAt<StoreEra>(*object, "era"),
            numberAt<StoreEra>(*object, "first_era")};
}

} // namespace Gypsumtally::Gateway
