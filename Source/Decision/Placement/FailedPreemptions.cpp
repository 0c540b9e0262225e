#include "Decision/Placement/FailedPreemptions.h"

#include <algorithm>

namespace Plantainpier {

void FailedPreemptions::add(const Wire::JobDefinition& job, const Wire::StepDefinition& step, bool someHostHasRoom)
{
    m_failures.push_back(Failure { job.serviceName, step.requiredLabel, step.filler, HostRegistry::mayRunTwice(step),
        job.priority, step.demand.milliProcessors, step.demand.memoryMegabytes, someHostHasRoom });
}

bool FailedPreemptions::rulesOut(const Wire::JobDefinition& job, const Wire::StepDefinition& step) const
{
    return std::any_of(m_failures.begin(), m_failures.end(), [&job, &step](const Failure& failure) {
        const Wire::Resources& demand = step.demand;
        const bool needsTheSame
            = demand.milliProcessors == failure.milliProcessors && demand.memoryMegabytes == failure.memoryMegabytes;
        const bool needsAsMuch
            = demand.milliProcessors >= failure.milliProcessors && demand.memoryMegabytes >= failure.memoryMegabytes;
        return failure.filler == step.filler && job.priority >= failure.priority
            && (failure.mayRunTwice || !HostRegistry::mayRunTwice(step))
            && (failure.someHostHasRoom ? needsTheSame : needsAsMuch) && failure.label == step.requiredLabel
            && failure.service == job.serviceName;
    });
}

} // namespace Plantainpier
