#include "Decision/Admission/AdmissionController.h"

#include "Decision/Job/WorkPriority.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Hosts may become faster than they were, for example when the load of serving tasks falls.
    constexpr double rateMargin = 1.25;
    /// Later steps of other jobs leave gaps that the estimate does not show. Without this margin 4 of 114 rejections of
    /// random loads (24 seeds) were wrong, all of jobs with limits of 3 to 6 s.
    constexpr Duration certaintyMargin = seconds(1);
    /// Clients retry four times at most, so a longer delay would not give them more attempts in time.
    constexpr Duration maximumRetryDelay = seconds(60);

    Duration timeFor(double coreSeconds, double rate)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(coreSeconds / rate));
    }

    bool isOverdue(Instant now, const JobWork& work)
    {
        return now + work.remainingCriticalPath > work.accepted + lateFactor * work.allowed();
    }

    /// The part of placed work that is done before a job with this critical path ends. Runs that share their hosts with
    /// the job's tasks advance as fast as these.
    double placedAhead(const JobWork& work, Duration criticalPath)
    {
        return std::min(work.placed, work.placedCores * std::chrono::duration<double>(criticalPath).count());
    }

    /// Latest time at which the waiting work of a job must have been placed if the job is to be on time.
    Instant latestPlacement(const JobWork& work) { return work.due - work.remainingCriticalPath; }

    /// Work that is served before a job if it becomes late, and whether it becomes late.
    struct WorkAhead {
        bool inTime = false;
        double coreSeconds = 0;
    };

    /// The jobs of one class that wait while a job of the class is judged.
    class ClassForecast {
    public:
        ClassForecast(Instant now, const JobState& job, const JobWorkMap& jobs, double rate)
            : m_now(now)
            , m_job(job)
            , m_rate(rate)
        {
            for (const std::pair<const std::string, JobWork>& entry : jobs) {
                const JobWork& work = entry.second;
                if (work.priority > job.definition().priority)
                    continue;
                if (work.priority < job.definition().priority) {
                    m_ahead += work.remaining;
                    continue;
                }
                m_ahead += placedAhead(work, job.criticalPath());
                if (!isOverdue(now, work) && work.waiting() > 0)
                    m_waiting.push_back(&work);
            }
        }

        /// Serves the jobs by least slack, then the late ones by size.
        WorkAhead workAhead()
        {
            WorkAhead ahead;
            ahead.inTime = serveByLeastSlack();
            serveLateJobs();
            ahead.coreSeconds = m_ahead;
            return ahead;
        }

    private:
        /// Returns whether the job can be on time. A job that cannot be takes the hosts until it is late.
        bool serveByLeastSlack()
        {
            const Instant ownLatest = m_job.due() - m_job.criticalPath();
            std::sort(m_waiting.begin(), m_waiting.end(), [](const JobWork* one, const JobWork* other) {
                return latestPlacement(*one) < latestPlacement(*other);
            });
            Instant time = m_now + timeFor(m_ahead, m_rate);
            bool judged = false;
            bool inTime = false;
            std::vector<const JobWork*> late;
            for (const JobWork* work : m_waiting) {
                if (!judged && latestPlacement(*work) > ownLatest) {
                    judged = true;
                    inTime = time + timeFor(m_job.workCoreSeconds(), m_rate) <= m_job.due();
                }
                const Instant end = time + timeFor(work->waiting(), m_rate);
                if (end <= work->due) {
                    m_ahead += work->waiting();
                    time = end;
                    continue;
                }
                time = std::max(time, latestPlacement(*work));
                late.push_back(work);
            }
            m_waiting = std::move(late);
            return judged ? inTime : time + timeFor(m_job.workCoreSeconds(), m_rate) <= m_job.due();
        }

        /// Adds the work of smaller late jobs that are served while they are of use.
        void serveLateJobs()
        {
            std::sort(m_waiting.begin(), m_waiting.end(),
                [](const JobWork* one, const JobWork* other) { return one->total < other->total; });
            for (const JobWork* work : m_waiting) {
                const Instant end = m_now + timeFor(m_ahead + work->waiting(), m_rate);
                if (work->total <= m_job.workCoreSeconds() && end <= work->accepted + lateFactor * work->allowed())
                    m_ahead += work->waiting();
            }
        }

        Instant m_now;
        const JobState& m_job;
        double m_rate;
        double m_ahead = 0;
        std::vector<const JobWork*> m_waiting;
    };

} // namespace

AdmissionDecision AdmissionController::decide(Instant now, const JobState& job)
{
    AdmissionDecision decision;
    const Wire::JobDefinition& definition = job.definition();
    const auto isLongRunning = [](const Wire::StepDefinition& step) { return step.longRunning; };
    // A repeated job's work is spread over its occurrences, and a long-running one has no end to be in time for.
    if (m_mode == AdmissionMode::Off || definition.occurrences > 0
        || std::any_of(definition.steps.begin(), definition.steps.end(), isLongRunning))
        return decision;
    const JobWorkMap* jobs = m_monitor.jobsOf(definition.serviceName);
    const RateEstimate rate = m_monitor.rate(now, definition.serviceName, definition.priority);
    if (!jobs || !rate.certain)
        return decision;
    const Duration allowed = job.due() - job.accepted();
    decision.rate = rateMargin * rate.highest;
    decision.limit = lateFactor * allowed;
    const WorkAhead ahead = ClassForecast(now, job, *jobs, decision.rate).workAhead();
    if (ahead.inTime)
        return decision;
    decision.backlog = ahead.coreSeconds + job.workCoreSeconds();
    decision.expected = std::max(job.criticalPath(), timeFor(decision.backlog, decision.rate));
    decision.accepted = decision.expected <= decision.limit + certaintyMargin;
    if (!decision.accepted)
        decision.retryAfter = chooseRetryDelay(
            now, { definition.serviceName, definition.priority }, decision, timeFor(job.workCoreSeconds(), rate.usual));
    return decision;
}

Duration AdmissionController::chooseRetryDelay(
    Instant now, const ClassName& name, const AdmissionDecision& decision, Duration ownTime)
{
    Instant& next = m_nextRetryAt[name];
    const Instant latest = now + maximumRetryDelay;
    const Instant retryAt = std::min(std::max(next, now + decision.expected - decision.limit), latest);
    next = std::min(retryAt + ownTime, latest);
    // The answer carries whole seconds; see platform/JobProtocol.cpp.
    return std::chrono::ceil<seconds>(std::max<Duration>(retryAt - now, seconds(1)));
}

} // namespace Plantainpier
