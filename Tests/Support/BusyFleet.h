/// Simulates hosts of 16 cores with a stream of small tasks in virtual time, and drives a JobOwner with their reports.
/// Used by the tests of tasks that wait while smaller ones start.
#pragma once

#include "Support/JobFixture.h"

#include <limits>
#include <map>

namespace Plantainpier {

/// The hosts and their owner. Durations are in milliseconds, processors in thousandths of a core.
class BusyFleet {
public:
    /// Once arrivals have begun, the given number of small tasks arrives every 100 ms.
    BusyFleet(int hosts, int smallTasksPerStep)
        : m_smallTasksPerStep(smallTasksPerStep)
    {
        for (int n = 0; n < hosts; ++n)
            m_hosts["host-" + std::to_string(100 + n)] = SimulatedHost {};
        runUntil(100);
    }

    void runUntil(int until)
    {
        for (; m_now < until; m_now += stepMilliseconds) {
            for (int n = 0; m_arrivals && m_now % 100 == 0 && n < m_jobsPerArrival; ++n)
                submitSmallJob();
            for (std::pair<const std::string, SimulatedHost>& entry : m_hosts)
                report(entry.first, entry.second);
            harness.tick(m_now);
            deliverOrders();
        }
    }

    void submitLasting(const std::string& jobId, int count, std::int64_t milliCores, int priority = 0)
    {
        Wire::StepDefinition step = makeStep(count, milliCores, 100);
        step.longRunning = true;
        Wire::JobDefinition job = makeJob(jobId, { step });
        job.priority = priority;
        harness.submit(m_now, job);
    }

    void startArrivals() { m_arrivals = true; }
    void setJobsPerArrival(int jobs) { m_jobsPerArrival = jobs; }
    int now() const { return m_now; }

    std::size_t runsOf(const std::string& jobId) const
    {
        std::size_t count = 0;
        for (const std::pair<const std::string, SimulatedHost>& entry : m_hosts)
            count += static_cast<std::size_t>(std::count_if(entry.second.runs.begin(), entry.second.runs.end(),
                [&jobId](const std::pair<const RunKey, int>& run) { return std::get<0>(run.first) == jobId; }));
        return count;
    }

    std::size_t smallStarts() const { return m_smallStarts; }

    OwnerHarness harness;

private:
    static constexpr int stepMilliseconds = 20;
    static constexpr std::int64_t hostMilliCores = 16'000;
    static constexpr std::int64_t smallMilliCores = 360;
    static constexpr int smallEstimate = 500;
    static constexpr int never = std::numeric_limits<int>::max();

    struct SimulatedHost {
        /// When each run ends.
        std::map<RunKey, int> runs;
        std::vector<Wire::EndedTask> ended;
        std::int64_t lastEndNumber = 0;
    };

    void submitSmallJob()
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(++m_lastSmallJob));
        harness.submit(m_now, makeJob(id, { makeStep(m_smallTasksPerStep, smallMilliCores, smallEstimate) }));
    }

    void report(const std::string& hostId, SimulatedHost& host)
    {
        Wire::HostReport report = makeReport(hostId, 1, m_now + 1000);
        report.capacity.milliProcessors = hostMilliCores;
        report.capacity.memoryMegabytes = 100'000;
        for (std::map<RunKey, int>::iterator it = host.runs.begin(); it != host.runs.end();) {
            const auto& [jobId, occurrence, step, index, run] = it->first;
            const Wire::TaskName task = makeTask(jobId, step, index);
            if (m_now < it->second) {
                report.running.push_back(makeRunningTask(task, run));
                ++it;
                continue;
            }
            host.ended.push_back(makeEndedTask(++host.lastEndNumber, task, run, Wire::RunEnd::Completed));
            it = host.runs.erase(it);
        }
        report.ended = host.ended;
        harness.announceAndReport(m_now, report);
    }

    void deliverOrders()
    {
        for (; m_nextOrders < harness.sentOrders.size(); ++m_nextOrders) {
            const Wire::HostOrders& orders = harness.sentOrders[m_nextOrders];
            SimulatedHost& host = m_hosts.at(orders.hostId);
            std::erase_if(
                host.ended, [&orders](const Wire::EndedTask& row) { return row.number <= orders.acknowledgedNumber; });
            for (const Wire::StartOrder& start : orders.starts) {
                const bool isSmall = start.task.jobId.starts_with("0000");
                m_smallStarts += isSmall ? 1 : 0;
                host.runs[runKey(start.task, start.run)] = isSmall ? m_now + smallEstimate : never;
            }
            for (const Wire::HaltOrder& halt : orders.halts)
                host.runs[runKey(halt.task, halt.run)] = m_now;
        }
    }

    int m_smallTasksPerStep;
    int m_now = 0;
    int m_lastSmallJob = 0;
    int m_jobsPerArrival = 1;
    bool m_arrivals = false;
    std::size_t m_smallStarts = 0;
    std::size_t m_nextOrders = 0;
    std::map<std::string, SimulatedHost> m_hosts;
};

} // namespace Plantainpier
