#include "crashhistory.h"

#include <algorithm>

namespace Gypsumtally::Testing
{
namespace
{

constexpr Fingerprint poison = 1;
constexpr Fingerprint popular = 2;
constexpr Fingerprint firstInnocent = 100;
constexpr seconds loadSpan{30};
constexpr seconds settleSpan{25};
constexpr std::size_t slots = 8;
/// Maximum time that a suspect waits for an idle engine in a failure domain without recent crashes.
constexpr milliseconds maxIsolationWait{2500};

} // namespace

CrashHistory::CrashHistory(std::uint64_t seed, const QuarantinePolicy &policy)
    : m_policy(policy)
    , m_simulation(seed)
    , m_store(m_simulation)
    , m_loadEnd(m_simulation.now() + loadSpan)
{
}

std::size_t CrashHistory::ownerOf(std::size_t engine)
{
    return engine / 4;
}

FailureDomainId CrashHistory::domainOf(std::size_t engine)
{
    return FailureDomainId{std::to_string(engine % 3)};
}

std::string CrashHistory::run()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        restart(node);
        keepTicking(node);
    }
    planLoad();
    planFaults();
    m_simulation.run(m_loadEnd + settleSpan);
    checkEnd();
    return m_violation;
}

void CrashHistory::restart(std::size_t node)
{
    ++m_nodes[node].run;
    m_nodes[node].quarantine = std::make_unique<Quarantine>(Incarnation{std::to_string(++m_incarnations)}, m_policy);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (ownerOf(i) != node)
            continue;
        // The engine drops the requests of a node that has ended, and their callers retry them.
        for (const auto &[call, fingerprint] : std::exchange(m_engines[i].running, {}))
            scheduleRetry(call, milliseconds{200});
        m_engines[i].isReserved = false;
    }
}

void CrashHistory::perform(std::size_t node, const std::vector<KeyCall> &calls)
{
    for (const auto &call : calls) {
        m_store.call(call, [this, node, tag = call.tag, run = m_nodes[node].run](const KeyReply &reply) {
            if (m_nodes[node].run != run)
                return;
            std::vector<KeyCall> next;
            m_nodes[node].quarantine->onReply(tag, reply, m_simulation.now(), next);
            perform(node, next);
        });
    }
}

void CrashHistory::keepTicking(std::size_t node)
{
    std::vector<KeyCall> calls;
    m_nodes[node].quarantine->tick(m_simulation.now(), calls);
    perform(node, calls);
    m_simulation.after(milliseconds{50}, [this, node] { keepTicking(node); });
}

void CrashHistory::planLoad()
{
    const auto plan = [this](Fingerprint fingerprint, Duration at) {
        m_requests.push_back({fingerprint});
        m_simulation.after(at, [this, call = m_requests.size() - 1] { send(call); });
    };
    for (Fingerprint i = 0; i < 150; ++i)
        plan(firstInnocent + i, m_simulation.between(Duration{0}, loadSpan));
    for (int i = 0; i < 300; ++i)
        plan(popular, m_simulation.between(Duration{0}, loadSpan));
    if (m_simulation.chance(0.2))
        return;
    // The caller of the crashing request sends it repeatedly, sometimes through two nodes at once.
    for (int i = 0; i < 40; ++i)
        plan(poison, m_simulation.between(Duration{0}, loadSpan));
}

void CrashHistory::planFaults()
{
    const auto at = [this](const std::function<void()> &event) {
        m_simulation.after(m_simulation.between(Duration{0}, loadSpan), event);
    };
    for (auto faults = m_simulation.below(7); faults > 0; --faults) {
        ++m_faults;
        const auto engine = m_simulation.below(m_engines.size());
        const auto node = m_simulation.below(m_nodes.size());
        const auto length = m_simulation.between(seconds{1}, seconds{8});
        switch (m_simulation.below(7)) {
        case 0:
            at([this, engine] { crash(engine, CrashCause::ProcessEnded, true); });
            break;
        case 1:
            at([this, engine] { crash(engine, CrashCause::VmLost, true); });
            break;
        case 2:
        case 3:
            at([this] { loseRack(); });
            break;
        case 4:
            at([this, node] { restart(node); });
            break;
        case 5:
            at([this, length] {
                m_store.isDown = true;
                m_simulation.after(length, [this] { m_store.isDown = false; });
            });
            break;
        default:
            at([this, length] {
                m_store.lossProbability = 0.4;
                m_simulation.after(length, [this] { m_store.lossProbability = 0; });
            });
        }
    }
}

void CrashHistory::send(CallId call)
{
    auto &request = m_requests[call];
    if (request.isDone)
        return;
    const auto now = m_simulation.now();
    if (request.waitingSince == Instant{})
        request.waitingSince = now;
    const auto entry = m_simulation.below(m_nodes.size());
    auto &entryNode = *m_nodes[entry].quarantine;
    if (const auto failure = entryNode.check(request.fingerprint, now)) {
        onRefused(call, *failure);
        return;
    }
    const auto rank = entryNode.rankOf(request.fingerprint, now);
    const bool mayStillWait = now - request.waitingSince < maxIsolationWait;
    const auto engine = choose(entryNode, entryNode.placement(request.fingerprint, rank, now), mayStillWait);
    if (!engine) {
        m_simulation.after(milliseconds{20}, [this, call] { send(call); });
        return;
    }
    auto &owner = *m_nodes[ownerOf(*engine)].quarantine;
    if (const auto failure = owner.check(request.fingerprint, now)) {
        onRefused(call, *failure);
        return;
    }
    const auto placement = owner.placement(request.fingerprint, rank, now);
    const bool mustWait
        = placement == Placement::Wait || (placement == Placement::Isolated && !m_engines[*engine].running.empty());
    if (mustWait && mayStillWait) {
        m_simulation.after(milliseconds{20}, [this, call] { send(call); });
        return;
    }
    m_engines[*engine].isReserved = placement == Placement::Isolated && m_engines[*engine].running.empty();
    dispatch(call, *engine, rank);
}

void CrashHistory::scheduleRetry(CallId call, Duration delay)
{
    m_requests[call].waitingSince = Instant{};
    m_simulation.after(delay, [this, call] { send(call); });
}

std::optional<std::size_t> CrashHistory::choose(const Quarantine &entry, Placement placement, bool mayStillWait)
{
    if (placement == Placement::Wait)
        return std::nullopt;
    const auto crashed = entry.crashedDomains(m_simulation.now());
    const auto start = m_simulation.below(m_engines.size());
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const auto candidate = (start + i) % m_engines.size();
        const auto &engine = m_engines[candidate];
        if (!engine.isUp || engine.isReserved || engine.running.size() >= slots)
            continue;
        if (placement == Placement::Anywhere)
            return candidate;
        if (mayStillWait && crashed.contains(domainOf(candidate)))
            continue;
        if (!best || engine.running.size() < m_engines[*best].running.size())
            best = candidate;
    }
    const bool isIdle = best && m_engines[*best].running.empty();
    return isIdle || !mayStillWait ? best : std::nullopt;
}

bool CrashHistory::isRunningPoison(std::size_t node) const
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const auto isPoison = [](const auto &entry) { return entry.second == poison; };
        if (ownerOf(i) == node && std::ranges::any_of(m_engines[i].running, isPoison))
            return true;
    }
    return false;
}

void CrashHistory::dispatch(CallId call, std::size_t engine, std::uint32_t rank)
{
    const auto fingerprint = m_requests[call].fingerprint;
    if (fingerprint == poison && isRunningPoison(ownerOf(engine)))
        ++m_overlapping;
    m_engines[engine].running.emplace(call, fingerprint);
    m_nodes[ownerOf(engine)].quarantine->onDispatched(UpstreamId{std::to_string(engine)}, call, fingerprint, rank,
                                                      m_simulation.now());
    const auto guarded = [this, engine, call, run = m_engines[engine].run](auto event) {
        return [this, engine, call, run, event] {
            if (m_engines[engine].run == run && m_engines[engine].running.contains(call))
                event();
        };
    };
    if (fingerprint == poison) {
        m_simulation.after(m_simulation.between(milliseconds{10}, milliseconds{100}), guarded([this, engine] {
                               ++m_poisonCrashes;
                               crash(engine, CrashCause::ProcessEnded, false);
                           }));
        return;
    }
    m_simulation.after(m_simulation.between(milliseconds{100}, milliseconds{800}),
                       guarded([this, engine, call] { end(call, engine); }));
}

void CrashHistory::end(CallId call, std::size_t engine)
{
    m_engines[engine].running.erase(call);
    m_engines[engine].isReserved = false;
    m_requests[call].isDone = true;
    m_nodes[ownerOf(engine)].quarantine->onEnded(UpstreamId{std::to_string(engine)}, call, true, m_simulation.now());
}

void CrashHistory::crash(std::size_t index, CrashCause cause, bool isUnrelated)
{
    auto &engine = m_engines[index];
    if (!engine.isUp)
        return;
    ++m_crashes;
    ++engine.run;
    engine.isUp = false;
    const auto running = std::exchange(engine.running, {});
    if (isUnrelated && cause == CrashCause::ProcessEnded && engine.isReserved && running.size() == 1)
        m_crashedInIsolation.insert(running.begin()->second);
    engine.isReserved = false;
    m_simulation.after(seconds{1}, [this, index] { m_engines[index].isUp = true; });
    // A lost VM is only detected by a timeout, and its connections may appear to have been closed by the process.
    const auto noticed = cause == CrashCause::VmLost ? milliseconds{600} : milliseconds{5};
    m_simulation.after(noticed, [this, index, cause, running] {
        std::vector<KeyCall> calls;
        const auto owner = ownerOf(index);
        m_nodes[owner].quarantine->onCrashed(UpstreamId{std::to_string(index)}, domainOf(index), cause,
                                             m_simulation.now(), calls);
        perform(owner, calls);
        for (const auto &[call, fingerprint] : running)
            scheduleRetry(call, m_simulation.between(milliseconds{1}, milliseconds{300}));
    });
}

void CrashHistory::loseRack()
{
    const auto domain = m_simulation.below(3);
    const auto cause = m_simulation.chance(0.5) ? CrashCause::VmLost : CrashCause::ProcessEnded;
    for (std::size_t i = domain; i < m_engines.size(); i += 3) {
        m_simulation.after(m_simulation.between(Duration{0}, milliseconds{100}),
                           [this, i, cause] { crash(i, cause, false); });
    }
}

void CrashHistory::onRefused(CallId call, const Failure &failure)
{
    auto &request = m_requests[call];
    require(failure.verdict == Verdict::NotRun, "a refused request has another verdict than NotRun");
    if (failure.retryAfter) {
        scheduleRetry(call, *failure.retryAfter);
        return;
    }
    request.isDone = true;
    if (request.fingerprint == poison)
        return;
    if (m_crashedInIsolation.contains(request.fingerprint))
        m_falsePositives.insert(request.fingerprint);
    else
        require(false, "an innocent request was quarantined: " + std::to_string(request.fingerprint));
}

void CrashHistory::checkEnd()
{
    // Until the nodes have read each other's records, each may have a first crash, one in isolation, and another one if
    // that was inconclusive. Copies that a node runs at the same time crash together. A fault may hide one crash or
    // make it inconclusive.
    const auto bound = 3 * m_nodes.size() + m_overlapping + m_faults;
    require(m_poisonCrashes <= bound, "the crashing request caused " + std::to_string(m_poisonCrashes)
                                          + " crashes, more than " + std::to_string(bound));
    for (const auto &request : m_requests)
        require(request.isDone, "a request was never answered: " + std::to_string(request.fingerprint));
    for (const auto &node : m_nodes) {
        const bool isContained = node.quarantine->check(poison, m_simulation.now()).has_value();
        require(isContained || m_poisonCrashes == 0, "a node does not refuse the crashing request");
    }
}

void CrashHistory::require(bool holds, const std::string &what)
{
    if (!holds && m_violation.empty())
        m_violation = what;
}

} // namespace Gypsumtally::Testing
