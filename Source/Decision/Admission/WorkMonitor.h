/// Measures the work that is left of open jobs, and how fast it is completed. Used by AdmissionController and
/// FeasibleOrder.
#pragma once

#include "Decision/Admission/ServiceRate.h"
#include "Decision/Job/JobState.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Plantainpier {

struct OwnerState;

/// Work of one open job in core-seconds at full pace, by the estimates of its steps. Long-running steps do not count.
struct JobWork {
    int priority = 0;
    Instant accepted;
    Instant due;
    /// Longest chain of estimates of steps that are not completed.
    Duration remainingCriticalPath {};
    double total = 0;
    double remaining = 0;
    /// The part of the remaining work that belongs to placed runs, and the cores that these runs request.
    double placed = 0;
    double placedCores = 0;
    /// Cores requested by tasks that wait for a host, and by placed fillers beyond their pace.
    double waitingCores = 0;
    double pacedDownCores = 0;

    double waiting() const { return remaining - placed; }
    Duration allowed() const { return due - accepted; }
};

/// Jobs of one service, by id.
using JobWorkMap = std::map<std::string, JobWork>;

/// The measurements of one owner. Work is compared between measurements, so that work that is lost because a run was
/// stopped counts against the rate.
class WorkMonitor {
public:
    /// Measures if the last measurement is old enough, and returns whether it did. While starts are held back,
    /// completed work does not show what the hosts can do.
    bool measureIfDue(Instant now, const OwnerState& state, bool startsAllowed);
    /// Counts a job that was accepted since the last measurement.
    void addJob(const JobState& job);

    /// Open jobs of a service as of the last measurement, and those accepted since. Null if there are none.
    const JobWorkMap* jobsOf(const std::string& service) const;
    /// Rate of all work of the service with this priority or a more urgent one. Certain only while work of this very
    /// priority is held back.
    RateEstimate rate(Instant now, const std::string& service, int priority) const;

    const std::map<std::string, JobWorkMap>& services() const { return m_services; }

private:
    using ClassName = std::pair<std::string, int>;

    static JobWork measureJob(const JobState& job);
    static void addRuns(const OwnerState& state, std::map<std::string, JobWorkMap>& services);
    std::map<ClassName, double> completedSince(
        const OwnerState& state, const std::map<std::string, JobWorkMap>& services) const;
    void recordRates(Instant now, const std::map<ClassName, double>& completed, bool startsAllowed);

    std::map<std::string, JobWorkMap> m_services;
    std::map<ClassName, ServiceRate> m_rates;
    Instant m_measuredAt;
    bool m_startsWereAllowed = false;
};

} // namespace Plantainpier
