#include "Decision/Placement/Placement.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Minimum time for which a trial run holds back the next one.
    constexpr Duration minimumTrialDuration = seconds(1);
    /// A trial run that takes longer than this multiple of its estimate may be paused for the tasks beside it. It then
    /// shows neither that the host works nor that it fails.
    constexpr int trialEstimates = 2;

    /// Processors that fillers of the host request beyond their paces. They use them as soon as their paces are raised.
    std::int64_t heldBackMilliCores(const Host& host)
    {
        std::int64_t requested = 0;
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            if (entry.second.filler)
                requested += entry.second.demand.milliProcessors;
        }
        return requested - host.processorUse.fillers;
    }

    bool hasFillers(const Host& host)
    {
        return std::any_of(host.runs.begin(), host.runs.end(),
            [](const std::pair<const RunKey, HostRun>& entry) { return entry.second.filler; });
    }

    bool hasLabel(const Host& host, const std::string& label)
    {
        return label.empty() || std::find(host.labels.begin(), host.labels.end(), label) != host.labels.end();
    }

    HostEligibility evaluateResources(const Wire::Resources& free, const Wire::StepDefinition& step)
    {
        if (!step.filler && step.demand.milliProcessors > free.milliProcessors)
            return HostEligibility::NoProcessors;
        if (step.demand.memoryMegabytes > free.memoryMegabytes)
            return HostEligibility::NoMemory;
        return step.demand.accelerators > free.accelerators ? HostEligibility::NoAccelerators
                                                            : HostEligibility::Eligible;
    }

} // namespace

PlacementRules PlacementRules::forFillers(FillerPlacement placement)
{
    PlacementRules rules;
    if (placement == FillerPlacement::Pace)
        return rules;
    constexpr int nearlyFullPace = 90;
    // Above PaceRules::reservedHeadroom, because the load of serving tasks rises while the filler runs. In virtual time
    // 1.6 leaves more processors idle and earns less; 2 earns less than the setting "pace".
    constexpr double headroomBesideStayingFillers = 1.5;
    rules.avoidsProbes = true;
    rules.minimumPacePercent = nearlyFullPace;
    rules.leastHeadroom = headroomBesideStayingFillers;
    rules.countsHeldFillers = true;
    return rules;
}

std::int64_t Placement::idleMilliCores(const Host& host) const
{
    const ProcessorUse& use = host.processorUse;
    const double serving = m_rules.servingLoad * static_cast<double>(use.longRunning);
    return host.capacity.milliProcessors - static_cast<std::int64_t>(serving) - use.batch - use.fillers;
}

std::int64_t Placement::reservedMegabytes(const Host& host) const
{
    return static_cast<std::int64_t>(m_rules.memoryReserve * static_cast<double>(host.capacity.memoryMegabytes));
}

bool Placement::isOpenTo(
    const Host& host, const Wire::JobDefinition& job, const Wire::StepDefinition& step, Instant now)
{
    return OpenHosts::eligibility(host) == HostEligibility::Eligible && host.service == job.serviceName
        && hasLabel(host, step.requiredLabel) && now >= host.health.quarantinedUntil && !host.health.onProbation
        && (!host.mayForgetEnds || HostRegistry::mayRunTwice(step));
}

bool Placement::isTrialUnderWay(const Host& host, Instant now)
{
    return std::any_of(host.runs.begin(), host.runs.end(), [&host, now](const std::pair<const RunKey, HostRun>& entry) {
        const HostRun& run = entry.second;
        const Duration heldBack
            = std::max<Duration>(minimumTrialDuration, trialEstimates * milliseconds(run.estimateMilliseconds));
        return run.placedAt >= host.health.quarantinedUntil && now - run.placedAt < heldBack;
    });
}

HostEligibility Placement::evaluateFiller(const Host& host, const PlacementRequest& request) const
{
    const Wire::StepDefinition& step = request.definition;
    if (host.freeMegabytes() - step.demand.memoryMegabytes < reservedMegabytes(host))
        return HostEligibility::NoMemory;
    if (idleMilliCores(host) < step.demand.milliProcessors)
        return HostEligibility::NoIdleProcessors;
    if (m_paceController.tolerablePace(host, step.image, step.demand.milliProcessors) < request.minimumPacePercent)
        return HostEligibility::FillerNotTolerated;
    return request.hasWaitedLong ? HostEligibility::Eligible : evaluateStay(host, request);
}

HostEligibility Placement::evaluateStay(const Host& host, const PlacementRequest& request) const
{
    const Wire::StepDefinition& step = request.definition;
    const std::int64_t held = m_rules.countsHeldFillers ? heldBackMilliCores(host) : 0;
    if (idleMilliCores(host) - held < step.demand.milliProcessors)
        return HostEligibility::NoIdleProcessors;
    if (m_rules.avoidsProbes && host.probeUntil != Instant())
        return HostEligibility::FillerNotTolerated;
    // Low-pressure fillers run at full pace whatever the headroom, so many of them push a task over its target
    // together. A host without fillers gets a single one that is expected to leave the target met.
    const double headroom = m_paceController.expectedHeadroom(host, step.image, step.demand.milliProcessors);
    const double leastHeadroom = hasFillers(host) ? m_rules.leastHeadroom : std::min(1.0, m_rules.leastHeadroom);
    if (headroom < leastHeadroom)
        return HostEligibility::FillerNotTolerated;
    if (m_paceController.tolerablePace(host, step.image, step.demand.milliProcessors) < m_rules.minimumPacePercent)
        return HostEligibility::FillerNotTolerated;
    return HostEligibility::Eligible;
}

HostEligibility Placement::evaluate(const Host& host, const PlacementRequest& request, Instant now) const
{
    if (host.service != request.job.serviceName)
        return HostEligibility::OtherService;
    const HostEligibility eligibility = OpenHosts::eligibility(host);
    return eligibility == HostEligibility::Eligible ? evaluateOpen(host, request, now) : eligibility;
}

HostEligibility Placement::evaluateOpen(const Host& host, const PlacementRequest& request, Instant now) const
{
    const Wire::StepDefinition& step = request.definition;
    if (now - host.lastContactAt > m_rules.maximumReportAge)
        return HostEligibility::Silent;
    if (host.unconfirmedStarts >= m_rules.maximumUnconfirmedStarts && !step.gang)
        return HostEligibility::StartsPending;
    if (host.runs.size() >= m_rules.maximumRuns)
        return HostEligibility::TooManyRuns;
    if (now < host.health.quarantinedUntil)
        return HostEligibility::Quarantined;
    if (host.health.onProbation && isTrialUnderWay(host, now))
        return HostEligibility::OnProbation;
    if (host.mayForgetEnds && !HostRegistry::mayRunTwice(step) && !request.isEndTrial)
        return HostEligibility::MayForgetEnds;
    if (!request.rack.empty() && host.rack != request.rack)
        return HostEligibility::OtherRack;
    if (!hasLabel(host, step.requiredLabel))
        return HostEligibility::NoLabel;
    Wire::Resources free;
    free.milliProcessors = host.freeMilliCores();
    free.memoryMegabytes = host.freeMegabytes();
    free.accelerators = host.freeAccelerators();
    HostEligibility eligibility = evaluateResources(free, step);
    if (eligibility == HostEligibility::Eligible && step.filler)
        eligibility = evaluateFiller(host, request);
    if (eligibility != HostEligibility::Eligible)
        return eligibility;
    for (const RunPlace& place : request.currentRuns) {
        if (place.hostId == host.hostId)
            return HostEligibility::RunsTheTask;
    }
    const bool full = step.maximumPerHost > 0
        && HostRegistry::countRunsOfStep(host, request.job.jobId, request.occurrence, request.step)
            >= step.maximumPerHost;
    if (full)
        return HostEligibility::StepAtMaximum;
    return host.isRecordPersisted ? HostEligibility::Eligible : HostEligibility::NotPersisted;
}

double Placement::imageAffinity(const Host& host, const std::string& image)
{
    int same = 0;
    int others = 0;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        const HostRun& run = entry.second;
        if (run.targetMilliseconds <= 0)
            continue;
        if (run.image == image)
            ++same;
        else
            ++others;
    }
    return same + others == 0 ? 0 : static_cast<double>(same - others) / (same + others);
}

double Placement::interferencePenalty(const Host& host, const Wire::StepDefinition& step) const
{
    constexpr double fullPace = 100;
    constexpr double slowPaceWeight = 2;
    const std::int64_t milliCores = step.demand.milliProcessors;
    const double pace = m_paceController.tolerablePace(host, step.image, milliCores) / fullPace;
    const double headroom = m_paceController.expectedHeadroom(host, step.image, milliCores);
    return slowPaceWeight * (1 - pace) + std::max(0.0, m_rules.comfortableHeadroom - headroom)
        + (host.probeUntil == Instant() ? 0 : m_rules.probePenalty);
}

double Placement::score(const Host& host, const PlacementRequest& request) const
{
    const Wire::StepDefinition& step = request.definition;
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, host.capacity.milliProcessors));
    const double idle = static_cast<double>(idleMilliCores(host)) / capacity;
    const double memory = static_cast<double>(host.freeMegabytes())
        / static_cast<double>(std::max<std::int64_t>(1, host.capacity.memoryMegabytes));
    const double free = static_cast<double>(host.freeMilliCores()) / capacity;
    double value = step.filler ? idle + 0.3 * memory : free + 0.3 * memory;
    // Serving tasks are grouped by image: the fewer serving images a host has, the fewer filler images interfere there.
    if (step.targetMilliseconds > 0)
        value = 2 * imageAffinity(host, step.image) - free;
    // Reading data from another rack slows a task down more than any difference in load does.
    if (!step.dataRack.empty() && host.rack != step.dataRack)
        value -= 2;
    if (step.filler)
        value -= interferencePenalty(host, step);
    // A slow host is worth less, whether the score is above or below zero.
    return value >= 0 ? value / host.health.slowness : value * host.health.slowness;
}

Host* Placement::chooseHost(
    const OpenHosts& hosts, const PlacementRequest& request, Instant now, HostEligibilityCounts* counts) const
{
    const OpenHostGroup& group = hosts.ofService(request.job.serviceName);
    if (counts)
        *counts = group.closed;
    Host* best = nullptr;
    double bestScore = 0;
    for (Host* host : group.hosts) {
        const HostEligibility eligibility = evaluateOpen(*host, request, now);
        if (counts)
            counts->add(eligibility);
        if (eligibility != HostEligibility::Eligible)
            continue;
        const double value = score(*host, request);
        if (!best || value > bestScore) {
            best = host;
            bestScore = value;
        }
    }
    return best;
}

bool Placement::fitsAnyEmptyHost(
    const HostRegistry& hosts, const std::string& service, const Wire::StepDefinition& step)
{
    for (const std::pair<const std::string, Host>& entry : hosts.hosts()) {
        const Host& host = entry.second;
        const bool fits = evaluateResources(host.capacity, step) == HostEligibility::Eligible;
        if (host.service == service && fits && hasLabel(host, step.requiredLabel))
            return true;
    }
    return false;
}

} // namespace Plantainpier
