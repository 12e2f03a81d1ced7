#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Gypsumtally
{

/// The number of the current bucket of claims, as last read from the key-value service. Claims are created in the
/// current bucket and looked up in it and in the previous one; older buckets are deleted as a whole.
///
/// The number is increased by compare-and-swap, and every transaction that creates claims compares its revision. So no
/// node can write into a bucket that is no longer read, regardless of its clock. Not thread-safe.
class ClaimWindow
{
public:
    /// Returns the key that stores the number of the current bucket.
    static const std::string &key();

    /// Returns true if the number of a bucket was read.
    bool isKnown() const
    {
        return m_revision != 0;
    }

    /// Adopts the stored value unless its revision is older than the known one.
    /// Returns false if the value can't be parsed.
    bool adopt(const KeyValue &value, Instant now);

    /// Returns a compare that fails if the known bucket is no longer the current one. Precondition: isKnown().
    KeyCompare fence() const
    {
        return {key(), m_revision};
    }

    /// Returns the key of the claim @p name in the current bucket. Precondition: isKnown().
    std::string currentKey(const std::string &name) const;

    /// Returns the key of the claim @p name in the previous bucket. Precondition: isKnown().
    std::string previousKey(const std::string &name) const;

    /// Returns true if the current bucket has been known for at least @p retention, so that the next one is due.
    bool isDue(Instant now, Duration retention) const
    {
        return isKnown() && now - m_since >= retention;
    }

    /// Returns the transaction that creates the first bucket if there is none.
    static KeyTransaction create();

    /// Returns the transaction that starts the next bucket and deletes the one that is no longer read then.
    /// Precondition: isKnown().
    KeyTransaction advance() const;

private:
    std::uint64_t m_bucket = 0;
    Revision m_revision = 0;
    Instant m_since{}; ///< When the revision was first read.
};

} // namespace Gypsumtally
