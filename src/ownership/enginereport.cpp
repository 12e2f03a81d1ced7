#include "ownership/enginereport.h"

namespace Gypsumtally
{

std::string engineRequestId(const Incarnation &incarnation, RequestNumber number)
{
    return incarnation.value + '-' + std::to_string(number);
}

bool wasSentBy(std::string_view engineRequestId, const Incarnation &incarnation)
{
    const std::string &prefix = incarnation.value;
    return engineRequestId.size() > prefix.size() && engineRequestId.starts_with(prefix)
           && engineRequestId[prefix.size()] == '-';
}

} // namespace Gypsumtally
