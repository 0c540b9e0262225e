/// Chooses the host of a task. Tasks with reserved processors go to hosts with much free capacity, except that serving
/// tasks are grouped by image; fillers go to hosts with idle processors. Hosts that fail tasks or run them slowly are
/// avoided.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Job/JobState.h"
#include "Decision/Placement/HostEligibility.h"
#include "Decision/Placement/OpenHosts.h"
#include "Decision/Placement/PaceController.h"

namespace Plantainpier {

/// Parameters of the placement.
struct PlacementRules {
    /// A host that has not reported for longer gets no new tasks.
    Duration maximumReportAge = milliseconds(1500);
    /// Starts of a host that are ordered and not confirmed. Further tasks stay with the owner, which can still cancel
    /// them or place them elsewhere. A side sends some 20 starts to its host at a time. Gangs start as a whole, so they
    /// may exceed this.
    std::size_t maximumUnconfirmedStarts = 64;
    /// Runs of a host. The report of the host's list is one message, whose size is limited.
    std::size_t maximumRuns = 20'000;
    /// Share of its processors that a serving task uses on average; fillers may use the rest.
    double servingLoad = 0.6;
    /// Share of a host's memory that fillers must leave free, so that urgent tasks can start at once.
    double memoryReserve = 0.08;
    /// Fillers prefer hosts whose serving tasks keep this headroom beside them. Their load varies, so even fillers with
    /// a low pressure take tasks with less over their target at times, and a probe then stops all fillers of the host.
    double comfortableHeadroom = 3;
    /// Score of a filler on a host with a probe in progress, where it would be stopped at once.
    double probePenalty = 3;
    /// No filler is placed beside a probe.
    bool avoidsProbes = false;
    /// A filler waits this long for a host where it can stay. A job is late by then, and a host may stay ruled out for
    /// good by a serving task that exceeds its target by its own load.
    Duration longestWaitToStay = seconds(20);
    /// A filler needs a host that lets it run at this pace.
    int minimumPacePercent = 0;
    /// Headroom that the serving tasks of the host keep beside the filler.
    double leastHeadroom = -100;
    /// Fillers that a pace holds back count with all processors that they request.
    bool countsHeldFillers = false;
    static PlacementRules forFillers(FillerPlacement placement);
};

/// A task that needs a host.
struct PlacementRequest {
    const Wire::JobDefinition& job;
    const Wire::StepDefinition& definition;
    int occurrence = 0;
    int step = 0;
    /// Current runs of the task: a duplicate is never placed on the same host.
    const std::vector<RunPlace>& currentRuns;
    /// If not empty, only hosts of this rack are eligible.
    std::string rack;
    /// A filler needs a host that tolerates it at this pace or above.
    int minimumPacePercent = 30;
    /// A filler that has waited long takes any host that tolerates it now; see PlacementRules::longestWaitToStay.
    bool hasWaitedLong = false;
    /// The run will be halted once it has started, so its end may be forgotten.
    bool isEndTrial = false;
};

/// A request for a host for the next run of the task.
inline PlacementRequest makePlacementRequest(const JobState& job, const StepState& step, const TaskState& task)
{
    return PlacementRequest { job.definition(), job.stepDefinition(step), step.occurrence, step.step, task.runs, {} };
}

/// Chooses hosts without changing them. Used by TaskScheduler, and by JobOwner to refuse jobs that fit no host.
class Placement {
public:
    Placement(const PlacementRules& rules, const PaceController& paceController)
        : m_rules(rules)
        , m_paceController(paceController)
    {
    }

    /// Returns the eligible host with the highest score, or null when no host is eligible. If counts is given, it
    /// receives the number of hosts by eligibility.
    Host* chooseHost(const OpenHosts& hosts, const PlacementRequest& request, Instant now,
        HostEligibilityCounts* counts = nullptr) const;
    Host* chooseHost(HostRegistry& hosts, const PlacementRequest& request, Instant now,
        HostEligibilityCounts* counts = nullptr) const
    {
        return chooseHost(OpenHosts(hosts), request, now, counts);
    }
    bool isEligible(const Host& host, const PlacementRequest& request, Instant now) const
    {
        return evaluate(host, request, now) == HostEligibility::Eligible;
    }
    /// Whether a registered host of the service could hold a task of the step if the host were empty.
    static bool fitsAnyEmptyHost(
        const HostRegistry& hosts, const std::string& service, const Wire::StepDefinition& step);
    Duration longestWaitToStay() const { return m_rules.longestWaitToStay; }
    /// Estimated processors of the host that no run uses.
    std::int64_t idleMilliCores(const Host& host) const;
    /// Memory of the host that fillers must leave free.
    std::int64_t reservedMegabytes(const Host& host) const;
    /// Whether a task of the step could start on the host if the host's runs left enough room.
    static bool isOpenTo(
        const Host& host, const Wire::JobDefinition& job, const Wire::StepDefinition& step, Instant now);

private:
    HostEligibility evaluate(const Host& host, const PlacementRequest& request, Instant now) const;
    /// The same for a host of the service that OpenHosts does not rule out.
    HostEligibility evaluateOpen(const Host& host, const PlacementRequest& request, Instant now) const;
    /// Whether a run that was placed since the quarantine of the host has yet to show that the host works. Runs from
    /// before the quarantine do not count: a long-running one never ends.
    static bool isTrialUnderWay(const Host& host, Instant now);
    HostEligibility evaluateFiller(const Host& host, const PlacementRequest& request) const;
    /// Whether a filler that the host tolerates now can stay there.
    HostEligibility evaluateStay(const Host& host, const PlacementRequest& request) const;
    /// Preference among eligible hosts; higher is better.
    double score(const Host& host, const PlacementRequest& request) const;
    /// What a filler's interference with the serving tasks of the host takes from the score of the host.
    double interferencePenalty(const Host& host, const Wire::StepDefinition& step) const;
    /// From 1 when all serving tasks on the host have the given image to -1 when none has; 0 when there are none.
    static double imageAffinity(const Host& host, const std::string& image);

    PlacementRules m_rules;
    const PaceController& m_paceController;
};

} // namespace Plantainpier
