#pragma once

#include "allowances/fleetallowance.h"
#include "common/verdict.h"
#include "gateway/dialect.h"
#include "logging/logging.h"

#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Charges a call whose caller comes back after @p longestWait at most to its organisation, by the tokens of
/// @p request. A call that belongs to none is granted. Not thread-safe.
Allowances::Decision chargeCall(Allowances::FleetAllowance &allowance, Allowances::Charge &charge,
                                const std::string &organisation, const CallerRequest &request, Duration longestWait,
                                Instant now);

/// Gives back the charge of a call that has ended with @p verdict, if it has not run. Not thread-safe.
void settleCharge(Allowances::FleetAllowance &allowance, Allowances::Charge &charge, Verdict verdict, Instant now);

/// Adds the call's organisation, if it has one, and the level of its limit to a log line. Not thread-safe.
void addLimit(std::vector<LogField> &fields, Allowances::FleetAllowance &allowance, const std::string &organisation,
              Instant now);

} // namespace Gypsumtally::Gateway
