#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Gypsumtally::Budget
{

/// Limits of a budget. Precondition: smallBytes is less than half of the reserve, and that less than the total.
struct MemoryLimits {
    std::size_t total = 96 * 1024 * 1024; ///< Bytes for all holders; positive.
    /// Part of the total that only small holders may use, and half of it only tiny ones.
    std::size_t reserve = total / 4;
    std::size_t smallBytes = 64 * 1024; ///< Up to which a holder is small. An ordinary request holds less.
    std::size_t tinyBytes = 40 * 1024; ///< Up to which a holder is tiny, as one that has read once.
    /// From which a holder is tracked, so that it can be shed. As many untracked holders as there are connections by
    /// default take less than half of the total together.
    std::size_t trackedBytes = total / 8192;
};

/// Something that holds memory on behalf of a caller and can be told to give it up.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;

    /// Returns the time without progress for which the caller is responsible; nothing if the holder must not be shed,
    /// because it waits for this node or an upstream.
    virtual std::optional<Duration> stalledFor(Instant now) = 0;

    /// Returns true if the holder has stopped reading although its caller has sent more.
    virtual bool isHeldUp() = 0;

    /// Gives up the memory: refuses the request or closes the connection.
    virtual void shed() = 0;
};

/// The memory that a process may use on behalf of its callers, and who uses it. Does no I/O. Not thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits);

    /// Replaces the limits. What exceeds lower ones is shed by the next call of shed().
    void setLimits(const MemoryLimits &limits);

    /// Returns true if a holder of @p held bytes may take @p growth more. Otherwise shed() makes room for that.
    bool mayGrow(std::size_t held, std::size_t growth);

    /// Returns true if too little is left for large holders to grow.
    bool isShort() const
    {
        return m_used + std::max(m_limits.smallBytes, m_wanted) > m_limits.total - m_limits.reserve;
    }

    /// Returns true if too little is left for a small holder to grow.
    bool isExhausted() const
    {
        return m_used + m_limits.smallBytes > m_limits.total - m_limits.reserve / 2;
    }

    std::size_t used() const
    {
        return m_used;
    }

    /// Registers @p task, which is called each time the budget becomes short. It must not shed at once, as holders may
    /// be in use.
    void onShort(std::function<void()> task);

    /// Sheds large holders until the budget is no longer short, then small ones until it is no longer exhausted: first
    /// those that have held the most for the longest without progress. Returns the number of holders shed. Call it
    /// while no holder is in use.
    std::size_t shed(Instant now);

    /// Returns the time after which a caller whose request held @p bytes and is refused now should send it again: once
    /// the callers that were refused before it can have been served, by the rate at which memory has come free of late.
    /// Precondition: @p now is not earlier than in previous calls.
    Duration retryAfter(std::size_t bytes, Instant now);

    /// Records that @p holder, which may be null, changes from @p before to @p after bytes.
    void change(MemoryHolder *holder, std::size_t before, std::size_t after);

private:
    MemoryLimits m_limits;
    std::size_t m_used = 0;
    std::size_t m_freed = 0; ///< Bytes that have come free since m_freeing was updated.
    DecayedRate m_freeing; ///< Bytes that come free.
    Instant m_returnsUntil{}; ///< When memory for all callers that were refused will have come free.
    std::size_t m_wanted = 0; ///< The largest growth that was denied since memory was last free for it.
    std::unordered_map<MemoryHolder *, std::size_t> m_tracked; ///< Bytes of the holders that can be shed.
    std::function<void()> m_onShort;
};

/// The bytes that one holder has taken of a budget, which get free when this object is destroyed. Not thread-safe.
class MemoryShare
{
public:
    /// @p budget may be null: then nothing is limited. Both must outlive this object.
    explicit MemoryShare(MemoryBudget *budget, MemoryHolder *holder = nullptr)
        : m_budget(budget)
        , m_holder(holder)
    {
    }

    ~MemoryShare()
    {
        set(0);
    }

    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Sets the number of bytes that are held.
    void set(std::size_t bytes)
    {
        const auto before = std::exchange(m_bytes, bytes);
        if (m_budget && before != bytes)
            m_budget->change(m_holder, before, bytes);
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

    bool mayGrow(std::size_t growth) const
    {
        return !m_budget || m_budget->mayGrow(m_bytes, growth);
    }

    bool isExhausted() const
    {
        return m_budget && m_budget->isExhausted();
    }

    /// Returns the time after which the holder's caller should come back if it is refused now; nothing if nothing is
    /// limited.
    std::optional<Duration> retryAfter(Instant now) const
    {
        return m_budget ? std::optional(m_budget->retryAfter(m_bytes, now)) : std::nullopt;
    }

private:
    MemoryBudget *m_budget;
    MemoryHolder *m_holder;
    std::size_t m_bytes = 0;
};

} // namespace Gypsumtally::Budget
