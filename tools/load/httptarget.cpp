#include "load/httptarget.h"

#include "load/workload.h"

#include "http/client.h"
#include "http/eventloop.h"

#include <boost/json.hpp>

#include <memory>

namespace Gypsumtally::Load
{

namespace
{

/// Calls that are still unanswered this long after the last call was sent are counted as lost.
constexpr Duration drainTime = std::chrono::seconds{30};

Http::Request requestFor(const Arrival &arrival)
{
    const auto &call = arrival.call;
    const boost::json::object body{
        {"model", toModelName(*call.model)}, {"prompt", "summarise"}, {"max_tokens", arrival.tokens}};
    Http::Request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Gypsumtally-Class", std::string{nameOf(call.serviceClass)});
    request.headers.add("Gypsumtally-Customer", call.customer.value);
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(*call.deadline - call.arrival);
    request.headers.add("Gypsumtally-Deadline-Ms", std::to_string(timeout.count()));
    request.body = boost::json::serialize(body);
    return request;
}

/// The state of one run. Use only from the event loop's thread.
class HttpRun
{
public:
    HttpRun(const std::vector<Http::Endpoint> &entries, const Deployment &deployment, const Scenario &scenario,
            std::uint64_t seed)
        : m_entries(entries)
        , m_scenario(scenario)
        , m_workload(deployment, scenario, seed)
        , m_client(m_loop)
    {
        results.policy = "daemons over HTTP";
        results.seconds = std::chrono::duration<double>(scenario.length).count();
    }

    void run()
    {
        m_start = m_clock.now();
        scheduleNext();
        m_loop.run();
        for (const auto &[id, sent] : m_open)
            ++results.classes[static_cast<std::size_t>(sent.serviceClass)]
                  .ends[static_cast<std::size_t>(CallEnd::Lost)];
    }

    Results results;

private:
    struct Sent {
        ServiceClass serviceClass = ServiceClass::Standard;
        Instant at{};
        Instant deadline{};
        unsigned status = 0;
        bool notRun = false;
    };

    void scheduleNext()
    {
        auto arrival = m_workload.next();
        const auto offset = arrival.call.arrival - Instant{};
        if (offset > m_scenario.warmUp + m_scenario.length) {
            m_loop.runAfter(drainTime, [this] { m_loop.stop(); });
            return;
        }
        m_loop.runAfter(std::max(Duration{0}, m_start + offset - m_clock.now()), [this, arrival = std::move(arrival)] {
            send(arrival);
            scheduleNext();
        });
    }

    void send(const Arrival &arrival)
    {
        const auto id = arrival.call.id;
        const auto now = m_clock.now();
        m_open[id] = {arrival.call.serviceClass, now, now + (*arrival.call.deadline - arrival.call.arrival)};
        Http::ResponseObserver observer;
        observer.onHead = [this, id](unsigned status, const Http::Headers &headers) {
            m_open[id].status = status;
            m_open[id].notRun = headers.get("Gypsumtally-Verdict") == "not-run";
        };
        observer.onEnd = [this, id] { finish(id, true); };
        observer.onFailure = [this, id](const Http::TransportFailure &) { finish(id, false); };
        m_client.send(m_entries[id % m_entries.size()], requestFor(arrival), std::move(observer),
                      {.idleTimeout = std::chrono::minutes{6}});
    }

    void finish(CallId id, bool whole)
    {
        const auto sent = m_open.extract(id).mapped();
        const auto now = m_clock.now();
        if (sent.at - m_start < m_scenario.warmUp)
            return;
        CallEnd end = CallEnd::Lost;
        if (whole && sent.status == 200)
            end = now <= sent.deadline ? CallEnd::Answered : CallEnd::Late;
        else if (sent.notRun)
            end = CallEnd::NotRun;
        auto &measured = results.classes[static_cast<std::size_t>(sent.serviceClass)];
        ++measured.ends[static_cast<std::size_t>(end)];
        results.inTime += end == CallEnd::Answered;
        if (end == CallEnd::Answered)
            measured.latencies.push_back(std::chrono::duration<double>(now - sent.at).count());
    }

    std::vector<Http::Endpoint> m_entries;
    Scenario m_scenario;
    Workload m_workload;
    SteadyClock m_clock;
    Http::EventLoop m_loop;
    Http::Client m_client;
    Instant m_start{};
    std::unordered_map<CallId, Sent> m_open;
};

} // namespace

Results runOverHttp(const std::vector<Http::Endpoint> &entries, const Deployment &deployment, const Scenario &scenario,
                    std::uint64_t seed)
{
    HttpRun run{entries, deployment, scenario, seed};
    run.run();
    return std::move(run.results);
}

} // namespace Gypsumtally::Load
