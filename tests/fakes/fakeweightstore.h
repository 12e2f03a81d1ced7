#pragma once

#include "fakes/fakeserver.h"

#include <set>
#include <string>

namespace Gypsumtally::Fakes
{

struct WeightStoreOptions {
    std::string base = "base";
    std::size_t adapters = 10; ///< Initial number of adapters.
    double loadsPerSecond = 0; ///< Rate limit of weight fetches; 0 for no limit.
};

/// A fake weight store: serves the adapter catalogue and, at a limited rate, the weights. In addition to the common
/// control fields it accepts `add` and `remove` (arrays of adapter names) and `loads_per_second`, the rate limit. Call
/// only from the event loop's thread.
class FakeWeightStore
{
public:
    FakeWeightStore(Http::EventLoop &loop, Journal &journal, WeightStoreOptions options);

    void handle(const Http::Request &request, ResponderPointer responder);
    void control(const json::object &fields);
    json::object report() const;

private:
    void sendCatalogue(const Http::Request &request, Http::Responder &responder) const;
    void sendWeights(const std::string &name, ResponderPointer responder);
    bool takeToken();

    Http::EventLoop &m_loop;
    Journal &m_journal;
    WeightStoreOptions m_options;
    std::set<std::string> m_names;
    std::int64_t m_revision = 1;
    std::size_t m_inFlight = 0;
    std::int64_t m_refused = 0;
    double m_tokens = 0;
    Instant m_refilled{};
};

} // namespace Gypsumtally::Fakes
