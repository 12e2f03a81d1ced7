#pragma once

#include "common/clock.h"

namespace Gypsumtally::Estimates
{

/// Safety margin on the estimated rate at which prompts can be sent without stalling streams. A stream pause that is
/// attributed to prompt processing reduces the margin's share multiplicatively; it recovers linearly with time. Not
/// thread-safe; does no I/O.
class PaceMargin
{
public:
    /// Reduces the share if @p pause, a gap between two events of a stream, exceeds @p allowed, the longest pause that
    /// its route allows, and is short enough to have been caused by prompts.
    void onPause(Duration pause, Duration allowed, Instant now);

    /// Returns the share of the estimated prompt rate to use, from minShare to 1.
    double share(Instant now) const;

private:
    static constexpr double minShare = 0.85;
    static constexpr double reduction = 0.95; ///< Factor applied to the share for each burst of prompts.
    static constexpr double recoveryPerSecond = 0.0025; ///< Offsets one burst in 20 s.
    /// Longest pause attributed to prompts, as a multiple of the allowed pause. Longer ones have other causes, such as
    /// a lost connection or an engine that has become slow.
    static constexpr int maxPromptPauseRatio = 2;
    /// Pauses within this time after a reduction count as the same burst, as all streams of an engine pause at once.
    static constexpr Duration burstSpan = std::chrono::milliseconds{300};

    double m_share = 1; ///< Share as of m_updated, without the recovery since then.
    Instant m_updated{};
};

} // namespace Gypsumtally::Estimates
