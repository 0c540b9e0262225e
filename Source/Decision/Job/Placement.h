/// Chooses the host of a task. Answers the pattern "uneven hosts under mixed load": work with its own processors is
/// spread by what is left, fillers go where the processors are idle, and hosts that fail or crawl are passed over.
#pragma once

#include "Decision/Job/HostEligibility.h"
#include "Decision/Job/HostRegistry.h"
#include "Decision/Job/JobState.h"
#include "Decision/Job/PaceController.h"

namespace Plantainpier {

/// What placement needs beside the hosts.
struct PlacementRules {
    /// A host whose side has been silent for longer gets nothing new.
    Duration maximumSilence = milliseconds(1500);
    /// Share of a serving task's processors that it uses on average; fillers get the rest.
    double servingLoad = 0.6;
    /// Memory kept free of fillers, so that urgent work finds room at once: share of the host.
    double memoryReserve = 0.08;
};

/// A task that looks for a host.
struct PlacementRequest {
    const Wire::JobDefinition& job;
    const Wire::StepDefinition& definition;
    int occurrence = 0;
    int step = 0;
    /// Hosts that already run the task, for a copy.
    const std::vector<RunPlace>& taken;
    /// Only hosts of this rack, when not empty.
    std::string rack;
    /// A filler needs a host that can bear it at this pace, in percent, or better.
    int leastPace = 30;
};

/// The pure choice. Used by JobOwner.
class Placement {
public:
    Placement(const PlacementRules& rules, const PaceController& paces)
        : m_rules(rules)
        , m_paces(paces)
    {
    }

    /// The best host now; null when none is eligible. Counts the hosts by what was said of them, if asked to.
    Host* choose(HostRegistry& hosts, const PlacementRequest& request, Instant now,
        HostEligibilityCounts* counts = nullptr) const;
    /// Whether any host that is known could ever hold the task when empty.
    static bool couldEverFit(const HostRegistry& hosts, const std::string& service, const Wire::StepDefinition& step);
    /// Processors of the host that nobody uses, by estimate.
    std::int64_t idleMilliCores(const Host& host) const;

private:
    HostEligibility judge(const Host& host, const PlacementRequest& request, Instant now) const;
    HostEligibility judgeFiller(const Host& host, const PlacementRequest& request) const;
    double score(const Host& host, const PlacementRequest& request) const;
    static double company(const Host& host, const std::string& image);

    PlacementRules m_rules;
    const PaceController& m_paces;
};

} // namespace Plantainpier
