#include "report/metrics.h"

#include "report/latencyestimator.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <cassert>
#include <mutex>
#include <variant>

namespace Gypsumtally
{

namespace
{

enum class Kind {
    Counter,
    Gauge,
    Histogram,
};

struct Description {
    Metric metric;
    Kind kind;
    const char *name;
    const char *help;
};

constexpr std::array<Description, 34> descriptions{{
    {Metric::Requests, Kind::Counter, "gypsumtally_requests_total", "Requests that have ended."},
    {Metric::RequestSeconds, Kind::Histogram, "gypsumtally_request_seconds", "Time from arrival to the whole answer."},
    {Metric::FirstTokenSeconds, Kind::Histogram, "gypsumtally_first_token_seconds",
     "Time from arrival to the first token."},
    {Metric::LoadStallSeconds, Kind::Histogram, "gypsumtally_load_stall_seconds",
     "Time that a request waited for its adapter to be loaded."},
    {Metric::BatchFill, Kind::Gauge, "gypsumtally_batch_fill", "Running requests over the engine's bound."},
    {Metric::Loads, Kind::Counter, "gypsumtally_loads_total", "Orders to load an adapter."},
    {Metric::Evictions, Kind::Counter, "gypsumtally_evictions_total", "Orders to evict an adapter."},
    {Metric::Forwards, Kind::Counter, "gypsumtally_forwards_total", "Requests forwarded to the owner of an upstream."},
    {Metric::Retries, Kind::Counter, "gypsumtally_retries_total", "Requests sent to another upstream."},
    {Metric::KeyValueCalls, Kind::Counter, "gypsumtally_key_value_calls_total", "Calls to the key-value service."},
    {Metric::PeerMessages, Kind::Counter, "gypsumtally_peer_messages_total", "Messages sent to other nodes."},
    {Metric::PeerBytes, Kind::Counter, "gypsumtally_peer_bytes_total", "Bytes of messages between nodes."},
    {Metric::RegionBytes, Kind::Counter, "gypsumtally_region_bytes_total", "Bytes sent to another region."},
    {Metric::CallsInFlight, Kind::Gauge, "gypsumtally_calls_in_flight", "Requests that have not ended."},
    {Metric::OwnedUpstreams, Kind::Gauge, "gypsumtally_owned_upstreams", "Upstreams that this node owns."},
    {Metric::ConfigurationVersion, Kind::Gauge, "gypsumtally_configuration_version", "Configuration in force."},
    {Metric::QuarantinedRequests, Kind::Gauge, "gypsumtally_quarantined_requests", "Fingerprints in quarantine."},
    {Metric::Orders, Kind::Counter, "gypsumtally_orders_total", "Orders to engines."},
    {Metric::ViewAgeSeconds, Kind::Gauge, "gypsumtally_view_age_seconds",
     "Time since this node last heard of the configuration's store, the upstreams, its peers."},
    {Metric::RetriesLeft, Kind::Gauge, "gypsumtally_retries_left", "Sends beyond the first that are left now."},
    {Metric::UpstreamStatements, Kind::Counter, "gypsumtally_upstream_statements_total",
     "What upstreams have said of themselves in answers."},
    {Metric::UnreachedUpstreams, Kind::Gauge, "gypsumtally_unreached_upstreams",
     "Upstreams that this node does not reach while others do."},
    {Metric::LimitedSends, Kind::Counter, "gypsumtally_limited_sends_total",
     "Requests sent to upstreams that state a request limit."},
    {Metric::CallerLosses, Kind::Counter, "gypsumtally_caller_losses_total",
     "Callers' requests and connections that were closed without an answer."},
    {Metric::UnansweredRequests, Kind::Counter, "gypsumtally_unanswered_requests_total",
     "Requests that ended without a whole answer."},
    {Metric::Connections, Kind::Counter, "gypsumtally_connections_total", "Connections to upstreams and peers."},
    {Metric::OrganisationLimit, Kind::Gauge, "gypsumtally_organisation_limit",
     "Rate limit of the organisation at all nodes together, per second."},
    {Metric::OrganisationLevel, Kind::Gauge, "gypsumtally_organisation_level",
     "What is left of the organisation's limit now, as this node knows it."},
    {Metric::OrganisationGranted, Kind::Gauge, "gypsumtally_organisation_granted",
     "Cost of the organisation's requests that this node has let through and that may have run, since its start."},
    {Metric::OrganisationRefusals, Kind::Gauge, "gypsumtally_organisation_refusals",
     "Requests that this node has refused as the organisation had reached its limit, since its start."},
    {Metric::UpstreamSlowness, Kind::Gauge, "gypsumtally_upstream_slowness",
     "Learnt times of a service's upstreams, relative to that of the service."},
    {Metric::UpstreamLimit, Kind::Gauge, "gypsumtally_upstream_limit",
     "Learnt limits of a service's upstreams, as fractions of their slots."},
    {Metric::RelayedCalls, Kind::Counter, "gypsumtally_relayed_calls_total", "Calls passed between nodes."},
    {Metric::ForecastRefusals, Kind::Counter, "gypsumtally_forecast_refusals_total",
     "Requests refused at once because too many others go first."},
}};

const prometheus::Histogram::BucketBoundaries secondsBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                             0.76,  1,    2.5,   5,    10,  30,   60};

using Counters = prometheus::Family<prometheus::Counter> *;
using Gauges = prometheus::Family<prometheus::Gauge> *;
using Histograms = prometheus::Family<prometheus::Histogram> *;

prometheus::ClientMetric summaryMetric(const MetricLabels &labels, const LatencySummary &summary)
{
    prometheus::ClientMetric metric;
    for (const auto &[name, value] : labels)
        metric.label.push_back({name, value});
    metric.summary.sample_count = summary.count;
    metric.summary.sample_sum = summary.mean * static_cast<double>(summary.count);
    metric.summary.quantile = {{0.5, summary.p50}, {0.95, summary.p95}, {0.99, summary.p99}, {1, summary.max}};
    return metric;
}

} // namespace

struct Metrics::Private {
    struct Entry {
        const Description *description = nullptr;
        std::variant<Counters, Gauges, Histograms> family;
        std::map<MetricLabels, LatencyEstimator> latencies;
    };

    prometheus::Registry registry;
    std::array<Entry, descriptions.size()> entries;
    mutable std::mutex latencyMutex;

    Entry &of(Metric metric)
    {
        return entries[static_cast<std::size_t>(metric)];
    }

    void add(const Description &description)
    {
        auto &entry = of(description.metric);
        entry.description = &description;
        if (description.kind == Kind::Counter)
            entry.family = &prometheus::BuildCounter().Name(description.name).Help(description.help).Register(registry);
        else if (description.kind == Kind::Gauge)
            entry.family = &prometheus::BuildGauge().Name(description.name).Help(description.help).Register(registry);
        else
            entry.family
                = &prometheus::BuildHistogram().Name(description.name).Help(description.help).Register(registry);
    }
};

Metrics::Metrics()
    : m_d(std::make_unique<Private>())
{
    for (const auto &description : descriptions)
        m_d->add(description);
}

Metrics::~Metrics() = default;

void Metrics::add(Metric metric, const MetricLabels &labels, double amount)
{
    assert(amount >= 0);
    std::get<Counters>(m_d->of(metric).family)->Add(labels).Increment(amount);
}

void Metrics::set(Metric metric, double value, const MetricLabels &labels)
{
    std::get<Gauges>(m_d->of(metric).family)->Add(labels).Set(value);
}

void Metrics::observe(Metric metric, const MetricLabels &labels, Duration value, Instant now)
{
    auto &entry = m_d->of(metric);
    const auto seconds = std::chrono::duration<double>(value).count();
    std::get<Histograms>(entry.family)->Add(labels, secondsBuckets).Observe(seconds);
    const std::lock_guard lock(m_d->latencyMutex);
    entry.latencies[labels].add(value, now);
}

std::string Metrics::text(Instant now) const
{
    auto families = m_d->registry.Collect();
    {
        const std::lock_guard lock(m_d->latencyMutex);
        for (const auto &entry : m_d->entries) {
            if (entry.latencies.empty())
                continue;
            prometheus::MetricFamily family{std::string(entry.description->name) + "_recent",
                                            std::string(entry.description->help) + " Over about five minutes.",
                                            prometheus::MetricType::Summary,
                                            {}};
            for (const auto &[labels, latencies] : entry.latencies)
                family.metric.push_back(summaryMetric(labels, latencies.summary(now)));
            families.push_back(std::move(family));
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace Gypsumtally
