#pragma once

namespace Gypsumtally::Allowances
{

/// The rate limit of an organisation, which applies to the requests that all nodes together pass on.
struct Limit {
    double perSecond = 0; ///< Cost of requests per second; 0: not limited.
    double burst = 0; ///< Cost of requests beyond the rate, after a time without any; 0: 0.3 s of the rate.
    double plainCost = 1; ///< Cost of a request that does not state its tokens.
    bool countsTokens = false; ///< The cost is the number of tokens; otherwise each request costs 1.

    friend bool operator==(const Limit &, const Limit &) = default;
};

} // namespace Gypsumtally::Allowances
