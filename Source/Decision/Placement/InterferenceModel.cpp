#include "Decision/Placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace Plantainpier {

namespace {

    /// Usage figures in the lists of hosts cover half a second.
    constexpr Duration observeInterval = milliseconds(500);
    constexpr Duration maximumReportAge = milliseconds(700);
    /// The tail latency of a serving task is not representative right after the task has started.
    constexpr Duration warmUpTime = milliseconds(2500);
    /// Progress of a serving task that is ready to serve.
    constexpr int readyPercent = 100;
    /// Assumed pressure of a pair of images without samples: between low-pressure and high-pressure pairs.
    constexpr double priorPressure = 2.0;
    /// Weight of the prior in the normal equations, in squared shares of a host.
    constexpr double priorWeight = 0.03;
    /// Factor on the weight of earlier samples at each update.
    constexpr double decayFactor = 0.99;
    constexpr std::size_t maximumFillerImages = 64;
    constexpr double maximumHeadroom = 8;
    /// Reported tail latencies are capped: a headroom below this is only an upper bound of the true headroom.
    constexpr double censoredHeadroom = 0.3;

    constexpr double thousandths = 1000;
    /// Highest weight of an inherited pressure: what about ten seconds of samples weigh, so that a change of the images
    /// since shows soon.
    constexpr double maximumInheritedWeight = 3;
    /// Pressures of a record beyond this are not plausible.
    constexpr double maximumInheritedPressure = 100;

    bool isServing(Instant now, const HostRun& run)
    {
        // When a run that an earlier owner placed began is not known. One that is ready has most likely served for
        // long: if all were taken as new, no filler would be slowed down after a change of owner until the warm-up is
        // over.
        const bool isWarm = run.adopted ? run.progressPercent >= readyPercent : now - run.placedAt >= warmUpTime;
        return run.targetMilliseconds > 0 && run.listed && run.usage > 0 && isWarm;
    }

    double headroomOf(const HostRun& run)
    {
        return std::min(maximumHeadroom, static_cast<double>(run.targetMilliseconds) / static_cast<double>(run.usage));
    }

    double capacityOf(const Host& host)
    {
        return static_cast<double>(std::max<std::int64_t>(1, host.capacity.milliProcessors));
    }

} // namespace

std::size_t InterferenceModel::fillerIndex(const std::string& filler)
{
    std::map<std::string, std::size_t>::iterator it = m_fillerIndexes.find(filler);
    if (it != m_fillerIndexes.end())
        return it->second;
    // Further images have no index and keep the prior pressure.
    if (m_fillerIndexes.size() >= maximumFillerImages)
        return maximumFillerImages;
    const std::size_t n = m_fillerIndexes.size();
    m_fillerIndexes[filler] = n;
    return n;
}

void InterferenceModel::extend(Regression& regression) const
{
    const std::size_t count = m_fillerIndexes.size();
    for (std::vector<double>& row : regression.normalMatrix)
        row.resize(count, 0.0);
    regression.normalMatrix.resize(count, std::vector<double>(count, 0.0));
    regression.normalVector.resize(count, 0.0);
    regression.pressures.resize(count, priorPressure);
    regression.inheritedPressures.resize(count, 0.0);
    regression.inheritedWeights.resize(count, 0.0);
}

Wire::InterferenceRecord InterferenceModel::record() const
{
    Wire::InterferenceRecord record;
    record.fillers.resize(m_fillerIndexes.size());
    for (const std::pair<const std::string, std::size_t>& filler : m_fillerIndexes)
        record.fillers[filler.second] = filler.first;
    for (const std::pair<const std::string, Regression>& entry : m_regressions) {
        const Regression& regression = entry.second;
        Wire::ServingPressures serving;
        serving.image = entry.first;
        for (std::size_t n = 0; n < regression.pressures.size(); ++n) {
            const double weight
                = std::min(maximumInheritedWeight, regression.normalMatrix[n][n] + regression.inheritedWeights[n]);
            const double pressure
                = std::clamp(regression.pressures[n], -maximumInheritedPressure, maximumInheritedPressure);
            serving.pressures.push_back(static_cast<std::int32_t>(pressure * thousandths));
            serving.weights.push_back(static_cast<std::int32_t>(weight * thousandths));
        }
        record.serving.push_back(std::move(serving));
    }
    return record;
}

void InterferenceModel::restore(const Wire::InterferenceRecord& record)
{
    std::vector<std::size_t> indexes;
    for (const std::string& filler : record.fillers)
        indexes.push_back(fillerIndex(filler));
    for (const Wire::ServingPressures& serving : record.serving) {
        if (serving.pressures.size() != serving.weights.size() || serving.pressures.size() > indexes.size())
            continue;
        Regression& regression = m_regressions[serving.image];
        extend(regression);
        for (std::size_t n = 0; n < serving.pressures.size(); ++n) {
            const double pressure = serving.pressures[n] / thousandths;
            if (indexes[n] >= regression.pressures.size() || std::abs(pressure) > maximumInheritedPressure)
                continue;
            regression.inheritedPressures[indexes[n]] = pressure;
            regression.inheritedWeights[indexes[n]]
                = std::clamp(serving.weights[n] / thousandths, 0.0, maximumInheritedWeight);
        }
        solve(regression);
    }
}

double InterferenceModel::pressure(const std::string& serving, const std::string& filler) const
{
    std::map<std::string, std::size_t>::const_iterator image = m_fillerIndexes.find(filler);
    std::map<std::string, Regression>::const_iterator it = m_regressions.find(serving);
    if (image == m_fillerIndexes.end() || it == m_regressions.end() || image->second >= it->second.pressures.size())
        return priorPressure;
    return std::max(0.0, it->second.pressures[image->second]);
}

double InterferenceModel::headroomCost(
    const Host& host, const std::string& serving, const std::string& filler, std::int64_t milliCores) const
{
    return pressure(serving, filler) * static_cast<double>(milliCores) / capacityOf(host);
}

std::vector<ServingGroup> InterferenceModel::servingGroups(Instant now, const Host& host) const
{
    std::vector<ServingGroup> groups;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        if (!isServing(now, run))
            continue;
        const bool grouped = std::any_of(
            groups.begin(), groups.end(), [&run](const ServingGroup& group) { return group.image == run.image; });
        if (!grouped)
            groups.push_back(ServingGroup { run.image, maximumHeadroom });
    }
    for (ServingGroup& group : groups) {
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (!run.filler)
                continue;
            const double pace = static_cast<double>(run.highestPacePercent()) / fullPacePercent;
            group.headroomUsed += headroomCost(host, group.image, run.image, run.usage);
            group.headroomOrdered += headroomCost(host, group.image, run.image, run.demand.milliProcessors) * pace;
        }
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (run.image != group.image || !isServing(now, run))
                continue;
            // A task that a probe did not bring under its target does not slow down fillers.
            if (now >= run.slowdownExemptUntil)
                group.headroom = std::min(group.headroom, headroomOf(run));
        }
    }
    return groups;
}

std::vector<double> InterferenceModel::sharesOfFillers(const Host& host)
{
    std::vector<double> shares(m_fillerIndexes.size(), 0.0);
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (!entry.second.filler)
            continue;
        const std::size_t index = fillerIndex(entry.second.image);
        if (index < shares.size())
            shares[index] += static_cast<double>(entry.second.usage) / capacityOf(host);
    }
    return shares;
}

void InterferenceModel::updatePressures(Instant now, const HostRegistry& hosts)
{
    if (now - m_observedAt < observeInterval)
        return;
    m_observedAt = now;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        for (const std::pair<const RunKey, HostRun>& run : entry.second.runs) {
            if (run.second.filler)
                fillerIndex(run.second.image);
        }
    }
    // Samples by serving image and job; tasks of one job share their load.
    std::map<std::pair<std::string, std::string>, std::vector<Sample>> samplesByJob;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        const Host& host = entry.second;
        if (now - host.clockReadAt > maximumReportAge)
            continue;
        const std::vector<double> shares = sharesOfFillers(host);
        for (const std::pair<const RunKey, HostRun>& run : host.runs) {
            if (isServing(now, run.second))
                samplesByJob[{ run.second.image, run.second.task.jobId }].push_back(
                    Sample { headroomOf(run.second), shares });
        }
    }
    for (std::pair<const std::string, Regression>& entry : m_regressions) {
        for (std::vector<double>& row : entry.second.normalMatrix) {
            for (double& value : row)
                value *= decayFactor;
        }
        for (double& value : entry.second.normalVector)
            value *= decayFactor;
        for (double& value : entry.second.inheritedWeights)
            value *= decayFactor;
    }
    for (std::pair<const std::pair<std::string, std::string>, std::vector<Sample>>& job : samplesByJob) {
        Regression& regression = m_regressions[job.first.first];
        extend(regression);
        removeCensored(regression, job.second);
        addSamples(regression, job.second);
    }
    for (std::pair<const std::string, Regression>& entry : m_regressions) {
        extend(entry.second);
        solve(entry.second);
    }
}

void InterferenceModel::removeCensored(const Regression& regression, std::vector<Sample>& samples)
{
    double largest = 0;
    for (const Sample& sample : samples)
        largest = std::max(largest, sample.headroom);
    const auto isCensored = [&regression, largest](const Sample& sample) {
        double expected = 0;
        for (std::size_t n = 0; n < sample.fillerShares.size(); ++n)
            expected += regression.pressures[n] * sample.fillerShares[n];
        return sample.headroom < censoredHeadroom && expected > largest - sample.headroom;
    };
    samples.erase(std::remove_if(samples.begin(), samples.end(), isCensored), samples.end());
}

void InterferenceModel::addSamples(Regression& regression, const std::vector<Sample>& samples) const
{
    if (samples.size() < 2)
        return;
    const std::size_t count = m_fillerIndexes.size();
    const double sampleCount = static_cast<double>(samples.size());
    double meanHeadroom = 0;
    std::vector<double> meanShares(count, 0.0);
    for (const Sample& sample : samples) {
        meanHeadroom += sample.headroom / sampleCount;
        for (std::size_t n = 0; n < count; ++n)
            meanShares[n] += sample.fillerShares[n] / sampleCount;
    }
    for (const Sample& sample : samples) {
        const double lostHeadroom = meanHeadroom - sample.headroom;
        for (std::size_t n = 0; n < count; ++n) {
            const double deviation = sample.fillerShares[n] - meanShares[n];
            if (deviation == 0)
                continue;
            regression.normalVector[n] += deviation * lostHeadroom;
            for (std::size_t m = 0; m < count; ++m)
                regression.normalMatrix[n][m] += deviation * (sample.fillerShares[m] - meanShares[m]);
        }
    }
}

void InterferenceModel::solve(Regression& regression)
{
    const std::size_t count = regression.normalVector.size();
    std::vector<std::vector<double>> rows = regression.normalMatrix;
    std::vector<double> values = regression.normalVector;
    for (std::size_t n = 0; n < count; ++n) {
        rows[n][n] += priorWeight + regression.inheritedWeights[n];
        values[n] += priorWeight * priorPressure + regression.inheritedWeights[n] * regression.inheritedPressures[n];
    }
    // Gaussian elimination without pivoting: the prior makes the symmetric matrix positive definite.
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
