#include "Decision/Locality/LocalityWait.h"

#include "Base/LogLine.h"

#include <cmath>

namespace Plantainpier {

namespace {

    constexpr std::array localityOutcomeNames {
        NamedValue { LocalityOutcome::GotPlace, "got_place" },
        NamedValue { LocalityOutcome::GaveUp, "gave_up" },
        NamedValue { LocalityOutcome::PlaceGone, "place_gone" },
    };

    /// Share of the estimate that a task lasts at least, and multiple that it lasts at most: estimates are off by up to
    /// 0.9 in either direction.
    constexpr double leastShareOfEstimate = 0.1;
    constexpr double mostShareOfEstimate = 1.9;
    /// A run from a checkpoint has on average half of its work left.
    constexpr double shareLeftAfterCheckpoint = 0.5;
    /// Waits that ended without an entry here are of jobs that have ended.
    constexpr Duration abandonedWaitRetention = seconds(30);

    /// Passes over an unchanged state follow each other after this time; see JobOwner.
    constexpr Duration longestPassInterval = milliseconds(50);

    Duration scale(Duration duration, double factor) { return std::chrono::duration_cast<Duration>(duration * factor); }

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

Duration longestWaitByExpectedCost(const LocalityOffer& offer)
{
    // The forecast of a place may be late by the time in which ends are listed and passes run.
    constexpr double largestShareOfGain = 0.8;
    // A rack that is hardly ever idle runs as many tasks with waits as without them.
    constexpr double leastIdleShare = 0.1;
    if (!offer.forecast || offer.waited >= offer.gain)
        return Duration::zero();
    const Duration expectedWait = offer.forecast->expectedWait;
    if (offer.isWaiting)
        return offer.waited + expectedWait <= offer.gain ? offer.gain : Duration::zero();
    // A task that waits takes a place that a later one would have got, and delays tasks until the rack is idle again.
    // In full that would be 1/idleShare - 1 times the expected wait; 0.4 of it gave the shortest jobs in
    // LocalityLoadTest, since later tasks that are delayed by much start elsewhere.
    constexpr double weightOfLaterTasks = 0.4;
    const double idleShare = std::max(leastIdleShare, offer.forecast->idleShare);
    const double costFactor = 1 + weightOfLaterTasks * (1 / idleShare - 1);
    const bool paysOff = offer.forecast->idleShare >= leastIdleShare
        && scale(expectedWait, costFactor) <= scale(offer.gain, largestShareOfGain);
    return paysOff ? offer.gain : Duration::zero();
}

void LocalityWait::Balance::fade(Instant now)
{
    constexpr double fadeSeconds = 15;
    const double share = std::exp(-inSeconds(now - at) / fadeSeconds);
    gained *= share;
    waited *= share;
    at = now;
}

LocalityWait::LocalityWait(const LocalityRules& rules)
    : m_rules(rules)
{
    if (!m_rules.longestWait)
        m_rules.longestWait = longestWaitByExpectedCost;
}

LocalityWait::TaskKey LocalityWait::taskKey(const LocalityRequest& request)
{
    return TaskKey { request.job.definition().jobId, request.step.occurrence, request.step.step, request.task };
}

LocalityWait::RackKey LocalityWait::rackKey(const LocalityRequest& request)
{
    return RackKey { request.job.definition().serviceName, request.job.stepDefinition(request.step).dataRack };
}

void LocalityWait::beginPass(Instant now, const HostRegistry& hosts, const PlaceTurnover::RoomOfHost& room)
{
    if (!isEnabled())
        return;
    m_turnover.observe(now, hosts, room);
    m_waitingInFront.clear();
    std::erase_if(m_waits, [now](const std::pair<const TaskKey, Wait>& entry) {
        return now - entry.second.decidedAt > abandonedWaitRetention;
    });
}

bool LocalityWait::hasOpenRack(const LocalityRequest& request)
{
    const Wire::StepDefinition& step = request.job.stepDefinition(request.step);
    const std::string& service = request.job.definition().serviceName;
    return step.dataRack.empty() ? !m_turnover.openRacks(service).empty() : m_turnover.isOpen(service, step.dataRack);
}

std::optional<PlaceForecast> LocalityWait::forecast(Instant now, const LocalityRequest& request)
{
    const Wire::StepDefinition& step = request.job.stepDefinition(request.step);
    const RackKey key = rackKey(request);
    PlaceDemand demand { key.first, key.second, step.filler, step.demand.milliProcessors, 1 };
    if (step.gang)
        demand.places = request.step.tasks.size();
    demand.places
        += static_cast<std::size_t>(m_waitingInFront[key] / std::max<std::int64_t>(1, step.demand.milliProcessors));
    if (!step.dataRack.empty())
        return m_turnover.forecast(now, demand, m_durations);
    std::optional<PlaceForecast> best;
    for (const std::string& rack : m_turnover.openRacks(key.first)) {
        demand.rack = rack;
        const std::optional<PlaceForecast> candidate = m_turnover.forecast(now, demand, m_durations);
        if (!candidate || candidate->idleShare <= 0)
            continue;
        if (!best
            || inSeconds(candidate->expectedWait) * best->idleShare
                < inSeconds(best->expectedWait) * candidate->idleShare)
            best = candidate;
    }
    return best;
}

LocalityOffer LocalityWait::makeOffer(Instant now, const LocalityRequest& request)
{
    const Wire::StepDefinition& definition = request.job.stepDefinition(request.step);
    Wire::TaskName name;
    name.jobId = request.job.definition().jobId;
    name.occurrence = request.step.occurrence;
    name.step = request.step.step;
    const std::optional<Duration> shown
        = m_durations.find(request.job.definition().serviceName, name, definition.image);
    const Duration estimate = milliseconds(definition.estimateMilliseconds);
    const bool resumes = !request.step.tasks[request.task].checkpoint.empty();
    const Duration shortest
        = scale(shown.value_or(scale(estimate, leastShareOfEstimate)), resumes ? shareLeftAfterCheckpoint : 1);
    const Duration longest = shown.value_or(scale(estimate, mostShareOfEstimate));
    const Instant latestEnd = request.step.due - (request.step.remainingCriticalPath - estimate);
    LocalityOffer offer;
    offer.gain = scale(shortest, *m_rules.remoteFactor - 1);
    offer.slack = latestEnd - scale(longest, *m_rules.remoteFactor) - now;
    // Where only a run near the data or group can be on time, it is waited for while it can.
    if (offer.slack < Duration::zero())
        offer.slack = latestEnd - longest - now;
    offer.forecast = forecast(now, request);
    return offer;
}

bool LocalityWait::isUnprofitable(Instant now, const RackKey& rack, Duration gain)
{
    Balance& balance = m_balances[rack];
    balance.fade(now);
    // Two waits in vain may be chance.
    return balance.waited > balance.gained + 2 * inSeconds(gain);
}

bool LocalityWait::shouldWait(Instant now, const LocalityRequest& request, Actions& actions)
{
    const Wire::StepDefinition& definition = request.job.stepDefinition(request.step);
    // Room that was made by stopping other runs is used, and a long-running task is needed at once. A filler that ran
    // before may have been stopped to continue on the host that is offered.
    const bool isMoved = definition.filler && request.step.tasks[request.task].formerRun.fate != RunFate::None;
    if (!isEnabled() || definition.longRunning || isMoved || !request.step.roomExpectedUntil.empty())
        return false;
    std::map<TaskKey, Wait>::iterator it = m_waits.find(taskKey(request));
    const bool isWaiting = it != m_waits.end();
    if (isWaiting && it->second.gaveUp)
        return false;
    if (!hasOpenRack(request)) {
        if (isWaiting)
            endWait(now, request, it->second, LocalityOutcome::PlaceGone, actions);
        return false;
    }
    LocalityOffer offer = makeOffer(now, request);
    offer.isWaiting = isWaiting;
    offer.waited = isWaiting ? now - it->second.since : Duration::zero();
    const Duration longest = m_rules.longestWait(offer);
    const bool isInTime = isWaiting ? now < it->second.until : offer.slack > Duration::zero();
    const bool waits
        = isInTime && longest > offer.waited && (isWaiting || !isUnprofitable(now, rackKey(request), offer.gain));
    if (!waits) {
        if (isWaiting)
            endWait(now, request, it->second, LocalityOutcome::GaveUp, actions);
        return false;
    }
    if (!isWaiting) {
        const Duration expectedWait = offer.forecast ? offer.forecast->expectedWait : Duration::zero();
        it = m_waits
                 .emplace(taskKey(request),
                     Wait { now, now + std::min(longest, offer.slack), now, offer.gain, expectedWait })
                 .first;
    }
    it->second.decidedAt = now;
    if (!definition.gang)
        m_waitingInFront[rackKey(request)] += definition.demand.milliProcessors;
    return true;
}

void LocalityWait::endWait(
    Instant now, const LocalityRequest& request, Wait& wait, LocalityOutcome outcome, Actions& actions)
{
    // A task that was offered nothing elsewhere since the last decision has not waited by choice.
    const Duration waited = std::min(now, wait.decidedAt + longestPassInterval) - wait.since;
    m_counters.waitedMilliseconds += toMilliseconds(waited);
    std::int64_t& counter = outcome == LocalityOutcome::GotPlace ? m_counters.gotPlace
        : outcome == LocalityOutcome::GaveUp                     ? m_counters.gaveUp
                                                                 : m_counters.placeGone;
    ++counter;
    Balance& balance = m_balances[rackKey(request)];
    balance.fade(now);
    balance.waited += inSeconds(waited);
    balance.gained += outcome == LocalityOutcome::GotPlace ? inSeconds(wait.gain) : 0;
    wait.gaveUp = outcome != LocalityOutcome::GotPlace;
    LogLine line("locality_wait");
    line.add("outcome", nameIn(localityOutcomeNames, outcome)).add("waited_ms", toMilliseconds(waited));
    line.add("job", request.job.definition().jobId).add("occurrence", request.step.occurrence);
    line.add("step", request.step.step).add("task", request.task);
    line.add("rack", request.job.stepDefinition(request.step).dataRack);
    line.add("gang", request.job.stepDefinition(request.step).gang);
    line.add("expected_ms", toMilliseconds(wait.expectedWait)).add("gain_ms", toMilliseconds(wait.gain));
    actions.push_back(WriteLog { line.text() });
}

void LocalityWait::recordStart(Instant now, const LocalityRequest& request, bool isAway, Actions& actions)
{
    const Wire::StepDefinition& definition = request.job.stepDefinition(request.step);
    if (!hasPreference(definition))
        return;
    const std::int64_t tasks = definition.gang ? static_cast<std::int64_t>(request.step.tasks.size()) : 1;
    m_counters.starts += tasks;
    m_counters.startsAway += isAway ? tasks : 0;
    const std::map<TaskKey, Wait>::iterator it = m_waits.find(taskKey(request));
    if (it == m_waits.end())
        return;
    if (!it->second.gaveUp)
        endWait(now, request, it->second, isAway ? LocalityOutcome::GaveUp : LocalityOutcome::GotPlace, actions);
    m_waits.erase(it);
}

void LocalityWait::recordEnd(Instant now, const Host& host, const HostRun& run, bool isFullRun)
{
    if (!isEnabled())
        return;
    m_turnover.recordEnd(now, host, run);
    if (isFullRun && !run.longRunning && run.isAway)
        m_durations.record(now, host, run, *run.isAway ? *m_rules.remoteFactor : 1);
}

} // namespace Plantainpier
