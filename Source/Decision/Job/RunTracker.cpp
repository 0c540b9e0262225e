#include "Decision/Job/RunTracker.h"

#include "Base/NameTable.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <array>

namespace Plantainpier {

namespace {

    /// Number of distinct jobs that must fail on a host, without a completion in between, before the host is
    /// quarantined. A single faulty job must not quarantine its hosts.
    constexpr std::size_t failedJobsToQuarantine = 3;
    constexpr Duration quarantineDuration = seconds(2);
    /// A long-running task never completes. Instead, it ends the probation of its host by running for this time.
    constexpr Duration longRunningProbation = seconds(1);
    /// A disconnected host without runs is removed after this time, which exceeds every time limit of the platform.
    constexpr Duration hostRetention = seconds(30);
    /// Weight of the newest run in the smoothed slowness of a host.
    constexpr double slownessWeight = 0.15;
    constexpr double slownessFloor = 0.7;
    constexpr double slownessCeiling = 8;
    constexpr std::size_t maximumEndTrials = 16;

    /// Lists after the answer to a start, of which the first may have been requested before the start was carried out.
    constexpr std::uint64_t listsUntilStartShows = 2;

    /// Whether the run should be in the newest list. The host may have forgotten the end of a run that it started.
    bool isExpectedInList(const Host& host, const HostRun& run)
    {
        return run.phase == RunPhase::Running
            && (run.listed || host.listNumber >= run.listNumber + listsUntilStartShows);
    }

    constexpr std::array runEndNames {
        NamedValue { Wire::RunEnd::Completed, "completed" },
        NamedValue { Wire::RunEnd::Failed, "failed" },
        NamedValue { Wire::RunEnd::Stopped, "stopped" },
        NamedValue { Wire::RunEnd::Lapsed, "lapsed" },
        NamedValue { Wire::RunEnd::GangBroken, "gang_broken" },
        NamedValue { Wire::RunEnd::GangAlone, "gang_alone" },
    };

    using Effect = RunTracker::RunEndEffect;
    constexpr std::array runEndEffectNames {
        NamedValue { Effect::Completion, "completion" },
        NamedValue { Effect::Failure, "failure" },
        NamedValue { Effect::FailureAlreadyCounted, "failure_known" },
        NamedValue { Effect::Interruption, "interruption" },
        NamedValue { Effect::TaskAlreadyCompleted, "nothing_task_completed" },
        NamedValue { Effect::JobAlreadyFinished, "nothing_job_finished" },
        NamedValue { Effect::UnknownTask, "nothing_unknown_task" },
        NamedValue { Effect::SupersededRun, "nothing_other_run_under_way" },
    };

    using Evidence = RunTracker::StartEvidence;
    constexpr std::array startEvidenceNames {
        NamedValue { Evidence::Answer, "answer" },
        NamedValue { Evidence::List, "list" },
        NamedValue { Evidence::End, "end" },
    };

    std::optional<int> acknowledgedPace(const Wire::RunningTask& row)
    {
        return row.__isset.acknowledgedPacePercent ? std::optional<int>(row.acknowledgedPacePercent) : std::nullopt;
    }

    LogLine& addTaskFields(LogLine& line, const Wire::TaskName& task)
    {
        return line.add("job", task.jobId)
            .add("occurrence", task.occurrence)
            .add("step", task.step)
            .add("task", task.index);
    }

    constexpr std::array outcomeNames {
        NamedValue { Wire::JobOutcome::Open, "open" },
        NamedValue { Wire::JobOutcome::Completed, "completed" },
        NamedValue { Wire::JobOutcome::Failed, "failed" },
        NamedValue { Wire::JobOutcome::Cancelled, "cancelled" },
    };

} // namespace

std::uint64_t RunTracker::storeHostRecord(Instant now, const Host& host, Urgency urgency)
{
    Wire::HostRecord record;
    record.incarnation = host.incarnation;
    record.term = m_state.term;
    record.mayForgetEnds = host.mayForgetEnds;
    record.departed = host.departed;
    record.sideId = host.sideId;
    return m_state.storeWriter.enqueue(now, StoreRecord { StoreKey::host(host.hostId), Wire::encode(record) }, urgency);
}

Host& RunTracker::addIncarnation(Instant now, const Wire::HostReport& report, Actions& actions)
{
    Host* earlier = m_state.hosts.find(report.hostId);
    Host host;
    host.hostId = report.hostId;
    host.incarnation = report.incarnation;
    host.sideId = report.sideId;
    host.leaseExpiresAt = now;
    host.hasEarlierIncarnation = earlier || m_state.departedHosts.contains(report.hostId);
    host.mayForgetEnds = host.hasEarlierIncarnation;
    host.orders.hostId = report.hostId;
    if (earlier) {
        // The report alone does not show that the earlier incarnation has ended: its runs are kept until the first
        // list.
        host.runs = std::move(earlier->runs);
        for (std::pair<const RunKey, HostRun>& entry : host.runs) {
            entry.second.ofEarlierIncarnation = true;
            entry.second.listNumber = 0;
        }
        host.unconfirmedStarts = earlier->unconfirmedStarts;
        host.committed = earlier->committed;
        host.processorUse = earlier->processorUse;
        host.newestLink = earlier->newestLink;
        host.leaseExpiresAt = std::max(now, earlier->leaseExpiresAt);
    }
    host.recordSequenceNumber = storeHostRecord(now, host, Urgency::Immediate);
    actions.push_back(WriteLog { LogLine("host_seen")
                                     .add("host", report.hostId)
                                     .add("incarnation", report.incarnation)
                                     .add("rack", report.rack)
                                     .add("cores_milli", report.capacity.milliProcessors)
                                     .add("memory_mb", report.capacity.memoryMegabytes)
                                     .add("unresolved", host.runs.size())
                                     .add("may_forget_ends", host.mayForgetEnds)
                                     .text() });
    return m_state.hosts.hosts().insert_or_assign(report.hostId, std::move(host)).first->second;
}

Host& RunTracker::updateHost(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    Host* existing = m_state.hosts.find(report.hostId);
    const bool sameIncarnation = existing && existing->incarnation == report.incarnation && !existing->departed;
    Host& host = sameIncarnation ? *existing : addIncarnation(now, report, actions);
    if (host.link != link) {
        host.link = link;
        host.newestLink = link;
        // Requests a list under a new fence before sending any other order.
        m_state.raiseFence(host);
        host.orders.leaseUntilMilliseconds = 0;
    }
    if (!report.changesOnly) {
        // The record is of an earlier version, or the host has another side now.
        if (host.sideId != report.sideId) {
            host.sideId = report.sideId;
            host.recordSequenceNumber = storeHostRecord(now, host, Urgency::Immediate);
        }
        host.service = report.serviceName;
        host.zone = report.zone;
        host.zoneClosed = m_state.zoneClosures.isClosed(host.zone);
        host.rack = report.rack;
        host.labels = report.labels;
        host.capacity = report.capacity;
    }
    host.shutdownAt = now + milliseconds(report.remainingMilliseconds);
    host.refusesConnections = report.refusesConnections;
    host.lastContactAt = now;
    return host;
}

void RunTracker::onHostDeparted(Instant now, Host& host, Actions& actions)
{
    abandonConfirmedRuns(now, host, RunFate::HostGone, actions);
    m_state.scheduleDue = true;
    host.departed = true;
    host.listed = true;
    host.listedInTerm = true;
    host.link = noLink;
    if (host.runs.empty())
        removeHost(now, host);
    else
        m_state.departedHosts[host.hostId] = now;
}

void RunTracker::endPredecessors(Instant now, const Host& host, Actions& actions)
{
    if (host.sideId.empty())
        return;
    std::vector<std::string> predecessors;
    for (const std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        const Host& other = entry.second;
        const bool isUnheard = other.newestLink == noLink && !other.listedInTerm && !other.departed;
        if (isUnheard && other.sideId == host.sideId && other.hostId != host.hostId)
            predecessors.push_back(other.hostId);
    }
    for (const std::string& hostId : predecessors) {
        actions.push_back(WriteLog { LogLine("host_replaced")
                                         .add("host", hostId)
                                         .add("side", host.sideId)
                                         .add("listed_host", host.hostId)
                                         .text() });
        onHostDeparted(now, m_state.hosts.hosts().at(hostId), actions);
    }
}

void RunTracker::removeHost(Instant now, Host& host)
{
    host.departed = true;
    m_state.departedHosts[host.hostId] = now;
    storeHostRecord(now, host, Urgency::Lazy);
    m_state.hosts.hosts().erase(std::string(host.hostId));
}

void RunTracker::onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    if (report.highestTerm > m_state.term)
        m_fenced = true;
    Host* existing = m_state.hosts.find(report.hostId);
    // Changes refer to a complete list over the same connection.
    const bool hasBase = existing && existing->incarnation == report.incarnation && existing->link == link;
    const bool isOutdated = existing && (existing->incarnation > report.incarnation || link < existing->newestLink);
    if (isOutdated || (report.changesOnly && !hasBase)) {
        ++m_state.counters.outdatedReports;
        // The newest connection has ended, and reports over earlier ones may be late. The side connects again, which
        // raises the fence.
        if (existing && !existing->departed && link < existing->newestLink && existing->link == noLink) {
            actions.push_back(WriteLog { LogLine("host_link_superseded").add("host", report.hostId).text() });
            actions.push_back(CloseLink { link });
        }
        return;
    }
    if (report.state == Wire::HostState::Gone) {
        if (existing && existing->incarnation == report.incarnation && !existing->departed)
            onHostDeparted(now, *existing, actions);
        return;
    }
    Host& host = updateHost(now, link, report, actions);
    for (const Wire::OrderResult& result : report.results)
        onOrderResult(now, host, result, actions);
    if (report.listed)
        processRunList(now, host, report, actions);
    else
        recordAcknowledgedPaces(host, report);
    const bool draining = report.state == Wire::HostState::Draining;
    if (draining && !host.draining)
        actions.push_back(WriteLog { LogLine("host_draining")
                                         .add("host", host.hostId)
                                         .add("remaining_ms", report.remainingMilliseconds)
                                         .text() });
    host.draining = draining;
    m_state.scheduleDue = true;
}

void RunTracker::processRunList(Instant now, Host& host, const Wire::HostReport& report, Actions& actions)
{
    const bool isUnderFence = report.listFence / fencesPerOwnerFence == host.fence / fencesPerOwnerFence;
    if (!isUnderFence || (report.changesOnly && !host.listed)) {
        // The list is outdated: listed runs may have ended, and orders that it does not show may still be carried out.
        ++m_state.counters.outdatedReports;
        return;
    }
    // A lease extension sent to an earlier incarnation may have reached this one before the first list.
    if (host.hasEarlierIncarnation)
        host.leaseExpiresAt = std::max(host.leaseExpiresAt, now + withClockMargin(m_state.rules.longestLease));
    host.hasEarlierIncarnation = false;
    host.clockMilliseconds = report.clockMilliseconds;
    host.clockReadAt = now;
    addListedOccurrences(now, report);
    ++host.listNumber;
    for (const Wire::RunningTask& listedRun : report.running)
        onRunningTask(now, host, listedRun, actions);
    for (const Wire::EndedTask& listedRun : report.ended)
        onEndedTask(now, host, listedRun, actions);
    if (report.changesOnly) {
        abandonRemovedRuns(now, host, report, actions);
        return;
    }
    if (report.endsOmitted)
        return;
    abandonUnlistedRuns(now, host, actions);
    if (!host.listedInTerm)
        endPredecessors(now, host, actions);
    if (!host.listed)
        actions.push_back(WriteLog { LogLine("host_listed")
                                         .add("host", host.hostId)
                                         .add("fence", host.fence)
                                         .add("running", report.running.size())
                                         .add("ended", report.ended.size())
                                         .text() });
    host.listed = true;
    host.listedInTerm = true;
}

void RunTracker::recordAcknowledgedPaces(Host& host, const Wire::HostReport& report)
{
    for (const Wire::RunningTask& row : report.running) {
        const std::map<RunKey, HostRun>::iterator it = host.runs.find(runKey(row.task, row.run));
        if (it != host.runs.end())
            HostRegistry::setAcknowledgedPace(host, it->second, acknowledgedPace(row));
    }
}

void RunTracker::addListedOccurrences(Instant now, const Wire::HostReport& report)
{
    const auto addOccurrences = [this, now](const Wire::TaskName& task) {
        JobState* job = m_state.findJob(task.jobId);
        if (job && job->isOpen())
            job->addOccurrencesUpTo(now, task.occurrence);
    };
    for (const Wire::RunningTask& listedRun : report.running)
        addOccurrences(listedRun.task);
    for (const Wire::EndedTask& listedRun : report.ended)
        addOccurrences(listedRun.task);
}

void RunTracker::recordStart(
    Instant now, const Host& host, const Wire::TaskName& task, HostRun* run, StartEvidence evidence, Actions& actions)
{
    JobState* job = m_state.findJob(task.jobId);
    if (job && !job->hasStarted()) {
        job->recordStart();
        actions.push_back(WriteLog { LogLine("job_started")
                                         .add("job", task.jobId)
                                         .add("host", host.hostId)
                                         .add("shown_by", nameIn(startEvidenceNames, evidence))
                                         .add("after_ms", toMilliseconds(now - job->accepted()))
                                         .text() });
        // A later owner shows the same state, even if the run and its host are lost meanwhile.
        if (job->isOpen())
            m_state.markDirty(now, task.jobId, false);
    }
    if (!run || !run->isStartUnconfirmed())
        return;
    run->startConfirmedAt = now;
    ++m_state.counters.started;
    if (StepState* step = job ? job->findStep(task.occurrence, task.step) : nullptr) {
        step->lastStartedAt = std::max(step->lastStartedAt, run->placedAt);
        ++step->startedRuns;
    }
    LogLine line("run_started");
    addTaskFields(line, task).add("run", run->run).add("host", host.hostId);
    line.add("shown_by", nameIn(startEvidenceNames, evidence)).add("after_ms", toMilliseconds(now - run->placedAt));
    actions.push_back(WriteLog { line.text() });
}

void RunTracker::onOrderResult(Instant now, Host& host, const Wire::OrderResult& result, Actions& actions)
{
    const RunKey key = runKey(result.task, result.run);
    std::map<RunKey, HostRun>::iterator it = host.runs.find(key);
    if (result.outcome == Wire::OrderOutcome::Started)
        recordStart(now, host, result.task, it == host.runs.end() ? nullptr : &it->second, Evidence::Answer, actions);
    if (it == host.runs.end())
        return;
    // Hosts rightly refuse orders under an earlier fence of this owner. A refusal under the current fence shows that a
    // later owner has raised it.
    if (result.reason == "fence" && it->second.fence == host.fence)
        m_fenced = true;
    if (result.outcome == Wire::OrderOutcome::Started) {
        if (it->second.phase == RunPhase::Ordered) {
            HostRegistry::setPhase(host, it->second, RunPhase::Running);
            it->second.listNumber = host.listNumber;
            haltIfEndMayBeLost(host, it->second, actions);
        }
        return;
    }
    ++m_state.counters.refusedStarts;
    LogLine line("start_refused");
    addTaskFields(line, result.task).add("run", result.run).add("host", host.hostId).add("reason", result.reason);
    actions.push_back(WriteLog { line.text() });
    const std::string checkpoint = it->second.checkpoint;
    if (result.outcome == Wire::OrderOutcome::Absent)
        noteForgottenEnd(host, it->second);
    HostRegistry::removeRun(host, key);
    const RunFate fate = result.outcome == Wire::OrderOutcome::Absent ? RunFate::Absent : RunFate::StartRefused;
    removeRunFromTask(now, host, result.task, result.run, fate, checkpoint);
    TaskState* task = nullptr;
    if (JobState* job = m_state.findJob(result.task.jobId))
        task = job->findTask(result.task);
    if (task && result.outcome == Wire::OrderOutcome::Refused)
        task->notBefore = now + m_state.rules.retryDelayAfterFailure;
}

void RunTracker::onRunningTask(Instant now, Host& host, const Wire::RunningTask& listedRun, Actions& actions)
{
    std::map<RunKey, HostRun>::iterator it = host.runs.find(runKey(listedRun.task, listedRun.run));
    if (it == host.runs.end()) {
        adoptRun(now, host, listedRun, actions);
        return;
    }
    HostRun& run = it->second;
    if (run.phase == RunPhase::Ordered)
        HostRegistry::setPhase(host, run, RunPhase::Running);
    recordStart(now, host, listedRun.task, &run, Evidence::List, actions);
    // The halt order may have been lost with an earlier connection, so it is sent again.
    if (run.phase == RunPhase::Halting && run.fence < host.fence)
        haltRun(host, run, "unresolved_order", actions);
    haltIfEndMayBeLost(host, run, actions);
    run.fence = host.fence;
    // The first list of a restarted run shows the progress that its checkpoint restored.
    if (!listedRun.checkpoint.empty() && (!run.listed || listedRun.checkpoint != run.checkpoint))
        run.checkpointPercent = listedRun.progressPercent;
    run.listed = true;
    run.ofEarlierIncarnation = false;
    run.listNumber = host.listNumber;
    HostRegistry::setAcknowledgedPace(host, run, acknowledgedPace(listedRun));
    run.usage = listedRun.usage;
    run.progressPercent = listedRun.progressPercent;
    if (!listedRun.checkpoint.empty())
        run.checkpoint = listedRun.checkpoint;
    const bool isProbationRun = host.health.onProbation && run.placedAt >= host.health.quarantinedUntil;
    if (isProbationRun && run.longRunning && now - run.startConfirmedAt >= longRunningProbation) {
        host.health.onProbation = false;
        host.health.failedJobs.clear();
    }
}

void RunTracker::setRunRequirements(HostRun& run, const JobState& job, const StepState& step)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    run.demand = definition.demand;
    run.filler = definition.filler;
    run.longRunning = definition.longRunning;
    run.mayRunTwice = HostRegistry::mayRunTwice(definition);
    run.image = definition.image;
    run.targetMilliseconds = definition.targetMilliseconds;
    run.estimateMilliseconds = definition.estimateMilliseconds;
    run.priority = job.definition().priority;
}

void RunTracker::adoptRun(Instant now, Host& host, const Wire::RunningTask& listedRun, Actions& actions)
{
    HostRun run;
    run.task = listedRun.task;
    run.run = listedRun.run;
    run.phase = RunPhase::Running;
    run.fence = host.fence;
    // No recorded lease covers the run, so the host is assumed to hold the longest lease.
    if (now >= host.leaseExpiresAt)
        host.leaseExpiresAt = now + withClockMargin(m_state.rules.longestLease);
    run.adopted = true;
    run.placedAt = now;
    run.startConfirmedAt = now;
    run.listed = true;
    run.listNumber = host.listNumber;
    run.usage = listedRun.usage;
    run.progressPercent = listedRun.progressPercent;
    run.checkpoint = listedRun.checkpoint;
    run.acknowledgedPacePercent = acknowledgedPace(listedRun);
    run.orderedPacePercent = run.acknowledgedPacePercent.value_or(unknownPacePercent);
    JobState* job = m_state.findJob(listedRun.task.jobId);
    StepState* step = job ? job->findStep(listedRun.task.occurrence, listedRun.task.step) : nullptr;
    TaskState* task = job ? job->findTask(listedRun.task) : nullptr;
    if (step)
        setRunRequirements(run, *job, *step);
    HostRun& added = HostRegistry::addRun(host, std::move(run));
    recordStart(now, host, listedRun.task, &added, Evidence::List, actions);
    LogLine line("run_adopted");
    addTaskFields(line, listedRun.task).add("run", listedRun.run).add("host", host.hostId);
    const bool isWanted = task && job->isOpen() && !task->completed
        && (task->runs.empty() || job->stepDefinition(*step).allowDuplicates);
    actions.push_back(WriteLog { line.add("wanted", isWanted).text() });
    if (!isWanted) {
        haltRun(host, added, "not_wanted", actions);
        return;
    }
    if (task->runs.empty())
        --step->waitingTasks;
    task->runs.push_back(RunPlace { host.hostId, listedRun.run, now });
    task->lastRun = std::max(task->lastRun, listedRun.run);
    haltIfEndMayBeLost(host, added, actions);
}

void RunTracker::noteForgottenEnd(Host& host, const HostRun& run)
{
    if (!run.isStartUnconfirmed() && !run.ofEarlierIncarnation && HostRegistry::mayLoseEndOf(host, run))
        host.endTrials = std::min(2 * host.endTrials, maximumEndTrials);
}

void RunTracker::haltIfEndMayBeLost(Host& host, HostRun& run, Actions& actions)
{
    if (run.phase == RunPhase::Running && HostRegistry::mayLoseEndOf(host, run))
        haltRun(host, run, "end_may_be_forgotten", actions);
}

void RunTracker::removeRunFromTask(
    Instant now, const Host& host, const Wire::TaskName& name, int run, RunFate fate, const std::string& checkpoint)
{
    JobState* job = m_state.findJob(name.jobId);
    StepState* step = job ? job->findStep(name.occurrence, name.step) : nullptr;
    TaskState* task = job ? job->findTask(name) : nullptr;
    if (!task)
        return;
    const std::size_t before = task->runs.size();
    task->runs.erase(
        std::remove_if(task->runs.begin(), task->runs.end(),
            [&host, run](const RunPlace& place) { return place.hostId == host.hostId && place.run == run; }),
        task->runs.end());
    if (task->runs.size() == before || task->completed)
        return;
    task->formerRun = FormerRun { host.hostId, run, fate };
    if (!checkpoint.empty())
        job->setCheckpoint(*step, *task, checkpoint);
    job->markWaiting(now, *step, *task);
    m_state.scheduleDue = true;
}

void RunTracker::onTaskFailed(
    Instant now, JobState& job, const StepState& step, TaskState& task, int run, const Host& host, Actions& actions)
{
    job.recordFailure(step, task, run);
    ++m_state.counters.failedTasks;
    task.notBefore = now + m_state.rules.retryDelayAfterFailure;
    m_state.markDirty(now, job.definition().jobId, false);
    if (job.failedAttempts(step, task) >= job.definition().maximumAttempts)
        finishJob(now, job, Wire::JobOutcome::Failed, "attempts_used_up_last_on_" + host.hostId, actions);
}

void RunTracker::updateHostHealth(
    Instant now, Host& host, const HostRun& run, Wire::RunEnd::type runEnd, Actions& actions)
{
    if (runEnd == Wire::RunEnd::Completed) {
        host.health.failedJobs.clear();
        host.health.onProbation = false;
        if (run.estimateMilliseconds > 0 && !run.filler) {
            const double elapsedMilliseconds = static_cast<double>(toMilliseconds(now - run.placedAt));
            const double ratio = std::clamp(
                elapsedMilliseconds / static_cast<double>(run.estimateMilliseconds), slownessFloor, slownessCeiling);
            host.health.slowness += slownessWeight * (ratio - host.health.slowness);
        }
        return;
    }
    if (runEnd != Wire::RunEnd::Failed)
        return;
    host.health.failedJobs.insert(run.task.jobId);
    if (host.health.failedJobs.size() < failedJobsToQuarantine && !host.health.onProbation)
        return;
    host.health.quarantinedUntil = now + quarantineDuration;
    host.health.onProbation = true;
    host.health.failedJobs.clear();
    actions.push_back(WriteLog { LogLine("host_quarantined")
                                     .add("host", host.hostId)
                                     .add("for_ms", toMilliseconds(quarantineDuration))
                                     .add("why", "tasks of several jobs failed in a row")
                                     .text() });
}

RunTracker::RunEndEffect RunTracker::effectOfEnd(const Wire::EndedTask& listedRun, bool wasTracked)
{
    JobState* job = m_state.findJob(listedRun.task.jobId);
    const StepState* step = job ? job->findStep(listedRun.task.occurrence, listedRun.task.step) : nullptr;
    const TaskState* task = job ? job->findTask(listedRun.task) : nullptr;
    if (!task)
        return RunEndEffect::UnknownTask;
    if (!job->isOpen())
        return RunEndEffect::JobAlreadyFinished;
    if (task->completed)
        return RunEndEffect::TaskAlreadyCompleted;
    const Wire::StepDefinition& definition = job->stepDefinition(*step);
    // A failure counts regardless of the task's current run. A later owner may receive the list with the current run
    // before the lists with the earlier failures.
    if (listedRun.how == Wire::RunEnd::Failed && !definition.longRunning)
        return task->hasFailed(listedRun.run) ? RunEndEffect::FailureAlreadyCounted : RunEndEffect::Failure;
    // A run that was abandoned after its lease expired no longer counts, because the task may now run elsewhere. If
    // duplicates are allowed, the first run that completes counts, whichever owner started it.
    if (!wasTracked && !task->runs.empty() && !definition.allowDuplicates)
        return RunEndEffect::SupersededRun;
    return listedRun.how == Wire::RunEnd::Completed && !definition.longRunning ? RunEndEffect::Completion
                                                                               : RunEndEffect::Interruption;
}

void RunTracker::onEndedTask(Instant now, Host& host, const Wire::EndedTask& listedRun, Actions& actions)
{
    if (listedRun.number <= host.lastEndNumber)
        return;
    host.lastEndNumber = listedRun.number;
    if (host.mayForgetEnds) {
        host.mayForgetEnds = false;
        storeHostRecord(now, host, Urgency::Lazy);
        actions.push_back(
            WriteLog { LogLine("host_lists_ends").add("host", host.hostId).add("number", listedRun.number).text() });
    }
    // The end is acknowledged only once its effect is persisted.
    host.unpersistedEnds.emplace_back(listedRun.number, 0);
    std::optional<HostRun> run = HostRegistry::removeRun(host, runKey(listedRun.task, listedRun.run));
    recordStart(now, host, listedRun.task, run ? &*run : nullptr, Evidence::End, actions);
    const RunEndEffect effect = effectOfEnd(listedRun, run.has_value());
    JobState* job = m_state.findJob(listedRun.task.jobId);
    TaskState* task = job ? job->findTask(listedRun.task) : nullptr;
    LogLine line("run_ended");
    addTaskFields(line, listedRun.task)
        .add("run", listedRun.run)
        .add("host", host.hostId)
        .add("how", nameIn(runEndNames, listedRun.how));
    line.add("number", listedRun.number).add("taken_as", nameIn(runEndEffectNames, effect));
    if (task)
        line.add("failures_before", task->failedRuns.size());
    if (run)
        line.add("after_ms", toMilliseconds(now - run->placedAt));
    actions.push_back(WriteLog { line.text() });
    if (run) {
        updateHostHealth(now, host, *run, listedRun.how, actions);
        const bool isFullRun = listedRun.how == Wire::RunEnd::Completed && task && task->formerRun.fate == RunFate::None
            && task->checkpoint.empty();
        m_state.locality.recordEnd(now, host, *run, isFullRun);
    }
    switch (effect) {
    case RunEndEffect::UnknownTask:
    case RunEndEffect::SupersededRun:
        ++m_state.counters.endsWithoutEffect;
        return;
    case RunEndEffect::JobAlreadyFinished:
    case RunEndEffect::TaskAlreadyCompleted:
        removeRunFromTask(now, host, listedRun.task, listedRun.run, RunFate::EndListed, {});
        return;
    case RunEndEffect::Completion:
        task->lastRun = std::max(task->lastRun, listedRun.run);
        onTaskCompleted(now, host, *job, *task, listedRun, actions);
        return;
    case RunEndEffect::Interruption:
    case RunEndEffect::Failure:
    case RunEndEffect::FailureAlreadyCounted:
        break;
    }
    task->lastRun = std::max(task->lastRun, listedRun.run);
    if (listedRun.how == Wire::RunEnd::Lapsed)
        ++m_state.counters.lapsedRuns;
    removeRunFromTask(now, host, listedRun.task, listedRun.run, RunFate::EndListed, listedRun.checkpoint);
    if (!listedRun.checkpoint.empty())
        m_state.markDirty(now, listedRun.task.jobId, false);
    if (effect == RunEndEffect::Failure)
        onTaskFailed(now, *job, *job->findStep(listedRun.task.occurrence, listedRun.task.step), *task, listedRun.run,
            host, actions);
}

void RunTracker::logCompletedStep(
    Instant now, const JobState& job, const StepState& step, const Host& host, Actions& actions)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    LogLine line("step_completed");
    line.add("job", job.definition().jobId).add("occurrence", step.occurrence).add("step", step.step);
    line.add("filler", definition.filler).add("tasks", step.tasks.size()).add("runs", step.startedRuns);
    line.add("estimate_ms", definition.estimateMilliseconds).add("after_ms", toMilliseconds(now - step.openedAt));
    line.add("last_start_after_ms", toMilliseconds(step.lastStartedAt - step.openedAt)).add("last_host", host.hostId);
    line.add("due_in_ms", toMilliseconds(step.due - now));
    actions.push_back(WriteLog { line.text() });
}

void RunTracker::onTaskCompleted(
    Instant now, const Host& host, JobState& job, TaskState& task, const Wire::EndedTask& listedRun, Actions& actions)
{
    ++m_state.counters.completedTasks;
    StepState& step = *job.findStep(listedRun.task.occurrence, listedRun.task.step);
    job.completeTask(now, step, static_cast<std::size_t>(listedRun.task.index));
    if (step.completedTasks == static_cast<int>(step.tasks.size()))
        logCompletedStep(now, job, step, host, actions);
    removeRunFromTask(now, host, listedRun.task, listedRun.run, RunFate::EndListed, {});
    m_state.markDirty(now, listedRun.task.jobId, false);
    for (const RunPlace& duplicate : std::vector<RunPlace>(task.runs)) {
        Host* other = m_state.hosts.find(duplicate.hostId);
        std::map<RunKey, HostRun>::iterator it;
        if (other && (it = other->runs.find(runKey(listedRun.task, duplicate.run))) != other->runs.end())
            haltRun(*other, it->second, "copy_finished_first", actions);
    }
    if (job.isCompleted())
        finishJob(now, job, Wire::JobOutcome::Completed, "all_tasks_completed", actions);
    m_state.scheduleDue = true;
}

void RunTracker::abandonUnlistedRuns(Instant now, Host& host, Actions& actions)
{
    std::vector<RunKey> unlistedRuns;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        const bool orderVoid = run.fence < host.fence;
        if (run.listNumber != host.listNumber && (orderVoid || isExpectedInList(host, run)))
            unlistedRuns.push_back(entry.first);
    }
    for (const RunKey& key : unlistedRuns)
        abandonMissingRun(now, host, key, actions);
}

void RunTracker::abandonRemovedRuns(Instant now, Host& host, const Wire::HostReport& report, Actions& actions)
{
    std::vector<RunKey> removedRuns;
    for (const Wire::RunName& removed : report.removed) {
        const RunKey key = runKey(removed.task, removed.run);
        const std::map<RunKey, HostRun>::const_iterator it = host.runs.find(key);
        if (it != host.runs.end() && it->second.listed && it->second.phase == RunPhase::Running)
            removedRuns.push_back(key);
    }
    // A report of changes holds each run that no earlier list has shown.
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (!entry.second.listed && isExpectedInList(host, entry.second))
            removedRuns.push_back(entry.first);
    }
    for (const RunKey& key : removedRuns)
        abandonMissingRun(now, host, key, actions);
}

void RunTracker::abandonMissingRun(Instant now, Host& host, const RunKey& key, Actions& actions)
{
    const HostRun& run = host.runs.at(key);
    const RunFate fate = run.isStartUnconfirmed() ? RunFate::OrderVoid
        : run.ofEarlierIncarnation                ? RunFate::HostRestarted
                                                  : RunFate::Vanished;
    ++(fate == RunFate::OrderVoid ? m_state.counters.voidOrders : m_state.counters.vanishedRuns);
    LogLine line(fate == RunFate::OrderVoid ? "order_void" : "run_vanished");
    addTaskFields(line, run.task).add("run", run.run).add("host", host.hostId).add("ordered_under", run.fence);
    line.add("listed_under", host.fence).add("of_earlier_incarnation", run.ofEarlierIncarnation);
    actions.push_back(WriteLog { line.text() });
    noteForgottenEnd(host, run);
    abandonRun(now, host, key, fate);
}

void RunTracker::haltRun(Host& host, HostRun& run, const char* reason, Actions& actions)
{
    if (run.phase == RunPhase::Halting && std::string_view(reason) != "unresolved_order")
        return;
    HostRegistry::setPhase(host, run, RunPhase::Halting);
    ++m_state.counters.haltedRuns;
    Wire::HaltOrder order;
    order.task = run.task;
    order.run = run.run;
    host.orders.halts.push_back(std::move(order));
    LogLine line("halt");
    addTaskFields(line, run.task).add("run", run.run).add("host", host.hostId).add("why", reason);
    actions.push_back(WriteLog { line.text() });
}

void RunTracker::haltRunsOfJob(const std::string& jobId, Actions& actions)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        const RunKey first { jobId, 0, 0, 0, 0 };
        for (std::map<RunKey, HostRun>::iterator it = host.runs.lower_bound(first);
             it != host.runs.end() && it->second.task.jobId == jobId; ++it)
            haltRun(host, it->second, "job_finished", actions);
    }
}

void RunTracker::finishJob(
    Instant now, JobState& job, Wire::JobOutcome::type outcome, const std::string& reason, Actions& actions)
{
    job.setOutcome(outcome);
    m_state.openJobs.erase(job.definition().jobId);
    haltRunsOfJob(job.definition().jobId, actions);
    m_state.markDirty(now, job.definition().jobId, true);
    if (outcome == Wire::JobOutcome::Completed)
        ++m_state.counters.completedJobs;
    if (outcome == Wire::JobOutcome::Failed)
        ++m_state.counters.failedJobs;
    actions.push_back(WriteLog { LogLine("job_finished")
                                     .add("job", job.definition().jobId)
                                     .add("queue", job.definition().queue)
                                     .add("outcome", nameIn(outcomeNames, outcome))
                                     .add("why", reason)
                                     .add("after_ms", toMilliseconds(now - job.accepted()))
                                     .add("due_in_ms", toMilliseconds(job.due() - now))
                                     .text() });
}

void RunTracker::abandonRun(Instant now, Host& host, const RunKey& key, RunFate fate)
{
    const std::optional<HostRun> run = HostRegistry::removeRun(host, key);
    if (!run)
        return;
    removeRunFromTask(now, host, run->task, run->run, fate, run->checkpoint);
    JobState* job = m_state.findJob(run->task.jobId);
    if (TaskState* task = job ? job->findTask(run->task) : nullptr)
        task->lastEndUnknown = fate == RunFate::LeaseOver;
}

void RunTracker::logLostRuns(Instant now, const Host& host, std::size_t runs, RunFate fate, Actions& actions) const
{
    if (runs == 0)
        return;
    actions.push_back(WriteLog { LogLine("runs_lost")
                                     .add("host", host.hostId)
                                     .add("incarnation", host.incarnation)
                                     .add("runs", runs)
                                     .add("why", nameIn(runFateNames, fate))
                                     .add("silent_ms", toMilliseconds(now - host.lastContactAt))
                                     .text() });
}

void RunTracker::abandonRunsAfterLeaseExpiry(Instant now, Host& host, Actions& actions)
{
    logLostRuns(now, host, host.runs.size(), RunFate::LeaseOver, actions);
    m_state.counters.lostRuns += static_cast<std::int64_t>(host.runs.size());
    while (!host.runs.empty())
        abandonRun(now, host, RunKey(host.runs.begin()->first), RunFate::LeaseOver);
    // An earlier order must not be carried out alongside the run that replaces it.
    m_state.raiseFence(host);
}

void RunTracker::abandonConfirmedRuns(Instant now, Host& host, RunFate fate, Actions& actions)
{
    std::vector<RunKey> confirmedRuns;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (!entry.second.isStartUnconfirmed() && !entry.second.ofEarlierIncarnation)
            confirmedRuns.push_back(entry.first);
    }
    logLostRuns(now, host, confirmedRuns.size(), fate, actions);
    m_state.counters.lostRuns += static_cast<std::int64_t>(confirmedRuns.size());
    for (const RunKey& key : confirmedRuns)
        abandonRun(now, host, key, fate);
}

void RunTracker::haltRunsForDrain(Instant now, Host& host, Actions& actions)
{
    // The end of a run counts once it has been listed. A list whose answer the shutdown cuts off is lost.
    const Instant lastEndAt = host.shutdownAt - m_state.rules.longestHalt - timeToListAnEnd;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (run.phase != RunPhase::Running)
            continue;
        const Instant expectedEndAt = run.placedAt + milliseconds(run.estimateMilliseconds);
        if (run.longRunning || std::max(now, expectedEndAt) > lastEndAt)
            haltRun(host, run, "host_draining", actions);
    }
}

void RunTracker::onLinkDown(Instant now, LinkId link)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (host.link != link)
            continue;
        host.link = noLink;
        host.lastContactAt = now;
        host.orders.starts.clear();
        host.orders.halts.clear();
        host.orders.paces.clear();
    }
}

void RunTracker::tick(Instant now, Actions& actions)
{
    std::map<std::string, Host>& hosts = m_state.hosts.hosts();
    std::erase_if(m_state.departedHosts, [this, now, &hosts](const std::pair<const std::string, Instant>& entry) {
        if (now - entry.second <= hostRetention)
            return false;
        if (!hosts.contains(entry.first))
            m_state.storeWriter.enqueue(now, StoreRecord { StoreKey::host(entry.first), {} }, Urgency::Lazy);
        return true;
    });
    for (std::map<std::string, Host>::iterator it = hosts.begin(); it != hosts.end();) {
        Host& host = it->second;
        if (!host.runs.empty() && now >= host.leaseExpiresAt)
            abandonRunsAfterLeaseExpiry(now, host, actions);
        if (host.draining && host.link != noLink)
            haltRunsForDrain(now, host, actions);
        const bool disconnectedTooLong
            = host.link == noLink && now >= host.leaseExpiresAt && now - host.lastContactAt > hostRetention;
        ++it;
        if (host.runs.empty() && (host.departed || disconnectedTooLong))
            removeHost(now, host);
    }
}

} // namespace Plantainpier
