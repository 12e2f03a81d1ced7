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

/// Returns the digest of @p model, over its base, adapter and version. Thread-safe.
inline AdapterDigest digestOf(const AdapterVersion &model)
{
    const auto base = XXH3_64bits(model.base.data(), model.base.size());
    const auto adapter = XXH3_64bits_withSeed(model.adapter.data(), model.adapter.size(), base);
    return XXH3_64bits_withSeed(model.version.data(), model.version.size(), adapter);
}

/// Returns @p hash mapped uniformly to [0, 1). Thread-safe.
inline double fractionOf(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) * 0x1p-53;
}

/// Returns the score of @p candidate for @p key in weighted rendezvous hashing; the candidate with the highest score is
/// picked. Precondition: @p weight is positive. Thread-safe.
inline double rendezvousScore(std::uint64_t key, std::string_view candidate, double weight = 1)
{
    const auto hash = XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

/// Returns an iterator to the candidate with the highest score for @p key, or the end iterator if the range is empty.
/// @p name maps a candidate to its name, @p weight to its weight. Removing a candidate reassigns only the keys that it
/// had. Thread-safe.
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
