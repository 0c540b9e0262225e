#include "Decision/Admission/AdmissionController.h"

#include "Decision/Job/WorkPriority.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Hosts may become faster than they were, for example when the load of serving tasks falls.
    constexpr double rateMargin = 1.25;
    /// Clients retry four times at most, so a longer delay would not give them more attempts in time.
    constexpr Duration maximumRetryDelay = seconds(60);

    /// Work that has to be done before a job, by two measures.
    struct WorkAhead {
        /// While the job can be on time.
        double inTime = 0;
        /// Once the job is late, when small jobs come before large ones.
        double late = 0;
    };

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

    /// Earlier jobs of the job's own class, in the order of their due times.
    std::vector<const JobWork*> jobsInDueOrder(const JobWorkMap& jobs, int priority)
    {
        std::vector<const JobWork*> found;
        for (const std::pair<const std::string, JobWork>& entry : jobs) {
            if (entry.second.priority == priority)
                found.push_back(&entry.second);
        }
        std::sort(
            found.begin(), found.end(), [](const JobWork* one, const JobWork* other) { return one->due < other->due; });
        return found;
    }

    WorkAhead workAhead(Instant now, const JobState& job, const JobWorkMap& jobs, double usualRate)
    {
        WorkAhead ahead;
        double moreUrgent = 0;
        for (const std::pair<const std::string, JobWork>& entry : jobs) {
            if (entry.second.priority < job.definition().priority)
                moreUrgent += entry.second.remaining;
        }
        ahead.inTime = moreUrgent;
        ahead.late = moreUrgent;
        double beforeDue = moreUrgent;
        for (const JobWork* other : jobsInDueOrder(jobs, job.definition().priority)) {
            const double placed = placedAhead(*other, job.criticalPath());
            ahead.inTime += placed;
            ahead.late += placed;
            if (isOverdue(now, *other))
                continue;
            // A job that cannot be on time is passed by those that can.
            const bool canBeInTime = now + timeFor(beforeDue + other->remaining, usualRate) <= other->due;
            const bool passes = canBeInTime && other->due <= job.due();
            beforeDue += canBeInTime ? other->remaining : 0;
            ahead.inTime += passes ? other->waiting() : 0;
            ahead.late += passes || other->total <= job.workCoreSeconds() ? other->waiting() : 0;
        }
        return ahead;
    }

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
    const WorkAhead ahead = workAhead(now, job, *jobs, rate.usual);
    decision.rate = rateMargin * rate.highest;
    decision.limit = lateFactor * allowed;
    const Duration inTime = timeFor(ahead.inTime + job.workCoreSeconds(), decision.rate);
    decision.backlog = (inTime <= allowed ? ahead.inTime : ahead.late) + job.workCoreSeconds();
    decision.expected = std::max(job.criticalPath(), timeFor(decision.backlog, decision.rate));
    decision.accepted = decision.expected <= decision.limit;
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
