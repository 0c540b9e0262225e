#include "Decision/Job/FillerAdmission.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr double milliCoresPerCore = 1000;

    double leftoverMilliCores(const Host& host, double servingLoad)
    {
        double left = static_cast<double>(host.capacity.milliProcessors);
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (!run.filler)
                left -= (run.longRunning ? servingLoad : 1.0) * static_cast<double>(run.demand.milliProcessors);
        }
        return std::max(0.0, left);
    }

} // namespace

void FillerAdmission::observe(Instant now, const HostBook& hosts, double openCoreSeconds)
{
    m_observedAt = now;
    m_openCoreSeconds = openCoreSeconds;
    double leftover = 0;
    double used = 0;
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        const Host& host = entry.second;
        if (!host.listed || host.link == noLink || host.draining)
            continue;
        leftover += leftoverMilliCores(host, m_rules.servingLoad);
        for (const std::pair<const RunKey, HostRun>& run : host.runs)
            used += run.second.filler ? static_cast<double>(run.second.usage) : 0.0;
    }
    const double rate = std::max(used, m_rules.leastShare * leftover) / milliCoresPerCore;
    m_rate = m_rate == 0 ? rate : m_rate + m_rules.smoothing * (rate - m_rate);
}

Duration FillerAdmission::drainTime() const
{
    // Without a host nothing is known: the job waits for one like any other.
    if (m_rate <= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_openCoreSeconds / m_rate));
}

Duration FillerAdmission::backOff(Duration chain, Duration allowed) const
{
    const Duration spare = std::max(Duration::zero(), allowed - chain);
    const Duration bearable = std::chrono::duration_cast<Duration>(spare * m_rules.spareShare);
    const Duration excess = drainTime() - bearable;
    if (excess <= Duration::zero())
        return Duration::zero();
    return std::clamp(excess, m_rules.shortestBackOff, m_rules.longestBackOff);
}

} // namespace Plantainpier
