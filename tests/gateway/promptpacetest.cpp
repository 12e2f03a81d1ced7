#include "estimates/servicespeed.h"
#include "gateway/enginechoice.h"
#include "gateway/promptwindow.h"

#include "support/table.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

/// The load on a fleet whose nodes have all been restarted while its engines are busy: no node has an estimate of the
/// engines' speed, and prompts arrive faster than the default speed would admit them.
struct RestartCase {
    double tokensPerMs; ///< Prefill speed of each engine.
    double load; ///< Offered load, as a fraction of the engines' prefill speed.
    double meanTokens; ///< Mean length of a prompt.
};

const RestartCase restarts[] = {
    {38, 0.5, 826}, {38, 0.8, 826}, {38, 0.8, 2368}, {60, 0.6, 1000}, {20.4, 0.8, 1460}, {8, 0.6, 800},
};

constexpr Duration longestPause = std::chrono::milliseconds{300};
/// Time for which an earlier prompt may still be in prefill.
constexpr Duration interferenceTime = std::chrono::milliseconds{150};
constexpr double baseFirstEventMs = 45; ///< Time to first event beyond the prefill.
constexpr Duration timeToLearn = std::chrono::seconds{5};
constexpr unsigned engines = 4;
constexpr unsigned nodes = 8; ///< Each receives the first events of its own requests only.
constexpr double maxLogError = 0.3; ///< Tolerated error, as a logarithm: a pause has room for a third more tokens.

Duration ms(double time)
{
    return Duration{static_cast<std::int64_t>(time * 1000)};
}

/// Prompts that would wait for longer are refused.
constexpr Duration longestWait = std::chrono::milliseconds{600};

struct Engine {
    PromptWindow window;
    Instant idleFrom{}; ///< End of the prefill of all prompts sent so far.
};

/// Simulates engines that process prompts in order of arrival, and a node that learns their speed.
class RestartedFleet
{
public:
    RestartedFleet(const RestartCase &load, unsigned seed)
        : m_load(load)
        , m_random(seed)
    {
    }

    /// Runs the load for timeToLearn and returns the node's resulting estimate of the prefill speed.
    double learntTokensPerMs()
    {
        std::exponential_distribution<double> gap(m_load.load * m_load.tokensPerMs * engines / m_load.meanTokens);
        const Instant start{std::chrono::seconds{100}};
        for (Instant now = start; now < start + timeToLearn; now += ms(gap(m_random))) {
            runEvents(now);
            plan(now);
        }
        return m_speed.speed().promptTokensPerMs;
    }

private:
    void runEvents(Instant until)
    {
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()(event.key());
        }
    }

    void plan(Instant now)
    {
        auto &engine = m_fleet[m_random() % engines];
        const double tokens = 10 + m_size(m_random);
        const double limit = tokensWithinPause({longestPause, 1, 1}, m_speed.speed(), 1);
        const auto sendAt = engine.window.earliestSendAt(tokens, limit, longestPause, now);
        if (sendAt - now > longestWait)
            return;
        engine.window.add(tokens, sendAt, now);
        m_events.emplace(sendAt, [this, &engine, tokens](Instant at) { send(engine, tokens, at); });
    }

    void send(Engine &engine, double tokens, Instant now)
    {
        const bool isAlone = engine.window.sum(interferenceTime, now) <= tokens;
        const double prefillBacklog
            = std::max(tokens, engine.window.prefillBacklog(m_speed.speed().promptTokensPerMs, now));
        engine.idleFrom = std::max(engine.idleFrom, now) + ms(tokens / m_load.tokensPerMs);
        const auto time = engine.idleFrom - now + ms(baseFirstEventMs);
        if (m_random() % nodes == 0)
            m_events.emplace(now + time, [=, this](Instant at) {
                if (isAlone)
                    m_speed.onFirstEvent(tokens, time, 1, at);
                else
                    m_speed.onQueuedFirstEvent(tokens, prefillBacklog, time, 1, at);
            });
    }

    const RestartCase &m_load;
    std::mt19937 m_random;
    std::exponential_distribution<double> m_size{1 / m_load.meanTokens};
    Estimates::ServiceSpeed m_speed;
    std::vector<Engine> m_fleet{engines};
    std::multimap<Instant, std::function<void(Instant)>> m_events;
};

} // namespace

TABLE_TEST(PromptPace, learnsSpeedUnderLoadAfterRestart, restarts)
{
    double sum = 0;
    for (unsigned seed = 1; seed <= nodes; ++seed)
        sum += std::log(RestartedFleet(row, seed).learntTokensPerMs() / row.tokensPerMs);
    cr_assert_lt(std::abs(sum / nodes), maxLogError, "the estimate is %f times the engines' speed",
                 std::exp(sum / nodes));
}
