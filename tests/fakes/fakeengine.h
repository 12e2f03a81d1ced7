#pragma once

#include "fakes/fakeserver.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Gypsumtally::Fakes
{

struct EngineOptions {
    std::string base = "base";
    std::size_t slots = 4;
    std::size_t maxRunning = 16;
    std::size_t maxWaiting = 1000;
    Duration tokenInterval = std::chrono::milliseconds{5}; ///< Inter-token latency of each running request.
    bool fencing = true; ///< Reject orders with a stale fencing token.
    bool crashOnPrompt = false; ///< Exit when a request starts to run whose prompt contains `CRASH-ENGINE`.
    std::optional<Http::Endpoint> weightStore; ///< If unset, every adapter of the base model loads in loadTime().
    Duration reportLag = std::chrono::milliseconds{200}; ///< Age of the counts in a load report.
};

/// Returns token @p index of the answer of @p model to @p prompt. It is a hash of all three, so that a checker can
/// verify which adapter and version produced an answer and whether the answer is complete. Thread-safe.
std::string tokenText(std::string_view model, std::string_view prompt, std::size_t index);

/// Returns the concatenation of the first @p count tokens. Thread-safe.
std::string answerText(std::string_view model, std::string_view prompt, std::size_t count);

/// Returns the duration of an adapter load while @p inFlight loads, including this one, are in flight. Thread-safe.
Duration loadTime(std::size_t inFlight);

/// A fake model engine with adapter slots and continuous batching. In addition to the common control fields it accepts:
/// - `drop_orders`: the number of next load and unload orders that are lost before they take effect;
/// - `lose_order_replies`: the number of next orders that take effect but whose reply is lost;
/// - `order_delay_ms`: the time between the receipt of an order and its effect;
/// - `token_interval_ms` and `report_lag_ms`: new values of the options.
/// Call only from the event loop's thread.
class FakeEngine
{
public:
    FakeEngine(Http::EventLoop &loop, Journal &journal, EngineOptions options);

    void handle(const Http::Request &request, ResponderPointer responder);
    void control(const json::object &fields);

    /// Returns the load report with the current counts, without the report lag.
    json::object report() const;

private:
    struct Run {
        std::string id;
        std::string model;
        std::string prompt;
        std::int64_t priority = 0;
        std::size_t next = 0; ///< Index of the next token to emit.
        std::size_t end = 0; ///< Index after the last token.
        bool streamed = false;
        bool chat = false;
        bool callerGone = false;
        std::string text;
        ResponderPointer responder;
    };
    using RunPointer = std::shared_ptr<Run>;

    struct Loading {
        std::vector<ResponderPointer> waiters;
    };

    struct LaggedCounts {
        Instant at;
        json::array running;
        std::size_t waiting = 0;
    };

    void complete(const Http::Request &request, ResponderPointer responder, bool chat);
    void order(const Http::Request &request, ResponderPointer responder);
    bool rejectStaleToken(const Http::Request &request, const std::string &name, Http::Responder &responder);
    void load(const std::string &name, std::int64_t token, ResponderPointer responder);
    void fetchWeights(const std::string &name);
    void finishLoad(const std::string &name, unsigned storeStatus);
    void unload(const std::string &name, std::int64_t token, Http::Responder &responder);
    void acknowledge(Http::Responder &responder, Http::Response response);
    void cancel(const Http::Request &request, Http::Responder &responder);

    void startRuns();
    void start(const RunPointer &run);
    void tick();
    void emitToken(Run &run);
    void finish(Run &run, std::string_view how);
    void cancelRun(Run &run);
    void removeEndedRuns();
    void recordCounts();
    json::object loadReport(const json::array &running, std::size_t waiting) const;
    json::array runningIds() const;
    json::object laggedReport();

    Http::EventLoop &m_loop;
    Journal &m_journal;
    EngineOptions m_options;
    Http::Client m_client;
    std::string m_incarnation;
    std::set<std::string> m_loaded;
    std::map<std::string, Loading> m_loading;
    std::vector<RunPointer> m_running;
    std::vector<RunPointer> m_waiting;
    std::deque<LaggedCounts> m_counts;
    std::int64_t m_fencingToken = 0;
    std::int64_t m_dropOrders = 0;
    std::int64_t m_loseOrderReplies = 0;
    Duration m_orderDelay{};
    bool m_ticking = false;
};

} // namespace Gypsumtally::Fakes
