#include "Decision/Admission/WorkMonitor.h"

#include "Decision/Job/OwnerState.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr Duration measuringInterval = milliseconds(250);
    /// A class is saturated if this share of the cores that its tasks request is held back. Tasks that are about to be
    /// placed hold back less.
    constexpr double saturatedShare = 0.2;
    /// Share of a task that counts as done if a checkpoint exists and no list has shown the run's progress.
    constexpr double checkpointShare = 0.5;

    double coresOf(const Wire::Resources& demand) { return static_cast<double>(demand.milliProcessors) / 1000; }

    double workOfTask(const Wire::StepDefinition& step)
    {
        return coresOf(step.demand) * static_cast<double>(step.estimateMilliseconds) / 1000;
    }

    void addStep(const JobState& job, const StepState& step, JobWork& work)
    {
        const Wire::StepDefinition& definition = job.stepDefinition(step);
        const int openTasks = static_cast<int>(step.tasks.size()) - step.completedTasks;
        if (definition.longRunning)
            return;
        work.total += workOfTask(definition) * static_cast<double>(step.tasks.size());
        if (openTasks == 0)
            return;
        work.remaining += workOfTask(definition) * openTasks;
        work.remainingCriticalPath = std::max(work.remainingCriticalPath, step.remainingCriticalPath);
        if (!step.open)
            return;
        work.waitingCores += coresOf(definition.demand) * step.waitingTasks;
        if (step.waitingTasks == 0 || !definition.savesProgress)
            return;
        for (const TaskState& task : step.tasks) {
            if (task.isWaiting() && !task.checkpoint.empty())
                work.remaining -= checkpointShare * workOfTask(definition);
        }
    }

    void addRun(const HostRun& run, JobWork& work)
    {
        const double cores = coresOf(run.demand);
        const double whole = cores * static_cast<double>(run.estimateMilliseconds) / 1000;
        const double reported = run.progressPercent / 100.0;
        const double done = whole * (reported == 0 && !run.checkpoint.empty() ? checkpointShare : reported);
        work.remaining = std::max(0.0, work.remaining - done);
        work.placed = std::min(work.remaining, work.placed + whole - done);
        work.placedCores += cores;
        if (run.filler)
            work.pacedDownCores += cores * (1 - std::clamp(run.recentPace, 0.0, 1.0));
    }

} // namespace

JobWork WorkMonitor::measureJob(const JobState& job)
{
    JobWork work;
    work.priority = job.definition().priority;
    work.accepted = job.accepted();
    work.due = job.due();
    for (const StepState& step : job.steps())
        addStep(job, step, work);
    return work;
}

void WorkMonitor::addRuns(const OwnerState& state, std::map<std::string, JobWorkMap>& services)
{
    for (const std::pair<const std::string, Host>& entry : state.hosts.hosts()) {
        for (const std::pair<const RunKey, HostRun>& run : entry.second.runs) {
            if (run.second.longRunning)
                continue;
            const std::map<std::string, JobState*>::const_iterator job = state.openJobs.find(run.second.task.jobId);
            if (job == state.openJobs.end())
                continue;
            addRun(run.second, services[job->second->definition().serviceName][job->first]);
        }
    }
}

std::map<WorkMonitor::ClassName, double> WorkMonitor::completedSince(
    const OwnerState& state, const std::map<std::string, JobWorkMap>& services) const
{
    std::map<ClassName, double> completed;
    for (const std::pair<const std::string, JobWorkMap>& service : services) {
        const JobWorkMap* earlier = jobsOf(service.first);
        for (const std::pair<const std::string, JobWork>& entry : service.second) {
            const JobWork& work = entry.second;
            // A job that was not known before has been accepted since.
            const JobWorkMap::const_iterator before
                = earlier ? earlier->find(entry.first) : JobWorkMap::const_iterator();
            const bool known = earlier && before != earlier->end();
            const double doneBefore = known ? before->second.total - before->second.remaining : 0;
            completed[{ service.first, work.priority }] += work.total - work.remaining - doneBefore;
        }
    }
    for (const std::pair<const std::string, JobWorkMap>& service : m_services) {
        for (const std::pair<const std::string, JobWork>& entry : service.second) {
            const std::map<std::string, std::unique_ptr<JobState>>::const_iterator job = state.jobs.find(entry.first);
            if (job != state.jobs.end() && job->second->outcome() == Wire::JobOutcome::Completed)
                completed[{ service.first, entry.second.priority }] += entry.second.remaining;
        }
    }
    return completed;
}

void WorkMonitor::recordRates(Instant now, const std::map<ClassName, double>& completed, bool startsAllowed)
{
    std::map<ClassName, std::pair<double, double>> heldBackAndRequested;
    for (const std::pair<const std::string, JobWorkMap>& service : m_services) {
        for (const std::pair<const std::string, JobWork>& entry : service.second) {
            const ClassName name { service.first, entry.second.priority };
            std::pair<double, double>& cores = heldBackAndRequested[name];
            cores.first += entry.second.waitingCores + entry.second.pacedDownCores;
            cores.second += entry.second.waitingCores + entry.second.placedCores;
            m_rates[name];
        }
    }
    for (std::pair<const ClassName, ServiceRate>& rate : m_rates) {
        double work = 0;
        for (const std::pair<const ClassName, double>& entry : completed) {
            if (entry.first.first == rate.first.first && entry.first.second <= rate.first.second)
                work += entry.second;
        }
        const std::pair<double, double>& cores = heldBackAndRequested[rate.first];
        const bool saturated = startsAllowed && cores.first > saturatedShare * cores.second;
        rate.second.record(m_measuredAt, now, work, saturated);
    }
}

bool WorkMonitor::measureIfDue(Instant now, const OwnerState& state, bool startsAllowed)
{
    if (now - m_measuredAt < measuringInterval)
        return false;
    std::map<std::string, JobWorkMap> services;
    for (const std::pair<const std::string, JobState*>& entry : state.openJobs)
        services[entry.second->definition().serviceName][entry.first] = measureJob(*entry.second);
    addRuns(state, services);
    const bool first = m_measuredAt == Instant();
    const std::map<ClassName, double> completed
        = first ? std::map<ClassName, double>() : completedSince(state, services);
    m_services = std::move(services);
    if (!first)
        recordRates(now, completed, startsAllowed && m_startsWereAllowed);
    m_startsWereAllowed = startsAllowed;
    m_measuredAt = now;
    return true;
}

void WorkMonitor::addJob(const JobState& job)
{
    JobWork work = measureJob(job);
    // The steps are added once the job is stored and the next scheduling pass begins.
    if (job.steps().empty()) {
        work.total = job.workCoreSeconds();
        work.remaining = work.total;
        work.remainingCriticalPath = job.criticalPath();
    }
    m_services[job.definition().serviceName][job.definition().jobId] = work;
}

const JobWorkMap* WorkMonitor::jobsOf(const std::string& service) const
{
    const std::map<std::string, JobWorkMap>::const_iterator it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

RateEstimate WorkMonitor::rate(Instant now, const std::string& service, int priority) const
{
    const std::map<ClassName, ServiceRate>::const_iterator it = m_rates.find({ service, priority });
    return it == m_rates.end() ? RateEstimate() : it->second.estimate(now);
}

} // namespace Plantainpier
