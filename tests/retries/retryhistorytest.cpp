#include "retries/retrypolicy.h"

#include "support/simulation.h"
#include "support/table.h"

#include <algorithm>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr std::uint32_t streamTokens = 20;
constexpr unsigned upstreams = 5;

/// Simulates calls of one customer whose attempts fail in every way, and checks the policy's decisions against the work
/// that the upstreams did.
class CallSequence
{
public:
    CallSequence(std::uint64_t seed, const RetrySettings &settings)
        : m_simulation(seed)
        , m_budget{0.2, 5.0, 0.0}
        , m_policy(settings, m_budget, seed)
    {
    }

    std::string run()
    {
        constexpr unsigned calls = 40;
        for (unsigned i = 0; i < calls && m_violation.empty(); ++i)
            runCall();
        require(m_retries <= m_budget.capacity + m_budget.ratio * calls, "more retries than the budget allows");
        return m_violation;
    }

private:
    void runCall()
    {
        CallAttributes call;
        call.idempotent = m_simulation.chance(0.6);
        if (m_simulation.chance(0.5))
            call.deadline = m_now + m_simulation.between(milliseconds{1}, milliseconds{400});
        m_policy.onFirstAttempt(call, m_now);
        RetryHistory history;
        m_runs = 0;
        std::uint32_t resumeFrom = 0;
        while (m_violation.empty()) {
            const auto failed = attempt(call, history, resumeFrom);
            if (!failed) {
                require(!call.idempotent || history.tokensDelivered == streamTokens, "a stream is incomplete");
                break;
            }
            const auto decision = m_policy.onFailure(call, history, *failed, m_now);
            if (const auto *final = std::get_if<GiveUp>(&decision)) {
                require(final->failure.verdict != Verdict::NotRun || m_runs == 0,
                        "a call that ran was answered \"not run\"");
                break;
            }
            const auto &retry = std::get<Retry>(decision);
            m_retries += failed->failure.code == ErrorCode::NotOwner ? 0 : 1;
            m_now += retry.delay;
            require(!call.deadline || m_now < *call.deadline, "a retry after the deadline");
            resumeFrom = retry.resumeFrom;
        }
        require(call.idempotent || m_runs <= 1, "a non-idempotent call ran more than once");
    }

    /// Makes one attempt. Returns its failure, or nothing if it succeeded.
    std::optional<FailedAttempt> attempt(const CallAttributes &call, RetryHistory &history, std::uint32_t resumeFrom)
    {
        m_now += m_simulation.between(milliseconds{1}, milliseconds{60});
        const UpstreamId upstream{std::to_string(m_simulation.below(upstreams))};
        if (std::ranges::find(history.excluded, upstream) != history.excluded.end())
            return FailedAttempt{{Verdict::NotRun, ErrorCode::NotOwner, "moved", std::nullopt}, {}};
        const auto fail = [&](Verdict verdict, ErrorCode code) {
            return FailedAttempt{{verdict, code, "failed", std::nullopt}, upstream};
        };
        switch (m_simulation.below(5)) {
        case 0:
            return fail(Verdict::NotRun, ErrorCode::UpstreamRefused);
        case 1:
            return fail(Verdict::MayHaveRun, ErrorCode::UpstreamLost);
        case 2:
            ++m_runs;
            deliver(call, history, resumeFrom, static_cast<std::uint32_t>(m_simulation.below(streamTokens)));
            return fail(Verdict::MayHaveRun, ErrorCode::UpstreamLost);
        case 3:
            ++m_runs;
            return fail(Verdict::Ran, ErrorCode::UpstreamFailed);
        default:
            ++m_runs;
            deliver(call, history, resumeFrom, streamTokens);
            return std::nullopt;
        }
    }

    void deliver(const CallAttributes &call, RetryHistory &history, std::uint32_t from, std::uint32_t end)
    {
        if (!call.idempotent)
            return;
        for (auto token = from; token < end; ++token)
            require(token == history.tokensDelivered++, "a token was duplicated or skipped");
    }

    void require(bool holds, const char *what)
    {
        if (!holds && m_violation.empty())
            m_violation = what;
    }

    Simulation m_simulation;
    RetryBudgetPolicy m_budget;
    RetryPolicy m_policy;
    Instant m_now{};
    int m_runs = 0;
    int m_retries = 0;
    std::string m_violation;
};

struct Mutation {
    const char *name;
    bool RetrySafeguards::*safeguard;
};

const Mutation mutations[] = {
    {"checkIdempotent", &RetrySafeguards::checkIdempotent}, {"combineVerdicts", &RetrySafeguards::combineVerdicts},
    {"resumeStreams", &RetrySafeguards::resumeStreams},     {"useBudget", &RetrySafeguards::useBudget},
    {"checkDeadline", &RetrySafeguards::checkDeadline},
};

} // namespace

Test(RetryHistory, holdsForAllSeeds)
{
    const auto seeds = SeedRange::fromEnvironment();
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        const auto violation = CallSequence{seed, {}}.run();
        cr_assert(violation.empty(), "seed %lu: %s", seed, violation.c_str());
    }
}

TABLE_TEST(RetryHistory, detectsEachDisabledSafeguard, mutations)
{
    RetrySettings settings;
    settings.safeguards.*row.safeguard = false;
    std::string violation;
    std::uint64_t seed = 0;
    while (violation.empty() && ++seed <= 1000)
        violation = CallSequence{seed, settings}.run();
    cr_assert(!violation.empty(), "no seed up to 1000 shows %s", row.name);
    cr_log_info("%s: seed %lu: %s", row.name, seed, violation.c_str());
}
