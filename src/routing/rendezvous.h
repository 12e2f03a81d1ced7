#pragma once

#include "common/modelname.h"

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>

namespace Gypsumtally
{

/// A 64-bit hash of an adapter version; equal on every node.
using AdapterDigest = std::uint64_t;

/// Hashes the three parts of @p model. Thread-safe.
inline AdapterDigest digestOf(const AdapterVersion &model)
{
    const auto base = XXH3_64bits(model.base.data(), model.base.size());
    const auto adapter = XXH3_64bits_withSeed(model.adapter.data(), model.adapter.size(), base);
    return XXH3_64bits_withSeed(model.version.data(), model.version.size(), adapter);
}

/// Returns a number from 0 up to 1 that @p hash stands for. Thread-safe.
inline double fractionOf(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) * 0x1p-53;
}

/// Returns how well @p candidate suits @p key in weighted rendezvous hashing; the highest score wins.
/// Precondition: @p weight is positive. Thread-safe.
inline double rendezvousScore(std::uint64_t key, std::string_view candidate, double weight = 1)
{
    const auto hash = XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

/// Returns the candidate with the highest score for @p key, or the end of an empty range. @p name gives a candidate's
/// name, @p weight its weight. Removing a candidate moves only its own keys. Thread-safe.
template<typename Range, typename Name, typename Weight>
auto rendezvousPick(std::uint64_t key, const Range &candidates, Name &&name, Weight &&weight)
{
    auto best = candidates.end();
    double bestScore = -std::numeric_limits<double>::infinity();
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        const double score = rendezvousScore(key, name(*it), weight(*it));
        if (score <= bestScore)
            continue;
        bestScore = score;
        best = it;
    }
    return best;
}

} // namespace Gypsumtally
