#pragma once

#include "common/clock.h"
#include "estimates/promptspeed.h"
#include "estimates/recentquantile.h"

namespace Gypsumtally::Estimates
{

/// Processing times and speed of the upstreams of one service. The defaults are the priors of ServiceSpeed.
struct Speed {
    double stepMs = 10; ///< Inter-token latency of a stream while the engine processes no prompt.
    double promptTokensPerMs = 20; ///< Prefill speed of an engine with that step time.
    double streamMs = 1500; ///< Time from sending a request to the end of its stream.
    double answerMs = 15; ///< Time from sending a request to a plain service to its complete answer.

    friend bool operator==(const Speed &, const Speed &) = default;
};

/// Returns true if any figure of one speed is more than @p ratio times the same figure of the other. Thread-safe.
bool differs(const Speed &left, const Speed &right, double ratio);

/// Speed of one service as estimated from samples; a figure without enough samples is 0.
using EstimatedSpeed = Speed;

/// Estimates the speed of a service from the answers that this node receives and from the estimates of other nodes,
/// starting from typical figures. Not thread-safe; does no I/O.
class ServiceSpeed
{
public:
    ServiceSpeed();

    /// Adds a sample of the step time: two consecutive events of a stream, of @p tokensPerEvent tokens each, came
    /// @p pause apart.
    void onPause(Duration pause, unsigned tokensPerEvent, Instant now);

    /// Adds a prompt speed sample: the first event of a request came @p time after it was sent to an engine that had no
    /// other prompt to process. @p slowness is the ratio of the engine's step time to that of the service.
    void onFirstEvent(double promptTokens, Duration time, double slowness, Instant now);

    /// Adds a prompt speed sample of a queued request: its first event came @p time after it was sent to an engine that
    /// had @p backlogTokens prompt tokens left to process, including the request's own. Such samples are used only
    /// while there are none from onFirstEvent(). They are needed then as an underestimated speed causes queues, and a
    /// queued prompt is never the engine's only one, so the estimate could not recover.
    void onQueuedFirstEvent(double promptTokens, double backlogTokens, Duration time, double slowness, Instant now);

    /// Adds a stream time sample: a stream ended @p time after its request was sent.
    void onStream(Duration time, Instant now);

    /// Adds an answer time sample: the complete answer of a plain service came @p time after its request was sent.
    void onAnswer(Duration time, Instant now);

    /// Updates the reported figures with another node's learnt(). Ignores figures that are 0 or not finite.
    void onPeerReport(const EstimatedSpeed &reported);

    /// Returns the time of an answer of an upstream that is not crowded, in ms: a low quantile of own samples, or 0 if
    /// there are too few.
    double uncrowdedAnswerMs() const;

    /// Restores an estimate that was stored before all nodes of the fleet restarted. Keeps this node's samples and the
    /// figures that other nodes have reported since.
    void restoreStored(const EstimatedSpeed &stored);

    /// Returns the current estimate; figures without samples or reports are the defaults of Speed.
    Speed speed() const;

    /// Returns the estimate from own samples and other nodes' reports, with 0 for figures that have neither.
    EstimatedSpeed known() const;

    /// Returns the estimate from this node's samples alone, which is sent to other nodes; figures with fewer than eight
    /// samples are 0.
    EstimatedSpeed learnt() const;

private:
    Speed speedWith(const Speed &prior) const;

    RecentQuantile m_step;
    RecentQuantile m_stream;
    RecentQuantile m_answer;
    RecentQuantile m_uncrowdedAnswer;
    PromptSpeed m_prompts;
    Instant m_unqueuedPromptAt{}; ///< Time of the last onFirstEvent().
    EstimatedSpeed m_reported{0, 0, 0, 0}; ///< Moving average of other nodes' reports, or the restored estimate.
};

} // namespace Gypsumtally::Estimates
