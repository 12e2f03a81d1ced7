#include "gateway/callcharge.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

Allowances::Decision chargeCall(Allowances::FleetAllowance &allowance, Allowances::Charge &charge,
                                const std::string &organisation, const CallerRequest &request, Duration longestWait,
                                Instant now)
{
    const Allowances::StatedTokens tokens{request.promptTokens + request.outputTokens, request.hasTokens};
    auto decision = allowance.charge(charge, organisation, tokens, now, longestWait);
    decision.retryAfter = std::clamp(decision.retryAfter, Duration{}, std::max(Duration{}, longestWait));
    return decision;
}

void settleCharge(Allowances::FleetAllowance &allowance, Allowances::Charge &charge, Verdict verdict, Instant now)
{
    if (verdict == Verdict::NotRun)
        allowance.giveBack(charge, now);
}

void addLimit(std::vector<LogField> &fields, Allowances::FleetAllowance &allowance, const std::string &organisation,
              Instant now)
{
    if (organisation.empty())
        return;
    fields.emplace_back("organisation", organisation);
    if (auto level = allowance.levelText(organisation, now); !level.empty())
        fields.emplace_back("limit_level", std::move(level));
}

} // namespace Gypsumtally::Gateway
