#include "gateway/crashquarantine.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

std::string encode(const CrashVerdict &verdict)
{
    return json::serialize(json::object{{"crashes", verdict.crashes},
                                        {"requests", verdict.requests},
                                        {"decided_ms", verdict.decidedAt},
                                        {"node", verdict.node}});
}

std::optional<CrashVerdict> decodeCrashVerdict(const CrashCause &cause, std::string_view text)
{
    const auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    return CrashVerdict{cause, numberAt<std::uint32_t>(*object, "crashes"),
                        numberAt<std::uint32_t>(*object, "requests"), numberAt<std::int64_t>(*object, "decided_ms"),
                        textAt(*object, "node")};
}

} // namespace Gypsumtally::Gateway
