#include "Decision/Job/TaskScheduler.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Runs that one pass may stop to make room for more urgent work.
    constexpr int maximumHaltsForRoom = 4;
    /// A filler is stuck at this pace or less, in percent; it moves to a host that bears it almost whole.
    constexpr int stuckPercent = 25;
    constexpr int quietEnough = 90;
    /// Share of a run that may be lost where progress is not saved.
    constexpr int littleProgress = 10;
    /// A stop and a new start cost up to a second: what has just begun is given time.
    constexpr Duration leastStay = milliseconds(1200);
    constexpr Duration moveInterval = milliseconds(300);
    constexpr int maximumMoves = 3;

    Wire::TaskName taskName(const JobState& job, const StepState& step, std::size_t index)
    {
        Wire::TaskName name;
        name.jobId = job.definition().jobId;
        name.occurrence = step.occurrence;
        name.step = step.step;
        name.index = static_cast<std::int32_t>(index);
        return name;
    }

} // namespace

std::vector<TaskScheduler::Candidate> TaskScheduler::collect(Instant now)
{
    std::vector<Candidate> candidates;
    for (const std::pair<const std::string, JobState*>& entry : m_state.openJobs) {
        JobState& job = *entry.second;
        job.addDueOccurrences(now, m_state.unixMilliseconds);
        for (std::size_t n = 0; n < job.steps().size(); ++n) {
            const StepState& step = job.steps()[n];
            if (step.open && step.waiting > 0)
                candidates.push_back(Candidate { workPriority(job, step, now), &job, n });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& one, const Candidate& other) { return one.key < other.key; });
    return candidates;
}

void TaskScheduler::pass(Instant now, Actions& actions)
{
    const bool accounted = m_state.hostsAccounted(now);
    moveStuckFillers(now, actions);
    int roomMade = 0;
    for (const Candidate& candidate : collect(now)) {
        JobState& job = *candidate.job;
        if (!job.isOpen())
            continue;
        StepState& step = job.steps()[candidate.step];
        if (job.stepDefinition(step).gang)
            placeGang(now, job, step, actions);
        else
            placeStep(now, job, step, accounted, actions);
        if (step.waiting > 0 && roomMade < maximumHaltsForRoom && makeRoom(job, step, actions))
            ++roomMade;
    }
}

void TaskScheduler::moveStuckFillers(Instant now, Actions& actions)
{
    if (now - m_lastMoves < moveInterval)
        return;
    m_lastMoves = now;
    int moved = 0;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (moved >= maximumMoves)
                return;
            if (moveIfStuck(now, host, run.second, actions)) {
                ++moved;
                break;
            }
        }
    }
}

bool TaskScheduler::moveIfStuck(Instant now, Host& host, HostRun& run, Actions& actions)
{
    const bool stuck = run.filler && run.phase == RunPhase::Running && run.orderedPercent >= 0
        && run.orderedPercent <= stuckPercent && now - run.since >= leastStay;
    if (!stuck)
        return false;
    JobState* job = m_state.findJob(run.task.jobId);
    StepState* step = job && job->isOpen() ? job->findStep(run.task.occurrence, run.task.step) : nullptr;
    const TaskState* task = step ? job->findTask(run.task) : nullptr;
    if (!task)
        return false;
    const bool losesLittle = job->stepDefinition(*step).savesProgress || run.progressPercent <= littleProgress;
    if (!losesLittle || job->stepDefinition(*step).gang)
        return false;
    PlacementRequest wanted = request(*job, *step, *task);
    wanted.leastPace = quietEnough;
    if (!m_placement.choose(m_state.hosts, wanted, now))
        return false;
    m_ledger.halt(host, run, "moves_to_a_quieter_host", actions);
    return true;
}

int TaskScheduler::nextRun(const JobState& job, const TaskState& task) const
{
    const std::int64_t terms = m_state.term - job.definition().acceptedTerm;
    const int first = 1 + static_cast<int>(terms) * runNumbersOfATerm;
    return std::max(task.lastRun + 1, first);
}

bool TaskScheduler::mayBeTakenOver(Instant now, const TaskState& task) const
{
    return task.endUnheard && !m_state.isCertain(now);
}

PlacementRequest TaskScheduler::request(const JobState& job, const StepState& step, const TaskState& task) const
{
    return PlacementRequest { job.definition(), job.stepDefinition(step), step.occurrence, step.step, task.runs, {} };
}

void TaskScheduler::placeStep(Instant now, JobState& job, StepState& step, bool accounted, Actions& actions)
{
    const bool inherited = job.definition().acceptedTerm != m_state.term;
    const bool copyAllowed = job.stepDefinition(step).allowDuplicates;
    HostEligibilityCounts hosts;
    // Of the tasks that are passed over, the one that has waited longest.
    const TaskState* heldUp = nullptr;
    WaitReason cause = WaitReason::NoHost;
    const auto passOver = [&heldUp, &cause](const TaskState& task, WaitReason why) {
        if (heldUp && heldUp->waitingSince <= task.waitingSince)
            return;
        heldUp = &task;
        cause = why;
    };
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
        TaskState& task = step.tasks[n];
        if (!task.isWaiting())
            continue;
        if (now < task.notBefore) {
            passOver(task, WaitReason::Paused);
            continue;
        }
        // An earlier owner may have started it on a host that has not been heard yet.
        if (inherited && !accounted && !copyAllowed) {
            passOver(task, WaitReason::HostsUnheard);
            break;
        }
        if (!copyAllowed && mayBeTakenOver(now, task)) {
            passOver(task, WaitReason::EndUnheard);
            continue;
        }
        Host* host = m_placement.choose(m_state.hosts, request(job, step, task), now, &hosts);
        if (!host || m_state.journal.stored() < host->recordTicket) {
            passOver(task, host ? WaitReason::HostNotStored : WaitReason::NoHost);
            break;
        }
        start(now, job, step, n, nextRun(job, task), *host, actions);
    }
    if (heldUp)
        m_waitingLog.note(now, WaitingTask { job, step, *heldUp, cause, hosts }, actions);
}

void TaskScheduler::placeGang(Instant now, JobState& job, StepState& step, Actions& actions)
{
    HostEligibilityCounts hosts;
    const std::optional<WaitReason> cause = startGang(now, job, step, hosts, actions);
    if (!cause)
        return;
    const TaskState* heldUp = nullptr;
    for (const TaskState& task : step.tasks) {
        if (task.isWaiting() && (!heldUp || task.waitingSince < heldUp->waitingSince))
            heldUp = &task;
    }
    if (heldUp)
        m_waitingLog.note(now, WaitingTask { job, step, *heldUp, *cause, hosts }, actions);
}

std::optional<WaitReason> TaskScheduler::startGang(
    Instant now, JobState& job, StepState& step, HostEligibilityCounts& hosts, Actions& actions)
{
    const bool inherited = job.definition().acceptedTerm != m_state.term;
    if (inherited && !m_state.hostsAccounted(now))
        return WaitReason::HostsUnheard;
    int run = 0;
    for (const TaskState& task : step.tasks) {
        if (!task.isWaiting())
            return WaitReason::GangNotWhole;
        if (now < task.notBefore)
            return WaitReason::Paused;
        if (mayBeTakenOver(now, task))
            return WaitReason::EndUnheard;
        run = std::max(run, nextRun(job, task));
    }
    WaitReason cause = WaitReason::NoHost;
    // All members or none: the choice is tried on the books and taken back when one finds no host.
    std::vector<std::string> racks { std::string() };
    if (job.stepDefinition(step).sameRack) {
        std::set<std::string> known;
        for (const std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
            known.insert(entry.second.rack);
        racks.insert(racks.begin(), known.begin(), known.end());
    }
    for (const std::string& rack : racks) {
        std::vector<Host*> chosen;
        for (std::size_t n = 0; n < step.tasks.size(); ++n) {
            PlacementRequest wanted = request(job, step, step.tasks[n]);
            wanted.rack = rack;
            Host* host = m_placement.choose(m_state.hosts, wanted, now, &hosts);
            cause = host ? WaitReason::HostNotStored : WaitReason::NoHost;
            if (!host || m_state.journal.stored() < host->recordTicket)
                break;
            HostRun trial;
            trial.task = taskName(job, step, n);
            trial.run = run;
            trial.demand = job.stepDefinition(step).demand;
            trial.filler = job.stepDefinition(step).filler;
            HostRegistry::addRun(*host, trial);
            chosen.push_back(host);
        }
        for (std::size_t n = 0; n < chosen.size(); ++n) {
            HostRegistry::removeRun(*chosen[n], runKey(taskName(job, step, n), run));
        }
        if (chosen.size() < step.tasks.size())
            continue;
        std::string checkpoint;
        for (const TaskState& task : step.tasks)
            checkpoint = std::max(checkpoint, task.checkpoint);
        for (std::size_t n = 0; n < step.tasks.size(); ++n) {
            step.tasks[n].checkpoint = checkpoint;
            start(now, job, step, n, run, *chosen[n], actions);
        }
        return std::nullopt;
    }
    return cause;
}

bool TaskScheduler::makeRoom(JobState& job, StepState& step, Actions& actions)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    const int priority = job.definition().priority;
    Host* bestHost = nullptr;
    std::vector<HostRun*> bestRuns;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (!host.listed || host.draining || host.link == noLink || host.service != job.definition().serviceName)
            continue;
        std::int64_t processors = host.freeMilliCores();
        std::int64_t memory = host.freeMegabytes();
        std::vector<HostRun*> victims;
        bool halting = false;
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            halting = halting || run.second.phase == RunPhase::Halting;
            if (run.second.phase == RunPhase::Running && run.second.priority > priority && !run.second.longRunning)
                victims.push_back(&run.second);
        }
        // What is being stopped makes room soon.
        if (halting)
            return false;
        std::sort(victims.begin(), victims.end(),
            [](const HostRun* one, const HostRun* other) { return one->since > other->since; });
        const auto isEnough = [&memory, &processors, &definition] {
            return memory >= definition.demand.memoryMegabytes
                && (definition.filler || processors >= definition.demand.milliProcessors);
        };
        std::vector<HostRun*> chosen;
        for (HostRun* victim : victims) {
            if (isEnough())
                break;
            memory += victim->demand.memoryMegabytes;
            processors += victim->filler ? 0 : victim->demand.milliProcessors;
            chosen.push_back(victim);
        }
        if (isEnough() && !chosen.empty() && (!bestHost || chosen.size() < bestRuns.size())) {
            bestHost = &host;
            bestRuns = chosen;
        }
    }
    if (!bestHost)
        return false;
    for (HostRun* run : bestRuns)
        m_ledger.halt(*bestHost, *run, "room_for_more_urgent_work", actions);
    return true;
}

void TaskScheduler::start(
    Instant now, JobState& job, StepState& step, std::size_t index, int run, Host& host, Actions& actions)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    TaskState& task = step.tasks[index];
    if (task.runs.empty())
        --step.waiting;
    task.lastRun = run;
    task.endUnheard = false;
    task.runs.push_back(RunPlace { host.hostId, host.incarnation, run, now });
    HostRun hostRun;
    hostRun.task = taskName(job, step, index);
    hostRun.run = run;
    RunTracker::describe(hostRun, job, step);
    hostRun.fence = host.fence;
    hostRun.since = now;
    hostRun.checkpoint = task.checkpoint;
    Wire::StartOrder order;
    order.task = hostRun.task;
    order.run = run;
    order.payload = job.definition().payload;
    order.checkpoint = task.checkpoint;
    if (definition.filler) {
        hostRun.orderedPercent = m_paces.bearablePace(host, definition.image, definition.demand.milliProcessors);
        m_paces.addOrdered(host, hostRun);
    }
    order.percent = hostRun.orderedPercent;
    HostRegistry::addRun(host, std::move(hostRun));
    job.setStarted();
    ++m_state.counters.started;
    actions.push_back(WriteLog { LogLine("place")
                                     .add("job", job.definition().jobId)
                                     .add("occurrence", step.occurrence)
                                     .add("step", step.step)
                                     .add("task", index)
                                     .add("run", run)
                                     .add("host", host.hostId)
                                     .add("waited_ms", toMilliseconds(now - task.waitingSince))
                                     .add("host_age_ms", toMilliseconds(now - host.clockReadAt))
                                     .add("failures_before", task.failedRuns.size())
                                     .add("hosts_unheard", m_state.hostsUnheard(now))
                                     .add("fence", host.fence)
                                     .add("free_milli", host.freeMilliCores())
                                     .add("free_mb", host.freeMegabytes())
                                     .text() });
    host.orders.starts.push_back(std::move(order));
}

} // namespace Plantainpier
