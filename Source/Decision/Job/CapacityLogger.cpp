#include "Decision/Job/CapacityLogger.h"

#include "Decision/Job/WorkPriority.h"

namespace Plantainpier {

namespace {

    constexpr Duration loggingInterval = seconds(1);
    /// A tail latency above this share of the target leaves little room for a rise of the load.
    constexpr double nearTargetShare = 0.75;

    void addRun(CapacityTotals& totals, const HostRun& run)
    {
        if (run.targetMilliseconds > 0 && run.listed) {
            const double tailShare = static_cast<double>(run.usage) / static_cast<double>(run.targetMilliseconds);
            totals.tasksOverTarget += tailShare > 1 ? 1 : 0;
            totals.tasksNearTarget += tailShare <= 1 && tailShare > nearTargetShare ? 1 : 0;
        }
        if (!run.filler) {
            totals.halting += run.phase == RunPhase::Halting ? run.demand.milliProcessors : 0;
            totals.unlisted += run.listed ? 0 : run.demand.milliProcessors;
            return;
        }
        ++totals.fillers;
        totals.fillerDemand += run.demand.milliProcessors;
        totals.fillerUsage += run.usage;
        const int percent = run.highestPacePercent();
        totals.stoppedFillers += percent == 0 ? 1 : 0;
        totals.slowedFillers += percent > 0 && percent < fullPacePercent ? 1 : 0;
    }

    void addStep(CapacityTotals& totals, const JobState& job, const StepState& step, Instant now)
    {
        if (!step.open || step.waitingTasks == 0)
            return;
        const Wire::StepDefinition& definition = job.stepDefinition(step);
        if (definition.longRunning) {
            totals.waitingLongRunning += step.waitingTasks;
            for (const TaskState& task : step.tasks) {
                if (task.isWaiting())
                    totals.longestLongRunningWait = std::max(totals.longestLongRunningWait, now - task.waitingSince);
            }
        }
        if (!definition.filler)
            return;
        const bool inTime = workPriority(job, step, now).timeliness == Timeliness::OnTime;
        (inTime ? totals.waitingInTime : totals.waitingLate) += step.waitingTasks;
    }

} // namespace

CapacityTotals CapacityLogger::totals(Instant now, const OwnerState& state)
{
    CapacityTotals totals;
    for (const std::pair<const std::string, Host>& entry : state.hosts.hosts()) {
        const Host& host = entry.second;
        ++totals.hosts;
        totals.capacity += host.capacity.milliProcessors;
        totals.longRunning += host.processorUse.longRunning;
        totals.batch += host.processorUse.batch;
        totals.fillerPaced += host.processorUse.fillers;
        totals.probingHosts += host.probeUntil != Instant() ? 1 : 0;
        for (const std::pair<const RunKey, HostRun>& run : host.runs)
            addRun(totals, run.second);
    }
    for (const std::pair<const std::string, JobState*>& entry : state.openJobs) {
        for (const StepState& step : entry.second->steps())
            addStep(totals, *entry.second, step, now);
    }
    return totals;
}

void CapacityLogger::logIfDue(Instant now, Actions& actions)
{
    if (now - m_loggedAt < loggingInterval)
        return;
    m_loggedAt = now;
    const CapacityTotals totals = CapacityLogger::totals(now, m_state);
    if (totals.fillers + totals.waitingInTime + totals.waitingLate + totals.waitingLongRunning == 0)
        return;
    LogLine line("capacity");
    line.add("hosts", totals.hosts).add("milli", totals.capacity);
    line.add("serving_milli", totals.longRunning).add("batch_milli", totals.batch);
    line.add("halting_milli", totals.halting).add("unlisted_milli", totals.unlisted);
    line.add("fillers", totals.fillers).add("filler_milli", totals.fillerDemand);
    line.add("paced_milli", totals.fillerPaced).add("used_milli", totals.fillerUsage);
    line.add("stopped", totals.stoppedFillers).add("slowed", totals.slowedFillers);
    line.add("probing_hosts", totals.probingHosts).add("over_target", totals.tasksOverTarget);
    line.add("near_target", totals.tasksNearTarget);
    line.add("waiting_in_time", totals.waitingInTime).add("waiting_late", totals.waitingLate);
    line.add("waiting_lasting", totals.waitingLongRunning)
        .add("lasting_wait_ms", toMilliseconds(totals.longestLongRunningWait));
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
