#pragma once

#include "gateway/callcontext.h"
#include "gateway/callsend.h"

#include <string>

namespace Gypsumtally::Gateway
{

/// The facts about a call that are needed to learn from its answer.
struct LearntCall {
    std::string service;
    ModelTarget target; ///< Empty for a plain service.
    double promptTokens = 0;
    bool isResumed = false; ///< Another send has brought events before.
    Duration longestPause{}; ///< That the route allows between two events; zero: not bounded.
    unsigned tokensPerEvent = 1;
};

/// Learns the speeds of services and upstreams, and the limits of upstreams, from the answers that this node receives
/// and from other nodes' reports. Its state is in the CallContext. Not thread-safe; does no I/O.
class CapacityLearner
{
public:
    explicit CapacityLearner(CallContext &context)
        : m_context(context)
    {
    }

    /// Records that the node's loop runs. Pauses during which it did not are no samples of recent speeds. To be called
    /// at intervals well under maxTickInterval, or never.
    void onTick(Instant now);

    /// Learns from the first event of a stream that this call began.
    void onFirstEvent(const LearntCall &call, const CallSend &send, Instant now);

    /// Learns from another event of @p send, which came @p pause after the last one. Uses means of two successive
    /// pauses, as engines that make several tokens in a step alternate between long and short pauses.
    void onEvent(const LearntCall &call, CallSend &send, Duration pause, Instant now);

    /// Adjusts the pace margin after @p pause between two events that the caller got.
    void onPause(const LearntCall &call, const CallSend &send, Duration pause, Instant now);

    /// Learns from the end of a stream.
    void onStream(const LearntCall &call, const CallSend &send, Instant now);

    /// Learns from the whole answer of a plain service.
    void onAnswer(const LearntCall &call, const CallSend &send, Instant now);

    /// Learns from another node's report.
    void onNotice(const StepNotice &notice, Instant now);

    /// Adds to @p report, which is sent for another reason, the samples of a few upstreams whose speed has changed
    /// since nodes last reported it.
    void addNews(NodeReport &report, Instant now);

    /// Returns the slowness that is tolerable for requests like the node's last one to @p service; 0 if not known.
    double tolerableSlowness(const std::string &service) const;

private:
    static constexpr std::size_t maxNewsSteps = 4; ///< Bounds the growth of reports.

    /// Interval between ticks from which pauses are lengthened noticeably by this node itself.
    static constexpr Duration maxTickInterval = std::chrono::milliseconds{100};

    bool learnsCapacityOf(const std::string &service) const;
    bool wasStalled(Instant since, Instant now) const;
    void noteOverdue(Upstream &upstream, Instant now);
    void learnCapacity(const LearntCall &call, Upstream &upstream, Duration pause, Instant now);
    void adjustLimit(Upstream &upstream, Instant now);

    CallContext &m_context;
};

/// Adds this node's news of @p upstream to a digest.
void addStep(NodeReport &digest, Upstream &upstream, Instant now);

/// The smallest, the middle and the largest of the learnt figures of a service's upstreams.
struct CapacitySpread {
    std::array<double, 3> slowness{};
    std::array<double, 3> limits{}; ///< As fractions of the slots.
};

/// Returns the upstreams whose learnt limit has changed much since it was last logged, a few at a time, and takes them
/// as logged.
std::vector<std::string> takeLimitChanges(UpstreamTable &table, Instant now);

/// Names of the members of CapacitySpread's arrays, in order.
inline constexpr std::array<const char *, 3> spreadNames{"min", "median", "max"};

/// Returns the learnt figures of the services that have upstreams with recent samples. Thread-safe.
std::map<std::string, CapacitySpread> capacitySpreads(const CallContext &context, Instant now);

} // namespace Gypsumtally::Gateway
