#include "Decision/Job/WaitLogger.h"

#include "Decision/Placement/HostRoom.h"

#include <algorithm>
#include <functional>

namespace Plantainpier {

namespace {

    /// Shorter waits are not logged: waiting for a pass or two is normal.
    constexpr Duration minimumWait = seconds(2);
    /// Time between two lines about one step; doubles with each line up to the maximum.
    constexpr Duration firstInterval = seconds(5);
    constexpr Duration maximumInterval = seconds(40);
    /// Only one scheduling pass per interval adds lines, and only up to a maximum, so that passes stay cheap while many
    /// steps wait.
    constexpr Duration loggingInterval = milliseconds(500);
    constexpr int maximumLinesPerPass = 4;
    /// Of these, lines about steps that have been logged before, so that these do not keep out the others.
    constexpr int maximumRepeatsPerPass = 2;

    constexpr std::array waitReasonNames {
        NamedValue { WaitReason::HostsNotReported, "hosts_unheard" },
        NamedValue { WaitReason::EndNotReported, "end_unheard" },
        NamedValue { WaitReason::Paused, "paused" },
        NamedValue { WaitReason::NoHost, "no_host" },
        NamedValue { WaitReason::HostNotPersisted, "host_not_stored" },
        NamedValue { WaitReason::GangIncomplete, "gang_not_whole" },
        NamedValue { WaitReason::NoRunNumber, "no_run_number" },
        NamedValue { WaitReason::LocalPlace, "local_place" },
    };

    /// Returns the values with a count above 0, each with its name and count.
    template <typename Enum, std::size_t size>
    std::string formatCounts(const std::array<NamedValue<Enum>, size>& names, const std::function<int(Enum)>& countOf)
    {
        std::string text;
        for (const NamedValue<Enum>& row : names) {
            const int count = countOf(row.value);
            if (count == 0)
                continue;
            text += text.empty() ? "" : ",";
            text += std::string(row.name) + ":" + std::to_string(count);
        }
        return text.empty() ? "none" : text;
    }

    /// Counts the hosts of the job's service by what takes the room of a task of the step.
    std::string formatRoom(const OwnerState& state, const JobState& job, const Wire::StepDefinition& step)
    {
        std::array<int, roomTakenByNames.size()> counts {};
        for (const std::pair<const std::string, Host>& entry : state.hosts.hosts()) {
            const Host& host = entry.second;
            if (host.service != job.definition().serviceName)
                continue;
            const RoomTakenBy takenBy = roomTakenBy(host, step.demand, step.filler, job.definition().priority);
            ++counts[static_cast<std::size_t>(takenBy)];
        }
        return formatCounts<RoomTakenBy>(
            roomTakenByNames, [&counts](RoomTakenBy takenBy) { return counts[static_cast<std::size_t>(takenBy)]; });
    }

    /// Number of tasks of the job that have a run.
    std::size_t countTasksWithRun(const JobState& job)
    {
        std::size_t count = 0;
        for (const StepState& step : job.steps())
            count += static_cast<std::size_t>(std::count_if(
                step.tasks.begin(), step.tasks.end(), [](const TaskState& task) { return !task.runs.empty(); }));
        return count;
    }

} // namespace

bool WaitLogger::mayLog(Instant now)
{
    if (now - m_loggingPass >= loggingInterval) {
        m_loggingPass = now;
        m_linesInPass = 0;
        m_repeatsInPass = 0;
        removeOldSteps(now);
    }
    return now == m_loggingPass && m_linesInPass < maximumLinesPerPass;
}

void WaitLogger::removeOldSteps(Instant now)
{
    std::erase_if(m_loggedSteps, [now](const std::pair<const StepKey, LoggedStep>& entry) {
        return now - entry.second.loggedAt > 2 * maximumInterval;
    });
}

void WaitLogger::logIfDue(Instant now, const WaitingTask& wait, Actions& actions)
{
    const Duration waited = now - wait.task.waitingSince;
    if (waited < minimumWait || !mayLog(now))
        return;
    const std::string& jobId = wait.job.definition().jobId;
    const std::pair<std::map<StepKey, LoggedStep>::iterator, bool> entry = m_loggedSteps.try_emplace(
        StepKey { jobId, wait.step.occurrence, wait.step.step }, LoggedStep { now, firstInterval });
    LoggedStep& loggedStep = entry.first->second;
    if (!entry.second) {
        if (now - loggedStep.loggedAt < loggedStep.interval || m_repeatsInPass >= maximumRepeatsPerPass)
            return;
        ++m_repeatsInPass;
        loggedStep.loggedAt = now;
        loggedStep.interval = std::min(2 * loggedStep.interval, maximumInterval);
    }
    ++m_linesInPass;
    LogLine line("task_waits");
    line.add("job", jobId).add("occurrence", wait.step.occurrence).add("step", wait.step.step);
    line.add("waiting", wait.step.waitingTasks).add("waited_ms", toMilliseconds(waited));
    line.add("why", nameIn(waitReasonNames, wait.reason)).add("hosts_unheard", m_state.countUnlistedHosts(now));
    line.add("job_runs", countTasksWithRun(wait.job));
    if (wait.reason == WaitReason::NoHost) {
        const Wire::StepDefinition& definition = wait.job.stepDefinition(wait.step);
        line.add("hosts", formatCounts<HostEligibility>(hostEligibilityNames, [&wait](HostEligibility eligibility) {
            return wait.hostCounts.count(eligibility);
        }));
        line.add("lasting", definition.longRunning).add("demand_milli", definition.demand.milliProcessors);
        line.add("demand_mb", definition.demand.memoryMegabytes);
        line.add("room", formatRoom(m_state, wait.job, definition));
    }
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
