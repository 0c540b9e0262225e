#include "Decision/Job/RoomReservations.h"

#include "Decision/Job/ResourceMath.h"

#include <algorithm>

namespace Plantainpier {

std::size_t RoomReservations::countOf(const JobState& job, const StepState& step) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&job, &step](const Entry& entry) {
            return entry.reservation.isOf(job.definition(), step.occurrence, step.step);
        }));
}

bool RoomReservations::isQuotaUsed(const std::string& service) const
{
    const std::map<std::string, Host>& hosts = m_state.hosts.hosts();
    const std::ptrdiff_t serviceHosts = std::count_if(hosts.begin(), hosts.end(),
        [&service](const std::pair<const std::string, Host>& entry) { return entry.second.service == service; });
    const std::ptrdiff_t reserved = std::count_if(
        m_entries.begin(), m_entries.end(), [&service](const Entry& entry) { return entry.service == service; });
    const double quota = m_rules.maximumShareOfHosts * static_cast<double>(serviceHosts);
    return reserved >= std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(quota));
}

bool RoomReservations::isRuledOut(const JobState& job, const StepState& step) const
{
    const Wire::Resources& demand = job.stepDefinition(step).demand;
    return std::any_of(m_failedSearches.begin(), m_failedSearches.end(),
        [&job, &demand](const std::pair<std::string, Wire::Resources>& failed) {
            return failed.first == job.definition().serviceName && fits(failed.second, demand);
        });
}

const char* RoomReservations::reasonToRemove(Instant now, const Entry& entry, std::size_t earlierOfStep) const
{
    const RoomReservation& reservation = entry.reservation;
    JobState* job = m_state.findJob(reservation.jobId);
    const StepState* step = job && job->isOpen() ? job->findStep(reservation.occurrence, reservation.step) : nullptr;
    if (!step || static_cast<std::size_t>(step->waitingTasks) <= earlierOfStep)
        return "nothing_waits";
    const Host* host = m_state.hosts.find(entry.hostId);
    if (!host || host->incarnation != entry.incarnation)
        return "host_gone";
    static const std::vector<RunPlace> noRuns;
    const PlacementRequest request { job->definition(), job->stepDefinition(*step), step->occurrence, step->step,
        noRuns, {} };
    if (!m_placement.isEligibleBesidesRoom(*host, request, now))
        return "host_not_eligible";
    if (now >= entry.until)
        return "overdue";
    return expectedWait(now, *host, job->stepDefinition(*step)) ? nullptr : "room_taken";
}

void RoomReservations::removeOutdated(Instant now, Actions& actions)
{
    m_searchesInPass = 0;
    m_failedSearches.clear();
    std::vector<Entry> kept;
    for (Entry& entry : m_entries) {
        const RoomReservation& reservation = entry.reservation;
        const std::ptrdiff_t earlier = std::count_if(kept.begin(), kept.end(), [&reservation](const Entry& other) {
            return other.reservation.jobId == reservation.jobId
                && other.reservation.occurrence == reservation.occurrence && other.reservation.step == reservation.step;
        });
        const char* reason = reasonToRemove(now, entry, static_cast<std::size_t>(earlier));
        if (!reason) {
            kept.push_back(std::move(entry));
            continue;
        }
        LogLine line("room_released");
        line.add("job", reservation.jobId).add("occurrence", reservation.occurrence).add("step", reservation.step);
        actions.push_back(WriteLog { line.add("host", entry.hostId).add("why", reason).text() });
    }
    m_entries = std::move(kept);
    publish();
}

void RoomReservations::publish()
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
        entry.second.reservations.clear();
    for (const Entry& entry : m_entries) {
        if (Host* host = m_state.hosts.find(entry.hostId))
            host->reservations.push_back(entry.reservation);
    }
}

Duration RoomReservations::remainingTime(Instant now, const HostRun& run) const
{
    if (run.phase == RunPhase::Halting)
        return m_state.rules.longestHalt;
    const Duration elapsed = now - run.placedAt;
    const Duration overrun = std::chrono::duration_cast<Duration>(elapsed * m_rules.overrunShare);
    return std::max<Duration>(milliseconds(run.estimateMilliseconds) - elapsed, overrun);
}

std::optional<Duration> RoomReservations::expectedWait(
    Instant now, const Host& host, const Wire::StepDefinition& step) const
{
    std::vector<std::pair<Duration, Wire::Resources>> ends;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        if (run.longRunning && run.phase != RunPhase::Halting)
            continue;
        Wire::Resources demand = run.demand;
        if (run.filler)
            demand.milliProcessors = 0;
        ends.emplace_back(remainingTime(now, run), demand);
    }
    std::sort(ends.begin(), ends.end(),
        [](const std::pair<Duration, Wire::Resources>& one, const std::pair<Duration, Wire::Resources>& other) {
            return one.first < other.first;
        });
    Wire::Resources room = minus(host.capacity, host.committed);
    Duration wait {};
    for (const std::pair<Duration, Wire::Resources>& end : ends) {
        if (fits(step.demand, room))
            break;
        room = plus(room, end.second);
        wait = end.first;
    }
    return fits(step.demand, room) ? std::optional<Duration>(wait) : std::nullopt;
}

void RoomReservations::add(Instant now, const JobState& job, const StepState& step, Host& host, Duration expectedWait)
{
    RoomReservation reservation;
    reservation.jobId = job.definition().jobId;
    reservation.occurrence = step.occurrence;
    reservation.step = step.step;
    reservation.priority = job.definition().priority;
    reservation.demand = job.stepDefinition(step).demand;
    host.reservations.push_back(reservation);
    const Instant until = now + m_rules.maximumWaitFactor * expectedWait + m_rules.additionalWait;
    m_entries.push_back(
        Entry { host.hostId, host.incarnation, job.definition().serviceName, std::move(reservation), until });
}

void RoomReservations::reserve(
    Instant now, const JobState& job, const StepState& step, const TaskState& task, Actions& actions)
{
    const Wire::StepDefinition& definition = job.stepDefinition(step);
    if (!definition.longRunning || now - task.waitingSince < m_rules.minimumWait
        || m_searchesInPass >= m_rules.maximumSearchesPerPass || isRuledOut(job, step)
        || isQuotaUsed(job.definition().serviceName)
        || countOf(job, step) >= static_cast<std::size_t>(step.waitingTasks))
        return;
    ++m_searchesInPass;
    Host* best = nullptr;
    Duration bestWait {};
    const PlacementRequest request = makePlacementRequest(job, step, task);
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        // One reservation a host: the tasks of several would wait for the same runs.
        if (host.service != job.definition().serviceName)
            continue;
        if (!host.reservations.empty() || !m_placement.isEligibleBesidesRoom(host, request, now))
            continue;
        const std::optional<Duration> wait = expectedWait(now, host, definition);
        if (wait && (!best || *wait < bestWait)) {
            best = &host;
            bestWait = *wait;
        }
    }
    if (!best) {
        // A host that a label or the maximum per host keeps out may have room for another step.
        if (definition.maximumPerHost == 0 && definition.requiredLabel.empty())
            m_failedSearches.emplace_back(job.definition().serviceName, definition.demand);
        return;
    }
    add(now, job, step, *best, bestWait);
    LogLine line("room_reserved");
    line.add("job", job.definition().jobId).add("occurrence", step.occurrence).add("step", step.step);
    line.add("host", best->hostId).add("expected_ms", toMilliseconds(bestWait));
    line.add("waited_ms", toMilliseconds(now - task.waitingSince)).add("reservations", m_entries.size());
    actions.push_back(WriteLog { line.text() });
}

void RoomReservations::reserveHost(
    Instant now, const JobState& job, const StepState& step, Host& host, Duration expectedWait)
{
    if (host.reservations.empty() && job.stepDefinition(step).longRunning && !isQuotaUsed(job.definition().serviceName))
        add(now, job, step, host, expectedWait);
}

void RoomReservations::onStarted(const JobState& job, const StepState& step, const Host& host)
{
    const auto isOfStep = [&job, &step](const Entry& entry) {
        return entry.reservation.isOf(job.definition(), step.occurrence, step.step);
    };
    std::vector<Entry>::iterator it = std::find_if(m_entries.begin(), m_entries.end(),
        [&host, &isOfStep](const Entry& entry) { return entry.hostId == host.hostId && isOfStep(entry); });
    if (it == m_entries.end() && countOf(job, step) > static_cast<std::size_t>(step.waitingTasks))
        it = std::find_if(m_entries.begin(), m_entries.end(), isOfStep);
    if (it == m_entries.end())
        return;
    m_entries.erase(it);
    publish();
}

} // namespace Plantainpier
