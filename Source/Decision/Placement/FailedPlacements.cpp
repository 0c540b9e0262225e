#include "Decision/Placement/FailedPlacements.h"

#include <algorithm>

namespace Plantainpier {

void FailedPlacements::add(const PlacementRequest& request, const HostEligibilityCounts& hostCounts)
{
    // A host that was ruled out by where other tasks of the same step run may be eligible for another step.
    const bool isSpecificToStep = hostCounts.count(HostEligibility::OtherRack) > 0
        || hostCounts.count(HostEligibility::RunsTheTask) > 0 || hostCounts.count(HostEligibility::StepAtMaximum) > 0;
    if (isSpecificToStep)
        return;
    const Wire::StepDefinition& step = request.definition;
    m_failures.push_back(Failure { request.job.serviceName, step.requiredLabel, step.image, step.filler,
        HostRegistry::mayRunTwice(step), step.demand, request.minimumPacePercent, request.hasWaitedLong, hostCounts });
}

const HostEligibilityCounts* FailedPlacements::find(const PlacementRequest& request) const
{
    const Wire::StepDefinition& step = request.definition;
    const auto rulesOut = [&request, &step](const Failure& failure) {
        const Wire::Resources& demand = failure.demand;
        const bool isSameKind = failure.service == request.job.serviceName && failure.label == step.requiredLabel
            && failure.filler == step.filler && (!step.filler || failure.image == step.image)
            && (failure.mayRunTwice || !HostRegistry::mayRunTwice(step));
        const bool needsAsMuch = step.demand.milliProcessors >= demand.milliProcessors
            && step.demand.memoryMegabytes >= demand.memoryMegabytes && step.demand.accelerators >= demand.accelerators
            && request.minimumPacePercent >= failure.minimumPacePercent
            && (failure.hasWaitedLong || !request.hasWaitedLong);
        return isSameKind && needsAsMuch;
    };
    const std::vector<Failure>::const_iterator it = std::find_if(m_failures.begin(), m_failures.end(), rulesOut);
    return it == m_failures.end() ? nullptr : &it->hostCounts;
}

} // namespace Plantainpier
