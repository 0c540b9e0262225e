#include "Soak/RunAudit.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace Plantainpier {

using Guard = std::lock_guard<std::mutex>;

RunAudit::RunAudit(Clock clock)
    : m_clock(std::move(clock))
{
}

void RunAudit::openLog(const std::string& path)
{
    const Guard guard(m_mutex);
    m_log.open(path);
}

void RunAudit::write(const std::string& text)
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const std::int64_t milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts {};
    ::localtime_r(&seconds, &parts);
    char buf[32];
    const std::size_t n = std::strftime(buf, sizeof buf, "%H:%M:%S", &parts);
    std::snprintf(buf + n, sizeof buf - n, ".%03d ", static_cast<int>(milliseconds % 1000));
    m_log << buf << text << std::endl;
}

void RunAudit::note(const std::string& text)
{
    const Guard guard(m_mutex);
    write(text);
}

void RunAudit::addViolation(const std::string& text)
{
    write("breach " + text);
    m_violations.push_back(text);
}

void RunAudit::addViolation(const std::string& rule, const SoakTask& task, const std::string& text)
{
    addViolation(rule + ": " + task.text() + " " + text);
}

void RunAudit::reportViolation(const std::string& text)
{
    const Guard guard(m_mutex);
    addViolation(text);
}

bool RunAudit::admitLongRunning(const std::string& jobId, std::size_t places)
{
    const Guard guard(m_mutex);
    std::size_t count = 1;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        const JobRecord& job = entry.second;
        count += job.job.longRunning && !job.refused && !job.cancelled ? 1 : 0;
    }
    const bool admitted = 2 * count < places;
    m_jobs[jobId].job.longRunning = admitted;
    return admitted;
}

void RunAudit::onSubmit(const std::string& jobId, SoakJob job)
{
    const Guard guard(m_mutex);
    m_jobs[jobId].job = std::move(job);
}

void RunAudit::onAccepted(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.accepted = true;
    job.acceptedAt = m_clock();
    write("accepted " + jobId);
}

void RunAudit::onRefused(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.refused = true;
    if (job.started)
        addViolation("REFUSED: " + jobId + " was refused although its tasks had been started");
}

void RunAudit::onCancelRequested(const std::string& jobId)
{
    const Guard guard(m_mutex);
    m_jobs[jobId].cancelRequested = true;
}

void RunAudit::onCancelAcknowledged(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.cancelled = true;
    job.stopWaiting(m_clock());
    write("cancelled " + jobId);
}

bool RunAudit::hasCompleted(const SoakTask& task)
{
    const std::vector<EndRecord>& ends = m_tasks[task].ends;
    return std::any_of(ends.begin(), ends.end(), [](const EndRecord& end) { return end.outcome == "done"; });
}

int RunAudit::failures(const SoakTask& task)
{
    const std::vector<EndRecord>& ends = m_tasks[task].ends;
    return static_cast<int>(
        std::count_if(ends.begin(), ends.end(), [](const EndRecord& end) { return end.outcome == "failed"; }));
}

void RunAudit::updateRoom()
{
    int used = 0;
    int freePlaces = 0;
    for (const std::pair<const std::string, int>& host : m_hostRuns) {
        used += host.second;
        freePlaces += std::max(0, placesPerHost - host.second);
    }
    const auto update = [now = m_clock()](std::optional<SteadyTime>& since, bool holds) {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    };
    update(m_roomSince, freePlaces >= 2);
    update(m_halfFreeSince, 2 * used < placesPerHost * static_cast<int>(m_hostRuns.size()));
}

bool RunAudit::hadRoom(const std::optional<SteadyTime>& since) const { return since && m_clock() - *since >= roomTime; }

void RunAudit::onReportedRunning(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    if (!job.started && !std::exchange(job.reportedTooEarly, true))
        addViolation("MIXED: " + jobId + " is reported as running although no host has started a task of it");
}

void RunAudit::onReportedCompleted(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    if (job.reportedFinished)
        return;
    job.reportedFinished = true;
    job.stopWaiting(m_clock());
    write("completed " + jobId);
    if (job.job.longRunning)
        addViolation("MIXED: " + jobId + " is long-running and is reported as completed");
    for (std::size_t step = 0; step < job.job.widths.size(); ++step) {
        for (int index = 0; index < job.job.widths[step]; ++index) {
            const SoakTask task { jobId, static_cast<int>(step), index };
            if (!hasCompleted(task))
                addViolation("MIXED", task, "has not completed although its job is reported as completed");
        }
    }
}

void RunAudit::onReportedFailed(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    if (job.reportedFinished)
        return;
    job.reportedFinished = true;
    job.cancelled = true;
    job.stopWaiting(m_clock());
    write("failed " + jobId);
    bool hasExhaustedTask = false;
    for (std::map<SoakTask, TaskRecord>::const_iterator it = m_tasks.lower_bound(SoakTask { jobId, 0, 0 });
         it != m_tasks.end() && it->first.jobId == jobId; ++it) {
        hasExhaustedTask = hasExhaustedTask || failures(it->first) >= maximumAttempts;
    }
    if (!hasExhaustedTask || job.job.longRunning)
        addViolation("LOST: " + jobId + " is reported as failed although no task has used up its attempts");
}

void RunAudit::onReportedCancelled(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.cancelled = true;
    job.stopWaiting(m_clock());
    if (!job.cancelRequested)
        addViolation("LOST: " + jobId + " is reported as cancelled although no client requested that");
}

void RunAudit::onStart(const std::string& incarnation, const SoakTask& task, int run, const std::string& payload,
    const std::string& origin)
{
    const Guard guard(m_mutex);
    ++m_startCount;
    const std::string start
        = "run " + std::to_string(run) + " on " + incarnation + (origin.empty() ? "" : " by " + origin);
    write("start " + task.text() + " " + start);
    checkZone(incarnation, task, start, origin.starts_with("a late order"));
    std::map<std::string, JobRecord>::iterator it = m_jobs.find(task.jobId);
    if (it == m_jobs.end()) {
        addViolation("UNASKED", task, "belongs to no job that a client submitted");
        return;
    }
    JobRecord& job = it->second;
    job.started = true;
    if (m_hostsListedAt)
        job.stopWaiting(m_clock());
    if (payload != job.job.payload)
        addViolation("UNASKED", task, "was started with a payload other than its job's");
    if (job.refused)
        addViolation("REFUSED", task, "was started although its job had been refused");
    for (int step = 0; step < task.step; ++step) {
        for (int index = 0; index < job.job.widths[static_cast<std::size_t>(step)]; ++index) {
            if (!hasCompleted(SoakTask { task.jobId, step, index }))
                addViolation("ORDER", task, "was started before step " + std::to_string(step) + " had completed");
        }
    }
    TaskRecord& record = m_tasks[task];
    for (const std::pair<const std::pair<std::string, int>, std::string>& other : record.running)
        addViolation("TWICE", task,
            start + " beside run " + std::to_string(other.first.second) + " on " + other.first.first
                + (other.second.empty() ? "" : " by " + other.second));
    record.running[{ incarnation, run }] = origin;
    ++m_hostRuns[incarnation];
    updateRoom();
    record.lastStartSequenceNumber = ++m_lastSequenceNumber;
    record.lastStart = start;
    checkNewestStart(task, record);
}

void RunAudit::checkZone(
    const std::string& incarnation, const SoakTask& task, const std::string& start, bool isLateOrder)
{
    const std::map<std::string, SteadyTime>::const_iterator it = m_closedZones.find(m_hostZones[incarnation]);
    if (it == m_closedZones.end())
        return;
    const SteadyTime::duration closed = m_clock() - it->second;
    if (closed <= zoneClosureBound) {
        ++m_startsInClosingZones;
        return;
    }
    if (isLateOrder || m_clock() - m_resumedAt <= deliveryMargin)
        return;
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(closed).count();
    addViolation("ZONE", task,
        start + " in " + it->first + ", which had been closed for " + std::to_string(milliseconds) + " ms");
}

void RunAudit::onZoneClosed(const std::string& zone)
{
    const Guard guard(m_mutex);
    m_closedZones.emplace(zone, m_clock());
}

void RunAudit::onZoneReopened(const std::string& zone)
{
    const Guard guard(m_mutex);
    m_closedZones.erase(zone);
}

void RunAudit::onProcessResumed()
{
    const Guard guard(m_mutex);
    m_resumedAt = m_clock();
}

void RunAudit::checkNewestStart(const SoakTask& task, TaskRecord& record)
{
    if (m_jobs[task.jobId].job.longRunning)
        return;
    int failures = 0;
    for (const EndRecord& end : record.ends) {
        const bool attemptsUsedUp = end.acknowledged && end.outcome == "failed" && ++failures == maximumAttempts;
        if (!end.acknowledged || record.lastStartSequenceNumber < end.sequenceNumber
            || (end.outcome != "done" && !attemptsUsedUp))
            continue;
        const std::string rule = attemptsUsedUp ? "BUDGET" : "TWICE";
        if (record.reportedRules.insert(rule).second)
            addViolation(rule, task,
                record.lastStart + " after the end of run " + std::to_string(end.run) + " on " + end.incarnation
                    + ", which had been acknowledged");
    }
}

void RunAudit::onEnd(const std::string& incarnation, const SoakTask& task, int run, const std::string& outcome)
{
    const Guard guard(m_mutex);
    TaskRecord& record = m_tasks[task];
    if (record.running.erase({ incarnation, run }) > 0) {
        --m_hostRuns[incarnation];
        updateRoom();
    }
    record.lastRunningAt = m_clock();
    record.ends.push_back(EndRecord { incarnation, run, outcome, ++m_lastSequenceNumber, false });
    write("end " + task.text() + " run " + std::to_string(run) + " on " + incarnation + " " + outcome);
}

void RunAudit::onAcknowledged(const std::string& incarnation, const SoakTask& task, int run)
{
    const Guard guard(m_mutex);
    TaskRecord& record = m_tasks[task];
    for (EndRecord& end : record.ends) {
        if (end.incarnation == incarnation && end.run == run)
            end.acknowledged = true;
    }
    write("acknowledged " + task.text() + " run " + std::to_string(run) + " on " + incarnation);
    checkNewestStart(task, record);
}

void RunAudit::onIncarnationStarted(const std::string& incarnation, const std::string& zone)
{
    const Guard guard(m_mutex);
    m_hostZones[incarnation] = zone;
    write("born " + incarnation);
    m_hostRuns[incarnation] = 0;
    updateRoom();
}

void RunAudit::onIncarnationEnded(const std::string& incarnation)
{
    const Guard guard(m_mutex);
    write("gone " + incarnation);
    m_hostRuns.erase(incarnation);
    m_hostZones.erase(incarnation);
    updateRoom();
    for (std::pair<const SoakTask, TaskRecord>& entry : m_tasks) {
        std::map<std::pair<std::string, int>, std::string>& running = entry.second.running;
        for (std::map<std::pair<std::string, int>, std::string>::iterator it = running.begin(); it != running.end();) {
            if (it->first.first != incarnation) {
                ++it;
                continue;
            }
            entry.second.lastRunningAt = m_clock();
            it = running.erase(it);
        }
    }
}

void RunAudit::onHostsListed()
{
    const Guard guard(m_mutex);
    m_hostsListedAt = m_clock();
    for (const std::pair<const SoakTask, TaskRecord>& entry : m_tasks) {
        if (!entry.second.running.empty())
            m_jobs[entry.first.jobId].stopWaiting(*m_hostsListedAt);
    }
}

void RunAudit::onWaitingCount(const std::string& entry, SteadyTime sentAt, std::int64_t waiting)
{
    const Guard guard(m_mutex);
    std::int64_t mustWait = 0;
    std::int64_t mayWait = 0;
    for (const std::pair<const std::string, JobRecord>& pair : m_jobs) {
        const JobRecord& job = pair.second;
        const bool hasEnded = job.cancelRequested || job.cancelled || job.reportedFinished;
        const bool isVisible = job.accepted && sentAt - job.acceptedAt > visibleTime + waitingCountAge;
        const bool isKnownNotToWait
            = job.notWaitingSince && sentAt - *job.notWaitingSince > waitingCountAge + reportTime;
        mustWait += isVisible && !job.started && !hasEnded ? 1 : 0;
        mayWait += !job.refused && !isKnownNotToWait ? 1 : 0;
    }
    const std::string text = entry + " says that " + std::to_string(waiting) + " jobs wait; ";
    ++m_waitingCounts;
    if (waiting < mustWait)
        addViolation("MIXED: " + text + "no task of " + std::to_string(mustWait) + " has been started");
    if (!m_hostsListedAt || sentAt - *m_hostsListedAt <= waitingCountAge + reportTime)
        return;
    ++m_waitingCountsAfterFaults;
    if (waiting > mayWait)
        addViolation("MIXED: " + text + "all but " + std::to_string(mayWait) + " have been started or have ended");
}

std::vector<std::string> RunAudit::violations() const
{
    const Guard guard(m_mutex);
    return m_violations;
}

std::size_t RunAudit::startCount() const
{
    const Guard guard(m_mutex);
    return m_startCount;
}

std::size_t RunAudit::startsInClosingZones() const
{
    const Guard guard(m_mutex);
    return m_startsInClosingZones;
}

std::size_t RunAudit::acceptedCount() const
{
    const Guard guard(m_mutex);
    std::size_t count = 0;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs)
        count += entry.second.accepted ? 1 : 0;
    return count;
}

std::size_t RunAudit::waitingCounts() const
{
    const Guard guard(m_mutex);
    return m_waitingCounts;
}

std::size_t RunAudit::waitingCountsAfterFaults() const
{
    const Guard guard(m_mutex);
    return m_waitingCountsAfterFaults;
}

std::vector<std::string> RunAudit::unfinishedJobs() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> unfinished;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        const JobRecord& job = entry.second;
        if (job.accepted && !job.cancelled && !job.reportedFinished && !job.job.longRunning)
            unfinished.push_back(entry.first);
    }
    return unfinished;
}

std::vector<std::string> RunAudit::longRunningJobs() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> longRunning;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        if (entry.second.mustKeepRunning())
            longRunning.push_back(entry.first);
    }
    return longRunning;
}

std::vector<std::string> RunAudit::idleLongRunningTasks() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> idle;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        for (int index = 0; entry.second.mustKeepRunning() && index < entry.second.job.widths.front(); ++index) {
            const SoakTask task { entry.first, 0, index };
            std::map<SoakTask, TaskRecord>::const_iterator it = m_tasks.find(task);
            if (it == m_tasks.end() || it->second.running.empty())
                idle.push_back(task.text());
        }
    }
    return idle;
}

void RunAudit::checkLongRunningTasks(bool isCalm)
{
    const Guard guard(m_mutex);
    const SteadyTime now = m_clock();
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        for (int index = 0; entry.second.mustKeepRunning() && index < entry.second.job.widths.front(); ++index) {
            const SoakTask task { entry.first, 0, index };
            TaskRecord& record = m_tasks[task];
            if (!record.running.empty()) {
                record.judgedAt = now;
                continue;
            }
            const SteadyTime idleSince = std::max(record.lastRunningAt, entry.second.acceptedAt);
            if (!isCalm || now - idleSince < longRunningRestartLimit || !hadRoom(m_roomSince))
                continue;
            record.judgedAt = now;
            if (record.reportedRules.insert("LOST").second)
                addViolation("LOST", task, "is long-running but is not running");
        }
    }
}

bool RunAudit::standsStill(const std::string& jobId, const JobRecord& job)
{
    const SteadyTime idleUntil = m_clock() - roomTime;
    if (job.acceptedAt > m_clock() - finishTime - roomTime)
        return false;
    for (std::map<SoakTask, TaskRecord>::const_iterator it = m_tasks.lower_bound(SoakTask { jobId, 0, 0 });
         it != m_tasks.end() && it->first.jobId == jobId; ++it) {
        if (!it->second.running.empty() || it->second.lastRunningAt > idleUntil
            || failures(it->first) >= maximumAttempts)
            return false;
    }
    // The tasks of the first step that has not completed may start.
    for (std::size_t step = 0; step < job.job.widths.size(); ++step) {
        for (int index = 0; index < job.job.widths[step]; ++index) {
            if (!hasCompleted(SoakTask { jobId, static_cast<int>(step), index }))
                return true;
        }
    }
    return false;
}

void RunAudit::checkStandingJobs()
{
    const Guard guard(m_mutex);
    if (!hadRoom(m_roomSince) || !hadRoom(m_halfFreeSince))
        return;
    for (std::pair<const std::string, JobRecord>& entry : m_jobs) {
        JobRecord& job = entry.second;
        if (job.missed || !job.accepted || job.cancelRequested || job.cancelled || job.reportedFinished
            || job.job.longRunning || !standsStill(entry.first, job))
            continue;
        job.missed = true;
        addViolation("LOST: " + entry.first + " stands still although there is room");
    }
}

std::vector<std::string> RunAudit::knownJobs() const
{
    const Guard guard(m_mutex);
    const SteadyTime now = m_clock();
    std::vector<std::string> known;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        const JobRecord& job = entry.second;
        if (job.accepted && !job.cancelRequested && now - job.acceptedAt >= visibleTime
            && now - job.acceptedAt < statusTime)
            known.push_back(entry.first);
    }
    return known;
}

bool RunAudit::isHalfFree() const
{
    const Guard guard(m_mutex);
    return m_halfFreeSince.has_value();
}

std::pair<std::size_t, std::size_t> RunAudit::judgedLongRunningTasks(SteadyTime since) const
{
    const Guard guard(m_mutex);
    std::pair<std::size_t, std::size_t> counts;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        for (int index = 0; entry.second.mustKeepRunning() && index < entry.second.job.widths.front(); ++index) {
            std::map<SoakTask, TaskRecord>::const_iterator it = m_tasks.find(SoakTask { entry.first, 0, index });
            if (it != m_tasks.end() && it->second.judgedAt >= since)
                ++counts.first;
            else if (m_clock() - entry.second.acceptedAt >= longRunningRestartLimit)
                ++counts.second;
        }
    }
    return counts;
}

std::vector<std::string> RunAudit::runsOfCancelledJobs() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> runs;
    for (const std::pair<const SoakTask, TaskRecord>& entry : m_tasks) {
        std::map<std::string, JobRecord>::const_iterator it = m_jobs.find(entry.first.jobId);
        if (!entry.second.running.empty() && it != m_jobs.end() && it->second.cancelled)
            runs.push_back(entry.first.text());
    }
    return runs;
}

} // namespace Plantainpier
