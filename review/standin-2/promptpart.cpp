// All gateways lose power, and come back with the records of what lasts. Two requests that crash each worker that
// begins to run them come first then. They share the first part of their prompts, the instructions of one application,
// with all other requests.
//
// Usage: promptpart FOLDER RECORD. Writes the settings of the gateways to FOLDER and waits until they are ready. Makes
// the file "off" there, upon which all gateways must be killed, and removes it when they are to be started again.

#include "platform.h"

using namespace Standin;

namespace
{

constexpr milliseconds heartbeat(1200);
constexpr unsigned workerCount = 6;
constexpr milliseconds downTime(3000);
constexpr milliseconds silenceOfEntry(3600); ///< Three heartbeats.
constexpr milliseconds loadTime(5300); ///< load_s
constexpr milliseconds prefillTime(80); ///< first_ms, and 1,110 tokens at 20.4 a ms.
constexpr milliseconds eventPause(30);
constexpr int eventsOfStream = 57;
constexpr milliseconds usualPause(6000); ///< Between two usual requests.
constexpr milliseconds pauseOfCallers(1000); ///< Between two sendings of crashing requests.
constexpr unsigned sendings = 6; ///< Of both crashing requests together.
constexpr unsigned requestsBefore = 6; ///< Usual ones, before the gateways lose power.
constexpr unsigned requestsBetween = 1; ///< Usual ones, until recover_s.
constexpr unsigned requestsAfter = 7; ///< Usual ones, from recover_s after they are back.
constexpr std::int64_t recoverTime = 12000; ///< recover_s
constexpr milliseconds dark(1000); ///< Time for which the gateways are without power.

struct Worker {
    unsigned number = 0;
    std::string id;
    std::string zone;
    std::unique_ptr<Server> server;
    std::int64_t born = 0;
    std::int64_t seq = 0;
    std::optional<Clock::time_point> usableAt; ///< From which on it holds the model.

    bool holdsModel() const
    {
        return usableAt && *usableAt <= Clock::now();
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
            worker->number = number;
            worker->zone = m_machines[number % m_machines.size()].zone;
            start(*worker);
            worker->usableAt = Clock::now();
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

    static json::array models(const Worker &worker)
    {
        if (!worker.holdsModel())
            return {};
        return {json::object{{"name", "base"}, {"version", 1}, {"adapters", json::array{}}}};
    }

    static json::array comingModels(const Worker &worker)
    {
        return worker.usableAt && !worker.holdsModel() ? json::array{"base@1"} : json::array{};
    }

    void start(Worker &worker)
    {
        worker.born = 1 + m_record.now();
        worker.seq = 0;
        worker.usableAt.reset();
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
                                                                         {"models", models(worker)},
                                                                         {"seq", worker.seq},
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
        m_record.line("crash " + std::to_string(++m_crashes) + ": " + id);
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
        if (request.target() == "/order") {
            const auto status = takeOrder(worker, json::parse(request.body()).as_object());
            co_return co_await session->respond(status, fields, "");
        }
        if (id.empty()) {
            const json::object report{{"stage", "mixed"},
                                      {"models", models(worker)},
                                      {"busy", worker.usableAt && !worker.holdsModel()},
                                      {"seq", worker.seq},
                                      {"queued", 0},
                                      {"running", 0},
                                      {"kv_used", 0},
                                      {"kv_total", 119346},
                                      {"handles", 0},
                                      {"born", worker.born},
                                      {"coming", comingModels(worker)}};
            fields.emplace_back("Content-Type", "application/json");
            co_return co_await session->respond(200, fields, json::serialize(report));
        }
        co_await stream(worker, session, std::move(request), std::move(fields));
    }

    /// Carries out an order and returns the status of its answer.
    unsigned takeOrder(Worker &worker, const json::object &order)
    {
        if (order.contains("adapter") || order.at("opcode").as_string() != "load")
            return 400;
        const auto *expected = order.if_contains("expected");
        if (expected && expected->to_number<std::int64_t>() != worker.seq)
            return 409;
        if (worker.usableAt)
            return worker.holdsModel() ? 200 : 409;
        ++worker.seq;
        worker.usableAt = Clock::now() + loadTime;
        return 202;
    }

    awaitable<void> stream(Worker &worker, SessionPtr session, Request request, Fields fields)
    {
        const std::string id(request["X-Request-Id"]);
        fields.emplace_back("X-Request-Id", id);
        if (!worker.holdsModel())
            co_return co_await session->respond(421, fields, "");
        m_record.line(id + " reaches " + worker.id);
        co_await pause(prefillTime);
        if (!worker.server)
            throw std::runtime_error("the worker has crashed");
        if (hasTrouble() && request.target().starts_with("/notes/crashing-")) {
            asio::co_spawn(m_context, crash(worker), asio::detached);
            throw std::runtime_error("the worker has crashed");
        }
        fields.emplace_back("X-Response-Signature", "s." + id);
        fields.emplace_back("Content-Type", "text/event-stream");
        co_await session->begin(fields);
        const auto last = std::string(request["Last-Event-Id"]);
        for (int number = std::atoi(last.c_str()) + 1; number <= eventsOfStream; ++number) {
            co_await session->chunk("id: " + std::to_string(number) + "\ndata: text\n\n");
            co_await pause(eventPause);
        }
        co_await session->end();
    }

    /// Sends a request whose prompt begins with the instructions of the application, and has a subject and a text of
    /// its own after them.
    awaitable<Answer> send(std::size_t machine, std::string path, std::string id, unsigned subject)
    {
        m_record.line(id + " is sent to " + m_machines[machine].node);
        const auto answer = co_await ask(
            m_machines[machine].callers(),
            "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                + "\r\nX-Timeout-Ms: 30000\r\nX-Model: base\r\nX-Token-Count: 1110,57\r\nX-Prompt-Prefix: 5c1e07a2:210,"
                + "91bd3f0" + std::to_string(subject) + ":140,e440" + std::to_string(1000 + m_sent++)
                + ":760\r\nContent-Length: " + std::to_string(path.size()) + "\r\nConnection: close\r\n\r\n" + path,
            milliseconds(31000));
        m_record.line(id + ": " + (answer.status == 0 ? "no whole answer" : std::to_string(answer.status))
                      + (answer.status == 200 ? "" : ' ' + answer.body.substr(0, answer.body.find('\n'))));
        co_return answer;
    }

    /// Sends usual requests, each of them once more after a failure. Returns how many of them were served.
    awaitable<unsigned> sendUsual(std::string name, unsigned count)
    {
        unsigned served = 0;
        for (unsigned number = 0; number < count; ++number) {
            const auto next = Clock::now() + usualPause;
            const auto id = name + std::to_string(number);
            for (unsigned attempt = 0; attempt < 2; ++attempt) {
                const auto answer = co_await send((number + attempt) % m_machines.size(), "/notes/" + id,
                                                  id + '.' + std::to_string(attempt), number % 3);
                served += answer.status == 200 ? 1 : 0;
                if (answer.status == 200)
                    break;
                co_await pause(milliseconds(500));
            }
            asio::steady_timer timer(m_context, next);
            co_await timer.async_wait(use_awaitable);
        }
        co_return served;
    }

    /// Sends the two crashing requests in turn, as they come again.
    awaitable<void> sendCrashing()
    {
        for (unsigned number = 0; number < sendings; ++number) {
            asio::co_spawn(
                m_context,
                [](Case &self, unsigned number) -> awaitable<void> {
                    const auto name = "crashing-" + std::to_string(number % 2);
                    co_await self.send(number % self.m_machines.size(), "/notes/" + name,
                                       name + '.' + std::to_string(number / 2), 4 + number % 2);
                }(*this, number),
                asio::detached);
            co_await pause(pauseOfCallers);
        }
    }

    awaitable<void> play()
    {
        if (!co_await areReady(m_machines, milliseconds(20000)))
            co_return end("the gateways did not become ready");
        const auto before = co_await sendUsual("before-", requestsBefore);
        m_record.line("the gateways lose power");
        std::ofstream(m_folder + "/off");
        co_await pause(dark);
        std::filesystem::remove(m_folder + "/off");
        if (!co_await areReady(m_machines, milliseconds(20000)))
            co_return end("the gateways did not become ready again");
        m_record.line("the gateways are back");
        const auto back = m_record.now();
        co_await sendCrashing();
        co_await sendUsual("between-", requestsBetween);
        co_await until(m_record, back + recoverTime);
        judge(before, co_await sendUsual("after-", requestsAfter));
    }

    void end(const std::string &reason)
    {
        m_record.line(reason);
        m_context.stop();
    }

    void judge(unsigned before, unsigned after)
    {
        m_record.line("crashes " + std::to_string(m_crashes) + "; usual requests served before the final fault "
                      + std::to_string(before) + " of " + std::to_string(requestsBefore) + ", later than recover_s "
                      + std::to_string(after) + " of " + std::to_string(requestsAfter));
        m_result = 4 * before < requestsBefore ? notRun : 4 * after < requestsAfter ? broken : held;
        end(m_result == broken ? "RECOVER is broken" : m_result == held ? "RECOVER holds" : "the case did not run");
    }

    asio::io_context &m_context;
    std::string m_folder;
    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<Machine> m_machines;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Server>> m_ended;
    unsigned m_crashes = 0;
    unsigned m_sent = 0;
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
