/// The content of /metrics: latency histograms, counters and gauges.
#pragma once

#include "Decision/Request/CallerRequest.h"

#include <boost/histogram.hpp>
#include <map>
#include <ostream>
#include <string>

namespace Plantainpier {

/// The metrics of one process. Accessed only on the decision thread.
class Metrics {
public:
    Metrics();

    /// Records the latency of a final answer to a caller.
    void observe(Wire::Outcome::type outcome, Duration elapsed);
    /// Records a latency in a named series; the series is created on its first use.
    void observe(const std::string& seriesName, Duration elapsed);
    /// Sets a counter or gauge. Names of counters end in _total. The caller passes the counter's total.
    void set(const std::string& metric, double value);
    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Series {
        Histogram histogram;
        double sum = 0;
    };

    static void add(Series& series, Duration elapsed);
    static void renderSeries(
        std::ostream& text, const std::string& name, const std::string& label, const Series& series);

    std::map<std::string, Series> m_latencyByOutcome;
    std::map<std::string, Series> m_latencyByName;
    std::map<std::string, double> m_valueByName;
};

} // namespace Plantainpier
