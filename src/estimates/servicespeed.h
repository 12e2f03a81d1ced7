#pragma once

#include "common/clock.h"
#include "estimates/promptspeed.h"
#include "estimates/recentquantile.h"

namespace Gypsumtally::Estimates
{

/// The speed of the upstreams of one service.
struct Speed {
    double stepMs = 10; ///< For a token of a stream while no prompt is read.
    double promptTokensPerMs = 20; ///< Read by an engine of that step.
    double streamMs = 1500; ///< From sending a request to the end of its stream.
    double answerMs = 15; ///< From sending a request to a plain service to its whole answer.

    friend bool operator==(const Speed &, const Speed &) = default;
};

/// Whether a figure of @p left is more than @p ratio times that of @p right, or the other way round. Thread-safe.
bool differs(const Speed &left, const Speed &right, double ratio);

/// What a node has learnt of the speed of one service: the figures that rest on no sample are 0.
using LearntSpeed = Speed;

/// Learns the speed of a service from the answers that this node sees and from what other nodes have learnt, and starts
/// with usual figures. Not thread-safe; does no I/O.
class ServiceSpeed
{
public:
    ServiceSpeed();

    /// Two events of a stream of @p tokensPerEvent each came @p pause apart.
    void onPause(Duration pause, unsigned tokensPerEvent, Instant now);

    /// The first event of a request came @p time after it was sent to an engine that had no other prompt to read and is
    /// @p slowness times as slow as others.
    void onFirstEvent(double promptTokens, Duration time, double slowness, Instant now);

    /// The first event came @p time after the request was sent to an engine that had @p unreadTokens of prompts to
    /// read, those of the request included. Such samples count only while there are no others: a speed that is taken
    /// for too low makes queues, and in queues no prompt is alone.
    void onQueuedFirstEvent(double promptTokens, double unreadTokens, Duration time, double slowness, Instant now);

    /// A stream came to its end @p time after its request was sent.
    void onStream(Duration time, Instant now);

    /// The whole answer of a plain service came @p time after its request was sent.
    void onAnswer(Duration time, Instant now);

    /// Takes in what another node has learnt by itself.
    void onTold(const LearntSpeed &told);

    /// Takes in what the fleet had learnt before all of its nodes started anew. What was learnt or told since stands.
    void onRemembered(const LearntSpeed &remembered);

    /// Returns what is to be reckoned with.
    Speed speed() const;

    /// Returns what is known from this node's samples and from others.
    LearntSpeed known() const;

    /// Returns what this node has learnt by itself, to be told to others.
    LearntSpeed learnt() const;

private:
    Speed speedWith(const Speed &prior) const;

    RecentQuantile m_step;
    RecentQuantile m_stream;
    RecentQuantile m_answer;
    PromptSpeed m_prompts;
    Instant m_lonePromptAt{}; ///< When the last first event came that had met no other prompt.
    LearntSpeed m_told{0, 0, 0, 0};
};

} // namespace Gypsumtally::Estimates
