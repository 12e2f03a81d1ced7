#pragma once

#include "common/clock.h"

namespace Gypsumtally::Estimates
{

/// How much of the pace that estimates allow prompts is used, so that streams seldom pause for too long: less after
/// each pause that prompts have brought about, and slowly more again. Not thread-safe; does no I/O.
class PaceMargin
{
public:
    /// A stream has paused for @p pause, where its route allows @p allowed.
    void onPause(Duration pause, Duration allowed, Instant now);

    /// Returns the part of the pace that is to be used, from leastShare to 1.
    double share(Instant now) const;

private:
    static constexpr double leastShare = 0.85;
    static constexpr double reduction = 0.95; ///< By each burst of prompts that was too much.
    static constexpr double recoveryPerSecond = 0.0025; ///< One such burst in twenty seconds is borne.
    /// Longer pauses have other causes: a lost connection, an engine that has turned slow.
    static constexpr int mostByPrompts = 2;
    /// All streams of an engine pause at the same time.
    static constexpr Duration together = std::chrono::milliseconds{300};

    double m_share = 1; ///< At m_updated.
    Instant m_updated{};
};

} // namespace Gypsumtally::Estimates
