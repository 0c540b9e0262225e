#include "Shell/Process/Metrics.h"

#include <sstream>

namespace Plantainpier {

namespace {

    constexpr double microsecondsPerSecond = 1e6;

    /// Bucket bounds in seconds.
    const std::vector<double>& bounds()
    {
        static const std::vector<double> values { 0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2,
            5, 10 };
        return values;
    }

} // namespace

Metrics::Metrics()
{
    for (Wire::Outcome::type outcome : { Wire::Outcome::Done, Wire::Outcome::NotRun, Wire::Outcome::Unknown })
        m_latency.emplace(std::string(name(outcome)), Series { boost::histogram::make_histogram(Axis(bounds())), 0 });
}

void Metrics::add(Series& series, Duration elapsed)
{
    const double value = static_cast<double>(elapsed.count()) / microsecondsPerSecond;
    series.histogram(value);
    series.sum += value;
}

void Metrics::observe(Wire::Outcome::type outcome, Duration elapsed)
{
    std::map<std::string, Series>::iterator it = m_latency.find(std::string(name(outcome)));
    if (it != m_latency.end())
        add(it->second, elapsed);
}

void Metrics::observe(const std::string& series, Duration elapsed)
{
    std::map<std::string, Series>::iterator it = m_named.find(series);
    if (it == m_named.end())
        it = m_named.emplace(series, Series { boost::histogram::make_histogram(Axis(bounds())), 0 }).first;
    add(it->second, elapsed);
}

void Metrics::set(const std::string& metric, double value) { m_values[metric] = value; }

void Metrics::renderSeries(std::ostream& text, const std::string& name, const std::string& label, const Series& series)
{
    const std::string more = label.empty() ? "{" : "{" + label + ",";
    const std::string alone = label.empty() ? "" : "{" + label + "}";
    double count = 0;
    for (int n = 0; n + 1 < static_cast<int>(bounds().size()); ++n) {
        count += static_cast<double>(series.histogram.at(n));
        text << name << "_bucket" << more << "le=\"" << bounds()[static_cast<std::size_t>(n) + 1] << "\"} " << count
             << "\n";
    }
    count += static_cast<double>(series.histogram.at(static_cast<int>(bounds().size()) - 1));
    text << name << "_bucket" << more << "le=\"+Inf\"} " << count << "\n";
    text << name << "_sum" << alone << " " << series.sum << "\n";
    text << name << "_count" << alone << " " << count << "\n";
}

std::string Metrics::render() const
{
    std::ostringstream text;
    text << "# TYPE plantainpier_request_seconds histogram\n";
    for (const std::pair<const std::string, Series>& entry : m_latency)
        renderSeries(text, "plantainpier_request_seconds", "outcome=\"" + entry.first + "\"", entry.second);
    for (const std::pair<const std::string, Series>& entry : m_named) {
        text << "# TYPE plantainpier_" << entry.first << "_seconds histogram\n";
        renderSeries(text, "plantainpier_" + entry.first + "_seconds", {}, entry.second);
    }
    for (const std::pair<const std::string, double>& entry : m_values) {
        const bool isCounter = entry.first.ends_with("_total");
        text << "# TYPE plantainpier_" << entry.first << (isCounter ? " counter\n" : " gauge\n");
        text << "plantainpier_" << entry.first << " " << entry.second << "\n";
    }
    return text.str();
}

} // namespace Plantainpier
