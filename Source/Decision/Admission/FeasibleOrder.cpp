#include "Decision/Admission/FeasibleOrder.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Waiting work of promoted jobs, in seconds of the whole rate. The order is chosen four times a second, so
    /// promoted jobs take all rooms that become free for a short time only.
    constexpr double promotedSeconds = 0.25;

    bool isPromotable(Instant now, const JobWork& work)
    {
        return work.waiting() > 0 && now >= work.accepted + FeasibleOrder::promotionFactor * work.allowed();
    }

} // namespace

void FeasibleOrder::update(Instant now)
{
    m_deferred.clear();
    m_promoted.clear();
    if (m_order == OverloadOrder::LeastSlack)
        return;
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
    work += promote(now, ownJobs, rate.usual);
    std::vector<const Entry*> chosen;
    for (const Entry* entry : ownJobs) {
        const JobWork& job = entry->second;
        if (job.waiting() <= 0 || now + job.remainingCriticalPath > job.due || m_promoted.contains(entry->first))
            continue;
        chosen.push_back(entry);
        work += job.waiting();
        const double possibleWork = rate.usual * std::chrono::duration<double>(job.due - now).count();
        while (work > possibleWork && !chosen.empty()) {
            const std::vector<const Entry*>::iterator largest = std::max_element(chosen.begin(), chosen.end(),
                [](const Entry* one, const Entry* other) { return one->second.waiting() < other->second.waiting(); });
            work -= (*largest)->second.waiting();
            m_deferred.insert((*largest)->first);
            chosen.erase(largest);
        }
    }
}

double FeasibleOrder::promote(Instant now, const std::vector<const Entry*>& jobs, double rate)
{
    std::vector<const Entry*> old;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(old),
        [now](const Entry* entry) { return isPromotable(now, entry->second); });
    std::sort(old.begin(), old.end(),
        [](const Entry* one, const Entry* other) { return one->second.accepted < other->second.accepted; });
    double work = 0;
    for (const Entry* entry : old) {
        if (work > rate * promotedSeconds)
            break;
        m_promoted.insert(entry->first);
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
