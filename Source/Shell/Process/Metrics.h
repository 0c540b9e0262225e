/// What /metrics shows: latency by outcome in histograms, and gauges and counters by name.
#pragma once

#include "Decision/Request/CallerRequest.h"

#include <boost/histogram.hpp>
#include <map>
#include <ostream>
#include <string>

namespace Plantainpier {

/// Metrics of one process. Used on the decision thread only.
class Metrics {
public:
    Metrics();

    /// One final answer to a caller.
    void observe(Wire::Outcome::type outcome, Duration elapsed);
    /// One observation of a latency; the series is made on its first use.
    void observe(const std::string& series, Duration elapsed);
    /// Sets a counter or gauge; names end in _total for counters.
    void set(const std::string& metric, double value);
    /// The Prometheus text format.
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

    std::map<std::string, Series> m_latency;
    std::map<std::string, Series> m_named;
    std::map<std::string, double> m_values;
};

} // namespace Plantainpier
