// One gateway is cut off from the store. A worker leaves, and its entry is removed, as the cut ends.
//
// Usage: gone FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready.

#include "platform.h"

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr std::int64_t drainBound = 2500; ///< drain_ms
constexpr std::int64_t stableTime = 3000; ///< stable_ms
constexpr std::int64_t cutAt = 8000; ///< Time in ms since the gateways were ready.
constexpr std::int64_t shortestCut = 3500; ///< The cut ends soon after the next call of the gateway.
constexpr std::int64_t longestCut = 8000;
constexpr std::int64_t removedBeforeEnd = 100; ///< Time from the removal of the entry to the end of the cut.
constexpr std::int64_t exitAfter = 4000; ///< Time from the removal of the entry to the worker's exit.
constexpr std::int64_t quietBefore = 3000; ///< Time without requests before the cut, longer than a stream lasts.
constexpr unsigned eventsOfStream = 57;
constexpr milliseconds eventPause(30);
constexpr milliseconds quietPause(1250); ///< Between requests, at first.
constexpr milliseconds busyPause(33); ///< Between requests, once the gateway is in touch again.

/// A model worker, which holds the base model.
struct Worker {
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::int64_t born = 1;
    bool isLeaving = false; ///< Its entry was removed; it serves on for a while.
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
        for (const auto &machine : m_machines) {
            m_paths.push_back(&m_store.addPath(context, m_network + ".1"));
            writeSettings(folder, machine, m_paths.back()->server->address());
        }
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
        return m_store.put("servers/" + worker.id, json::serialize(json::object{{"service", "writers"},
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
        while (!worker.isLeaving) {
            static_cast<void>(publish(worker));
            co_await pause(heartbeat);
        }
    }

    awaitable<void> serve(Worker &worker, SessionPtr session, Request request)
    {
        const std::string id(request["X-Request-Id"]);
        Fields fields;
        fields.emplace_back("X-Instance-Id", worker.id);
        if (worker.isLeaving)
            fields.emplace_back("Server-Leaving", "1");
        if (id.empty()) {
            fields.emplace_back("Content-Type", "application/json");
            co_return co_await session->respond(200, fields, report(worker));
        }
        fields.emplace_back("X-Request-Id", id);
        if (request["X-Expect-Instance"] != worker.id)
            co_return co_await session->respond(421, fields, "");
        m_record.line("run " + id + " at " + worker.id);
        if (worker.isLeaving)
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

    /// A request has reached the worker that leaves.
    void noteLate(const std::string &id)
    {
        const auto age = m_record.now() - m_removedAt;
        if (age <= drainBound)
            return;
        ++m_late;
        m_lateIds.insert(id);
        m_record.line("LATE: " + id + " reaches the worker " + std::to_string(age) + " ms after its entry was removed");
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

    void send(std::size_t machine)
    {
        asio::co_spawn(m_context, attempt(m_machines[machine], "r" + std::to_string(m_sent)), asio::detached);
    }

    awaitable<void> quietLoad(std::int64_t end)
    {
        for (unsigned number = 0; m_record.now() < end; ++number) {
            send(number % m_machines.size());
            co_await pause(quietPause);
        }
    }

    /// Sends to the first gateway until @p end.
    awaitable<void> busyLoad(std::int64_t end)
    {
        while (m_record.now() < end) {
            send(0);
            co_await pause(busyPause);
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
        const auto begin = m_record.now();
        asio::co_spawn(m_context, quietLoad(begin + cutAt - quietBefore), asio::detached);
        co_await until(m_record, begin + cutAt);
        auto &path = *m_paths.front();
        path.isCut = hasTrouble();
        if (hasTrouble())
            m_record.line(m_machines.front().node + " is cut off from the store");
        co_await until(m_record, begin + cutAt + shortestCut);
        const auto reads = path.unansweredReads;
        while (path.isCut && path.unansweredReads == reads && m_record.now() < begin + cutAt + longestCut)
            co_await pause(milliseconds(5));
        auto &leaving = *m_workers.front();
        leaving.isLeaving = true;
        m_store.remove("servers/" + leaving.id);
        m_removedAt = m_record.now();
        m_record.line("the store has acknowledged that the entry of " + leaving.id + " is removed");
        co_await pause(milliseconds(removedBeforeEnd));
        path.isCut = false;
        const auto healedAt = m_record.now();
        m_record.line("the cut has ended, after " + std::to_string(healedAt - begin - cutAt) + " ms");
        co_await until(m_record, healedAt + stableTime);
        m_record.line("the gateway is in touch again, and gets requests");
        asio::co_spawn(m_context, busyLoad(m_removedAt + exitAfter + 1000), asio::detached);
        co_await until(m_record, m_removedAt + exitAfter);
        leaving.server->stop();
        m_record.line(leaving.id + " exits");
        co_await pause(milliseconds(4000));
        judge();
        m_context.stop();
    }

    void judge()
    {
        m_record.line("sent " + std::to_string(m_sent) + ", answered 200 " + std::to_string(m_answered) + ", late "
                      + std::to_string(m_late) + ", of these without a whole answer " + std::to_string(m_lost));
        m_result = m_answered < m_sent / 2 ? notRun : m_late > 0 ? broken : held;
        m_record.line(m_result == broken ? "DRAIN is broken"
                      : m_result == held ? "DRAIN holds"
                                         : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<Store::Path *> m_paths; ///< Of the machines to the store.
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::set<std::string> m_lateIds;
    std::int64_t m_removedAt = 0;
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
    std::_Exit(play.result()); // The context still holds coroutines that refer to the case.
}
