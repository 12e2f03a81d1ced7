#include "estimates/servicespeed.h"

#include "support/table.h"

#include <cmath>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

constexpr double tolerance = 0.15;
constexpr Instant now{std::chrono::seconds{100}};

Duration milliseconds(double ms)
{
    return Duration{static_cast<std::int64_t>(ms * 1000)};
}

struct EngineCase {
    double stepMs;
    double tokensPerMs;
    unsigned tokensPerEvent;
    double streamMs;
};

const EngineCase engines[] = {{2.5, 80, 3, 400}, {5, 40, 6, 800},    {10, 20, 3, 1500},    {20, 10, 1, 3000},
                              {40, 5, 3, 6000},  {4.43, 38, 9, 900}, {10.1, 20.4, 3, 2000}};

/// Returns the estimates of a node that has received 300 streams of such engines.
ServiceSpeed nodeServedBy(const EngineCase &engine)
{
    ServiceSpeed node;
    std::mt19937 random(3);
    std::exponential_distribution<double> size(1 / 1000.0);
    for (int i = 0; i < 300; ++i) {
        const double tokens = size(random);
        node.onFirstEvent(tokens, milliseconds(30 + tokens / engine.tokensPerMs), 1, now);
        for (int event = 0; event < 10; ++event)
            node.onPause(milliseconds(engine.stepMs * engine.tokensPerEvent), engine.tokensPerEvent, now);
        node.onStream(milliseconds(engine.streamMs), now);
        node.onAnswer(milliseconds(engine.stepMs), now);
    }
    return node;
}

bool isNear(double figure, double expected)
{
    return std::abs(std::log(figure / expected)) < tolerance;
}

void assertMatches(const Speed &speed, const EngineCase &engine)
{
    cr_assert(isNear(speed.stepMs, engine.stepMs), "step %f", speed.stepMs);
    cr_assert(isNear(speed.promptTokensPerMs, engine.tokensPerMs), "prompts %f", speed.promptTokensPerMs);
    cr_assert(isNear(speed.streamMs, engine.streamMs), "streams %f", speed.streamMs);
    cr_assert(isNear(speed.answerMs, engine.stepMs), "answers %f", speed.answerMs);
}

} // namespace

TABLE_TEST(ServiceSpeed, learnsFromAnswers, engines)
{
    assertMatches(nodeServedBy(row).speed(), row);
}

TABLE_TEST(ServiceSpeed, restartedNodeUsesReports, engines)
{
    const auto reported = nodeServedBy(row).learnt();
    ServiceSpeed restarted;
    restarted.onPeerReport(reported);
    assertMatches(restarted.speed(), row);
}

TABLE_TEST(ServiceSpeed, restartedFleetUsesStoredEstimate, engines)
{
    ServiceSpeed restarted;
    restarted.restoreStored(nodeServedBy(row).known());
    assertMatches(restarted.speed(), row);
    cr_assert(restarted.learnt() == EstimatedSpeed({0, 0, 0, 0}));
    // Engines may have been replaced since the estimate was stored.
    const EngineCase other{2 * row.stepMs, row.tokensPerMs / 2, row.tokensPerEvent, 2 * row.streamMs};
    for (int i = 0; i < 30; ++i)
        restarted.onPeerReport(nodeServedBy(other).learnt());
    assertMatches(restarted.speed(), other);
}

Test(ServiceSpeed, storedEstimateKeepsReports)
{
    ServiceSpeed node;
    node.onPeerReport({40, 5, 6000, 90});
    node.restoreStored({10, 20, 1500, 15});
    cr_assert_eq(node.speed().stepMs, 40);
    cr_assert_eq(node.speed().promptTokensPerMs, 5);
}

Test(ServiceSpeed, reportsOnlyOwnSamples)
{
    ServiceSpeed node;
    node.onPeerReport({40, 5, 6000, 90});
    cr_assert(node.learnt() == EstimatedSpeed({0, 0, 0, 0}));
    cr_assert_eq(node.speed().stepMs, 40);
}

Test(ServiceSpeed, ownSamplesOutweighReports)
{
    auto node = nodeServedBy(engines[2]);
    for (int i = 0; i < 100; ++i)
        node.onPeerReport({40, 20, 1500, 10});
    cr_assert_lt(node.speed().stepMs, 12);
}

// Guards against a fault of one node in eight: it estimated three times the engines' prompt speed from its own samples,
// and its prompts stalled streams.
Test(ServiceSpeed, outliersOfOneNodeHardlyMoveSharedEstimate)
{
    auto node = nodeServedBy(engines[2]);
    for (int i = 0; i < 100; ++i)
        node.onPeerReport(nodeServedBy(engines[2]).learnt());
    for (int i = 0; i < 100; ++i)
        node.onFirstEvent(200.0 + 20 * i, milliseconds(60), 1, now); // Independent of the size.
    cr_assert(std::abs(std::log(node.speed().promptTokensPerMs / engines[2].tokensPerMs)) < 0.4, "%f",
              node.speed().promptTokensPerMs);
}

Test(ServiceSpeed, slowEnginesDoNotLowerPromptSpeed)
{
    ServiceSpeed node;
    std::mt19937 random(5);
    std::exponential_distribution<double> size(1 / 1000.0);
    for (int i = 0; i < 400; ++i) {
        const double tokens = size(random);
        const double slowness = i % 3 == 0 ? 4 : 1;
        node.onFirstEvent(tokens, milliseconds(30 + slowness * tokens / 20), slowness, now);
    }
    cr_assert(isNear(node.speed().promptTokensPerMs, 20), "%f", node.speed().promptTokensPerMs);
}
