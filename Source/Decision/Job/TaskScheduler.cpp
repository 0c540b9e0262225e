#include "Decision/Job/TaskScheduler.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Steps for which one pass may stop less urgent runs.
    constexpr int maximumStepsWithPreemption = 4;
    /// A run with this estimate is halted before it completes, unless the owner loses contact: the host's answer to a
    /// start is awaited for 0.7 s, and a halt order follows within some 20 ms.
    constexpr std::int64_t minimumTrialEstimateMilliseconds = 1000;
    /// After this wait a task of any estimate is used for a trial.
    constexpr Duration maximumWaitForTrial = seconds(2);

    Wire::TaskName taskName(const JobState& job, const StepState& step, std::size_t index)
    {
        Wire::TaskName name;
        name.jobId = job.definition().jobId;
        name.occurrence = step.occurrence;
        name.step = step.step;
        name.index = static_cast<std::int32_t>(index);
        return name;
    }

    WaitReason reasonWithoutHost(const HostEligibilityCounts& hostCounts)
    {
        return hostCounts.count(HostEligibility::NotPersisted) > 0 ? WaitReason::HostNotPersisted : WaitReason::NoHost;
    }

    /// Whether the hosts of a gang that asks for one rack are in several.
    bool isSpread(const Wire::StepDefinition& step, const std::vector<Host*>& hosts)
    {
        return step.sameRack && std::any_of(hosts.begin(), hosts.end(), [&hosts](const Host* host) {
            return host->rack != hosts.front()->rack;
        });
    }

    /// Whether a member of a gang would be away from the data of the step.
    bool isAwayFromData(const Wire::StepDefinition& step, const std::vector<Host*>& hosts)
    {
        return std::any_of(hosts.begin(), hosts.end(),
            [&step](const Host* host) { return LocalityWait::isAwayFromData(step, *host); });
    }

} // namespace

std::vector<TaskScheduler::Candidate> TaskScheduler::collectCandidates(Instant now)
{
    std::vector<Candidate> candidates;
    for (const std::pair<const std::string, JobState*>& entry : m_state.openJobs) {
        JobState& job = *entry.second;
        job.addDueOccurrences(now, m_state.unixMilliseconds);
        for (std::size_t n = 0; n < job.steps().size(); ++n) {
            const StepState& step = job.steps()[n];
            if (!step.open || step.waitingTasks == 0)
                continue;
            candidates.push_back(Candidate { workPriority(job, step, now), &job, n });
            if (!job.stepDefinition(step).longRunning)
                m_feasibleOrder.adjust(job, candidates.back().sortKey);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& one, const Candidate& other) { return one.sortKey < other.sortKey; });
    return candidates;
}

void TaskScheduler::schedule(Instant now, Actions& actions)
{
    m_failedPlacements.clear();
    m_failedPreemptions.clear();
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
        entry.second.isRecordPersisted
            = m_state.storeWriter.storedSequenceNumber() >= entry.second.recordSequenceNumber;
    m_openHosts = OpenHosts(m_state.hosts);
    m_fullRacks.clear();
    m_state.locality.beginPass(now, m_state.hosts, [this](const Host& host, bool filler) {
        return filler ? m_placement.idleMilliCores(host) : host.freeMilliCores();
    });
    m_unlistedHosts = m_state.countUnlistedHosts(now);
    const bool earlierRunsKnown = m_unlistedHosts == 0;
    // Until the earlier owner's runs are known, a halted task could not be placed again.
    if (earlierRunsKnown)
        m_fillerRelocator.relocate(now, actions);
    int stepsWithPreemption = 0;
    const std::vector<Candidate> candidates = collectCandidates(now);
    ++m_state.counters.passes;
    m_state.counters.waitingStepsExamined += static_cast<std::int64_t>(candidates.size());
    for (const Candidate& candidate : candidates) {
        JobState& job = *candidate.job;
        if (!job.isOpen())
            continue;
        StepState& step = job.steps()[candidate.step];
        const bool lacksRoom = job.stepDefinition(step).gang ? placeGang(now, job, step, actions)
                                                             : placeStep(now, job, step, earlierRunsKnown, actions);
        // A step that waits for another reason could not use the room.
        if (lacksRoom && stepsWithPreemption < maximumStepsWithPreemption && preemptRuns(now, job, step, actions))
            ++stepsWithPreemption;
    }
    startEndTrials(now, candidates, actions);
    m_capacityLogger.logIfDue(now, actions);
}

void TaskScheduler::startEndTrials(Instant now, const std::vector<Candidate>& candidates, Actions& actions)
{
    if (m_unlistedHosts > 0)
        return;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (!host.mayForgetEnds || !host.isRecordPersisted)
            continue;
        std::size_t trials = static_cast<std::size_t>(
            std::count_if(host.runs.begin(), host.runs.end(), [&host](const std::pair<const RunKey, HostRun>& run) {
                return HostRegistry::mayLoseEndOf(host, run.second);
            }));
        while (trials < host.endTrials && tryStartEndTrial(now, candidates, host, actions))
            ++trials;
    }
}

bool TaskScheduler::tryStartEndTrial(
    Instant now, const std::vector<Candidate>& candidates, Host& host, Actions& actions)
{
    for (const Candidate& candidate : candidates) {
        JobState& job = *candidate.job;
        StepState& step = job.steps()[candidate.step];
        const Wire::StepDefinition& definition = job.stepDefinition(step);
        if (!job.isOpen() || definition.gang || HostRegistry::mayRunTwice(definition))
            continue;
        for (std::size_t n = 0; n < step.tasks.size(); ++n) {
            const TaskState& task = step.tasks[n];
            const bool isSuitable = definition.estimateMilliseconds >= minimumTrialEstimateMilliseconds
                || now - task.waitingSince >= maximumWaitForTrial;
            if (!task.isWaiting() || !isSuitable || now < task.notBefore || mayContinueUnderSuccessor(now, task))
                continue;
            PlacementRequest request = makePlacementRequest(job, step, task);
            request.isEndTrial = true;
            const std::optional<int> run = nextRunNumber(job, task);
            if (!run || !m_placement.isEligible(host, request, now))
                break;
            startRun(now, job, step, n, *run, host, actions);
            return true;
        }
    }
    return false;
}

std::optional<int> TaskScheduler::nextRunNumber(const JobState& job, const TaskState& task)
{
    const std::int64_t first = 1 + (m_state.term - job.definition().acceptedTerm) * runNumbersPerTerm;
    const std::int64_t next = std::max<std::int64_t>(task.lastRun + 1, first);
    // A later term would have no numbers for this task either.
    if (next > maximumRunNumber)
        return std::nullopt;
    if (next >= first + runNumbersPerTerm) {
        m_state.runNumbersUsedUp = true;
        return std::nullopt;
    }
    return static_cast<int>(next);
}

bool TaskScheduler::mayContinueUnderSuccessor(Instant now, const TaskState& task) const
{
    return task.lastEndUnknown && !m_state.isOwnershipCertain(now);
}

Host* TaskScheduler::findHost(Instant now, const PlacementRequest& request, HostEligibilityCounts& hostCounts)
{
    if (const HostEligibilityCounts* known = m_failedPlacements.find(request)) {
        hostCounts = *known;
        return nullptr;
    }
    Host* host = searchHosts(now, request, hostCounts);
    if (!host)
        m_failedPlacements.add(request, hostCounts);
    return host;
}

Host* TaskScheduler::searchHosts(Instant now, const PlacementRequest& request, HostEligibilityCounts& hostCounts)
{
    ++m_state.counters.hostSearches;
    m_state.counters.hostEvaluations
        += static_cast<std::int64_t>(m_openHosts.ofService(request.job.serviceName).hosts.size());
    return m_placement.chooseHost(m_openHosts, request, now, &hostCounts);
}

bool TaskScheduler::waitsForData(Instant now, const LocalityRequest& locality, const PlacementRequest& request,
    const Host* host, const HostEligibilityCounts& hostCounts, Actions& actions)
{
    const std::string& rack = request.definition.dataRack;
    if (!m_state.locality.isEnabled() || rack.empty())
        return false;
    if (host) {
        if (!LocalityWait::isAwayFromData(request.definition, *host))
            return false;
        if (!m_fullRacks[rack].find(request))
            m_fullRacks[rack].add(request, hostCounts);
    } else if (!m_fullRacks[rack].find(request)) {
        return false;
    }
    return m_state.locality.shouldWait(now, locality, actions);
}

bool TaskScheduler::placeStep(Instant now, JobState& job, StepState& step, bool earlierRunsKnown, Actions& actions)
{
    const bool inherited = job.definition().acceptedTerm != m_state.term;
    const bool duplicatesAllowed = job.stepDefinition(step).allowDuplicates;
    HostEligibilityCounts hostCounts;
    bool lacksRoom = false;
    // The task that has waited longest among those that cannot start in this pass.
    const TaskState* longestWaiting = nullptr;
    WaitReason waitReason = WaitReason::NoHost;
    const auto recordWait = [&longestWaiting, &waitReason](const TaskState& task, WaitReason reason) {
        if (longestWaiting && longestWaiting->waitingSince <= task.waitingSince)
            return;
        longestWaiting = &task;
        waitReason = reason;
    };
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
        TaskState& task = step.tasks[n];
        if (!task.isWaiting())
            continue;
        if (now < task.notBefore) {
            recordWait(task, WaitReason::Paused);
            continue;
        }
        // An earlier owner may have started the task on a host that has not reported yet.
        if (inherited && !earlierRunsKnown && !duplicatesAllowed) {
            recordWait(task, WaitReason::HostsNotReported);
            break;
        }
        if (!duplicatesAllowed && mayContinueUnderSuccessor(now, task)) {
            recordWait(task, WaitReason::EndNotReported);
            continue;
        }
        const std::optional<int> run = nextRunNumber(job, task);
        if (!run) {
            recordWait(task, WaitReason::NoRunNumber);
            continue;
        }
        PlacementRequest request = makePlacementRequest(job, step, task);
        request.hasWaitedLong = now - task.waitingSince >= m_placement.longestWaitToStay();
        const LocalityRequest locality { job, step, n };
        if (waitsForData(now, locality, request, nullptr, hostCounts, actions)) {
            recordWait(task, WaitReason::LocalPlace);
            continue;
        }
        Host* host = findHost(now, request, hostCounts);
        if (host && waitsForData(now, locality, request, host, hostCounts, actions)) {
            recordWait(task, WaitReason::LocalPlace);
            continue;
        }
        if (!host) {
            // A host that takes in no more starts at the moment may have room.
            lacksRoom = hostCounts.count(HostEligibility::StartsPending) == 0;
            recordWait(task, reasonWithoutHost(hostCounts));
            break;
        }
        m_state.locality.recordStart(now, locality, LocalityWait::isAwayFromData(request.definition, *host), actions);
        startRun(now, job, step, n, *run, *host, actions);
    }
    if (longestWaiting)
        m_waitLogger.logIfDue(now, WaitingTask { job, step, *longestWaiting, waitReason, hostCounts }, actions);
    return lacksRoom;
}

bool TaskScheduler::placeGang(Instant now, JobState& job, StepState& step, Actions& actions)
{
    HostEligibilityCounts hostCounts;
    const std::optional<WaitReason> waitReason = tryStartGang(now, job, step, hostCounts, actions);
    if (!waitReason)
        return false;
    const TaskState* longestWaiting = nullptr;
    for (const TaskState& task : step.tasks) {
        if (task.isWaiting() && (!longestWaiting || task.waitingSince < longestWaiting->waitingSince))
            longestWaiting = &task;
    }
    if (longestWaiting)
        m_waitLogger.logIfDue(now, WaitingTask { job, step, *longestWaiting, *waitReason, hostCounts }, actions);
    return waitReason == WaitReason::NoHost || waitReason == WaitReason::HostNotPersisted;
}

std::optional<WaitReason> TaskScheduler::tryStartGang(
    Instant now, JobState& job, StepState& step, HostEligibilityCounts& hostCounts, Actions& actions)
{
    const bool inherited = job.definition().acceptedTerm != m_state.term;
    if (inherited && m_unlistedHosts > 0)
        return WaitReason::HostsNotReported;
    int run = 0;
    for (const TaskState& task : step.tasks) {
        if (!task.isWaiting())
            return WaitReason::GangIncomplete;
        if (now < task.notBefore)
            return WaitReason::Paused;
        if (mayContinueUnderSuccessor(now, task))
            return WaitReason::EndNotReported;
        const std::optional<int> next = nextRunNumber(job, task);
        if (!next)
            return WaitReason::NoRunNumber;
        run = std::max(run, *next);
    }
    WaitReason waitReason = WaitReason::NoHost;
    // An empty name stands for any rack. With sameRack, each rack is tried first and a mix of racks last.
    std::vector<std::string> racks { std::string() };
    if (job.stepDefinition(step).sameRack) {
        std::set<std::string> rackNames;
        for (const std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
            rackNames.insert(entry.second.rack);
        racks.insert(racks.begin(), rackNames.begin(), rackNames.end());
        const std::string& dataRack = job.stepDefinition(step).dataRack;
        if (m_state.locality.isEnabled() && rackNames.contains(dataRack))
            racks.insert(racks.begin(), dataRack);
    }
    // A gang starts as a whole or not at all. Each chosen host gets a tentative run, so that the next choice accounts
    // for its demand; all tentative runs are removed again before the gang starts.
    for (const std::string& rack : racks) {
        std::vector<Host*> chosen;
        for (std::size_t n = 0; n < step.tasks.size(); ++n) {
            PlacementRequest request = makePlacementRequest(job, step, step.tasks[n]);
            request.rack = rack;
            Host* host = searchHosts(now, request, hostCounts);
            if (!host) {
                waitReason = reasonWithoutHost(hostCounts);
                break;
            }
            HostRun tentativeRun;
            tentativeRun.task = taskName(job, step, n);
            tentativeRun.run = run;
            tentativeRun.placedAt = now;
            tentativeRun.demand = job.stepDefinition(step).demand;
            tentativeRun.filler = job.stepDefinition(step).filler;
            HostRegistry::addRun(*host, tentativeRun);
            chosen.push_back(host);
        }
        for (std::size_t n = 0; n < chosen.size(); ++n) {
            HostRegistry::removeRun(*chosen[n], runKey(taskName(job, step, n), run));
        }
        if (chosen.size() < step.tasks.size())
            continue;
        step.isSpread = isSpread(job.stepDefinition(step), chosen);
        const LocalityRequest locality { job, step, 0 };
        const bool isAway = step.isSpread || isAwayFromData(job.stepDefinition(step), chosen);
        if (isAway && m_state.locality.shouldWait(now, locality, actions))
            return WaitReason::LocalPlace;
        m_state.locality.recordStart(now, locality, isAway, actions);
        std::string checkpoint;
        for (const TaskState& task : step.tasks)
            checkpoint = std::max(checkpoint, task.checkpoint);
        for (std::size_t n = 0; n < step.tasks.size(); ++n) {
            step.tasks[n].checkpoint = checkpoint;
            startRun(now, job, step, n, run, *chosen[n], actions);
        }
        return std::nullopt;
    }
    return waitReason;
}

bool TaskScheduler::preemptRuns(Instant now, JobState& job, StepState& step, Actions& actions)
{
    std::erase_if(step.roomExpectedUntil, [now](Instant until) { return now >= until; });
    if (step.roomExpectedUntil.size() >= static_cast<std::size_t>(step.waitingTasks))
        return false;
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    if (m_failedPreemptions.rulesOut(job.definition(), definition))
        return false;
    ++m_state.counters.preemptionSearches;
    bool someHostHasRoom = false;
    const int priority = job.definition().priority;
    Host* bestHost = nullptr;
    std::vector<HostRun*> bestRuns;
    const std::vector<Host*>& openHosts = m_openHosts.ofService(job.definition().serviceName).hosts;
    m_state.counters.hostEvaluations += static_cast<std::int64_t>(openHosts.size());
    for (Host* candidate : openHosts) {
        Host& host = *candidate;
        if (!Placement::isOpenTo(host, job.definition(), definition, now))
            continue;
        std::int64_t processors = host.freeMilliCores();
        std::int64_t memory = host.freeMegabytes() - (definition.filler ? m_placement.reservedMegabytes(host) : 0);
        const auto isEnough = [&memory, &processors, &definition] {
            return memory >= definition.demand.memoryMegabytes
                && (definition.filler || processors >= definition.demand.milliProcessors);
        };
        if (isEnough()) {
            someHostHasRoom = true;
            continue;
        }
        std::vector<HostRun*> victims;
        bool halting = false;
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            halting = halting || run.second.phase == RunPhase::Halting;
            if (run.second.phase == RunPhase::Running && run.second.priority > priority && !run.second.longRunning)
                victims.push_back(&run.second);
        }
        // A run that is being stopped frees resources of its host soon.
        if (halting)
            continue;
        std::sort(victims.begin(), victims.end(),
            [](const HostRun* one, const HostRun* other) { return one->placedAt > other->placedAt; });
        std::vector<HostRun*> chosen;
        for (HostRun* victim : victims) {
            if (isEnough())
                break;
            memory += victim->demand.memoryMegabytes;
            processors += victim->filler ? 0 : victim->demand.milliProcessors;
            chosen.push_back(victim);
        }
        const bool isNearer = bestHost && m_state.locality.isEnabled() && chosen.size() == bestRuns.size()
            && LocalityWait::isAwayFromData(definition, *bestHost) && !LocalityWait::isAwayFromData(definition, host);
        if (isEnough() && !chosen.empty() && (!bestHost || isNearer || chosen.size() < bestRuns.size())) {
            bestHost = &host;
            bestRuns = chosen;
        }
    }
    if (!bestHost) {
        m_failedPreemptions.add(job.definition(), definition, someHostHasRoom);
        return false;
    }
    for (HostRun* run : bestRuns)
        m_runTracker.haltRun(*bestHost, *run, "room_for_more_urgent_work", actions);
    step.roomExpectedUntil.push_back(now + m_state.rules.longestHalt + RunTracker::timeToListAnEnd);
    return true;
}

void TaskScheduler::startRun(
    Instant now, JobState& job, StepState& step, std::size_t index, int run, Host& host, Actions& actions)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    TaskState& task = step.tasks[index];
    if (task.runs.empty())
        --step.waitingTasks;
    task.lastRun = run;
    task.lastEndUnknown = false;
    task.runs.push_back(RunPlace { host.hostId, run, now });
    HostRun hostRun;
    hostRun.task = taskName(job, step, index);
    hostRun.run = run;
    RunTracker::setRunRequirements(hostRun, job, step);
    hostRun.fence = host.fence;
    hostRun.placedAt = now;
    hostRun.isAway = LocalityWait::isAwayFromData(definition, host) || step.isSpread;
    hostRun.checkpoint = task.checkpoint;
    Wire::StartOrder order;
    order.task = hostRun.task;
    order.run = run;
    order.payload = job.definition().payload;
    order.checkpoint = task.checkpoint;
    if (definition.filler) {
        hostRun.orderedPacePercent
            = m_paceController.tolerablePace(host, definition.image, definition.demand.milliProcessors);
        m_paceController.addOrderedFiller(host, hostRun);
    }
    order.percent = hostRun.orderedPacePercent;
    HostRegistry::addRun(host, std::move(hostRun));
    if (!step.roomExpectedUntil.empty())
        step.roomExpectedUntil.erase(step.roomExpectedUntil.begin());
    ++m_state.counters.orderedStarts;
    LogLine line("place");
    line.add("job", job.definition().jobId)
        .add("occurrence", step.occurrence)
        .add("step", step.step)
        .add("task", index)
        .add("run", run)
        .add("host", host.hostId);
    line.add("waited_ms", toMilliseconds(now - task.waitingSince))
        .add("host_age_ms", toMilliseconds(now - host.clockReadAt))
        .add("failures_before", task.failedRuns.size())
        .add("hosts_unheard", m_unlistedHosts)
        .add("fence", host.fence)
        .add("free_milli", host.freeMilliCores())
        .add("free_mb", host.freeMegabytes());
    if (task.formerRun.fate != RunFate::None)
        line.add("after_run", task.formerRun.run)
            .add("after_host", task.formerRun.hostId)
            .add("after_why", nameIn(runFateNames, task.formerRun.fate));
    actions.push_back(WriteLog { line.text() });
    host.orders.starts.push_back(std::move(order));
}

} // namespace Plantainpier
