#include "Decision/Placement/FillerRelocator.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr int fullPace = 100;
    /// A paused filler is expected to continue at this share of full pace, since the load beside it changes.
    constexpr double lowestExpectedPace = 0.05;
    /// Reservations are kept for this long: a stop takes up to 0.9 s, and its end must be listed.
    constexpr Duration reservationTime = milliseconds(1500);

    /// Work left at full pace. The estimate may be too low, so some work is assumed to be left in any case.
    Duration remainingWork(const HostRun& run)
    {
        constexpr double leastShareLeft = 0.05;
        const double shareLeft = std::max(leastShareLeft, 1 - run.progressPercent / 100.0);
        return std::chrono::duration_cast<Duration>(milliseconds(run.estimateMilliseconds) * shareLeft);
    }

    /// Work that another host would have to do at full pace, from the newest checkpoint on.
    Duration workBeyondCheckpoint(const HostRun& run)
    {
        return std::chrono::duration_cast<Duration>(
            milliseconds(run.estimateMilliseconds) * (1 - run.checkpointPercent / 100.0));
    }

    /// Expected time until the run completes on its host.
    Duration remainingTime(const HostRun& run)
    {
        return std::chrono::duration_cast<Duration>(remainingWork(run) / std::max(lowestExpectedPace, run.recentPace));
    }

} // namespace

RelocationRules RelocationRules::forFillers(FillerPlacement placement)
{
    RelocationRules rules;
    rules.countsRepeatedWork = placement == FillerPlacement::Stay;
    return rules;
}

std::optional<FillerRelocator::Candidate> FillerRelocator::makeCandidate(Instant now, Host& host, HostRun& run)
{
    const bool isRunning = run.filler && run.phase == RunPhase::Running && run.orderedPacePercent >= 0
        && now - run.placedAt >= m_rules.minimumRunTime;
    if (!isRunning)
        return std::nullopt;
    JobState* job = m_state.findJob(run.task.jobId);
    StepState* step = job && job->isOpen() ? job->findStep(run.task.occurrence, run.task.step) : nullptr;
    const TaskState* task = step ? job->findTask(run.task) : nullptr;
    if (!task || job->stepDefinition(*step).gang)
        return std::nullopt;
    const Duration elsewhere = m_rules.countsRepeatedWork ? workBeyondCheckpoint(run)
        : job->stepDefinition(*step).savesProgress        ? remainingWork(run)
                                                          : milliseconds(run.estimateMilliseconds);
    const Duration here = remainingTime(run);
    const std::optional<int> pacePercent = requiredPacePercent(here, elsewhere);
    if (!pacePercent)
        return std::nullopt;
    return Candidate { &host, &run, job, step, task, here - elsewhere, *pacePercent };
}

std::optional<int> FillerRelocator::requiredPacePercent(Duration here, Duration elsewhere) const
{
    const Duration available = here - m_rules.moveDuration - m_rules.minimumGain;
    if (available < elsewhere)
        return std::nullopt;
    const double pace = static_cast<double>(elsewhere.count()) / static_cast<double>(available.count());
    return std::max(m_rules.minimumDestinationPacePercent, static_cast<int>(pace * fullPace));
}

std::vector<FillerRelocator::Candidate> FillerRelocator::collectCandidates(Instant now)
{
    std::vector<Candidate> candidates;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (host.link == noLink || !host.listed)
            continue;
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            const std::optional<Candidate> candidate = makeCandidate(now, host, run.second);
            if (candidate)
                candidates.push_back(*candidate);
        }
    }
    // Those that gain most come first, wherever they run.
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& one, const Candidate& other) { return one.gain > other.gain; });
    return candidates;
}

void FillerRelocator::reserve(const PendingMove& move)
{
    Host* host = m_state.hosts.find(move.destination);
    if (!host)
        return;
    m_savedGroups.try_emplace(move.destination, host->servingGroups);
    HostRegistry::addRun(*host, move.reservation);
    m_paceController.addOrderedFiller(*host, move.reservation);
}

void FillerRelocator::reserveDestinations(Instant now)
{
    std::erase_if(m_pendingMoves, [this, now](const PendingMove& move) {
        JobState* job = m_state.findJob(move.reservation.task.jobId);
        const TaskState* task = job && job->isOpen() ? job->findTask(move.reservation.task) : nullptr;
        return now >= move.until || !task || task->completed || task->lastRun >= move.reservation.run;
    });
    for (const PendingMove& move : m_pendingMoves)
        reserve(move);
}

void FillerRelocator::releaseDestinations()
{
    for (const PendingMove& move : m_pendingMoves) {
        if (Host* host = m_state.hosts.find(move.destination))
            HostRegistry::removeRun(*host, runKey(move.reservation.task, move.reservation.run));
    }
    for (std::pair<const std::string, std::vector<ServingGroup>>& saved : m_savedGroups) {
        if (Host* host = m_state.hosts.find(saved.first))
            host->servingGroups = std::move(saved.second);
    }
    m_savedGroups.clear();
}

void FillerRelocator::relocate(Instant now, Actions& actions)
{
    if (now - m_lastPass < m_rules.passInterval)
        return;
    m_lastPass = now;
    const std::vector<Candidate> candidates = collectCandidates(now);
    reserveDestinations(now);
    FailedPlacements failedPlacements;
    const OpenHosts openHosts(m_state.hosts);
    std::set<const Host*> halted;
    std::vector<const Candidate*> chosen;
    for (const Candidate& candidate : candidates) {
        if (halted.contains(candidate.host))
            continue;
        PlacementRequest request = makePlacementRequest(*candidate.job, *candidate.step, *candidate.task);
        request.minimumPacePercent = candidate.requiredPacePercent;
        if (failedPlacements.find(request))
            continue;
        HostEligibilityCounts hostCounts;
        const Host* destination = m_placement.chooseHost(openHosts, request, now, &hostCounts);
        if (!destination) {
            failedPlacements.add(request, hostCounts);
            continue;
        }
        HostRun reservation = *candidate.run;
        ++reservation.run;
        reservation.acknowledgedPacePercent.reset();
        reservation.orderedPacePercent
            = m_paceController.tolerablePace(*destination, reservation.image, reservation.demand.milliProcessors);
        m_pendingMoves.push_back(PendingMove { destination->hostId, std::move(reservation), now + reservationTime });
        reserve(m_pendingMoves.back());
        halted.insert(candidate.host);
        chosen.push_back(&candidate);
    }
    releaseDestinations();
    for (const Candidate* candidate : chosen) {
        ++m_state.counters.fillerMoves;
        m_runTracker.haltRun(*candidate->host, *candidate->run, "moves_to_a_quieter_host", actions);
    }
}

} // namespace Plantainpier
