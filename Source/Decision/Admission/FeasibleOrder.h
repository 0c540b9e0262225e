/// Chooses the jobs that can be on time together when the hosts cannot complete all of them in time. TaskScheduler
/// asks for the place of each waiting step.
#pragma once

#include "Decision/Admission/AdmissionRules.h"
#include "Decision/Admission/WorkMonitor.h"
#include "Decision/Job/WorkPriority.h"

#include <set>

namespace Plantainpier {

/// Applies the rule of Moore and Hodgson to each class of jobs: in the order of their due times, while the work up to a
/// job exceeds what the hosts complete until then, the job with the most waiting work is deferred. A job that has been
/// open for promotionFactor times its allowed time is promoted: placed before all others of its class. Jobs are
/// promoted in the order of their acceptance, those of use first, and so that they take at most a quarter of the rate.
class FeasibleOrder {
public:
    /// Multiple of its allowed time after which a job is promoted. A late job is still of use up to lateFactor.
    static constexpr int promotionFactor = 2;

    FeasibleOrder(OverloadOrder order, const WorkMonitor& monitor)
        : m_order(order)
        , m_monitor(monitor)
    {
    }

    /// Chooses anew. Call after each measurement.
    void update(Instant now);
    /// Changes the sort key of a step if its job is deferred or promoted.
    void adjust(const JobState& job, WorkPriority& sortKey) const;

    std::size_t deferredJobs() const { return m_deferred.size(); }
    std::size_t promotedJobs() const { return m_promoted.size(); }

private:
    using Entry = std::pair<const std::string, JobWork>;

    void updateClass(Instant now, const std::string& service, const JobWorkMap& jobs, int priority);
    /// Returns the waiting work of the promoted jobs.
    double promote(Instant now, const std::string& service, const std::vector<const Entry*>& jobs, double rate);

    OverloadOrder m_order;
    const WorkMonitor& m_monitor;
    std::set<std::string> m_deferred;
    std::set<std::string> m_promoted;
    /// Work in core-seconds that may be promoted, by service and priority. Negative after the promotion of a job with
    /// more work, until the share of the rate has made up for it.
    std::map<std::pair<std::string, int>, double> m_promotionBudgets;
    Instant m_updatedAt;
    Duration m_sinceLastUpdate {};
};

} // namespace Plantainpier
