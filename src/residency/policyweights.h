#pragma once

namespace Gypsumtally
{

/// The scheduling weights set by operators. Only their ratio matters; two zeros count as equal weights.
struct PolicyWeights {
    double loadStall = 1; ///< Weight of the time that calls wait for an adapter load.
    double batchEfficiency = 1; ///< Weight of full batches.

    /// Returns batchEfficiency as a fraction of the sum of both weights, from 0 to 1. Thread-safe.
    double batchFraction() const
    {
        const double sum = loadStall + batchEfficiency;
        return sum > 0 ? batchEfficiency / sum : 0.5;
    }
};

} // namespace Gypsumtally
