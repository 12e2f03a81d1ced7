// The adapters of a deployment are large, so that a worker's memory is full before its places for adapters are.
//
// Usage: memory FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready.

#include "platform.h"

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr unsigned workerCount = 6;
constexpr unsigned adapterCount = 300;
constexpr std::size_t adapterSlots = 18;
constexpr double workerMb = 66600; ///< weights_mb of the engine, for weights and adapters combined.
constexpr double modelMb = 65100; ///< weights_mb of the base model.
constexpr double largeAdapterMb = 150; ///< With trouble; ten adapters fit.
constexpr double smallAdapterMb = 12; ///< That of the site; eighteen adapters fit.
constexpr std::int64_t playTime = 25000;
constexpr milliseconds loadTime(250);
constexpr milliseconds eventPause(30);
constexpr int eventsOfStream = 57;
constexpr milliseconds requestPause(30);

double adapterMb()
{
    return hasTrouble() ? largeAdapterMb : smallAdapterMb;
}

struct Worker {
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::map<std::string, Clock::time_point> adapters; ///< With the time from which each can be used.
    std::int64_t seq = 0;
    bool isDown = false; ///< It has crashed and does not come back.

    /// Returns the memory that it needs with @p count adapters.
    static double neededMb(std::size_t count)
    {
        return modelMb + adapterMb() * static_cast<double>(count);
    }
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
        for (unsigned number = 1; number <= workerCount; ++number) {
            auto &worker = m_workers.emplace_back(std::make_unique<Worker>());
            worker->id = "i-" + std::to_string(number);
            worker->zone = m_machines[number % m_machines.size()].zone;
            worker->server = std::make_unique<Server>(context, m_network + '.' + std::to_string(100 + number),
                                                      [this, raw = worker.get()](SessionPtr session, Request request) {
                                                          return serve(*raw, std::move(session), std::move(request));
                                                      });
            asio::co_spawn(context, beat(*worker, heartbeat * number / workerCount), asio::detached);
        }
        m_store.put("op/config", configuration());
        for (const auto &machine : m_machines)
            writeSettings(m_folder, machine, m_store.server.address());
        std::ofstream(m_folder + "/ready");
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
               R"("models":[{"name":"base","weights_mb":65100.0,"load_s":5.3,"adapters":3000,"adapter_mb":)"
               + std::to_string(adapterMb())
               + R"(}],"weights_mb":66600.0,"adapter_slots":18,"loads_per_s":4.2}}],"limits":{"header_bytes":16384,)"
                 R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    static json::array models(const Worker &worker, bool isComing)
    {
        json::array adapters;
        for (const auto &[adapter, usableAt] : worker.adapters) {
            if ((usableAt > Clock::now()) == isComing)
                adapters.push_back(json::string((isComing ? "base/" : "") + adapter + "@1"));
        }
        if (isComing)
            return adapters;
        return {json::object{{"name", "base"}, {"version", 1}, {"adapters", std::move(adapters)}}};
    }

    awaitable<void> beat(Worker &worker, milliseconds phase)
    {
        co_await pause(phase);
        while (!worker.isDown) {
            m_store.put("servers/" + worker.id, json::serialize(json::object{{"service", "writers"},
                                                                             {"address", worker.server->address()},
                                                                             {"zone", worker.zone},
                                                                             {"version", "v1"},
                                                                             {"slots", 48},
                                                                             {"state", "ready"},
                                                                             {"cold_ms", 0},
                                                                             {"stage", "mixed"},
                                                                             {"models", models(worker, false)},
                                                                             {"seq", worker.seq},
                                                                             {"born", 1}}));
            co_await pause(heartbeat);
        }
    }

    awaitable<void> serve(Worker &worker, SessionPtr session, Request request)
    {
        Fields fields;
        fields.emplace_back("X-Instance-Id", worker.id);
        if (request["X-Expect-Instance"] != worker.id)
            co_return co_await session->respond(421, fields, "");
        fields.emplace_back("Content-Type", "application/json");
        if (request.target() == "/report") {
            const json::object report{{"stage", "mixed"},
                                      {"models", models(worker, false)},
                                      {"busy", false},
                                      {"seq", worker.seq},
                                      {"queued", 0},
                                      {"running", 0},
                                      {"kv_used", 0},
                                      {"kv_total", 119346},
                                      {"handles", 0},
                                      {"born", 1},
                                      {"coming", models(worker, true)}};
            co_return co_await session->respond(200, fields, json::serialize(report));
        }
        if (request.target() == "/order") {
            const auto status = takeOrder(worker, json::parse(request.body()).as_object());
            if (status == 0)
                throw std::runtime_error("the worker has crashed");
            co_return co_await session->respond(status, fields, "");
        }
        co_await stream(worker, session, std::move(request));
    }

    /// Carries out an order and returns the status of its answer.
    unsigned takeOrder(Worker &worker, const json::object &order)
    {
        const std::string holder(order.at("holder").as_string());
        const auto *named = order.if_contains("adapter");
        const std::string adapter = named ? std::string(named->as_string()) : std::string();
        const bool isLoad = order.at("opcode").as_string() == "load";
        ++m_orders;
        if (adapter.empty())
            return 400;
        if (order.at("expected").to_number<std::int64_t>() != worker.seq)
            return 409;
        if (isLoad && worker.adapters.contains(adapter))
            return 200;
        const auto count = worker.adapters.size() + (isLoad ? 1 : 0);
        m_record.line("order at " + worker.id + " from " + holder + ": " + (isLoad ? "load " : "unload ") + adapter
                      + ", which takes it to " + std::to_string(isLoad ? count : count - 1) + " adapters");
        if (isLoad && (Worker::neededMb(count) > workerMb || count > adapterSlots)) {
            ++m_violations;
            m_record.line("VIOLATION: " + worker.id + " needs " + std::to_string(Worker::neededMb(count))
                          + " MB and has " + std::to_string(workerMb) + "; it crashes with "
                          + std::to_string(m_running[worker.id]) + " streams");
            worker.isDown = true;
            asio::post(m_context, [&worker] { worker.server->stop(); });
            return 0;
        }
        ++worker.seq;
        if (!isLoad) {
            worker.adapters.erase(adapter);
            return 200;
        }
        worker.adapters[adapter] = Clock::now() + loadTime;
        return 202;
    }

    /// Counts a stream for as long as it runs.
    struct Running {
        explicit Running(unsigned &streams)
            : count(streams)
        {
            ++count;
        }
        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;
        ~Running()
        {
            --count;
        }

        unsigned &count;
    };

    awaitable<void> stream(Worker &worker, SessionPtr session, Request request)
    {
        const std::string model(request["X-Model"]);
        const auto held = worker.adapters.find(model.substr(model.find('/') + 1));
        Fields fields;
        fields.emplace_back("X-Request-Id", request["X-Request-Id"]);
        if (held == worker.adapters.end() || held->second > Clock::now())
            co_return co_await session->respond(421, fields, "");
        fields.emplace_back("X-Response-Signature", "s");
        fields.emplace_back("Content-Type", "text/event-stream");
        const Running running(m_running[worker.id]);
        co_await session->begin(fields);
        const auto last = std::string(request["Last-Event-Id"]);
        for (auto number = std::atoi(last.c_str()) + 1; number <= eventsOfStream; ++number) {
            co_await pause(eventPause);
            co_await session->chunk("id: " + std::to_string(number) + "\ndata: text\n\n");
        }
        co_await session->end();
    }

    awaitable<void> attempt(Machine machine, std::string id, std::string adapter)
    {
        ++m_sent;
        const auto answer
            = co_await ask(machine.callers(),
                           "POST /notes/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                               + "\r\nX-Timeout-Ms: 30000\r\nX-Model: base/" + adapter
                               + "\r\nX-Token-Count: 100,57\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
                           milliseconds(31000));
        m_answered += answer.status == 200 ? 1 : 0;
        if (answer.status == 0 || answer.status == 502) {
            ++m_lost;
            m_record.line("stream " + id + ": " + (answer.status == 0 ? "broken off" : "502"));
        }
    }

    awaitable<void> load()
    {
        std::mt19937 random(1);
        std::geometric_distribution<unsigned> rank(0.02);
        for (unsigned number = 0;; ++number) {
            const auto adapter = "a" + std::to_string(1 + rank(random) % adapterCount);
            asio::co_spawn(m_context, attempt(m_machines[number % 3], "r" + std::to_string(number), adapter),
                           asio::detached);
            co_await pause(requestPause);
        }
    }

    awaitable<void> play()
    {
        const bool isReady = co_await areReady(m_machines, milliseconds(20000));
        m_record.line(isReady ? "the gateways are ready" : "the gateways did not become ready");
        if (isReady) {
            asio::co_spawn(m_context, load(), asio::detached);
            co_await pause(milliseconds(playTime));
            judge();
        }
        m_context.stop();
    }

    void judge()
    {
        m_record.line("sent " + std::to_string(m_sent) + ", answered 200 " + std::to_string(m_answered) + ", broken "
                      + std::to_string(m_lost) + ", orders " + std::to_string(m_orders) + ", violations "
                      + std::to_string(m_violations));
        m_result = m_orders < 20 ? notRun : m_violations > 0 ? broken : held;
        m_record.line(m_result == broken ? "LIMIT is broken"
                      : m_result == held ? "LIMIT holds"
                                         : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_folder;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, unsigned> m_running; ///< Streams, by worker.
    unsigned m_orders = 0;
    unsigned m_violations = 0;
    unsigned m_sent = 0;
    unsigned m_answered = 0;
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
