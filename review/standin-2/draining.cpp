// A worker reports that it drains; seconds later the store comes back from a copy that is older than the report.
//
// Usage: draining FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready.

#include "platform.h"

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr std::int64_t drainBound = 2500; ///< drain_ms
constexpr std::int64_t copyAt = 9800; ///< Times in ms since the gateways were ready.
constexpr std::int64_t reportAt = 10000;
constexpr std::int64_t awayAt = 15000;
constexpr std::int64_t backAt = 15500;
constexpr std::int64_t exitAt = 16400; ///< Of the worker that drains.
constexpr std::int64_t endAt = 22000;
constexpr unsigned eventsOfStream = 57;
constexpr milliseconds eventPause(30);
constexpr milliseconds quietPause(1250); ///< Between requests, before the store comes back.
constexpr milliseconds busyPause(33);

/// A model worker, which holds the base model.
struct Worker {
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::int64_t born = 1;
    bool isDraining = false;
    bool hasLeft = false;
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
        unsigned number = 0;
        for (const auto &machine : m_machines) {
            auto &worker = m_workers.emplace_back(std::make_unique<Worker>());
            worker->id = "i-" + std::to_string(++number);
            worker->zone = machine.zone;
            worker->server = std::make_unique<Server>(context, m_network + '.' + std::to_string(100 + number),
                                                      [this, raw = worker.get()](SessionPtr session, Request request) {
                                                          return serve(*raw, std::move(session), std::move(request));
                                                      });
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
               R"("timeout_ms":30000,"goal_ms":1000,"priority":1,"service":"writers","attempts":1,"sticky":true,)"
               R"("can_resume":false,"gap_target_ms":300}],"services":[{"name":"writers","health_path":"/healthz",)"
               R"("max_conns":290,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity":119346,"stride":1,)"
               R"("models":[{"name":"base","weights_mb":65100.0,"load_s":5.3,"adapters":3000,"adapter_mb":12.0}],)"
               R"("weights_mb":66600.0,"adapter_slots":18,"loads_per_s":4.2}}],"limits":{"header_bytes":16384,)"
               R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    bool publish(const Worker &worker)
    {
        return m_store.put("servers/" + worker.id,
                           json::serialize(json::object{{"service", "writers"},
                                                        {"address", worker.server->address()},
                                                        {"zone", worker.zone},
                                                        {"version", "v1"},
                                                        {"slots", 48},
                                                        {"state", worker.isDraining ? "draining" : "ready"},
                                                        {"cold_ms", 0},
                                                        {"stage", "mixed"},
                                                        {"models", models()},
                                                        {"seq", 0},
                                                        {"born", worker.born}}));
    }

    static json::array models()
    {
        return {json::object{{"name", "base"}, {"version", 1}, {"adapters", json::array{}}}};
    }

    static std::string report(const Worker &worker)
    {
        return json::serialize(json::object{{"stage", "mixed"},
                                            {"models", models()},
                                            {"busy", false},
                                            {"seq", 0},
                                            {"queued", 0},
                                            {"running", 0},
                                            {"kv_used", 0},
                                            {"kv_total", 119346},
                                            {"handles", 0},
                                            {"born", worker.born}});
    }

    awaitable<void> beat(Worker &worker)
    {
        while (!worker.hasLeft) {
            if (publish(worker) && worker.isDraining)
                m_record.line("store has the entry of " + worker.id + ": draining");
            co_await pause(heartbeat);
        }
    }

    awaitable<void> serve(Worker &worker, SessionPtr session, Request request)
    {
        const std::string id(request["X-Request-Id"]);
        Fields fields;
        fields.emplace_back("X-Instance-Id", worker.id);
        if (worker.isDraining)
            fields.emplace_back("Server-Leaving", "1");
        if (id.empty()) {
            fields.emplace_back("Content-Type", "application/json");
            co_return co_await session->respond(200, fields, report(worker));
        }
        fields.emplace_back("X-Request-Id", id);
        if (request["X-Expect-Instance"] != worker.id)
            co_return co_await session->respond(421, fields, "");
        m_record.line("run " + id + " at " + worker.id);
        if (worker.isDraining)
            noteLate(id);
        fields.emplace_back("X-Response-Signature", "s." + id);
        fields.emplace_back("Content-Type", "text/event-stream");
        co_await session->begin(fields);
        for (unsigned number = 1; number <= eventsOfStream; ++number) {
            co_await pause(eventPause);
            co_await session->chunk("id: " + std::to_string(number) + "\ndata: text\n\n");
        }
        co_await session->end();
    }

    /// A request has reached the worker that drains.
    void noteLate(const std::string &id)
    {
        const auto age = m_record.now() - m_reportedAt;
        m_lastAtDraining = m_record.now();
        if (age <= drainBound)
            return;
        ++m_late;
        m_lateIds.insert(id);
        m_record.line("LATE: " + id + " reaches the worker " + std::to_string(age)
                      + " ms after the store has acknowledged that it drains");
    }

    awaitable<void> attempt(Machine machine, std::string id)
    {
        ++m_sent;
        m_record.line("send " + id + " to " + machine.node);
        const auto answer = co_await ask(machine.callers(),
                                         "POST /notes/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                                             + "\r\nX-Timeout-Ms: 30000\r\nX-Model: base\r\nX-Token-Count: 100,57\r\n"
                                               "Content-Length: 2\r\nConnection: close\r\n\r\n{}",
                                         milliseconds(31000));
        m_record.line("answer " + id + ' ' + (answer.status == 0 ? "broken off" : std::to_string(answer.status)));
        m_answered += answer.status == 200 ? 1 : 0;
        if (m_lateIds.contains(id) && answer.status != 200)
            ++m_lost;
    }

    awaitable<void> load()
    {
        // The last quiet request before the report begins 700 ms before it, the next one 550 ms after it.
        for (unsigned number = 0; m_record.now() < m_begin + endAt - 4000; ++number) {
            const auto &machine = m_machines[number % m_machines.size()];
            asio::co_spawn(m_context, attempt(machine, "r" + std::to_string(number)), asio::detached);
            const bool isQuiet = m_record.now() + quietPause.count() < m_begin + backAt;
            co_await pause(isQuiet ? quietPause : busyPause);
        }
    }

    awaitable<void> play()
    {
        if (!co_await areReady(m_machines, milliseconds(20000))) {
            m_record.line("the gateways did not become ready");
            m_context.stop();
            co_return;
        }
        m_begin = m_record.now();
        asio::co_spawn(m_context, load(), asio::detached);
        co_await until(m_record, m_begin + copyAt);
        const auto copy = m_store.state();
        m_record.line("a copy of the store is made");
        co_await until(m_record, m_begin + reportAt);
        auto &leaving = *m_workers.front();
        leaving.isDraining = true;
        publish(leaving);
        m_reportedAt = m_record.now();
        m_record.line("the store has acknowledged that " + leaving.id + " drains");
        co_await until(m_record, m_begin + awayAt);
        const bool wasLeft = m_late == 0;
        if (hasTrouble()) {
            m_store.goAway();
            m_record.line("the store is away");
        }
        co_await until(m_record, m_begin + backAt);
        if (hasTrouble()) {
            m_store.comeBack(copy);
            m_store.put("op/config", configuration());
            m_record.line("the store is back from the copy, in the next era");
        }
        co_await until(m_record, m_begin + exitAt);
        leaving.hasLeft = true;
        leaving.server->stop();
        m_store.remove("servers/" + leaving.id);
        m_record.line(leaving.id + " exits");
        co_await until(m_record, m_begin + endAt);
        judge(wasLeft);
        m_context.stop();
    }

    void judge(bool wasLeft)
    {
        m_record.line("sent " + std::to_string(m_sent) + ", answered 200 " + std::to_string(m_answered) + ", late "
                      + std::to_string(m_late) + ", of these without a whole answer " + std::to_string(m_lost));
        const bool isFairRun = wasLeft && m_answered > m_sent / 2;
        m_result = !isFairRun ? notRun : m_late > 0 ? broken : held;
        m_record.line(m_result == broken ? "DRAIN is broken"
                      : m_result == held ? "DRAIN holds"
                                         : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::set<std::string> m_lateIds;
    std::int64_t m_begin = 0;
    std::int64_t m_reportedAt = 0;
    std::int64_t m_lastAtDraining = 0;
    unsigned m_sent = 0;
    unsigned m_answered = 0;
    unsigned m_late = 0;
    unsigned m_lost = 0;
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
    return play.result();
}
