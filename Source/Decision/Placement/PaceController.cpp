#include "Decision/Placement/PaceController.h"

#include "Base/LogLine.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Plantainpier {

namespace {

    constexpr double initialHeadroom = 99;

    struct PacedFiller {
        bool highPressure;
        HostRun* run;
    };

} // namespace

PaceRules PaceRules::forInterferenceBound(Duration interferenceBound)
{
    PaceRules rules;
    // Fillers may interfere with a task before a probe and during an exemption. Either period, together with the age of
    // a list, must be shorter than the bound.
    constexpr double probeDelayShare = 0.375;
    constexpr double exemptionShare = 0.7;
    rules.probeDelay
        = std::min(rules.probeDelay, std::chrono::duration_cast<Duration>(interferenceBound * probeDelayShare));
    rules.exemptionDuration
        = std::min(rules.exemptionDuration, std::chrono::duration_cast<Duration>(interferenceBound * exemptionShare));
    return rules;
}

PaceRules PaceRules::forOwner(Duration interferenceBound, FillerPlacement placement)
{
    PaceRules rules = forInterferenceBound(interferenceBound);
    // Fillers that are placed to stay start above this by the reserve of PlacementRules::forFillers(), so a rise of the
    // serving load slows them down later.
    constexpr double reservedHeadroomOfStayingFillers = 1.25;
    if (placement == FillerPlacement::Stay)
        rules.reservedHeadroom = reservedHeadroomOfStayingFillers;
    return rules;
}

bool PaceController::isOrderOverdue(Instant now, const HostRun& run) const
{
    return run.orderedPacePercent != unknownPacePercent && run.knownPacePercent() != run.orderedPacePercent
        && now - std::max(run.paceOrderedAt, run.startConfirmedAt) >= m_rules.acknowledgementTimeout;
}

void PaceController::addPaceOrder(Instant now, Host& host, HostRun& run, int percent)
{
    Wire::PaceOrder order;
    order.task = run.task;
    order.run = run.run;
    order.percent = percent;
    host.orders.paces.push_back(std::move(order));
    run.paceOrderedAt = now;
    HostRegistry::setOrderedPace(host, run, percent);
}

int PaceController::orderPace(Instant now, Host& host, HostRun& run, int percent) const
{
    const int change = std::abs(percent - run.orderedPacePercent);
    const bool isExtreme = percent == 0 || percent == fullPacePercent;
    if (change == 0 || (change < m_rules.minimumPaceChangePercent && !isExtreme))
        return 0;
    addPaceOrder(now, host, run, percent);
    return 1;
}

int PaceController::repeatPaceOrder(Instant now, Host& host, HostRun& run) const
{
    if (!isOrderOverdue(now, run))
        return 0;
    addPaceOrder(now, host, run, run.orderedPacePercent);
    return 1;
}

double PaceController::maximumPressure(const std::vector<ServingGroup>& groups, const std::string& image) const
{
    double highest = 0;
    for (const ServingGroup& group : groups)
        highest = std::max(highest, m_model.pressure(group.image, image));
    return highest;
}

void PaceController::addOrderedFiller(Host& host, const HostRun& run) const
{
    for (ServingGroup& group : host.servingGroups)
        group.headroomOrdered += m_model.headroomCost(host, group.image, run.image, run.demand.milliProcessors)
            * run.orderedPacePercent / fullPacePercent;
}

int PaceController::tolerablePace(const Host& host, const std::string& image, std::int64_t milliCores) const
{
    double share = 1;
    const std::vector<ServingGroup>& groups = host.servingGroups;
    if (maximumPressure(groups, image) < m_rules.highPressureThreshold)
        return fullPacePercent;
    for (const ServingGroup& group : groups) {
        // An ordered pace counts in full even if the usage figures do not show it yet.
        const double availableHeadroom = group.headroom + group.headroomUsed
            - std::max(group.headroomUsed, group.headroomOrdered) - m_rules.reservedHeadroom;
        const double cost = m_model.headroomCost(host, group.image, image, milliCores);
        if (cost > 0)
            share = std::min(share, std::max(0.0, availableHeadroom) / cost);
    }
    return static_cast<int>(share * fullPacePercent);
}

double PaceController::expectedHeadroom(const Host& host, const std::string& image, std::int64_t milliCores) const
{
    double lowest = initialHeadroom;
    for (const ServingGroup& group : host.servingGroups) {
        const double ordered = std::max(group.headroomUsed, group.headroomOrdered);
        lowest = std::min(lowest,
            group.headroom + group.headroomUsed - ordered - m_model.headroomCost(host, group.image, image, milliCores));
    }
    return lowest;
}

bool PaceController::updateProbe(Instant now, Host& host, Actions& actions) const
{
    const bool probing = host.probeUntil != Instant();
    if (probing && now < host.probeUntil)
        return true;
    bool probeNeeded = false;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        const bool overTarget = run.targetMilliseconds > 0 && run.listed && run.usage > run.targetMilliseconds;
        if (!overTarget) {
            run.overTargetSince = Instant();
            continue;
        }
        if (run.overTargetSince == Instant())
            run.overTargetSince = now;
        if (probing)
            run.slowdownExemptUntil = now + m_rules.exemptionDuration;
        probeNeeded
            = probeNeeded || (now >= run.slowdownExemptUntil && now - run.overTargetSince >= m_rules.probeDelay);
    }
    if (probing || probeNeeded)
        actions.push_back(WriteLog { LogLine("probe")
                                         .add("host", host.hostId)
                                         .add("outcome", probing ? "ended" : "begun")
                                         .add("list_age_ms", toMilliseconds(now - host.clockReadAt))
                                         .text() });
    host.probeUntil = !probing && probeNeeded ? now + m_rules.probeDuration : Instant();
    return host.probeUntil != Instant();
}

void PaceController::samplePace(Instant now, HostRun& run, bool probing) const
{
    const Instant since = run.paceSampledAt == Instant() ? run.placedAt : run.paceSampledAt;
    run.paceSampledAt = now;
    // A probe ends soon, so the pace during it says nothing about the time that the run will take.
    if (probing || run.knownPacePercent() == unknownPacePercent)
        return;
    const double elapsed = std::chrono::duration<double>(now - since) / m_rules.paceSmoothingTime;
    const double pace = static_cast<double>(run.knownPacePercent()) / fullPacePercent;
    run.recentPace = pace + (run.recentPace - pace) * std::exp(-elapsed);
}

int PaceController::allottedPace(const Host& host, const HostRun& run, const std::vector<ServingGroup>& groups) const
{
    double share = 1;
    for (const ServingGroup& group : groups) {
        const double cost = m_model.headroomCost(host, group.image, run.image, run.demand.milliProcessors);
        if (m_model.pressure(group.image, run.image) < m_rules.highPressureThreshold)
            continue;
        if (group.headroomLeft < cost)
            share = std::min(share, std::max(0.0, group.headroomLeft) / cost);
    }
    const int percent = static_cast<int>(share * fullPacePercent);
    return percent < m_rules.minimumPacePercent ? 0 : percent;
}

int PaceController::adjustPaces(Instant now, Host& host, Actions& actions) const
{
    std::vector<ServingGroup> groups = m_model.servingGroups(now, host);
    std::vector<PacedFiller> fillers;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (run.filler && run.phase == RunPhase::Running)
            fillers.push_back(
                PacedFiller { maximumPressure(groups, run.image) >= m_rules.highPressureThreshold, &run });
    }
    if (fillers.empty()) {
        // The next filler must not inherit a probe, or the time over target, from before it started.
        host.probeUntil = Instant();
        for (std::pair<const RunKey, HostRun>& entry : host.runs)
            entry.second.overTargetSince = Instant();
        return 0;
    }
    // Low-pressure fillers first, then those that began first: a job is complete only when its last task is.
    std::sort(fillers.begin(), fillers.end(), [](const PacedFiller& one, const PacedFiller& other) {
        return std::tie(one.highPressure, one.run->placedAt) < std::tie(other.highPressure, other.run->placedAt);
    });
    double lowestHeadroom = initialHeadroom;
    for (ServingGroup& group : groups) {
        lowestHeadroom = std::min(lowestHeadroom, group.headroom);
        const double headroomWithoutFillers = group.headroom + group.headroomUsed;
        // Near or over the target, the learned pressures are not reliable enough to leave headroom to fillers.
        group.headroomLeft
            = group.headroom < m_rules.minimumHeadroom ? 0.0 : headroomWithoutFillers - m_rules.reservedHeadroom;
    }
    const bool wasProbing = host.probeUntil != Instant();
    const bool probing = updateProbe(now, host, actions);
    for (const PacedFiller& filler : fillers)
        samplePace(now, *filler.run, wasProbing);
    const bool raiseAllowed = now - host.paceRaisedAt >= m_rules.raiseInterval;
    bool raised = false;
    int ordersAdded = 0;
    int ordersRepeated = 0;
    for (const PacedFiller& filler : fillers) {
        HostRun& run = *filler.run;
        int percent = probing ? 0 : allottedPace(host, run, groups);
        if (filler.highPressure && percent > run.orderedPacePercent && run.orderedPacePercent >= 0)
            percent = raiseAllowed ? std::min(percent, run.orderedPacePercent + m_rules.maximumRaisePercent)
                                   : run.orderedPacePercent;
        raised = raised || percent > run.orderedPacePercent;
        for (ServingGroup& group : groups)
            group.headroomLeft -= m_model.headroomCost(host, group.image, run.image, run.demand.milliProcessors)
                * percent / fullPacePercent;
        const int changed = orderPace(now, host, run, percent);
        const int repeated = changed > 0 ? 0 : repeatPaceOrder(now, host, run);
        ordersAdded += changed + repeated;
        ordersRepeated += repeated;
    }
    if (raised)
        host.paceRaisedAt = now;
    if (ordersAdded > 0)
        actions.push_back(
            WriteLog { LogLine("pace")
                           .add("host", host.hostId)
                           .add("orders", ordersAdded)
                           .add("repeated", ordersRepeated)
                           .add("fillers", fillers.size())
                           .add("headroom_percent", groups.empty() ? -1 : static_cast<int>(lowestHeadroom * 100))
                           .add("probing", probing)
                           .add("list_age_ms", toMilliseconds(now - host.clockReadAt))
                           .text() });
    return ordersAdded;
}

} // namespace Plantainpier
