#include "Decision/Job/WaitLogger.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// What waits for less is not told: a pass or two without room is ordinary.
    constexpr Duration leastWait = seconds(2);
    /// Time between two lines of a step; it doubles with each line up to the longest.
    constexpr Duration firstInterval = seconds(5);
    constexpr Duration longestInterval = seconds(40);
    /// One pass in this time looks for steps to tell about, and tells about so many at most: passes stay cheap while
    /// much waits.
    constexpr Duration passInterval = milliseconds(500);
    constexpr int maximumLines = 4;

    constexpr std::array waitCauseNames {
        NamedValue { WaitReason::HostsUnheard, "hosts_unheard" },
        NamedValue { WaitReason::EndUnheard, "end_unheard" },
        NamedValue { WaitReason::Paused, "paused" },
        NamedValue { WaitReason::NoHost, "no_host" },
        NamedValue { WaitReason::HostNotStored, "host_not_stored" },
        NamedValue { WaitReason::GangNotWhole, "gang_not_whole" },
    };

    std::string describe(const HostEligibilityCounts& hosts)
    {
        std::string text;
        for (const NamedValue<HostEligibility>& row : hostEligibilityNames) {
            const int count = hosts.of(row.value);
            if (count == 0)
                continue;
            text += text.empty() ? "" : ",";
            text += std::string(row.name) + ":" + std::to_string(count);
        }
        return text.empty() ? "none" : text;
    }

} // namespace

bool WaitLogger::mayTell(Instant now)
{
    if (now - m_pass >= passInterval) {
        m_pass = now;
        m_lines = 0;
        forget(now);
    }
    return now == m_pass && m_lines < maximumLines;
}

void WaitLogger::forget(Instant now)
{
    std::erase_if(m_told,
        [now](const std::pair<const StepKey, Told>& entry) { return now - entry.second.last > 2 * longestInterval; });
}

void WaitLogger::note(Instant now, const WaitingTask& wait, Actions& actions)
{
    const Duration waited = now - wait.task.waitingSince;
    if (waited < leastWait || !mayTell(now))
        return;
    const std::string& jobId = wait.job.definition().jobId;
    const std::pair<std::map<StepKey, Told>::iterator, bool> entry
        = m_told.try_emplace(StepKey { jobId, wait.step.occurrence, wait.step.step }, Told { now, firstInterval });
    Told& told = entry.first->second;
    if (!entry.second) {
        if (now - told.last < told.interval)
            return;
        told.last = now;
        told.interval = std::min(2 * told.interval, longestInterval);
    }
    ++m_lines;
    LogLine line("task_waits");
    line.add("job", jobId).add("occurrence", wait.step.occurrence).add("step", wait.step.step);
    line.add("waiting", wait.step.waiting).add("waited_ms", toMilliseconds(waited));
    line.add("why", nameIn(waitCauseNames, wait.cause)).add("hosts_unheard", m_state.hostsUnheard(now));
    if (wait.cause == WaitReason::NoHost)
        line.add("hosts", describe(wait.hosts));
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
