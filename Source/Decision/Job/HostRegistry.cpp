#include "Decision/Job/HostRegistry.h"

#include <algorithm>
#include <optional>

namespace Plantainpier {

namespace {

    std::int64_t pacedMilliCores(const HostRun& run)
    {
        return run.demand.milliProcessors * run.highestPacePercent() / fullPacePercent;
    }

    /// Adds the run to the host's sums, or removes it from them.
    void addToCommitted(Host& host, const HostRun& run, std::int64_t sign)
    {
        if (run.phase == RunPhase::Ordered)
            host.unconfirmedStarts += static_cast<std::size_t>(sign);
        if (run.filler)
            host.processorUse.fillers += sign * pacedMilliCores(run);
        else
            (run.longRunning ? host.processorUse.longRunning : host.processorUse.batch)
                += sign * run.demand.milliProcessors;
        if (!run.filler)
            host.committed.milliProcessors += sign * run.demand.milliProcessors;
        host.committed.memoryMegabytes += sign * run.demand.memoryMegabytes;
        host.committed.accelerators += static_cast<std::int32_t>(sign) * run.demand.accelerators;
    }

} // namespace

int HostRun::highestPacePercent() const
{
    const int known = knownPacePercent();
    if (known == unknownPacePercent || orderedPacePercent == unknownPacePercent)
        return fullPacePercent;
    return std::max(orderedPacePercent, known);
}

Host* HostRegistry::find(const std::string& hostId)
{
    std::map<std::string, Host>::iterator it = m_hosts.find(hostId);
    return it == m_hosts.end() ? nullptr : &it->second;
}

std::size_t HostRegistry::countInClosedZones() const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [](const std::pair<const std::string, Host>& entry) { return entry.second.zoneClosed; }));
}

HostRun& HostRegistry::addRun(Host& host, HostRun run)
{
    addToCommitted(host, run, 1);
    const RunKey key = runKey(run.task, run.run);
    return host.runs.insert_or_assign(key, std::move(run)).first->second;
}

std::optional<HostRun> HostRegistry::removeRun(Host& host, const RunKey& key)
{
    std::map<RunKey, HostRun>::iterator it = host.runs.find(key);
    if (it == host.runs.end())
        return std::nullopt;
    HostRun run = std::move(it->second);
    host.runs.erase(it);
    addToCommitted(host, run, -1);
    return run;
}

void HostRegistry::setPhase(Host& host, HostRun& run, RunPhase phase)
{
    addToCommitted(host, run, -1);
    run.phase = phase;
    addToCommitted(host, run, 1);
}

void HostRegistry::changePace(Host& host, HostRun& run, int orderedPercent, std::optional<int> acknowledgedPercent)
{
    if (run.filler)
        host.processorUse.fillers -= pacedMilliCores(run);
    run.orderedPacePercent = orderedPercent;
    run.acknowledgedPacePercent = acknowledgedPercent;
    if (run.filler)
        host.processorUse.fillers += pacedMilliCores(run);
}

void HostRegistry::setOrderedPace(Host& host, HostRun& run, int percent)
{
    changePace(host, run, percent, run.acknowledgedPacePercent);
}

void HostRegistry::setAcknowledgedPace(Host& host, HostRun& run, std::optional<int> percent)
{
    const bool isOrdered = run.orderedPacePercent != unknownPacePercent;
    changePace(host, run, isOrdered ? run.orderedPacePercent : percent.value_or(unknownPacePercent), percent);
}

void HostRegistry::forgetPaces(Host& host)
{
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        const bool isReported = run.acknowledgedPacePercent.has_value();
        changePace(host, run, unknownPacePercent, isReported ? std::optional<int>(unknownPacePercent) : std::nullopt);
    }
}

int HostRegistry::countRunsOfStep(const Host& host, const std::string& jobId, int occurrence, int step)
{
    int count = 0;
    const RunKey first { jobId, occurrence, step, 0, 0 };
    for (std::map<RunKey, HostRun>::const_iterator it = host.runs.lower_bound(first); it != host.runs.end(); ++it) {
        const Wire::TaskName& task = it->second.task;
        if (task.jobId != jobId || task.occurrence != occurrence || task.step != step)
            break;
        ++count;
    }
    return count;
}

} // namespace Plantainpier
