/// Simulates in virtual time a fleet whose hosts have all been replaced while nobody was there to report their end, as
/// after a loss of power, and owners that follow each other. Used by ReplacedHostsTest and OwnersByTurnsTest.
#pragma once

#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Plantainpier::Replacement {

inline constexpr int sideCount = 240;
inline constexpr int lastingTaskCount = 1200;
inline constexpr int tickMilliseconds = 20;
/// A successor waits this long for leases of its predecessor.
inline constexpr int holdMilliseconds = 9290;
inline constexpr const char* lastingJob = "00000000000000bb";
inline StoreRecord makeHostRecord(const std::string& hostId, const std::string& sideId)
{
    Wire::HostRecord record;
    record.incarnation = 1;
    record.term = 1;
    record.sideId = sideId;
    return StoreRecord { StoreKey::host(hostId), Wire::encode(record) };
}

inline Wire::HostReport makeSideReport(const std::string& hostId, const std::string& sideId, int now)
{
    Wire::HostReport report = makeReport(hostId, 1, now);
    report.sideId = sideId;
    return report;
}

/// Loads the records and completes the take-over.
inline void takeOver(OwnerHarness& harness, const std::vector<StoreRecord>& records, int now)
{
    harness.owner.loadRecords(records);
    Actions actions;
    harness.owner.finishLoad(at(now), now, at(now + holdMilliseconds), actions);
}

/// Where the hosts were that an earlier owner recorded and that are gone.
enum class FormerSides {
    /// Beside the sides that have the present hosts.
    Same,
    /// Beside other sides, which are gone as well.
    Gone,
};

/// As many hosts as live were recorded by an earlier owner and are gone. Owners follow each other; each loads what the
/// earlier ones stored.
class ReplacedFleet {
public:
    explicit ReplacedFleet(FormerSides formerSides)
    {
        const std::string prefix = formerSides == FormerSides::Same ? "side-" : "former-side-";
        Wire::StepDefinition step = makeStep(lastingTaskCount, 500, 100);
        step.longRunning = true;
        Wire::JobDefinition job = makeJob(lastingJob, { step });
        job.acceptedTerm = 1;
        m_records.push_back(StoreRecord { StoreKey::job(lastingJob), Wire::encode(job) });
        for (int n = 0; n < sideCount; ++n) {
            m_records.push_back(makeHostRecord("former-" + std::to_string(n), prefix + std::to_string(n)));
            m_running[n];
        }
    }

    void startOwner()
    {
        if (m_harness)
            m_records.insert(m_records.end(), m_harness->storedRecords.begin(), m_harness->storedRecords.end());
        m_harness = std::make_unique<OwnerHarness>(++m_term);
        takeOver(*m_harness, m_records, m_now);
        m_ordersRead = 0;
        m_listsFrom = m_now + millisecondsUntilListed;
        deliverReports(false);
    }

    void step()
    {
        m_now += tickMilliseconds;
        if (m_now >= m_listsFrom) {
            m_listsFrom = m_now + listIntervalMilliseconds;
            deliverReports(true);
        }
        m_harness->tick(m_now);
        for (; m_ordersRead < m_harness->sentOrders.size(); ++m_ordersRead) {
            const Wire::HostOrders& orders = m_harness->sentOrders[m_ordersRead];
            for (const Wire::StartOrder& start : orders.starts)
                m_running.at(std::stoi(orders.hostId)).push_back(makeRunningTask(start.task, start.run));
        }
    }

    std::size_t runningTasks() const
    {
        std::size_t count = 0;
        for (const std::pair<const int, std::vector<Wire::RunningTask>>& entry : m_running)
            count += entry.second.size();
        return count;
    }

    /// Lets owners follow each other at the given interval. Returns when all tasks run, at most the given end.
    int runWithOwnersByTurns(int turnMilliseconds, int endMilliseconds)
    {
        while (m_now < endMilliseconds) {
            if (m_now % turnMilliseconds == 0)
                startOwner();
            step();
            if (runningTasks() >= lastingTaskCount)
                return m_now;
        }
        return endMilliseconds;
    }

    int now() const { return m_now; }

private:
    static constexpr int millisecondsUntilListed = 200;
    static constexpr int listIntervalMilliseconds = 200;

    void deliverReports(bool listed)
    {
        LinkId link = testLink;
        for (const std::pair<const int, std::vector<Wire::RunningTask>>& entry : m_running) {
            const std::string hostId = std::to_string(entry.first);
            Wire::HostReport report = makeSideReport(hostId, "side-" + hostId, m_now);
            report.listed = listed;
            if (listed) {
                report.listFence = m_harness->owner.state().hosts.hosts().at(hostId).fence;
                report.running = entry.second;
            }
            m_harness->deliverReport(m_now, report, ++link);
        }
    }

    std::unique_ptr<OwnerHarness> m_harness;
    std::vector<StoreRecord> m_records;
    /// What the present host of each side runs.
    std::map<int, std::vector<Wire::RunningTask>> m_running;
    std::int64_t m_term = 1;
    int m_now = 0;
    int m_listsFrom = 0;
    std::size_t m_ordersRead = 0;
};

} // namespace Plantainpier::Replacement
