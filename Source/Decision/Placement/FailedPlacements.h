/// Requests for which the current scheduling pass has found no host. Used by TaskScheduler, so that the cost of a pass
/// depends on the number of different requests rather than on the number of waiting steps: while the hosts are full,
/// nearly all steps wait for the same reason.
#pragma once

#include "Decision/Placement/Placement.h"

#include <vector>

namespace Plantainpier {

/// Cleared at the start of each pass. Within a pass, the free capacity of hosts only decreases.
class FailedPlacements {
public:
    void clear() { m_failures.clear(); }
    /// Records that no host is eligible for the request; hostCounts says why.
    void add(const PlacementRequest& request, const HostEligibilityCounts& hostCounts);
    /// Returns the reasons of an earlier failure that also rules out this request, or null if there is none.
    const HostEligibilityCounts* find(const PlacementRequest& request) const;

private:
    struct Failure {
        std::string service;
        std::string label;
        std::string image;
        bool filler = false;
        bool mayRunTwice = false;
        Wire::Resources demand;
        int minimumPacePercent = 0;
        bool hasWaitedLong = false;
        HostEligibilityCounts hostCounts;
    };

    std::vector<Failure> m_failures;
};

} // namespace Plantainpier
