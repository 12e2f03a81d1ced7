// A request that crashes each worker that begins to run it has been recognised. The store comes back from a copy that
// is older than that, and the request's impatient caller sends it again.
//
// Usage: poison FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready.

#include "platform.h"

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr unsigned workerCount = 6;
constexpr milliseconds downTime(2000);
constexpr milliseconds silenceOfEntry(3600); ///< Three heartbeats.
constexpr milliseconds eventPause(30);
constexpr int eventsOfStream = 57;
constexpr int eventsBeforeCrash = 20; ///< Of the crashing request, 0.6 s.
constexpr milliseconds usualPause(100); ///< Between two usual requests.
constexpr milliseconds pauseOfCaller(4000); ///< Between two sendings of the crashing request.
constexpr std::int64_t stableTime = 3000; ///< stable_ms
constexpr std::int64_t playTime = 50000;
constexpr unsigned allowedRetries = 3;

struct Worker {
    unsigned number = 0;
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::int64_t born = 0;
};

class Case
{
public:
    Case(asio::io_context &context, const std::string &folder, const std::string &record)
        : m_context(context)
        , m_network(freeNetwork(context, 3))
        , m_record(record)
        , m_store(context, m_network + ".1")
        , m_machines(machinesIn(m_network))
    {
        for (unsigned number = 1; number <= workerCount; ++number) {
            auto &worker = m_workers.emplace_back(std::make_unique<Worker>());
            worker->number = number;
            worker->zone = m_machines[number % m_machines.size()].zone;
            start(*worker);
            asio::co_spawn(context, beat(*worker), asio::detached);
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
               R"("timeout_ms":30000,"goal_ms":1000,"priority":1,"service":"writers","attempts":2,"sticky":true,)"
               R"("can_resume":true,"gap_target_ms":300}],"services":[{"name":"writers","health_path":"/healthz",)"
               R"("max_conns":290,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity":119346,"stride":1,)"
               R"("models":[{"name":"base","weights_mb":65100.0,"load_s":5.3,"adapters":3000,"adapter_mb":12.0}],)"
               R"("weights_mb":66600.0,"adapter_slots":18,"loads_per_s":4.2}}],"limits":{"header_bytes":16384,)"
               R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    static json::array models()
    {
        return {json::object{{"name", "base"}, {"version", 1}, {"adapters", json::array{}}}};
    }

    void start(Worker &worker)
    {
        worker.born = 1 + m_record.now();
        worker.id = "i-" + std::to_string(worker.number) + '-' + std::to_string(worker.born);
        worker.server = std::make_unique<Server>(m_context, m_network + '.' + std::to_string(100 + worker.number),
                                                 [this, raw = &worker](SessionPtr session, Request request) {
                                                     return serve(*raw, std::move(session), std::move(request));
                                                 });
    }

    void publish(const Worker &worker)
    {
        m_store.put("servers/" + worker.id, json::serialize(json::object{{"service", "writers"},
                                                                         {"address", worker.server->address()},
                                                                         {"zone", worker.zone},
                                                                         {"version", "v1"},
                                                                         {"slots", 48},
                                                                         {"state", "ready"},
                                                                         {"cold_ms", 0},
                                                                         {"stage", "mixed"},
                                                                         {"models", models()},
                                                                         {"seq", 0},
                                                                         {"born", worker.born}}));
    }

    awaitable<void> beat(Worker &worker)
    {
        for (;;) {
            if (worker.server)
                publish(worker);
            co_await pause(heartbeat);
        }
    }

    awaitable<void> crash(Worker &worker)
    {
        const auto id = worker.id;
        if (++m_crashes == 3)
            m_thirdAt = m_record.now();
        m_record.line("crash " + std::to_string(m_crashes) + ": " + id);
        worker.server->stop();
        m_ended.push_back(std::move(worker.server));
        co_await pause(downTime);
        start(worker);
        publish(worker);
        co_await pause(silenceOfEntry - downTime);
        m_store.remove("servers/" + id);
    }

    awaitable<void> serve(Worker &worker, SessionPtr session, Request request)
    {
        Fields fields;
        fields.emplace_back("X-Instance-Id", worker.id);
        const std::string id(request["X-Request-Id"]);
        if (!request["X-Expect-Instance"].empty() && request["X-Expect-Instance"] != worker.id) {
            if (!id.empty())
                fields.emplace_back("X-Request-Id", id);
            co_return co_await session->respond(421, fields, "");
        }
        if (id.empty()) {
            const json::object report{
                {"stage", "mixed"}, {"models", models()}, {"busy", false}, {"seq", 0}, {"born", worker.born}};
            fields.emplace_back("Content-Type", "application/json");
            co_return co_await session->respond(200, fields, json::serialize(report));
        }
        const bool crashes = hasTrouble() && request.target() == "/notes/crashing";
        if (crashes)
            noteArrival(id, worker.id);
        fields.emplace_back("X-Request-Id", id);
        fields.emplace_back("X-Response-Signature", "s." + id);
        fields.emplace_back("Content-Type", "text/event-stream");
        co_await session->begin(fields);
        const auto last = std::string(request["Last-Event-Id"]);
        for (int number = std::atoi(last.c_str()) + 1, sent = 0; number <= eventsOfStream; ++number, ++sent) {
            if (crashes && sent == eventsBeforeCrash) {
                asio::co_spawn(m_context, crash(worker), asio::detached);
                throw std::runtime_error("the worker has crashed");
            }
            co_await pause(eventPause);
            co_await session->chunk("id: " + std::to_string(number) + "\ndata: text\n\n");
        }
        co_await session->end();
    }

    void noteArrival(const std::string &id, const std::string &worker)
    {
        const bool isLate = m_crashes >= 3 && m_record.now() > m_thirdAt + stableTime;
        if (isLate)
            m_lateRetries.insert(id);
        m_record.line("the crashing request, as " + id + ", reaches " + worker + (isLate ? ", LATE" : ""));
    }

    awaitable<void> attempt(std::size_t machine, std::string path, std::string id, std::string body)
    {
        const auto answer
            = co_await ask(m_machines[machine].callers(),
                           "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                               + "\r\nX-Timeout-Ms: 30000\r\nX-Model: base\r\nX-Token-Count: 100,57\r\nContent-Length: "
                               + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
                           milliseconds(31000));
        const auto text = answer.status == 0 ? std::string("broken off") : std::to_string(answer.status);
        if (path == "/notes/crashing") {
            m_record.line("the crashing request, as " + id + ", is answered " + text);
        } else if (answer.status != 200) {
            m_record.line("usual request " + id + ": " + text);
            ++m_lost;
        } else {
            ++m_answered;
        }
    }

    void sendCrashing(std::size_t machine)
    {
        asio::co_spawn(m_context, attempt(machine, "/notes/crashing", "c" + std::to_string(++m_sendings), "{}"),
                       asio::detached);
    }

    awaitable<void> usualLoad()
    {
        for (unsigned number = 0; !m_isOver; ++number) {
            const auto id = "u" + std::to_string(number);
            asio::co_spawn(m_context, attempt(number % m_machines.size(), "/notes/" + id, id, id), asio::detached);
            co_await pause(usualPause);
        }
    }

    awaitable<void> play()
    {
        const bool isReady = co_await areReady(m_machines, milliseconds(20000));
        if (!isReady) {
            m_record.line("the gateways did not become ready");
            m_context.stop();
            co_return;
        }
        asio::co_spawn(m_context, usualLoad(), asio::detached);
        const auto begin = m_record.now();
        for (unsigned number = 0; m_record.now() < begin + playTime; ++number) {
            co_await pause(pauseOfCaller);
            sendCrashing(number % m_machines.size());
        }
        m_isOver = true;
        co_await pause(milliseconds(4000));
        judge();
        m_context.stop();
    }

    void judge()
    {
        m_record.line("crashes " + std::to_string(m_crashes) + ", late retries that reached workers "
                      + std::to_string(m_lateRetries.size()) + ", allowed " + std::to_string(allowedRetries)
                      + "; usual requests answered " + std::to_string(m_answered) + ", not " + std::to_string(m_lost));
        m_result = m_answered < 100 ? notRun : m_lateRetries.size() > allowedRetries ? broken : held;
        m_record.line(m_result == broken ? "BUDGET is broken"
                      : m_result == held ? "BUDGET holds"
                                         : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Server>> m_ended;
    std::int64_t m_thirdAt = 0;
    std::set<std::string> m_lateRetries;
    unsigned m_crashes = 0;
    unsigned m_sendings = 0;
    unsigned m_answered = 0;
    unsigned m_lost = 0;
    bool m_isOver = false;
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
