#include "Shell/Process/Metrics.h"

#include <sstream>

namespace Plantainpier {

namespace {

    constexpr double microsecondsPerSecond = 1e6;

    /// Bounds of the histogram buckets in seconds.
    const std::vector<double>& bucketBounds()
    {
        static const std::vector<double> values { 0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2,
            5, 10 };
        return values;
    }

} // namespace

Metrics::Metrics()
{
    for (Wire::Outcome::type outcome : { Wire::Outcome::Done, Wire::Outcome::NotRun, Wire::Outcome::Unknown })
        m_latencyByOutcome.emplace(
            std::string(name(outcome)), Series { boost::histogram::make_histogram(Axis(bucketBounds())), 0 });
}

void Metrics::add(Series& series, Duration elapsed)
{
    const double value = static_cast<double>(elapsed.count()) / microsecondsPerSecond;
    series.histogram(value);
    series.sum += value;
}

void Metrics::observe(Wire::Outcome::type outcome, Duration elapsed)
{
    std::map<std::string, Series>::iterator it = m_latencyByOutcome.find(std::string(name(outcome)));
    if (it != m_latencyByOutcome.end())
        add(it->second, elapsed);
}

void Metrics::observe(const std::string& seriesName, Duration elapsed)
{
    std::map<std::string, Series>::iterator it = m_latencyByName.find(seriesName);
    if (it == m_latencyByName.end())
        it = m_latencyByName.emplace(seriesName, Series { boost::histogram::make_histogram(Axis(bucketBounds())), 0 })
                 .first;
    add(it->second, elapsed);
}

void Metrics::set(const std::string& metric, double value) { m_valueByName[metric] = value; }

void Metrics::renderSeries(std::ostream& text, const std::string& name, const std::string& label, const Series& series)
{
    const std::string bucketLabels = label.empty() ? "{" : "{" + label + ",";
    const std::string labels = label.empty() ? "" : "{" + label + "}";
    double count = 0;
    for (int n = 0; n + 1 < static_cast<int>(bucketBounds().size()); ++n) {
        count += static_cast<double>(series.histogram.at(n));
        text << name << "_bucket" << bucketLabels << "le=\"" << bucketBounds()[static_cast<std::size_t>(n) + 1]
             << "\"} " << count << "\n";
    }
    count += static_cast<double>(series.histogram.at(static_cast<int>(bucketBounds().size()) - 1));
    text << name << "_bucket" << bucketLabels << "le=\"+Inf\"} " << count << "\n";
    text << name << "_sum" << labels << " " << series.sum << "\n";
    text << name << "_count" << labels << " " << count << "\n";
}

std::string Metrics::render() const
{
    std::ostringstream text;
    text << "# TYPE plantainpier_request_seconds histogram\n";
    for (const std::pair<const std::string, Series>& entry : m_latencyByOutcome)
        renderSeries(text, "plantainpier_request_seconds", "outcome=\"" + entry.first + "\"", entry.second);
    for (const std::pair<const std::string, Series>& entry : m_latencyByName) {
        text << "# TYPE plantainpier_" << entry.first << "_seconds histogram\n";
        renderSeries(text, "plantainpier_" + entry.first + "_seconds", {}, entry.second);
    }
    for (const std::pair<const std::string, double>& entry : m_valueByName) {
        const bool isCounter = entry.first.ends_with("_total");
        text << "# TYPE plantainpier_" << entry.first << (isCounter ? " counter\n" : " gauge\n");
        text << "plantainpier_" << entry.first << " " << entry.second << "\n";
    }
    return text.str();
}

} // namespace Plantainpier
