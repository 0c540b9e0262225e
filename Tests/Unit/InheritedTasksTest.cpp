/// Tests how long tasks of jobs that an earlier owner accepted wait for the lists of hosts: until every host that may
/// have received orders of that owner has been listed once, and no longer.
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace Plantainpier;

namespace {

constexpr int hostCount = 40;
constexpr std::int64_t term = 2;
constexpr const char* busyJob = "00000000000000aa";
constexpr const char* lastingJob = "00000000000000bb";
constexpr const char* planJob = "00000000000000cc";

/// The owner of a later term and hosts that each run a task that the earlier owner started.
class InheritedFleet {
public:
    InheritedFleet()
        : harness(term)
    {
        std::vector<StoreRecord> records;
        addJob(records, busyJob, hostCount, true);
        addJob(records, lastingJob, 1, true);
        addJob(records, planJob, 2, false);
        for (int n = 0; n < hostCount; ++n) {
            Wire::HostRecord record;
            record.incarnation = 1;
            record.term = 1;
            records.push_back(StoreRecord { StoreKey::host(hostId(n)), Wire::encode(record) });
            HostModel host;
            host.running.push_back(makeRunningTask(makeTask(busyJob, 0, n), 1));
            m_hosts[hostId(n)] = host;
        }
        harness.owner.loadRecords(records);
        Actions actions;
        harness.owner.finishLoad(at(0), 0, at(9290), actions);
        for (std::pair<const std::string, HostModel>& entry : m_hosts)
            connect(entry.first);
    }

    static std::string hostId(int n) { return "host-" + std::to_string(100 + n); }

    /// Replaces the connection of a host by a new one. The next list arrives once the host has been called under the
    /// fence of that connection.
    void connect(const std::string& hostId)
    {
        constexpr int millisecondsUntilListed = 120;
        HostModel& host = m_hosts[hostId];
        if (host.link != noLink)
            harness.owner.onLinkDown(at(now), host.link);
        host.link = ++m_lastLink;
        host.listsFrom = now + millisecondsUntilListed;
        Wire::HostReport announcement = makeReport(hostId, host.incarnation, now);
        announcement.listed = false;
        harness.deliverReport(now, announcement, host.link);
    }

    /// Ends the host with its runs and starts its next incarnation.
    void restart(const std::string& hostId)
    {
        HostModel& host = m_hosts[hostId];
        ++host.incarnation;
        host.running.clear();
        connect(hostId);
    }

    void step()
    {
        constexpr int stepMilliseconds = 10;
        constexpr int listIntervalMilliseconds = 200;
        now += stepMilliseconds;
        for (std::pair<const std::string, HostModel>& entry : m_hosts) {
            HostModel& host = entry.second;
            if (now < host.listsFrom)
                continue;
            host.listsFrom = now + listIntervalMilliseconds;
            Wire::HostReport report = makeReport(entry.first, host.incarnation, now);
            report.listFence = harness.owner.state().hosts.hosts().at(entry.first).fence;
            report.running = host.running;
            harness.deliverReport(now, report, host.link);
        }
        harness.tick(now);
        for (; m_ordersRead < harness.sentOrders.size(); ++m_ordersRead) {
            const Wire::HostOrders& orders = harness.sentOrders[m_ordersRead];
            for (const Wire::StartOrder& start : orders.starts)
                m_hosts[orders.hostId].running.push_back(makeRunningTask(start.task, start.run));
        }
    }

    /// Number of tasks of the job whose start was ordered.
    std::size_t startsOf(const std::string& jobId) const
    {
        return static_cast<std::size_t>(std::count_if(harness.startOrders.begin(), harness.startOrders.end(),
            [&jobId](const Wire::StartOrder& start) { return start.task.jobId == jobId; }));
    }

    OwnerHarness harness;
    int now = 0;

private:
    struct HostModel {
        std::int64_t incarnation = 1;
        LinkId link = noLink;
        int listsFrom = 0;
        std::vector<Wire::RunningTask> running;
    };

    static void addJob(std::vector<StoreRecord>& records, const std::string& jobId, int count, bool longRunning)
    {
        Wire::StepDefinition step = makeStep(count, 1000, 1000);
        step.longRunning = longRunning;
        Wire::JobDefinition job = makeJob(jobId, { step });
        job.acceptedTerm = 1;
        records.push_back(StoreRecord { StoreKey::job(jobId), Wire::encode(job) });
    }

    std::map<std::string, HostModel> m_hosts;
    LinkId m_lastLink = testLink;
    std::size_t m_ordersRead = 0;
};

} // namespace

class InheritedTasksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InheritedTasksTest);
    CPPUNIT_TEST(startWhileConnectionsOfAFleetAreReplaced);
    CPPUNIT_TEST(waitForALaterIncarnationOfAListedHost);
    CPPUNIT_TEST_SUITE_END();

    // Guards against tasks that wait for as long as connections are replaced: in a large fleet the next connection
    // breaks before the host of the one before has been listed again.
    void startWhileConnectionsOfAFleetAreReplaced()
    {
        constexpr int replacementInterval = 100;
        constexpr int endMilliseconds = 15'000;
        constexpr int boundMilliseconds = 1000;
        InheritedFleet fleet;
        int lastingStartedAt = endMilliseconds;
        int planStartedAt = endMilliseconds;
        for (int replaced = 0; fleet.now < endMilliseconds;) {
            fleet.step();
            if (fleet.now % replacementInterval == 0)
                fleet.connect(InheritedFleet::hostId(replaced++ % hostCount));
            if (fleet.startsOf(lastingJob) == 1)
                lastingStartedAt = std::min(lastingStartedAt, fleet.now);
            if (fleet.startsOf(planJob) == 2)
                planStartedAt = std::min(planStartedAt, fleet.now);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the runs of the earlier owner go on", std::size_t(0), fleet.startsOf(busyJob));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.startsOf(lastingJob));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.startsOf(planJob));
        CPPUNIT_ASSERT_MESSAGE(
            "the lasting task starts after " + std::to_string(lastingStartedAt), lastingStartedAt <= boundMilliseconds);
        CPPUNIT_ASSERT_MESSAGE(
            "the plan starts after " + std::to_string(planStartedAt), planStartedAt <= boundMilliseconds);
    }

    // Guards against two concurrent runs of a task: the next incarnation of a host has seen no fence, so it may carry
    // out an order of the earlier owner although the incarnation before refused it.
    void waitForALaterIncarnationOfAListedHost()
    {
        InheritedFleet fleet;
        while (fleet.now < 100)
            fleet.step();
        // One host has not been listed, so the tasks wait until it is.
        fleet.connect(InheritedFleet::hostId(0));
        while (fleet.now < 200)
            fleet.step();
        fleet.restart(InheritedFleet::hostId(1));
        while (fleet.now < 310)
            fleet.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.startsOf(lastingJob) + fleet.startsOf(planJob));
        while (fleet.now < 500)
            fleet.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.startsOf(lastingJob) + fleet.startsOf(planJob));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(InheritedTasksTest);
