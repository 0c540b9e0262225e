/// Tests how long an owner waits for hosts that have been replaced beside their sides while nobody was there to report
/// their end, as after a loss of power of all machines.
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>

using namespace Plantainpier;

namespace {

constexpr int sideCount = 240;
constexpr int lastingTaskCount = 1200;
constexpr int tickMilliseconds = 20;
/// A successor waits this long for leases of its predecessor.
constexpr int holdMilliseconds = 9290;
constexpr const char* lastingJob = "00000000000000bb";
constexpr const char* formerHost = "host-former";
constexpr const char* presentHost = "host-present";
constexpr const char* side = "side-1";

StoreRecord makeHostRecord(const std::string& hostId, const std::string& sideId)
{
    Wire::HostRecord record;
    record.incarnation = 1;
    record.term = 1;
    record.sideId = sideId;
    return StoreRecord { StoreKey::host(hostId), Wire::encode(record) };
}

Wire::HostReport makeSideReport(const std::string& hostId, const std::string& sideId, int now)
{
    Wire::HostReport report = makeReport(hostId, 1, now);
    report.sideId = sideId;
    return report;
}

/// Loads the records and completes the take-over.
void takeOver(OwnerHarness& harness, const std::vector<StoreRecord>& records, int now)
{
    harness.owner.loadRecords(records);
    Actions actions;
    harness.owner.finishLoad(at(now), now, at(now + holdMilliseconds), actions);
}

/// Each side has had a host that an earlier owner recorded, and has another one now. Owners follow each other; each
/// loads what the earlier ones stored.
class ReplacedFleet {
public:
    ReplacedFleet()
    {
        Wire::StepDefinition step = makeStep(lastingTaskCount, 500, 100);
        step.longRunning = true;
        Wire::JobDefinition job = makeJob(lastingJob, { step });
        job.acceptedTerm = 1;
        m_records.push_back(StoreRecord { StoreKey::job(lastingJob), Wire::encode(job) });
        for (int n = 0; n < sideCount; ++n) {
            m_records.push_back(makeHostRecord("former-" + std::to_string(n), "side-" + std::to_string(n)));
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

} // namespace

class ReplacedHostsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplacedHostsTest);
    CPPUNIT_TEST(lastingTasksRunSoonHoweverManyOwnersFollow);
    CPPUNIT_TEST(theEndIsStoredForLaterOwners);
    CPPUNIT_TEST(anAnnouncementShowsNoEnd);
    CPPUNIT_TEST(aHostThatHasReportedIsNotEnded);
    CPPUNIT_TEST(hostsOfOtherOrUnknownSidesAreNotEnded);
    CPPUNIT_TEST(aHostOfAnEarlierVersionIsRecordedWithItsSide);
    CPPUNIT_TEST_SUITE_END();

    /// Lists the present host of a side to the owner, after its announcement.
    static void listPresentHost(OwnerHarness& owner, int now)
    {
        owner.announceAndReport(now, makeSideReport(presentHost, side, now));
        owner.settle(now + 10);
    }

    // Guards against inherited tasks that wait 9 s after a loss of power, and as long again with each owner that
    // follows: every owner waited for the leases of hosts that others had replaced.
    void lastingTasksRunSoonHoweverManyOwnersFollow()
    {
        constexpr int boundMilliseconds = 2000;
        constexpr int endMilliseconds = 20'000;
        for (const int turnMilliseconds : { 5000, 2500, endMilliseconds }) {
            ReplacedFleet fleet;
            int startedAt = endMilliseconds;
            while (fleet.now() < endMilliseconds) {
                if (fleet.now() % turnMilliseconds == 0)
                    fleet.startOwner();
                fleet.step();
                if (fleet.runningTasks() >= lastingTaskCount)
                    startedAt = std::min(startedAt, fleet.now());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(lastingTaskCount), fleet.runningTasks());
            CPPUNIT_ASSERT_MESSAGE("with owners each " + std::to_string(turnMilliseconds) + " ms all tasks run after "
                    + std::to_string(startedAt),
                startedAt <= boundMilliseconds);
        }
    }

    // Guards against a next owner that waits again.
    void theEndIsStoredForLaterOwners()
    {
        std::vector<StoreRecord> records { makeHostRecord(formerHost, side) };
        OwnerHarness second(2);
        takeOver(second, records, 0);
        listPresentHost(second, 100);
        // The end of a host is stored lazily.
        for (int now = 200; now < 2000; now += tickMilliseconds)
            second.tick(now);
        records.insert(records.end(), second.storedRecords.begin(), second.storedRecords.end());
        OwnerHarness third(3);
        takeOver(third, records, 2000);
        CPPUNIT_ASSERT(!third.owner.state().hosts.hosts().contains(formerHost));
    }

    // Guards against two concurrent runs of a task: an announcement may be late or come from another side's host.
    void anAnnouncementShowsNoEnd()
    {
        OwnerHarness second(2);
        takeOver(second, { makeHostRecord(formerHost, side) }, 0);
        Wire::HostReport announcement = makeSideReport(presentHost, side, 100);
        announcement.listed = false;
        second.deliverReport(100, announcement);
        second.settle(110);
        CPPUNIT_ASSERT(second.owner.state().hosts.hosts().contains(formerHost));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), second.linesOf("host_replaced").size());
    }

    // Guards against two concurrent runs of a task: a list of a former process of the side may arrive after the side's
    // present host has reported.
    void aHostThatHasReportedIsNotEnded()
    {
        constexpr LinkId otherLink = testLink + 1;
        OwnerHarness second(2);
        takeOver(second, { makeHostRecord(formerHost, side), makeHostRecord(presentHost, side) }, 0);
        Wire::HostReport announcement = makeSideReport(formerHost, side, 100);
        announcement.listed = false;
        second.deliverReport(100, announcement, otherLink);
        second.owner.onLinkDown(at(110), otherLink);
        listPresentHost(second, 120);
        CPPUNIT_ASSERT(second.owner.state().hosts.hosts().contains(formerHost));
    }

    // Guards against the end of a host that is concluded from a list of another side's host.
    void hostsOfOtherOrUnknownSidesAreNotEnded()
    {
        OwnerHarness second(2);
        takeOver(second, { makeHostRecord(formerHost, "side-2"), makeHostRecord("host-old", "") }, 0);
        listPresentHost(second, 100);
        CPPUNIT_ASSERT_EQUAL(2, second.owner.state().countUnlistedHosts(at(200)));
    }

    // Guards against a record without the side, from an earlier version, that no later owner can conclude from.
    void aHostOfAnEarlierVersionIsRecordedWithItsSide()
    {
        OwnerHarness second(2);
        takeOver(second, { makeHostRecord(presentHost, "") }, 0);
        listPresentHost(second, 100);
        const auto isOfHost = [](const StoreRecord& record) { return record.key == StoreKey::host(presentHost); };
        const std::vector<StoreRecord>::const_iterator it
            = std::find_if(second.storedRecords.begin(), second.storedRecords.end(), isOfHost);
        CPPUNIT_ASSERT(it != second.storedRecords.end());
        CPPUNIT_ASSERT_EQUAL(std::string(side), Wire::decode<Wire::HostRecord>(it->value)->sideId);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedHostsTest);
