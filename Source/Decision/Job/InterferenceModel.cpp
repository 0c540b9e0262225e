#include "Decision/Job/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace Plantainpier {

namespace {

    /// The figures of hosts are for half a second.
    constexpr Duration observeInterval = milliseconds(500);
    constexpr Duration freshness = milliseconds(700);
    /// A serving task shows no tail worth learning from right after its start.
    constexpr Duration startUp = milliseconds(1500);
    /// What an image that has not been seen yet counts as: between the quiet and the noisy ones.
    constexpr double priorPressure = 2.0;
    /// Weight of the prior, in squares of shares of a host.
    constexpr double priorWeight = 0.03;
    /// What is left of old observations after each new one.
    constexpr double memory = 0.985;
    constexpr std::size_t maximumImages = 64;
    constexpr double largestHeadroom = 8;

    bool isServing(Instant now, const HostRun& run)
    {
        return run.targetMilliseconds > 0 && run.listed && run.usage > 0 && now - run.since >= startUp;
    }

    double headroomOf(const HostRun& run)
    {
        return std::min(largestHeadroom, static_cast<double>(run.targetMilliseconds) / static_cast<double>(run.usage));
    }

    double share(const Host& host, const HostRun& run)
    {
        return static_cast<double>(run.usage)
            / static_cast<double>(std::max<std::int64_t>(1, host.capacity.milliProcessors));
    }

} // namespace

std::size_t InterferenceModel::indexOf(const std::string& image)
{
    std::map<std::string, std::size_t>::iterator it = m_images.find(image);
    if (it != m_images.end())
        return it->second;
    if (m_images.size() >= maximumImages)
        return 0;
    const std::size_t n = m_images.size();
    m_images[image] = n;
    for (std::vector<double>& row : m_squares)
        row.push_back(0);
    m_squares.emplace_back(n + 1, 0.0);
    m_products.push_back(0);
    m_pressures.push_back(priorPressure);
    return n;
}

double InterferenceModel::pressure(const std::string& image) const
{
    std::map<std::string, std::size_t>::const_iterator it = m_images.find(image);
    return it == m_images.end() ? priorPressure : std::max(0.0, m_pressures[it->second]);
}

double InterferenceModel::exerted(const Host& host) const
{
    double sum = 0;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (entry.second.filler)
            sum += pressure(entry.second.image) * share(host, entry.second);
    }
    return sum;
}

double InterferenceModel::headroom(Instant now, const Host& host)
{
    double least = largestHeadroom;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (isServing(now, entry.second))
            least = std::min(least, headroomOf(entry.second));
    }
    return least;
}

std::vector<double> InterferenceModel::uses(const Host& host)
{
    std::vector<double> use(m_images.size(), 0.0);
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (entry.second.filler)
            use[indexOf(entry.second.image)] += share(host, entry.second);
    }
    return use;
}

void InterferenceModel::observe(Instant now, const HostBook& hosts)
{
    if (now - m_observedAt < observeInterval)
        return;
    m_observedAt = now;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        for (const std::pair<const RunKey, HostRun>& run : entry.second.runs) {
            if (run.second.filler)
                indexOf(run.second.image);
        }
    }
    std::map<std::string, std::vector<Sample>> groups;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        const Host& host = entry.second;
        if (now - host.clockReadAt > freshness)
            continue;
        const std::vector<double> use = uses(host);
        for (const std::pair<const RunKey, HostRun>& run : host.runs) {
            if (isServing(now, run.second))
                groups[run.second.task.jobId].push_back(Sample { headroomOf(run.second), use });
        }
    }
    for (std::vector<double>& row : m_squares) {
        for (double& value : row)
            value *= memory;
    }
    for (double& value : m_products)
        value *= memory;
    for (const std::pair<const std::string, std::vector<Sample>>& group : groups)
        learn(group.second);
    solve();
}

void InterferenceModel::learn(const std::vector<Sample>& group)
{
    if (group.size() < 2)
        return;
    const std::size_t count = m_images.size();
    const double members = static_cast<double>(group.size());
    double meanHeadroom = 0;
    std::vector<double> meanUse(count, 0.0);
    for (const Sample& sample : group) {
        meanHeadroom += sample.headroom / members;
        for (std::size_t n = 0; n < count; ++n)
            meanUse[n] += sample.use[n] / members;
    }
    for (const Sample& sample : group) {
        const double lost = meanHeadroom - sample.headroom;
        for (std::size_t n = 0; n < count; ++n) {
            const double one = sample.use[n] - meanUse[n];
            if (one == 0)
                continue;
            m_products[n] += one * lost;
            for (std::size_t m = 0; m < count; ++m)
                m_squares[n][m] += one * (sample.use[m] - meanUse[m]);
        }
    }
}

void InterferenceModel::solve()
{
    const std::size_t count = m_images.size();
    std::vector<std::vector<double>> rows = m_squares;
    std::vector<double> values = m_products;
    for (std::size_t n = 0; n < count; ++n) {
        rows[n][n] += priorWeight;
        values[n] += priorWeight * priorPressure;
    }
    // Elimination without pivoting: the matrix is symmetric and positive definite by the prior.
    for (std::size_t n = 0; n < count; ++n) {
        for (std::size_t m = n + 1; m < count; ++m) {
            const double factor = rows[m][n] / rows[n][n];
            for (std::size_t k = n; k < count; ++k)
                rows[m][k] -= factor * rows[n][k];
            values[m] -= factor * values[n];
        }
    }
    for (std::size_t n = count; n-- > 0;) {
        for (std::size_t m = n + 1; m < count; ++m)
            values[n] -= rows[n][m] * m_pressures[m];
        m_pressures[n] = values[n] / rows[n][n];
    }
}

} // namespace Plantainpier
