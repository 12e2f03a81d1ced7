// The process that reads the standard output of one gateway stands still. Meanwhile callers cause the log lines of a
// busy day: some leave early, some streams are late, and some ask for a route that was removed.
//
// Usage: stalledlog FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready.

#include "platform.h"

#include <csignal>

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr milliseconds firstEvent(1000); ///< The objective is 800 ms.
constexpr milliseconds eventPause(50);
constexpr int eventsOfStream = 3;
constexpr milliseconds routeTimeout(3000);
constexpr milliseconds lateAnswer(500); ///< After the timeout of the route.
constexpr milliseconds leaveAfter(60);
constexpr milliseconds roundPause(40); ///< Between two rounds of requests, one of each kind at each gateway.
constexpr std::int64_t stallAt = 4000; ///< Times in ms since the gateways were ready.
constexpr std::int64_t longestPlay = 104000;
constexpr std::int64_t judgedTime = 12000; ///< Of the last requests.

/// What callers have seen of a gateway in the judged time.
struct Seen {
    unsigned sent = 0;
    unsigned unansweredAtTimeout = 0;
    unsigned unansweredLater = 0;
};

class Case
{
public:
    Case(asio::io_context &context, const std::string &folder, const std::string &record)
        : m_context(context)
        , m_folder(folder)
        , m_network(freeNetwork(context, 3))
        , m_record(record)
        , m_store(context, m_network + ".1")
        , m_machines(machinesIn(m_network))
    {
        for (unsigned number = 0; number < 3; ++number) {
            const auto id = "i-" + std::to_string(number + 1);
            auto &server = m_servers.emplace_back(std::make_unique<Server>(
                context, m_network + '.' + std::to_string(101 + number), [id](SessionPtr session, Request request) {
                    return serve(id, std::move(session), std::move(request));
                }));
            asio::co_spawn(context, beat(id, server->address(), m_machines[number].zone), asio::detached);
        }
        m_store.put("op/config", configuration());
        for (const auto &machine : m_machines)
            writeSettings(folder, machine, m_store.server.address());
        std::ofstream(folder + "/ready");
        asio::co_spawn(context, play(), asio::detached);
    }

    int result() const
    {
        return m_result;
    }

private:
    static std::string configuration()
    {
        return R"({"version":7,"routes":[{"name":"notes","host":"desk.example","prefix":"/notes/","kind":"streaming",)"
               R"("timeout_ms":3000,"goal_ms":800,"priority":1,"service":"writers","attempts":1,"sticky":true,)"
               R"("can_resume":false,"gap_target_ms":300}],"services":[{"name":"writers","health_path":"/healthz",)"
               R"("max_conns":290,"protocol":"h1","tls":false,"engine":{"slots":96,"kv_capacity":119346,"stride":1,)"
               R"("models":[{"name":"base","weights_mb":65100.0,"load_s":5.3,"adapters":3000,"adapter_mb":12.0}],)"
               R"("weights_mb":66600.0,"adapter_slots":18,"loads_per_s":4.2}}],"limits":{"header_bytes":16384,)"
               R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    static json::array models()
    {
        return {json::object{{"name", "base"}, {"version", 1}, {"adapters", json::array{}}}};
    }

    awaitable<void> beat(std::string id, std::string address, std::string zone)
    {
        for (;;) {
            m_store.put("servers/" + id, json::serialize(json::object{{"service", "writers"},
                                                                      {"address", address},
                                                                      {"zone", zone},
                                                                      {"version", "v1"},
                                                                      {"slots", 96},
                                                                      {"state", "ready"},
                                                                      {"cold_ms", 0},
                                                                      {"stage", "mixed"},
                                                                      {"models", models()},
                                                                      {"seq", 0},
                                                                      {"born", 1}}));
            co_await pause(heartbeat);
        }
    }

    static awaitable<void> serve(std::string worker, SessionPtr session, Request request)
    {
        const std::string id(request["X-Request-Id"]);
        Fields fields;
        fields.emplace_back("X-Instance-Id", worker);
        if (id.empty()) {
            fields.emplace_back("Content-Type", "application/json");
            const json::object report{
                {"stage", "mixed"}, {"models", models()}, {"busy", false}, {"seq", 0}, {"born", 1}};
            co_return co_await session->respond(200, fields, json::serialize(report));
        }
        fields.emplace_back("X-Request-Id", id);
        fields.emplace_back("X-Response-Signature", "s." + id);
        fields.emplace_back("Content-Type", "text/event-stream");
        co_await session->begin(fields);
        co_await pause(firstEvent);
        for (int number = 1; number <= eventsOfStream; ++number) {
            co_await session->chunk("id: " + std::to_string(number) + "\ndata: text\n\n");
            co_await pause(eventPause);
        }
        co_await session->end();
    }

    std::string requestFor(const std::string &path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r" + std::to_string(++m_requests)
               + "\r\nX-Timeout-Ms: 3000\r\nX-Model: base\r\nX-Token-Count: 100,3\r\nContent-Length: 2\r\n"
                 "Connection: close\r\n\r\n{}";
    }

    /// A caller that waits for its answer.
    awaitable<void> attempt(std::size_t machine)
    {
        const auto sentAt = m_record.now();
        const auto answer
            = co_await ask(m_machines[machine].callers(), requestFor("/notes/1"), routeTimeout + lateAnswer);
        const auto took = m_record.now() - sentAt;
        m_done.push_back({sentAt, machine, took, answer.status});
        m_answers[machine] += answer.status == 200 ? 1 : 0;
    }

    struct Done {
        std::int64_t sentAt = 0;
        std::size_t machine = 0;
        std::int64_t took = 0;
        unsigned status = 0;
    };

    awaitable<void> load()
    {
        for (;;) {
            for (std::size_t i = 0; i < m_machines.size(); ++i) {
                asio::co_spawn(m_context, attempt(i), asio::detached);
                asio::co_spawn(m_context, ask(m_machines[i].callers(), requestFor("/notes/1"), leaveAfter),
                               asio::detached);
                asio::co_spawn(m_context, ask(m_machines[i].callers(), requestFor("/removed/1"), milliseconds(1000)),
                               asio::detached);
            }
            co_await pause(roundPause);
        }
    }

    /// Returns true if the first gateway has answered nothing in the last seconds.
    bool isSilent() const
    {
        return std::ranges::none_of(m_done, [&](const Done &done) {
            return done.machine == 0 && done.status != 0 && done.sentAt + done.took > m_record.now() - judgedTime;
        });
    }

    awaitable<void> play()
    {
        const bool isReady = co_await areReady(m_machines, milliseconds(20000));
        if (!isReady) {
            m_record.line("the gateways did not become ready");
            m_context.stop();
            co_return;
        }
        const auto begin = m_record.now();
        asio::co_spawn(m_context, load(), asio::detached);
        co_await until(m_record, begin + stallAt);
        pid_t reader = 0;
        std::ifstream(m_folder + '/' + m_machines.front().node + ".reader") >> reader;
        if (reader <= 0) {
            m_context.stop();
            co_return;
        }
        if (hasTrouble()) {
            kill(reader, SIGSTOP);
            m_record.line("the reader of the log of " + m_machines.front().node + " stands still");
        }
        for (unsigned second = 0; m_record.now() < begin + longestPlay; ++second) {
            co_await pause(milliseconds(1000));
            if (hasTrouble()) // Again, as the end of the session that has started the script lets stopped processes go
                              // on.
                kill(reader, SIGSTOP);
            m_record.line("answered with 200 so far: " + std::to_string(m_answers[0]) + ", "
                          + std::to_string(m_answers[1]) + ", " + std::to_string(m_answers[2]));
            if (second > judgedTime / 1000 && isSilent())
                break;
        }
        judge();
        if (hasTrouble())
            kill(reader, SIGCONT);
        m_context.stop();
    }

    void judge()
    {
        const auto until = m_record.now() - (routeTimeout + lateAnswer).count();
        std::array<Seen, 3> seen;
        for (const auto &done : m_done) {
            if (done.sentAt < m_record.now() - judgedTime || done.sentAt > until)
                continue;
            auto &at = seen[done.machine];
            ++at.sent;
            at.unansweredAtTimeout += done.status == 0 || done.took > routeTimeout.count() ? 1 : 0;
            at.unansweredLater += done.status == 0 ? 1 : 0;
        }
        for (std::size_t i = 0; i < seen.size(); ++i)
            m_record.line(m_machines[i].node + ", last seconds: sent " + std::to_string(seen[i].sent)
                          + ", unanswered at the timeout " + std::to_string(seen[i].unansweredAtTimeout)
                          + ", 0.5 s later " + std::to_string(seen[i].unansweredLater));
        const bool isBroken = std::ranges::any_of(seen, [](const Seen &at) {
            return at.unansweredLater > 20 && 2 * at.unansweredLater > at.unansweredAtTimeout;
        });
        const bool hasRun = m_answers[0] > 50 && seen[1].sent > 50 && seen[1].unansweredLater == 0;
        m_result = !hasRun ? notRun : isBroken ? broken : held;
        m_record.line(m_result == broken ? "CONFIG is broken"
                      : m_result == held ? "CONFIG holds"
                                         : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_folder;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<Done> m_done;
    std::array<unsigned, 3> m_answers{};
    std::uint64_t m_requests = 0;
    int m_result = notRun;
};

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 3)
        return notRun;
    asio::io_context context;
    Case play(context, argv[1], argv[2]);
    context.run();
    std::_Exit(play.result()); // The context still holds coroutines that refer to the case.
}
