/// Tests how long an owner waits for hosts that have been replaced beside their sides while nobody was there to report
/// their end, as after a loss of power of all machines.
#include "Support/ReplacedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;
using namespace Plantainpier::Replacement;

namespace {

constexpr const char* formerHost = "host-former";
constexpr const char* presentHost = "host-present";
constexpr const char* side = "side-1";

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
            ReplacedFleet fleet(FormerSides::Same);
            const int startedAt = fleet.runWithOwnersByTurns(turnMilliseconds, endMilliseconds);
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
