#include "gateway/orderterm.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

Predecessor predecessorOf(const OrderTerm &last, const OrderHolder &self)
{
    return last.holder.node == self.node && last.settled ? Predecessor::Own : Predecessor::Other;
}

std::string encode(const OrderTerm &term)
{
    return json::serialize(json::object{{"term", term.number},
                                        {"node", term.holder.node},
                                        {"started", term.holder.startedAt},
                                        {"settled", term.settled}});
}

OrderTerm decodeOrderTerm(const std::optional<std::string> &value, Revision revision)
{
    const auto object = value ? parseObject(*value) : std::nullopt;
    if (!object)
        return {};
    return {numberAt<std::uint64_t>(*object, "term"),
            {textAt(*object, "node"), numberAt<std::int64_t>(*object, "started")},
            flagAt(*object, "settled"),
            revision};
}

} // namespace Gypsumtally::Gateway
