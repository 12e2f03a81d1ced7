#include "installation.h"

#include <boost/asio/io_context.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace Gypsumtally::Review
{

namespace
{

constexpr Duration sweepInterval = std::chrono::milliseconds{20};
constexpr Duration readyTimeout = std::chrono::seconds{20};
constexpr Duration endPollInterval = std::chrono::milliseconds{50};
constexpr const char *program = "target/platform/gypsumtally-gatewayd";

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

Installation::Installation(const std::string &recordFile)
    : m_record(recordFile)
    , m_store(m_loop)
    , m_client(m_loop)
{
    sweep();
}

Installation::~Installation() = default;

Upstream &Installation::addUpstream(const std::string &instance, const std::string &service, bool isEngine,
                                    const std::string &software)
{
    m_upstreams.push_back(std::make_unique<Upstream>(m_loop, m_store, m_ledger, instance, service, isEngine, software));
    return *m_upstreams.back();
}

std::size_t Installation::addGateway(const std::string &zone, const Http::Endpoint &store)
{
    Gateway gateway;
    gateway.name = "front-" + zone + "-" + std::to_string(m_gateways.size() + 1);
    gateway.zone = zone;
    gateway.store = store;
    for (int port = 0; port < PortCount; ++port)
        gateway.ports.push_back(std::make_unique<Processes::ReservedPort>());
    m_gateways.push_back(std::move(gateway));
    start(m_gateways.back());
    return m_gateways.size() - 1;
}

/// Starts the program with the command of the deploy file and with settings as its template gives them.
void Installation::start(Gateway &gateway)
{
    const auto address = [&](Port port) { return Http::toString(gateway.ports[port]->endpoint()); };
    const auto settings = m_files.file(gateway.name + ".yaml");
    std::ofstream(settings) << "node: " << gateway.name << "\nfailure_domain: " << gateway.zone
                            << "\nregion: r1\nregions: {\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":\"r1\"}\ndrain_bound: 2500ms"
                            << "\nlisten:\n  callers: " << address(Callers) << "\n  readiness: " << address(Readiness)
                            << "\n  entries: " << address(Entries) << "\n  peers: " << address(Peers)
                            << "\n  metrics: " << address(Metrics) << "\nstore: " << Http::toString(gateway.store)
                            << "\nmachine:\n  cpu_share: 0.25\n  link_mbps: 1000\n  memory_mb: 260"
                            << "\norder_handover: 3000ms\nstop_grace: 8s\nentry_ttl: 1s"
                            << "\nretries:\n  ratio: 0.2\n  slack: 52\n  window: 10s"
                            << "\nlog:\n  level: info\n  format: json\n";
    const char *logs = std::getenv("REVIEW_LOGS");
    const auto log = logs ? std::string(logs) + '/' + gateway.name + ".log" : m_files.file(gateway.name + ".log");
    gateway.process
        = std::make_unique<Processes::ChildProcess>(std::vector<std::string>{program, "--settings=" + settings}, log);
    gateway.isExpectedToEnd = false;
    note("started " + gateway.name);
}

std::int64_t Installation::declareVersion(const std::string &adapter, unsigned version)
{
    m_ledger.newest[adapter] = version;
    return m_store.put("op/version/m." + adapter, R"({"model": "m", "adapter": ")" + adapter + R"(", "version": )"
                                                      + std::to_string(version) + '}');
}

void Installation::restartByTerm(std::size_t number)
{
    auto &gateway = m_gateways[number];
    note("SIGTERM to " + gateway.name);
    gateway.isExpectedToEnd = true;
    gateway.stoppedAt = BootClock{}.now();
    gateway.process->signal(SIGTERM);
    startWhenEnded(number);
}

void Installation::losePower(std::size_t number, Duration time)
{
    auto &gateway = m_gateways[number];
    note(gateway.name + " loses power");
    gateway.isExpectedToEnd = true;
    gateway.process->signal(SIGSTOP);
    m_loop.runAfter(time, [this, number] {
        m_gateways[number].process->kill();
        start(m_gateways[number]);
    });
}

void Installation::startWhenEnded(std::size_t number)
{
    m_loop.runAfter(endPollInterval, [this, number] {
        if (m_gateways[number].process->isRunning())
            return startWhenEnded(number);
        note(m_gateways[number].name + " has ended");
        start(m_gateways[number]);
    });
}

void Installation::run(Duration time)
{
    m_loop.runAfter(time, [this] { m_loop.stop(); });
    m_loop.context().restart();
    m_loop.run();
}

bool Installation::runUntil(const std::function<bool()> &holds, Duration deadline)
{
    const auto end = BootClock{}.now() + deadline;
    while (!holds()) {
        if (BootClock{}.now() > end)
            return false;
        run(std::chrono::milliseconds{20});
    }
    return true;
}

void Installation::waitUntilReady()
{
    for (auto &gateway : m_gateways) {
        bool isReady = false;
        const auto end = BootClock{}.now() + readyTimeout;
        while (!isReady) {
            if (BootClock{}.now() > end || !gateway.process->isRunning())
                giveUp(gateway.name + " does not become ready");
            Relay::SendOptions options;
            options.timeout = std::chrono::seconds{1};
            m_client.fetch(
                {gateway.ports[Readiness]->endpoint(), {}}, {"GET", "/readyz", {{"Host", "ready"}}, {}},
                [&](const Relay::WholeResponse &response) { isReady = response.head.status == 200; }, options);
            run(std::chrono::milliseconds{100});
        }
        note(gateway.name + " is ready");
    }
}

void Installation::send(std::size_t number, const CallForm &form)
{
    auto &gateway = m_gateways[number];
    const auto index = m_calls.size();
    const auto id = "c" + std::to_string(index);
    m_calls.push_back({id, gateway.name, form.path, BootClock{}.now(), {}, 0});
    const auto request = requestFor(form, id);
    Relay::SendOptions options;
    options.timeout = form.timeout + std::chrono::seconds{1};
    m_client.fetch(
        {gateway.ports[Callers]->endpoint(), {}}, request,
        [this, index](const Relay::WholeResponse &response) {
            m_calls[index].answeredAt = BootClock{}.now();
            m_calls[index].status = response.head.status;
        },
        options);
}

Http::Request Installation::requestFor(const CallForm &form, const std::string &id) const
{
    Http::Request request{
        form.method,
        form.path,
        {{"Host", "h.example"}, {"X-Request-Id", id}, {"X-Timeout-Ms", std::to_string(form.timeout.count() / 1000)}},
        {}};
    if (!form.model.empty()) {
        request.headers.add("X-Model", form.model);
        request.headers.add("X-Token-Count", "200,18");
        request.headers.add("X-Prompt-Prefix", "aa:100," + std::to_string(m_calls.size()) + ":100");
    }
    return request;
}

void Installation::keepSending(std::size_t gateway, Duration interval, std::function<CallForm()> next)
{
    sendAndRepeat(gateway, interval, next, m_generation);
}

void Installation::sendAndRepeat(std::size_t gateway, Duration interval, const std::function<CallForm()> &next,
                                 unsigned generation)
{
    if (generation != m_generation)
        return;
    if (!m_gateways[gateway].isExpectedToEnd)
        send(gateway, next());
    m_loop.runAfter(interval, [=, this] { sendAndRepeat(gateway, interval, next, generation); });
}

void Installation::stopSending()
{
    ++m_generation;
}

std::size_t Installation::gatewayOf(const std::string &name)
{
    for (std::size_t number = 0; number < m_gateways.size(); ++number) {
        if (m_gateways[number].name == name)
            return number;
    }
    giveUp("there is no gateway " + name);
}

std::int64_t Installation::millisecondsOf(Instant at) const
{
    return (at - m_begin).count() / 1000;
}

void Installation::note(const std::string &text)
{
    m_record << millisecondsOf(BootClock{}.now()) << " ms: " << text << std::endl;
}

void Installation::writeLedger()
{
    m_record << "\ncalls: id, gateway, path, sent at ms, answered at ms, status (0: none)\n";
    for (const auto &call : m_calls)
        m_record << call.id << ' ' << call.node << ' ' << call.path << ' ' << millisecondsOf(call.sentAt) << ' '
                 << (call.answeredAt == Instant{} ? -1 : millisecondsOf(call.answeredAt)) << ' ' << call.status << '\n';
    m_record << "\nruns: id, upstream, at ms, adapter and its version if one was used\n";
    for (const auto &each : m_ledger.runs)
        m_record << each.id << ' ' << each.instance << ' ' << millisecondsOf(each.at) << ' ' << each.adapter
                 << (each.adapter.empty() ? "" : '@' + std::to_string(each.version)) << '\n';
    m_record << "\norders: upstream, holder, generation number, status, at ms\n";
    for (const auto &each : m_ledger.orders)
        m_record << each.instance << ' ' << each.holder << ' ' << each.fence << ' ' << each.status << ' '
                 << millisecondsOf(each.at) << '\n';
    m_record << std::flush;
}

void Installation::giveUp(const std::string &reason)
{
    note("could not run: " + reason);
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    m_gateways.clear();
    std::exit(2);
}

void Installation::sweep()
{
    m_client.sweep(BootClock{}.now());
    for (std::size_t number = 0; number < m_gateways.size(); ++number) {
        auto &gateway = m_gateways[number];
        if (!gateway.isExpectedToEnd && gateway.process && !gateway.process->isRunning())
            giveUp(gateway.name + " has ended by itself");
    }
    m_loop.runAfter(sweepInterval, [this] { sweep(); });
}

} // namespace Gypsumtally::Review
