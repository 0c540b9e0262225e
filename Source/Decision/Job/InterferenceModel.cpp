#include "Decision/Job/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace Plantainpier {

namespace {

    /// The figures of hosts are for half a second.
    constexpr Duration observeInterval = milliseconds(500);
    constexpr Duration freshness = milliseconds(700);
    /// A serving task shows no tail worth learning from right after its start.
    constexpr Duration startUp = milliseconds(2500);
    /// What a pair that has not been seen yet counts as: between the quiet and the noisy ones.
    constexpr double priorPressure = 2.0;
    /// Weight of the prior, in squares of shares of a host.
    constexpr double priorWeight = 0.03;
    /// What is left of old observations after each new one.
    constexpr double memory = 0.99;
    constexpr std::size_t maximumImages = 64;
    constexpr double largestHeadroom = 8;
    constexpr int fullPace = 100;
    /// Tails are cut off at the top: below this a headroom only says that at least so much is taken.
    constexpr double censoredHeadroom = 0.3;

    bool isServing(Instant now, const HostRun& run)
    {
        return run.targetMilliseconds > 0 && run.listed && run.usage > 0 && now - run.since >= startUp;
    }

    double headroomOf(const HostRun& run)
    {
        return std::min(largestHeadroom, static_cast<double>(run.targetMilliseconds) / static_cast<double>(run.usage));
    }

    double capacityOf(const Host& host)
    {
        return static_cast<double>(std::max<std::int64_t>(1, host.capacity.milliProcessors));
    }

} // namespace

std::size_t InterferenceModel::indexOf(const std::string& filler)
{
    std::map<std::string, std::size_t>::iterator it = m_fillers.find(filler);
    if (it != m_fillers.end())
        return it->second;
    if (m_fillers.size() >= maximumImages)
        return 0;
    const std::size_t n = m_fillers.size();
    m_fillers[filler] = n;
    return n;
}

void InterferenceModel::grow(Regression& regression) const
{
    const std::size_t count = m_fillers.size();
    for (std::vector<double>& row : regression.squares)
        row.resize(count, 0.0);
    regression.squares.resize(count, std::vector<double>(count, 0.0));
    regression.products.resize(count, 0.0);
    regression.pressures.resize(count, priorPressure);
}

double InterferenceModel::pressure(const std::string& serving, const std::string& filler) const
{
    std::map<std::string, std::size_t>::const_iterator image = m_fillers.find(filler);
    std::map<std::string, Regression>::const_iterator it = m_regressions.find(serving);
    if (image == m_fillers.end() || it == m_regressions.end() || image->second >= it->second.pressures.size())
        return priorPressure;
    return std::max(0.0, it->second.pressures[image->second]);
}

double InterferenceModel::push(
    const Host& host, const std::string& serving, const std::string& filler, std::int64_t milliCores) const
{
    return pressure(serving, filler) * static_cast<double>(milliCores) / capacityOf(host);
}

std::vector<ServingGroup> InterferenceModel::groups(Instant now, const Host& host) const
{
    std::vector<ServingGroup> groups;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        if (!isServing(now, run))
            continue;
        const bool known = std::any_of(
            groups.begin(), groups.end(), [&run](const ServingGroup& group) { return group.image == run.image; });
        if (!known)
            groups.push_back(ServingGroup { run.image, largestHeadroom });
    }
    for (ServingGroup& group : groups) {
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (!run.filler)
                continue;
            const double pace = static_cast<double>(std::max(0, run.orderedPercent)) / fullPace;
            group.exerted += push(host, group.image, run.image, run.usage);
            group.ordered += push(host, group.image, run.image, run.demand.milliProcessors) * pace;
        }
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (run.image != group.image || !isServing(now, run))
                continue;
            // What a stop of the fillers did not bring under its target does not hold them back.
            if (now >= run.acquittedUntil)
                group.headroom = std::min(group.headroom, headroomOf(run));
        }
    }
    return groups;
}

std::vector<double> InterferenceModel::uses(const Host& host)
{
    std::vector<double> use(m_fillers.size(), 0.0);
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (entry.second.filler)
            use[indexOf(entry.second.image)] += static_cast<double>(entry.second.usage) / capacityOf(host);
    }
    return use;
}

void InterferenceModel::observe(Instant now, const HostRegistry& hosts)
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
    // Tasks of one job share image and load.
    std::map<std::pair<std::string, std::string>, std::vector<Sample>> jobs;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        const Host& host = entry.second;
        if (now - host.clockReadAt > freshness)
            continue;
        const std::vector<double> use = uses(host);
        for (const std::pair<const RunKey, HostRun>& run : host.runs) {
            if (isServing(now, run.second))
                jobs[{ run.second.image, run.second.task.jobId }].push_back(Sample { headroomOf(run.second), use });
        }
    }
    for (std::pair<const std::string, Regression>& entry : m_regressions) {
        for (std::vector<double>& row : entry.second.squares) {
            for (double& value : row)
                value *= memory;
        }
        for (double& value : entry.second.products)
            value *= memory;
    }
    for (std::pair<const std::pair<std::string, std::string>, std::vector<Sample>>& job : jobs) {
        Regression& regression = m_regressions[job.first.first];
        grow(regression);
        dropCensored(regression, job.second);
        learn(regression, job.second);
    }
    for (std::pair<const std::string, Regression>& entry : m_regressions) {
        grow(entry.second);
        solve(entry.second);
    }
}

void InterferenceModel::dropCensored(const Regression& regression, std::vector<Sample>& group)
{
    double largest = 0;
    for (const Sample& sample : group)
        largest = std::max(largest, sample.headroom);
    const auto saysTooLittle = [&regression, largest](const Sample& sample) {
        double expected = 0;
        for (std::size_t n = 0; n < sample.use.size(); ++n)
            expected += regression.pressures[n] * sample.use[n];
        return sample.headroom < censoredHeadroom && expected > largest - sample.headroom;
    };
    group.erase(std::remove_if(group.begin(), group.end(), saysTooLittle), group.end());
}

void InterferenceModel::learn(Regression& regression, const std::vector<Sample>& group) const
{
    if (group.size() < 2)
        return;
    const std::size_t count = m_fillers.size();
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
            regression.products[n] += one * lost;
            for (std::size_t m = 0; m < count; ++m)
                regression.squares[n][m] += one * (sample.use[m] - meanUse[m]);
        }
    }
}

void InterferenceModel::solve(Regression& regression)
{
    const std::size_t count = regression.products.size();
    std::vector<std::vector<double>> rows = regression.squares;
    std::vector<double> values = regression.products;
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
            values[n] -= rows[n][m] * regression.pressures[m];
        regression.pressures[n] = values[n] / rows[n][n];
    }
}

} // namespace Plantainpier
