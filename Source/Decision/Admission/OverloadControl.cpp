#include "Decision/Admission/OverloadControl.h"

#include <cmath>

namespace Plantainpier {

void OverloadControl::measureIfDue(Instant now, const OwnerState& state, bool startsAllowed, Actions& actions)
{
    if (!m_enabled || !m_monitor.measureIfDue(now, state, startsAllowed))
        return;
    const std::size_t deferredBefore = m_order.deferredJobs();
    const std::size_t promotedBefore = m_order.promotedJobs();
    m_order.update(now);
    if (m_order.deferredJobs() == deferredBefore && m_order.promotedJobs() == promotedBefore)
        return;
    actions.push_back(WriteLog { LogLine("overload_order")
                                     .add("deferred", m_order.deferredJobs())
                                     .add("promoted", m_order.promotedJobs())
                                     .text() });
}

bool OverloadControl::rejects(Instant now, const JobState& job, Wire::JobReply& answer, LogLine& line)
{
    const AdmissionDecision decision = m_admission.decide(now, job);
    if (decision.accepted) {
        if (m_enabled)
            m_monitor.addJob(job);
        return false;
    }
    answer.kind = Wire::JobReplyKind::Refused;
    answer.reason = "cannot_be_completed_in_time";
    answer.retryAfterMilliseconds = toMilliseconds(decision.retryAfter);
    ++m_rejections[job.definition().queue];
    line.add("outcome", "refused").add("why", answer.reason);
    line.add("expected_ms", toMilliseconds(decision.expected)).add("limit_ms", toMilliseconds(decision.limit));
    line.add("backlog", std::llround(decision.backlog)).add("rate", std::llround(decision.rate));
    line.add("retry_after_ms", answer.retryAfterMilliseconds);
    return true;
}

} // namespace Plantainpier
