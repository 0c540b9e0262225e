/// Admission and the order of work under overload, with the measurements that both use. JobOwner has one for each term.
#pragma once

#include "Decision/Admission/AdmissionController.h"
#include "Decision/Admission/FeasibleOrder.h"
#include "Decision/Job/OwnerState.h"

namespace Plantainpier {

/// Does nothing, and measures nothing, unless a setting enables one of the two. A new owner knows no rate, so it
/// accepts all jobs and keeps the order by slack until it does.
class OverloadControl {
public:
    explicit OverloadControl(const OwnerRules& rules)
        : m_enabled(rules.admission != AdmissionMode::Off || rules.overloadOrder != OverloadOrder::LeastSlack)
        , m_admission(rules.admission, m_monitor)
        , m_order(rules.overloadOrder, m_monitor)
    {
    }

    /// Measures from time to time. While starts are held back, completed work does not show what the hosts can do.
    void measureIfDue(Instant now, const OwnerState& state, bool startsAllowed, Actions& actions);
    /// Returns false and counts the job if it can be completed in time. Otherwise describes the rejection in the reply
    /// and the log line.
    bool rejects(Instant now, const JobState& job, Wire::JobReply& answer, LogLine& line);

    const FeasibleOrder& order() const { return m_order; }
    const WorkMonitor& monitor() const { return m_monitor; }
    /// Number of rejected jobs by queue.
    const std::map<std::string, std::int64_t>& rejections() const { return m_rejections; }

private:
    bool m_enabled;
    WorkMonitor m_monitor;
    AdmissionController m_admission;
    FeasibleOrder m_order;
    std::map<std::string, std::int64_t> m_rejections;
};

} // namespace Plantainpier
