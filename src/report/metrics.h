#pragma once

#include "common/call.h"
#include "common/clock.h"
#include "common/verdict.h"

#include <map>
#include <memory>
#include <string>

namespace Gypsumtally
{

/// The metrics of a node. The table in metrics.cpp defines the Prometheus name, type and help text of each.
enum class Metric {
    Requests, ///< Labels: class, verdict, code.
    RequestSeconds, ///< Label: class.
    FirstTokenSeconds, ///< Label: class.
    LoadStallSeconds, ///< Label: class.
    BatchFill, ///< Running requests divided by the engine's limit. Label: upstream.
    Loads, ///< Label: outcome.
    Evictions,
    Forwards, ///< Label: outcome.
    Retries, ///< Label: reason.
    KeyValueCalls, ///< Label: call.
    PeerMessages, ///< Label: message.
    PeerBytes, ///< Labels: direction, and kind in the gateway.
    RegionBytes, ///< Bytes sent to another region. Label: region.
    CallsInFlight,
    OwnedUpstreams,
    ConfigurationVersion,
    QuarantinedRequests,
    Orders, ///< Label: outcome.
    ViewAgeSeconds, ///< Label: view.
    RetriesLeft, ///< Label: service.
    UpstreamStatements, ///< States that upstreams reported in answers. Label: statement.
    UnreachedUpstreams, ///< That the node is cut off from.
    LimitedSends, ///< Requests to upstreams that limit their requests. Label: kind.
    CallerLosses, ///< Requests and connections of callers that were left unanswered. Label: kind.
    UnansweredRequests, ///< Requests that ended without a whole answer. Labels: from, cause.
    Connections, ///< To upstreams and peers. Label: outcome.
    OrganisationLimit, ///< Label: organisation.
    OrganisationLevel, ///< Label: organisation.
    OrganisationGranted, ///< Label: organisation.
    OrganisationRefusals, ///< Label: organisation.
    UpstreamSlowness, ///< Learnt; the smallest, the median and the largest of a service. Labels: service, stat.
    UpstreamLimit, ///< Learnt, as a fraction of the slots. Labels: service, stat.
    RelayedCalls, ///< Calls passed between nodes. Labels: direction, verdict.
    ForecastRefusals, ///< Requests refused because too many others go first. Label: urgency.
};

/// The names and values of the labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process in Prometheus form. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. Precondition: @p metric is a counter and @p amount is not negative.
    void add(Metric metric, const MetricLabels &labels = {}, double amount = 1);

    /// Sets a gauge. Precondition: @p metric is a gauge.
    void set(Metric metric, double value, const MetricLabels &labels = {});

    /// Adds a duration to a histogram and to its recent quantiles. Precondition: @p metric is a histogram.
    void observe(Metric metric, const MetricLabels &labels, Duration value, Instant now);

    /// Returns all metrics in the Prometheus text format. The quantiles cover about the five minutes before @p now.
    std::string text(Instant now) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Gypsumtally
