#include "common/clock.h"
#include "http/client.h"
#include "http/eventloop.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

ABSL_FLAG(std::string, direct, "", "address of an engine on which the model is loaded");
ABSL_FLAG(std::string, through, "", "address of a daemon that serves the same model");
ABSL_FLAG(std::string, model, "", "BASE/ADAPTER@VERSION");
ABSL_FLAG(int, requests, 4000, "number of requests per measurement");

namespace
{

using namespace Gypsumtally;

constexpr int exitFailed = 1;
constexpr int concurrencies[] = {1, 8, 32};

struct Figures {
    std::vector<Duration> latencies;
    int failures = 0;
    Duration elapsed{};

    Duration quantile(double share) const
    {
        if (latencies.empty())
            return {};
        const auto last = static_cast<double>(latencies.size() - 1);
        return latencies[static_cast<std::size_t>(share * last)];
    }
};

/// Sends @p requests requests with @p concurrency in flight and returns their latencies. Blocks until all have ended.
Figures measure(const Http::Endpoint &endpoint, const std::string &body, int concurrency, int requests)
{
    Http::EventLoop loop;
    Http::Client client(loop);
    const SteadyClock clock;
    Figures figures;
    int started = 0;
    int ended = 0;
    std::function<void()> next = [&] {
        if (started == requests)
            return;
        ++started;
        const auto begin = clock.now();
        Http::ResponseObserver observer;
        observer.onHead = [&](unsigned status, const Http::Headers &) { figures.failures += status == 200 ? 0 : 1; };
        const auto done = [&, begin] {
            figures.latencies.push_back(clock.now() - begin);
            if (++ended == requests)
                loop.stop();
            next();
        };
        observer.onEnd = done;
        observer.onFailure = [&, done](const Http::TransportFailure &) {
            ++figures.failures;
            done();
        };
        client.send(endpoint, {"POST", "/v1/completions", {{"Content-Type", "application/json"}}, body},
                    std::move(observer));
    };
    const auto begin = clock.now();
    for (int i = 0; i < concurrency; ++i)
        next();
    loop.run();
    figures.elapsed = clock.now() - begin;
    std::ranges::sort(figures.latencies);
    return figures;
}

void print(const char *name, int concurrency, const Figures &figures)
{
    const auto seconds = std::chrono::duration<double>(figures.elapsed).count();
    std::printf("%-8s %11d %10.0f %8.2f %8.2f %8d\n", name, concurrency,
                static_cast<double>(figures.latencies.size()) / seconds,
                std::chrono::duration<double, std::milli>(figures.quantile(0.5)).count(),
                std::chrono::duration<double, std::milli>(figures.quantile(0.99)).count(), figures.failures);
}

} // namespace

int main(int argc, char *argv[])
{
    absl::ParseCommandLine(argc, argv);
    const auto direct = Http::parseEndpoint(absl::GetFlag(FLAGS_direct));
    const auto through = Http::parseEndpoint(absl::GetFlag(FLAGS_through));
    if (direct.port == 0 || through.port == 0 || absl::GetFlag(FLAGS_model).empty()) {
        std::fprintf(stderr, "gypsumtally-latency: --direct, --through and --model are required\n");
        return 2;
    }
    const auto requests = absl::GetFlag(FLAGS_requests);
    const auto body = R"({"model":")" + absl::GetFlag(FLAGS_model) + R"(","prompt":"x","max_tokens":1})";
    measure(through, body, 1, 50);
    std::printf("%-8s %11s %10s %8s %8s %8s\n", "to", "concurrency", "requests/s", "p50 ms", "p99 ms", "failures");
    int failures = 0;
    for (const int concurrency : concurrencies) {
        const auto plain = measure(direct, body, concurrency, requests);
        const auto served = measure(through, body, concurrency, requests);
        print("engine", concurrency, plain);
        print("daemon", concurrency, served);
        failures += plain.failures + served.failures;
    }
    return failures == 0 ? 0 : exitFailed;
}
