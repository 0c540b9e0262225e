/// Requests for which the current scheduling pass has found no less urgent runs to stop. Used by TaskScheduler, like
/// FailedPlacements, so that such searches depend on the number of different requests.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <string>
#include <vector>

namespace Plantainpier {

/// Cleared at the start of each pass. Within a pass, hosts get fewer runs that may be stopped and less room.
class FailedPreemptions {
public:
    void clear() { m_failures.clear(); }
    /// Records that no runs can be stopped for the step. A host with room that the step may not use is left alone by
    /// this step, but not by one that needs more: then only requests with the same demand are ruled out.
    void add(const Wire::JobDefinition& job, const Wire::StepDefinition& step, bool someHostHasRoom);
    bool rulesOut(const Wire::JobDefinition& job, const Wire::StepDefinition& step) const;

private:
    struct Failure {
        std::string service;
        std::string label;
        bool filler = false;
        bool mayRunTwice = false;
        int priority = 0;
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMegabytes = 0;
        bool someHostHasRoom = false;
    };

    std::vector<Failure> m_failures;
};

} // namespace Plantainpier
