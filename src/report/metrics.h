#pragma once

#include "common/call.h"
#include "common/clock.h"
#include "common/verdict.h"

#include <map>
#include <memory>
#include <string>

namespace Gypsumtally
{

/// What a node measures. The table in metrics.cpp gives each its Prometheus name, kind and help.
enum class Metric {
    Requests, ///< Labels: class, verdict, code.
    RequestSeconds, ///< Label: class.
    FirstTokenSeconds, ///< Label: class.
    LoadStallSeconds, ///< Label: class.
    BatchFill, ///< Running requests over the engine's bound. Label: upstream.
    Loads, ///< Label: outcome.
    Evictions,
    Forwards, ///< Label: outcome.
    Retries, ///< Label: reason.
    KeyValueCalls, ///< Label: call.
    PeerMessages, ///< Label: message.
    PeerBytes, ///< Label: direction.
    RegionBytes, ///< Bytes that left for another region. Label: region.
    CallsInFlight,
    OwnedUpstreams,
    ConfigurationVersion,
    QuarantinedRequests,
    Orders, ///< Label: outcome.
    ViewAgeSeconds, ///< Label: view.
    RetriesLeft, ///< Label: service.
    UpstreamStatements, ///< What upstreams have said of themselves in answers. Label: statement.
};

/// The labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process, as Prometheus reads them. Thread-safe.
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

    /// Takes a time into a histogram and into quantiles. Precondition: @p metric is a histogram.
    void observe(Metric metric, const MetricLabels &labels, Duration value, Instant now);

    /// Returns the Prometheus text format; the quantiles are of the last five minutes before @p now.
    std::string text(Instant now) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Gypsumtally
