#include "Decision/Job/PaceController.h"

#include "Base/LogLine.h"

#include <algorithm>
#include <vector>

namespace Plantainpier {

namespace {

    constexpr int fullPace = 100;

    constexpr double largestHeadroomShown = 99;

    struct PacedFiller {
        bool loud;
        HostRun* run;
    };

} // namespace

PaceRules PaceRules::within(Duration harmBound)
{
    PaceRules rules;
    // Before a probe and after an acquittal harm may last as long as these and another list, together less than the
    // bound.
    constexpr double patienceShare = 0.375;
    constexpr double acquittalShare = 0.7;
    rules.alarmPatience
        = std::min(rules.alarmPatience, std::chrono::duration_cast<Duration>(harmBound * patienceShare));
    rules.acquittal = std::min(rules.acquittal, std::chrono::duration_cast<Duration>(harmBound * acquittalShare));
    return rules;
}

int PaceController::order(Host& host, HostRun& run, int percent) const
{
    const int change = std::abs(percent - run.orderedPercent);
    const bool edge = percent == 0 || percent == fullPace;
    if (change == 0 || (change < m_rules.smallestChange && !edge))
        return 0;
    Wire::PaceOrder order;
    order.task = run.task;
    order.run = run.run;
    order.percent = percent;
    host.orders.paces.push_back(std::move(order));
    run.orderedPercent = percent;
    return 1;
}

double PaceController::loudness(const std::vector<ServingGroup>& groups, const std::string& image) const
{
    double most = 0;
    for (const ServingGroup& group : groups)
        most = std::max(most, m_model.pressure(group.image, image));
    return most;
}

void PaceController::addOrdered(Host& host, const HostRun& run) const
{
    for (ServingGroup& group : host.servingGroups)
        group.ordered
            += m_model.push(host, group.image, run.image, run.demand.milliProcessors) * run.orderedPercent / fullPace;
}

int PaceController::bearablePace(const Host& host, const std::string& image, std::int64_t milliCores) const
{
    double share = 1;
    const std::vector<ServingGroup>& groups = host.servingGroups;
    if (loudness(groups, image) < m_rules.quietPressure)
        return fullPace;
    for (const ServingGroup& group : groups) {
        // What was ordered but does not show in the figures yet counts as exerted.
        const double bearable
            = group.headroom + group.exerted - std::max(group.exerted, group.ordered) - m_rules.keptHeadroom;
        const double push = m_model.push(host, group.image, image, milliCores);
        if (push > 0)
            share = std::min(share, std::max(0.0, bearable) / push);
    }
    return static_cast<int>(share * fullPace);
}

bool PaceController::probes(Instant now, Host& host, Actions& actions) const
{
    const bool probing = host.probeUntil != Instant();
    if (probing && now < host.probeUntil)
        return true;
    bool wanted = false;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        const bool over = run.targetMilliseconds > 0 && run.listed && run.usage > run.targetMilliseconds;
        if (!over) {
            run.overSince = Instant();
            continue;
        }
        if (run.overSince == Instant())
            run.overSince = now;
        if (probing)
            run.acquittedUntil = now + m_rules.acquittal;
        wanted = wanted || (now >= run.acquittedUntil && now - run.overSince >= m_rules.alarmPatience);
    }
    if (probing || wanted)
        actions.push_back(WriteLog { LogLine("probe")
                                         .add("host", host.hostId)
                                         .add("outcome", probing ? "ended" : "begun")
                                         .add("list_age_ms", toMilliseconds(now - host.clockReadAt))
                                         .text() });
    host.probeUntil = !probing && wanted ? now + m_rules.probe : Instant();
    return host.probeUntil != Instant();
}

int PaceController::allot(const Host& host, const HostRun& run, const std::vector<ServingGroup>& groups) const
{
    double share = 1;
    for (const ServingGroup& group : groups) {
        const double push = m_model.push(host, group.image, run.image, run.demand.milliProcessors);
        if (m_model.pressure(group.image, run.image) < m_rules.quietPressure)
            continue;
        if (group.left < push)
            share = std::min(share, std::max(0.0, group.left) / push);
    }
    const int percent = static_cast<int>(share * fullPace);
    return percent < m_rules.leastPace ? 0 : percent;
}

int PaceController::adjust(Instant now, Host& host, Actions& actions) const
{
    std::vector<ServingGroup> groups = m_model.groups(now, host);
    std::vector<PacedFiller> fillers;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (run.filler && run.phase == RunPhase::Running)
            fillers.push_back(PacedFiller { loudness(groups, run.image) >= m_rules.quietPressure, &run });
    }
    if (fillers.empty())
        return 0;
    // The quiet ones first, then those that began first: a plan is complete when its last task is.
    std::sort(fillers.begin(), fillers.end(), [](const PacedFiller& one, const PacedFiller& other) {
        return std::tie(one.loud, one.run->since) < std::tie(other.loud, other.run->since);
    });
    double least = largestHeadroomShown;
    for (ServingGroup& group : groups) {
        least = std::min(least, group.headroom);
        const double unaided = group.headroom + group.exerted;
        // Over the target, what was learned says too little.
        group.left = group.headroom < m_rules.alarmHeadroom ? 0.0 : unaided - m_rules.keptHeadroom;
    }
    const bool probing = probes(now, host, actions);
    const bool mayRaise = now - host.paceRaisedAt >= m_rules.raiseInterval;
    bool raised = false;
    int sent = 0;
    for (const PacedFiller& filler : fillers) {
        HostRun& run = *filler.run;
        int percent = probing ? 0 : allot(host, run, groups);
        if (filler.loud && percent > run.orderedPercent && run.orderedPercent >= 0)
            percent = mayRaise ? std::min(percent, run.orderedPercent + m_rules.largestRaise) : run.orderedPercent;
        raised = raised || percent > run.orderedPercent;
        for (ServingGroup& group : groups)
            group.left -= m_model.push(host, group.image, run.image, run.demand.milliProcessors) * percent / fullPace;
        sent += order(host, run, percent);
    }
    if (raised)
        host.paceRaisedAt = now;
    if (sent > 0)
        actions.push_back(WriteLog { LogLine("pace")
                                         .add("host", host.hostId)
                                         .add("orders", sent)
                                         .add("fillers", fillers.size())
                                         .add("headroom_percent", groups.empty() ? -1 : static_cast<int>(least * 100))
                                         .add("probing", probing)
                                         .add("list_age_ms", toMilliseconds(now - host.clockReadAt))
                                         .text() });
    return sent;
}

} // namespace Plantainpier
