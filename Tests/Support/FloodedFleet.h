/// Simulates in virtual time the load of a large fleet after a loss of power: all tasks wait at once, and as many hosts
/// as live are on record from before. Counts what the owner's scheduling passes cost. Used by PassCostTest and
/// PassSliceTest.
#pragma once

#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier::Flooding {

inline constexpr int livingHosts = 240;
inline constexpr std::int64_t term = 2;
inline constexpr int stepMilliseconds = 10;
inline constexpr std::int64_t coresOfHost = 64'000;
inline constexpr std::int64_t lastingCores = 13'000;
inline constexpr std::int64_t shortCores = 2'800;
inline constexpr std::int64_t fillerCores = 7'000;
inline constexpr int urgentPriority = 0;
inline constexpr int usualPriority = 1;

/// The load of the fleet after the loss of power.
struct Flood {
    int goneHosts = livingHosts;
    /// The last lease of the hosts that are gone.
    int leasesEnd = 0;
    int lastingJobs = 50;
    int shortJobs = 100;
    int fillerJobs = 25;
};

/// The owner of a later term, hosts with small runs that the owner before it started, and jobs that wait: all lasting
/// ones and every second other one inherited.
class FloodedFleet {
public:
    explicit FloodedFleet(const Flood& flood)
        : harness(term)
    {
        std::vector<StoreRecord> records;
        for (int n = 0; n < flood.goneHosts; ++n)
            addHost(records, "gone-" + std::to_string(100 + n));
        for (int n = 0; n < livingHosts; ++n)
            addLivingHost(records, n);
        for (int n = 0; n < flood.lastingJobs; ++n)
            addRecord(records, lastingJob(n));
        for (int n = 0; n < flood.shortJobs; n += 2)
            addRecord(records, shortJob(n));
        for (int n = 0; n < flood.fillerJobs; n += 2)
            addRecord(records, fillerJob(n));
        harness.owner.loadRecords(records);
        Actions actions;
        harness.owner.finishLoad(at(0), 0, at(flood.leasesEnd), actions);
        for (const std::pair<const std::string, std::vector<Wire::RunningTask>>& entry : m_runs) {
            Wire::HostReport announcement = makeHostReport(entry.first);
            announcement.listed = false;
            harness.deliverReport(now, announcement);
        }
        for (int n = 1; n < flood.shortJobs; n += 2)
            harness.submit(0, shortJob(n));
        for (int n = 1; n < flood.fillerJobs; n += 2)
            harness.submit(0, fillerJob(n));
    }

    static Wire::JobDefinition lastingJob(int n)
    {
        Wire::StepDefinition step = makeStep(24, lastingCores, 1000);
        step.longRunning = true;
        step.image = "serving-" + std::to_string(n % 8);
        step.targetMilliseconds = 100;
        return makeJobOf("lasting-", n, step);
    }
    static Wire::JobDefinition shortJob(int n) { return makeJobOf("short-", n, makeStep(13, shortCores, 60'000)); }
    static Wire::JobDefinition fillerJob(int n)
    {
        Wire::StepDefinition step = makeStep(40, fillerCores, 60'000);
        step.filler = true;
        step.image = "plan-" + std::to_string(n % 4);
        return makeJobOf("filler-", n, step);
    }

    /// Lets the hosts report, calls the owner's tick and delivers its orders.
    void step()
    {
        constexpr int listInterval = 200;
        now += stepMilliseconds;
        int n = 0;
        for (const std::pair<const std::string, std::vector<Wire::RunningTask>>& entry : m_runs) {
            if ((now / stepMilliseconds + n++) % (listInterval / stepMilliseconds) != 0)
                continue;
            Wire::HostReport report = makeHostReport(entry.first);
            report.listFence = harness.owner.state().hosts.hosts().at(entry.first).fence;
            report.running = entry.second;
            harness.deliverReport(now, report);
        }
        const std::int64_t evaluationsBefore = counters().hostEvaluations;
        harness.tick(now);
        mostEvaluations = std::max(mostEvaluations, counters().hostEvaluations - evaluationsBefore);
        for (; m_ordersRead < harness.sentOrders.size(); ++m_ordersRead) {
            const Wire::HostOrders& orders = harness.sentOrders[m_ordersRead];
            for (const Wire::StartOrder& start : orders.starts)
                m_runs[orders.hostId].push_back(makeRunningTask(start.task, start.run));
        }
    }
    void runUntil(int end)
    {
        while (now < end)
            step();
    }

    const OwnerCounters& counters() const { return harness.owner.state().counters; }
    std::size_t startsOf(const std::string& kind) const
    {
        return static_cast<std::size_t>(std::count_if(harness.startOrders.begin(), harness.startOrders.end(),
            [&kind](const Wire::StartOrder& start) { return start.task.jobId.starts_with(kind); }));
    }
    /// Number of living hosts with as many free processors.
    int hostsWithRoom(std::int64_t milliCores) const
    {
        int count = 0;
        for (const std::pair<const std::string, Host>& entry : harness.owner.state().hosts.hosts())
            count += entry.second.listed && entry.second.freeMilliCores() >= milliCores ? 1 : 0;
        return count;
    }

    OwnerHarness harness;
    int now = 0;
    /// Largest number of hosts that the owner examined in one tick.
    std::int64_t mostEvaluations = 0;

private:
    static Wire::JobDefinition makeJobOf(const std::string& kind, int n, const Wire::StepDefinition& step)
    {
        Wire::JobDefinition job = makeJob(kind + std::to_string(1000 + n), { step });
        job.priority = usualPriority;
        return job;
    }
    static void addRecord(std::vector<StoreRecord>& records, Wire::JobDefinition job)
    {
        job.acceptedTerm = 1;
        records.push_back(StoreRecord { StoreKey::job(job.jobId), Wire::encode(job) });
    }
    static void addHost(std::vector<StoreRecord>& records, const std::string& hostId)
    {
        Wire::HostRecord record;
        record.incarnation = 1;
        record.term = 1;
        records.push_back(StoreRecord { StoreKey::host(hostId), Wire::encode(record) });
    }
    void addLivingHost(std::vector<StoreRecord>& records, int n)
    {
        constexpr int runsOfHost = 20;
        const std::string hostId = "host-" + std::to_string(100 + n);
        addHost(records, hostId);
        Wire::StepDefinition step = makeStep(runsOfHost, 200, 1000);
        step.longRunning = true;
        const Wire::JobDefinition job = makeJobOf("standing-", n, step);
        addRecord(records, job);
        for (int index = 0; index < runsOfHost; ++index)
            m_runs[hostId].push_back(makeRunningTask(makeTask(job.jobId, 0, index), 1));
    }
    Wire::HostReport makeHostReport(const std::string& hostId) const
    {
        Wire::HostReport report = makeReport(hostId, 1, now);
        report.capacity.milliProcessors = coresOfHost;
        report.capacity.memoryMegabytes = 256'000;
        return report;
    }

    std::map<std::string, std::vector<Wire::RunningTask>> m_runs;
    std::size_t m_ordersRead = 0;
};

} // namespace Plantainpier::Flooding
