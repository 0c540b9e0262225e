#include "Decision/Job/RunTracker.h"

#include "Base/NameTable.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <array>

namespace Plantainpier {

namespace {

    /// Distinct jobs that fail in a row on a host before it gets no new work: one hopeless job must not brand it.
    constexpr std::size_t failedJobsToQuarantine = 3;
    constexpr Duration quarantine = seconds(2);
    /// A lasting task that goes on for this long ends the trial of its host: it never completes.
    constexpr Duration trialOfALastingTask = seconds(1);
    /// A host that was away for this long and holds nothing is forgotten; longer than any bound of the platform.
    constexpr Duration forgetHostAfter = seconds(30);
    /// Weight of the newest run in the smoothed slowness of a host.
    constexpr double slownessWeight = 0.15;
    constexpr double slownessFloor = 0.7;
    constexpr double slownessCeiling = 8;

    constexpr std::array runEndNames {
        NamedValue { Wire::RunEnd::Completed, "completed" },
        NamedValue { Wire::RunEnd::Failed, "failed" },
        NamedValue { Wire::RunEnd::Stopped, "stopped" },
        NamedValue { Wire::RunEnd::Lapsed, "lapsed" },
        NamedValue { Wire::RunEnd::GangBroken, "gang_broken" },
        NamedValue { Wire::RunEnd::GangAlone, "gang_alone" },
    };

    using Meaning = RunTracker::EndMeaning;
    constexpr std::array endMeaningNames {
        NamedValue { Meaning::Completion, "completion" },
        NamedValue { Meaning::Failure, "failure" },
        NamedValue { Meaning::FailureKnown, "failure_known" },
        NamedValue { Meaning::Interruption, "interruption" },
        NamedValue { Meaning::TaskCompleted, "nothing_task_completed" },
        NamedValue { Meaning::JobFinished, "nothing_job_finished" },
        NamedValue { Meaning::UnknownTask, "nothing_unknown_task" },
        NamedValue { Meaning::OtherRunUnderWay, "nothing_other_run_under_way" },
    };

    LogLine& addTask(LogLine& line, const Wire::TaskName& task)
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

Host& RunTracker::add(Instant now, const Wire::HostReport& report, Actions& actions)
{
    Host* earlier = m_state.hosts.find(report.hostId);
    Host host;
    host.hostId = report.hostId;
    host.incarnation = report.incarnation;
    host.lapsesAt = now;
    host.hasEarlierLife = earlier || m_state.departedHosts.contains(report.hostId);
    host.orders.hostId = report.hostId;
    if (earlier) {
        loseLife(now, *earlier, "host_restarted", actions);
        host.runs = std::move(earlier->runs);
        host.committed = earlier->committed;
        host.newestLink = earlier->newestLink;
        host.lapsesAt = std::max(now, earlier->lapsesAt);
    }
    Wire::HostRecord record;
    record.incarnation = report.incarnation;
    record.term = m_state.term;
    host.recordTicket = m_state.journal.add(
        now, StoreRecord { StoreKey::host(report.hostId), Wire::encode(record) }, Urgency::Waited);
    actions.push_back(WriteLog { LogLine("host_seen")
                                     .add("host", report.hostId)
                                     .add("incarnation", report.incarnation)
                                     .add("rack", report.rack)
                                     .add("cores_milli", report.capacity.milliProcessors)
                                     .add("memory_mb", report.capacity.memoryMegabytes)
                                     .add("unresolved", host.runs.size())
                                     .text() });
    return m_state.hosts.hosts().insert_or_assign(report.hostId, std::move(host)).first->second;
}

Host& RunTracker::enter(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    Host* known = m_state.hosts.find(report.hostId);
    const bool sameLife = known && known->incarnation == report.incarnation && !known->departed;
    Host& host = sameLife ? *known : add(now, report, actions);
    if (host.link != link) {
        host.link = link;
        host.newestLink = link;
        // Asks for a list under a new fence before anything else.
        m_state.raiseFence(host);
        host.orders.leaseUntilMilliseconds = 0;
    }
    host.service = report.serviceName;
    host.zone = report.zone;
    host.rack = report.rack;
    host.labels = report.labels;
    host.capacity = report.capacity;
    host.remaining = milliseconds(report.remainingMilliseconds);
    host.heardAt = now;
    return host;
}

void RunTracker::onGone(Instant now, Host& host, Actions& actions)
{
    loseLife(now, host, "host_gone", actions);
    m_state.departedHosts[host.hostId] = now;
    m_state.scheduleDue = true;
    if (!host.runs.empty()) {
        host.departed = true;
        host.listed = true;
        host.link = noLink;
        return;
    }
    m_state.journal.add(now, StoreRecord { StoreKey::host(host.hostId), {} }, Urgency::Lazy);
    m_state.hosts.hosts().erase(std::string(host.hostId));
}

void RunTracker::onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    if (report.highestTerm > m_state.term)
        m_fenced = true;
    Host* known = m_state.hosts.find(report.hostId);
    if (known && (known->incarnation > report.incarnation || link < known->newestLink)) {
        ++m_state.counters.reportsOutOfDate;
        return;
    }
    if (report.state == Wire::HostState::Gone) {
        if (known && known->incarnation == report.incarnation && !known->departed)
            onGone(now, *known, actions);
        return;
    }
    Host& host = enter(now, link, report, actions);
    for (const Wire::OrderResult& result : report.results)
        onResult(now, host, result, actions);
    if (report.listed)
        takeList(now, host, report, actions);
    const bool draining = report.state == Wire::HostState::Draining;
    if (draining && !host.draining)
        actions.push_back(WriteLog { LogLine("host_draining")
                                         .add("host", host.hostId)
                                         .add("remaining_ms", report.remainingMilliseconds)
                                         .text() });
    host.draining = draining;
    if (draining)
        drain(now, host, actions);
    m_state.scheduleDue = true;
}

void RunTracker::takeList(Instant now, Host& host, const Wire::HostReport& report, Actions& actions)
{
    if (report.listFence / fencesOfASide != host.fence / fencesOfASide) {
        // What it shows may be over, and what it does not show may still be carried out.
        ++m_state.counters.reportsOutOfDate;
        return;
    }
    // An extension that was meant for an earlier life may have reached this one before its first list.
    if (host.hasEarlierLife)
        host.lapsesAt = std::max(host.lapsesAt, now + m_state.stretched(m_state.rules.longestLease));
    host.hasEarlierLife = false;
    host.clockMilliseconds = report.clockMilliseconds;
    host.clockReadAt = now;
    addOccurrences(now, report);
    for (const Wire::RunningTask& row : report.running)
        onRunning(now, host, row, actions);
    for (const Wire::EndedTask& row : report.ended)
        onEnded(now, host, row, actions);
    if (report.endsOmitted)
        return;
    settleUnlisted(now, host, report, actions);
    if (!host.listed)
        actions.push_back(WriteLog { LogLine("host_listed")
                                         .add("host", host.hostId)
                                         .add("fence", host.fence)
                                         .add("running", report.running.size())
                                         .add("ended", report.ended.size())
                                         .text() });
    host.listed = true;
}

void RunTracker::addOccurrences(Instant now, const Wire::HostReport& report)
{
    const auto add = [this, now](const Wire::TaskName& task) {
        JobState* job = m_state.findJob(task.jobId);
        if (job && job->isOpen())
            job->addOccurrencesUpTo(now, task.occurrence);
    };
    for (const Wire::RunningTask& row : report.running)
        add(row.task);
    for (const Wire::EndedTask& row : report.ended)
        add(row.task);
}

void RunTracker::onResult(Instant now, Host& host, const Wire::OrderResult& result, Actions& actions)
{
    const RunKey key = runKey(result.task, result.run);
    std::map<RunKey, HostRun>::iterator it = host.runs.find(key);
    if (it == host.runs.end())
        return;
    // An order under an earlier fence of this owner is refused as it should be.
    if (result.reason == "fence" && it->second.fence == host.fence)
        m_fenced = true;
    if (result.outcome == Wire::OrderOutcome::Started) {
        if (it->second.phase == RunPhase::Ordered) {
            it->second.phase = RunPhase::Running;
            it->second.confirmedAt = now;
        }
        return;
    }
    LogLine line("start_refused");
    addTask(line, result.task).add("run", result.run).add("host", host.hostId).add("reason", result.reason);
    actions.push_back(WriteLog { line.text() });
    const std::string checkpoint = it->second.checkpoint;
    HostRegistry::removeRun(host, key);
    release(now, result.task, result.run, checkpoint);
    TaskState* task = nullptr;
    if (JobState* job = m_state.findJob(result.task.jobId))
        task = job->findTask(result.task);
    if (task && result.reason == "old")
        task->lastRun += runNumbersOfATerm;
    if (task && result.outcome == Wire::OrderOutcome::Refused)
        task->notBefore = now + m_state.rules.failurePause;
}

void RunTracker::onRunning(Instant now, Host& host, const Wire::RunningTask& row, Actions& actions)
{
    std::map<RunKey, HostRun>::iterator it = host.runs.find(runKey(row.task, row.run));
    if (it == host.runs.end()) {
        adopt(now, host, row, actions);
        return;
    }
    HostRun& run = it->second;
    if (run.phase == RunPhase::Ordered)
        run.phase = RunPhase::Running;
    if (run.isUnresolved())
        run.confirmedAt = now;
    // The order to stop it may have been lost with an earlier connection.
    if (run.phase == RunPhase::Halting && run.fence < host.fence)
        halt(host, run, "unresolved_order", actions);
    run.fence = host.fence;
    run.listed = true;
    run.usage = row.usage;
    run.progressPercent = row.progressPercent;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
    const bool isTrial = host.health.onTrial && run.since >= host.health.quarantinedUntil;
    if (isTrial && run.longRunning && now - run.confirmedAt >= trialOfALastingTask) {
        host.health.onTrial = false;
        host.health.failedJobs.clear();
    }
}

void RunTracker::describe(HostRun& run, const JobState& job, const StepState& step)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    run.demand = definition.demand;
    run.filler = definition.filler;
    run.longRunning = definition.longRunning;
    run.image = definition.image;
    run.targetMilliseconds = definition.targetMilliseconds;
    run.estimateMilliseconds = definition.estimateMilliseconds;
    run.priority = job.definition().priority;
}

void RunTracker::adopt(Instant now, Host& host, const Wire::RunningTask& row, Actions& actions)
{
    HostRun run;
    run.task = row.task;
    run.run = row.run;
    run.phase = RunPhase::Running;
    run.fence = host.fence;
    // Nobody that this owner knows of has granted what it runs on.
    if (now >= host.lapsesAt)
        host.lapsesAt = now + m_state.stretched(m_state.rules.longestLease);
    run.since = now;
    run.confirmedAt = now;
    run.listed = true;
    run.usage = row.usage;
    run.progressPercent = row.progressPercent;
    run.checkpoint = row.checkpoint;
    // The pace that an earlier owner ordered is not listed: the next order sets it.
    run.orderedPercent = -1;
    JobState* job = m_state.findJob(row.task.jobId);
    StepState* step = job ? job->findStep(row.task.occurrence, row.task.step) : nullptr;
    TaskState* task = job ? job->findTask(row.task) : nullptr;
    if (step)
        describe(run, *job, *step);
    HostRun& added = HostRegistry::addRun(host, std::move(run));
    LogLine line("run_adopted");
    addTask(line, row.task).add("run", row.run).add("host", host.hostId);
    const bool wanted = task && job->isOpen() && !task->completed
        && (task->runs.empty() || job->stepDefinition(*step).allowDuplicates);
    actions.push_back(WriteLog { line.add("wanted", wanted).text() });
    if (!wanted) {
        halt(host, added, "not_wanted", actions);
        return;
    }
    if (task->runs.empty())
        --step->waiting;
    task->runs.push_back(RunPlace { host.hostId, host.incarnation, row.run, now });
    task->lastRun = std::max(task->lastRun, row.run);
    job->setStarted();
}

void RunTracker::release(Instant now, const Wire::TaskName& name, int run, const std::string& checkpoint)
{
    JobState* job = m_state.findJob(name.jobId);
    StepState* step = job ? job->findStep(name.occurrence, name.step) : nullptr;
    TaskState* task = job ? job->findTask(name) : nullptr;
    if (!task)
        return;
    const std::size_t before = task->runs.size();
    task->runs.erase(
        std::remove_if(task->runs.begin(), task->runs.end(), [run](const RunPlace& place) { return place.run == run; }),
        task->runs.end());
    if (task->runs.size() == before || task->completed)
        return;
    if (!checkpoint.empty())
        task->checkpoint = checkpoint;
    job->await(now, *step, *task);
    m_state.scheduleDue = true;
}

void RunTracker::onFailure(
    Instant now, JobState& job, const StepState& step, TaskState& task, int run, const Host& host, Actions& actions)
{
    task.failedRuns.push_back(run);
    ++m_state.counters.failedTasks;
    task.notBefore = now + m_state.rules.failurePause;
    m_state.markDirty(now, job.definition().jobId, false);
    if (job.failedAttempts(step, task) >= job.definition().maximumAttempts)
        finish(now, job, Wire::JobOutcome::Failed, "attempts_used_up_last_on_" + host.hostId, actions);
}

void RunTracker::learn(Instant now, Host& host, const HostRun& run, Wire::RunEnd::type how, Actions& actions)
{
    if (how == Wire::RunEnd::Completed) {
        host.health.failedJobs.clear();
        host.health.onTrial = false;
        if (run.estimateMilliseconds > 0 && !run.filler) {
            const double taken = static_cast<double>(toMilliseconds(now - run.since));
            const double ratio
                = std::clamp(taken / static_cast<double>(run.estimateMilliseconds), slownessFloor, slownessCeiling);
            host.health.slowness += slownessWeight * (ratio - host.health.slowness);
        }
        return;
    }
    if (how != Wire::RunEnd::Failed)
        return;
    host.health.failedJobs.insert(run.task.jobId);
    if (host.health.failedJobs.size() < failedJobsToQuarantine && !host.health.onTrial)
        return;
    host.health.quarantinedUntil = now + quarantine;
    host.health.onTrial = true;
    host.health.failedJobs.clear();
    actions.push_back(WriteLog { LogLine("host_quarantined")
                                     .add("host", host.hostId)
                                     .add("for_ms", toMilliseconds(quarantine))
                                     .add("why", "tasks of several jobs failed in a row")
                                     .text() });
}

RunTracker::EndMeaning RunTracker::meaningOf(const Wire::EndedTask& row, bool known)
{
    JobState* job = m_state.findJob(row.task.jobId);
    const StepState* step = job ? job->findStep(row.task.occurrence, row.task.step) : nullptr;
    const TaskState* task = job ? job->findTask(row.task) : nullptr;
    if (!task)
        return EndMeaning::UnknownTask;
    if (!job->isOpen())
        return EndMeaning::JobFinished;
    if (task->completed)
        return EndMeaning::TaskCompleted;
    const Wire::StepDefinition& definition = job->stepDefinition(*step);
    // A failure is a fact about its run and counts whatever the task does by now: a later owner may hear of a running
    // task first and of the failures before it afterwards.
    if (row.how == Wire::RunEnd::Failed && !definition.longRunning)
        return task->hasFailed(row.run) ? EndMeaning::FailureKnown : EndMeaning::Failure;
    // A run that was given up because its lease was over no longer counts: the task may run elsewhere by now. Where
    // copies are allowed the first one that completes counts, whoever started it.
    if (!known && !task->runs.empty() && !definition.allowDuplicates)
        return EndMeaning::OtherRunUnderWay;
    return row.how == Wire::RunEnd::Completed && !definition.longRunning ? EndMeaning::Completion
                                                                         : EndMeaning::Interruption;
}

void RunTracker::onEnded(Instant now, Host& host, const Wire::EndedTask& row, Actions& actions)
{
    if (row.number <= host.seenNumber)
        return;
    host.seenNumber = row.number;
    // Acknowledged only once what it means is stored.
    host.unstoredEnds.emplace_back(row.number, 0);
    const std::optional<HostRun> run = HostRegistry::removeRun(host, runKey(row.task, row.run));
    const EndMeaning meaning = meaningOf(row, run.has_value());
    JobState* job = m_state.findJob(row.task.jobId);
    TaskState* task = job ? job->findTask(row.task) : nullptr;
    LogLine line("run_ended");
    addTask(line, row.task).add("run", row.run).add("host", host.hostId).add("how", nameIn(runEndNames, row.how));
    line.add("number", row.number).add("taken_as", nameIn(endMeaningNames, meaning));
    if (task)
        line.add("failures_before", task->failedRuns.size());
    if (run)
        line.add("after_ms", toMilliseconds(now - run->since));
    actions.push_back(WriteLog { line.text() });
    if (run)
        learn(now, host, *run, row.how, actions);
    switch (meaning) {
    case EndMeaning::UnknownTask:
    case EndMeaning::OtherRunUnderWay:
        ++m_state.counters.endsWithoutEffect;
        return;
    case EndMeaning::JobFinished:
    case EndMeaning::TaskCompleted:
        release(now, row.task, row.run, {});
        return;
    case EndMeaning::Completion:
        task->lastRun = std::max(task->lastRun, row.run);
        onCompletion(now, *job, *task, row, actions);
        return;
    case EndMeaning::Interruption:
    case EndMeaning::Failure:
    case EndMeaning::FailureKnown:
        break;
    }
    task->lastRun = std::max(task->lastRun, row.run);
    if (row.how == Wire::RunEnd::Lapsed)
        ++m_state.counters.lapsedRuns;
    release(now, row.task, row.run, row.checkpoint);
    if (!row.checkpoint.empty())
        m_state.markDirty(now, row.task.jobId, false);
    if (meaning == EndMeaning::Failure)
        onFailure(now, *job, *job->findStep(row.task.occurrence, row.task.step), *task, row.run, host, actions);
}

void RunTracker::onCompletion(Instant now, JobState& job, TaskState& task, const Wire::EndedTask& row, Actions& actions)
{
    ++m_state.counters.completedTasks;
    job.complete(now, *job.findStep(row.task.occurrence, row.task.step), static_cast<std::size_t>(row.task.index));
    release(now, row.task, row.run, {});
    m_state.markDirty(now, row.task.jobId, false);
    for (const RunPlace& copy : std::vector<RunPlace>(task.runs)) {
        Host* other = m_state.hosts.find(copy.hostId);
        std::map<RunKey, HostRun>::iterator it;
        if (other && (it = other->runs.find(runKey(row.task, copy.run))) != other->runs.end())
            halt(*other, it->second, "copy_finished_first", actions);
    }
    if (job.isCompleted())
        finish(now, job, Wire::JobOutcome::Completed, "all_tasks_completed", actions);
    m_state.scheduleDue = true;
}

void RunTracker::settleUnlisted(Instant now, Host& host, const Wire::HostReport& report, Actions& actions)
{
    std::set<RunKey> shown;
    for (const Wire::RunningTask& row : report.running)
        shown.insert(runKey(row.task, row.run));
    std::vector<RunKey> over;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        const bool isVoid = run.fence < host.fence;
        const bool vanished = run.listed && run.phase == RunPhase::Running;
        if (shown.contains(entry.first) || (!isVoid && !vanished))
            continue;
        over.push_back(entry.first);
        ++(run.isUnresolved() ? m_state.counters.voidOrders : m_state.counters.vanishedRuns);
        LogLine line(run.isUnresolved() ? "order_void" : "run_vanished");
        addTask(line, run.task).add("run", run.run).add("host", host.hostId).add("ordered_under", run.fence);
        actions.push_back(WriteLog { line.add("listed_under", host.fence).text() });
    }
    for (const RunKey& key : over)
        giveUp(now, host, key, false);
}

void RunTracker::halt(Host& host, HostRun& run, const char* why, Actions& actions)
{
    if (run.phase == RunPhase::Halting && std::string_view(why) != "unresolved_order")
        return;
    run.phase = RunPhase::Halting;
    ++m_state.counters.haltedRuns;
    Wire::HaltOrder order;
    order.task = run.task;
    order.run = run.run;
    host.orders.halts.push_back(std::move(order));
    LogLine line("halt");
    addTask(line, run.task).add("run", run.run).add("host", host.hostId).add("why", why);
    actions.push_back(WriteLog { line.text() });
}

void RunTracker::haltJob(const std::string& jobId, Actions& actions)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        const RunKey first { jobId, 0, 0, 0, 0 };
        for (std::map<RunKey, HostRun>::iterator it = host.runs.lower_bound(first);
             it != host.runs.end() && it->second.task.jobId == jobId; ++it)
            halt(host, it->second, "job_finished", actions);
    }
}

void RunTracker::finish(
    Instant now, JobState& job, Wire::JobOutcome::type outcome, const std::string& why, Actions& actions)
{
    job.setOutcome(outcome);
    m_state.openJobs.erase(job.definition().jobId);
    haltJob(job.definition().jobId, actions);
    m_state.markDirty(now, job.definition().jobId, true);
    if (outcome == Wire::JobOutcome::Completed)
        ++m_state.counters.completedJobs;
    if (outcome == Wire::JobOutcome::Failed)
        ++m_state.counters.failedJobs;
    actions.push_back(WriteLog { LogLine("job_finished")
                                     .add("job", job.definition().jobId)
                                     .add("queue", job.definition().queue)
                                     .add("outcome", nameIn(outcomeNames, outcome))
                                     .add("why", why)
                                     .add("after_ms", toMilliseconds(now - job.accepted()))
                                     .add("due_in_ms", toMilliseconds(job.due() - now))
                                     .text() });
}

void RunTracker::giveUp(Instant now, Host& host, const RunKey& key, bool leaseOver)
{
    const std::optional<HostRun> run = HostRegistry::removeRun(host, key);
    if (!run)
        return;
    release(now, run->task, run->run, run->checkpoint);
    JobState* job = m_state.findJob(run->task.jobId);
    if (TaskState* task = job ? job->findTask(run->task) : nullptr)
        task->endUnheard = leaseOver;
}

void RunTracker::logLoss(Instant now, const Host& host, std::size_t runs, const char* why, Actions& actions) const
{
    if (runs == 0)
        return;
    actions.push_back(WriteLog { LogLine("runs_lost")
                                     .add("host", host.hostId)
                                     .add("incarnation", host.incarnation)
                                     .add("runs", runs)
                                     .add("why", why)
                                     .add("silent_ms", toMilliseconds(now - host.heardAt))
                                     .text() });
}

void RunTracker::loseLeasedRuns(Instant now, Host& host, Actions& actions)
{
    logLoss(now, host, host.runs.size(), "lease_over", actions);
    m_state.counters.lostRuns += static_cast<std::int64_t>(host.runs.size());
    while (!host.runs.empty())
        giveUp(now, host, RunKey(host.runs.begin()->first), true);
    // An order that was sent before must not be carried out beside what replaces it.
    m_state.raiseFence(host);
}

void RunTracker::loseLife(Instant now, Host& host, const char* why, Actions& actions)
{
    std::vector<RunKey> ended;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        if (!entry.second.isUnresolved())
            ended.push_back(entry.first);
    }
    logLoss(now, host, ended.size(), why, actions);
    m_state.counters.lostRuns += static_cast<std::int64_t>(ended.size());
    for (const RunKey& key : ended)
        giveUp(now, host, key, false);
}

void RunTracker::drain(Instant now, Host& host, Actions& actions)
{
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (run.phase != RunPhase::Running)
            continue;
        const Duration left = run.since + milliseconds(run.estimateMilliseconds) - now;
        if (run.longRunning || left > host.remaining)
            halt(host, run, "host_draining", actions);
    }
}

void RunTracker::onLinkDown(Instant now, LinkId link)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (host.link != link)
            continue;
        host.link = noLink;
        host.heardAt = now;
        host.orders.starts.clear();
        host.orders.halts.clear();
        host.orders.paces.clear();
    }
}

void RunTracker::tick(Instant now, Actions& actions)
{
    std::erase_if(m_state.departedHosts,
        [now](const std::pair<const std::string, Instant>& entry) { return now - entry.second > forgetHostAfter; });
    std::map<std::string, Host>& hosts = m_state.hosts.hosts();
    for (std::map<std::string, Host>::iterator it = hosts.begin(); it != hosts.end();) {
        Host& host = it->second;
        if (!host.runs.empty() && now >= host.lapsesAt)
            loseLeasedRuns(now, host, actions);
        const bool away = host.link == noLink && now >= host.lapsesAt && now - host.heardAt > forgetHostAfter;
        if (host.runs.empty() && (host.departed || away)) {
            m_state.journal.add(now, StoreRecord { StoreKey::host(host.hostId), {} }, Urgency::Lazy);
            it = hosts.erase(it);
            continue;
        }
        ++it;
    }
}

} // namespace Plantainpier
