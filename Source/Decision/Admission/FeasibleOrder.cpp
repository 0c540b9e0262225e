#include "Decision/Admission/FeasibleOrder.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Share of the rate that promoted jobs may take. The rest keeps other jobs on time.
    constexpr double promotedShare = 0.25;
    /// After a longer pause the budget does not grow further.
    constexpr Duration maximumInterval = seconds(1);

    bool isPromotable(Instant now, const JobWork& work)
    {
        return work.waiting() > 0 && now >= work.accepted + FeasibleOrder::promotionFactor * work.allowed();
    }

    bool isOverdue(Instant now, const JobWork& work)
    {
        return now + work.remainingCriticalPath > work.accepted + lateFactor * work.allowed();
    }

} // namespace

void FeasibleOrder::update(Instant now)
{
    m_deferred.clear();
    m_sinceLastUpdate = std::min<Duration>(now - m_updatedAt, maximumInterval);
    m_updatedAt = now;
    if (m_order == OverloadOrder::LeastSlack)
        return;
    std::erase_if(m_promoted, [this](const std::string& jobId) {
        return std::none_of(m_monitor.services().begin(), m_monitor.services().end(),
            [&jobId](
                const std::pair<const std::string, JobWorkMap>& service) { return service.second.contains(jobId); });
    });
    for (const std::pair<const std::string, JobWorkMap>& service : m_monitor.services()) {
        std::set<int> priorities;
        for (const Entry& entry : service.second)
            priorities.insert(entry.second.priority);
        for (const int priority : priorities)
            updateClass(now, service.first, service.second, priority);
    }
}

void FeasibleOrder::updateClass(Instant now, const std::string& service, const JobWorkMap& jobs, int priority)
{
    const RateEstimate rate = m_monitor.rate(now, service, priority);
    if (!rate.certain)
        return;
    std::vector<const Entry*> ownJobs;
    double work = 0;
    for (const Entry& entry : jobs) {
        if (entry.second.priority < priority)
            work += entry.second.remaining;
        if (entry.second.priority != priority)
            continue;
        // Placed runs are not stopped for others of their class.
        work += entry.second.placed;
        ownJobs.push_back(&entry);
    }
    std::sort(ownJobs.begin(), ownJobs.end(),
        [](const Entry* one, const Entry* other) { return one->second.due < other->second.due; });
    work += promote(now, service, ownJobs, rate.usual);
    std::vector<const Entry*> chosen;
    for (const Entry* entry : ownJobs) {
        const JobWork& job = entry->second;
        if (job.waiting() <= 0 || now + job.remainingCriticalPath > job.due || m_promoted.contains(entry->first))
            continue;
        chosen.push_back(entry);
        work += job.waiting();
        // Waiting work must be placed in time for its runs to end in time.
        const Instant latestPlacement = job.due - job.remainingCriticalPath;
        const double possibleWork = rate.usual * std::chrono::duration<double>(latestPlacement - now).count();
        while (work > possibleWork && !chosen.empty()) {
            const std::vector<const Entry*>::iterator largest = std::max_element(chosen.begin(), chosen.end(),
                [](const Entry* one, const Entry* other) { return one->second.waiting() < other->second.waiting(); });
            work -= (*largest)->second.waiting();
            m_deferred.insert((*largest)->first);
            chosen.erase(largest);
        }
    }
}

double FeasibleOrder::promote(
    Instant now, const std::string& service, const std::vector<const Entry*>& jobs, double rate)
{
    std::vector<const Entry*> old;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(old),
        [now](const Entry* entry) { return isPromotable(now, entry->second); });
    if (old.empty())
        return 0;
    std::sort(old.begin(), old.end(), [now](const Entry* one, const Entry* other) {
        return std::pair(isOverdue(now, one->second), one->second.accepted)
            < std::pair(isOverdue(now, other->second), other->second.accepted);
    });
    double& budget = m_promotionBudgets[{ service, old.front()->second.priority }];
    const double share = promotedShare * rate * std::chrono::duration<double>(m_sinceLastUpdate).count();
    budget = std::min(budget + share, share);
    double work = 0;
    for (const Entry* entry : old) {
        if (!m_promoted.contains(entry->first)) {
            if (budget < 0)
                continue;
            m_promoted.insert(entry->first);
            budget -= entry->second.waiting();
        }
        work += entry->second.waiting();
    }
    return work;
}

void FeasibleOrder::adjust(const JobState& job, WorkPriority& sortKey) const
{
    if (m_promoted.contains(job.definition().jobId)) {
        sortKey.timeliness = Timeliness::Promoted;
        sortKey.rank = static_cast<double>(job.accepted().time_since_epoch().count());
    } else if (sortKey.timeliness == Timeliness::OnTime && m_deferred.contains(job.definition().jobId)) {
        sortKey.timeliness = Timeliness::Deferred;
        sortKey.rank = job.workCoreSeconds();
    }
}

} // namespace Plantainpier
