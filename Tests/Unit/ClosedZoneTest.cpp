/// Tests that an owner starts nothing on hosts of closed availability zones, on every path that starts a task, and that
/// it starts nothing anywhere while it does not know which zones are closed.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class ClosedZoneTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClosedZoneTest);
    CPPUNIT_TEST(startsNothingInAClosedZone);
    CPPUNIT_TEST(leavesWhatRunsInAClosedZone);
    CPPUNIT_TEST(aTaskThatEndsInAClosedZoneStartsElsewhere);
    CPPUNIT_TEST(aHostThatRegistersLaterInAClosedZoneGetsNothing);
    CPPUNIT_TEST(aReopenedZoneIsUsedAtOnce);
    CPPUNIT_TEST(aGangDoesNotUseAClosedZone);
    CPPUNIT_TEST(stopsNoRunInAClosedZoneForAnUrgentTask);
    CPPUNIT_TEST(startsNothingBeforeTheZonesAreKnown);
    CPPUNIT_TEST(startsNothingWhileTheZonesAreNotRead);
    CPPUNIT_TEST(startsWithoutReadsWhereNoBoundIsSet);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* jobId = "00000000000000aa";
    static constexpr const char* urgentJobId = "00000000000000bb";
    static constexpr int zoneClosureBoundMilliseconds = 5000;
    static constexpr int deliveryMarginMilliseconds = 1000;

    static OwnerRules rulesWithBound()
    {
        OwnerRules rules;
        rules.zoneClosureBound = milliseconds(zoneClosureBoundMilliseconds);
        return rules;
    }

    /// An owner with one host of four cores in each of two zones.
    struct Zones {
        explicit Zones(const OwnerRules& rules = OwnerRules {})
            : harness(1, rules)
        {
            report(0, "host-north", "north");
            report(0, "host-south", "south");
            harness.settle(0);
        }

        void report(int now, const std::string& hostId, const std::string& zone,
            std::vector<Wire::RunningTask> running = {}, std::vector<Wire::EndedTask> ended = {})
        {
            Wire::HostReport report = makeReport(hostId, 1, now);
            report.zone = zone;
            report.running = std::move(running);
            report.ended = std::move(ended);
            harness.announceAndReport(now, report, zone == "north" ? testLink : testLink + 1);
        }

        void close(int now, const std::string& zone) { set(now, zone, true); }
        void reopen(int now, const std::string& zone) { set(now, zone, false); }
        void set(int now, const std::string& zone, bool closed)
        {
            closures.applyRecord(at(now), zone, closed, ++lastOffset);
            readZones(now);
        }
        /// The entry has read the operators' topic.
        void readZones(int now)
        {
            closures.setKnownAsOf(at(now));
            harness.owner.setZoneClosures(closures);
        }

        std::size_t startsOn(const std::string& hostId) const
        {
            std::size_t starts = 0;
            for (const Wire::HostOrders& orders : harness.sentOrders)
                starts += orders.hostId == hostId ? orders.starts.size() : 0;
            return starts;
        }

        OwnerHarness harness;
        ZoneClosures closures;
        std::int64_t lastOffset = 0;
    };

    // Guards against starts in a zone that an operator has closed.
    void startsNothingInAClosedZone()
    {
        Zones zones;
        zones.close(50, "north");
        zones.harness.submit(60, makeJob(jobId, { makeStep(8, 1000, 300) }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), zones.startsOn("host-north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zones.startsOn("host-south"));
    }

    // Guards against a closure that stops work in progress.
    void leavesWhatRunsInAClosedZone()
    {
        Zones zones;
        zones.harness.submit(60, makeJob(jobId, { makeStep(8, 1000, 300) }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), zones.startsOn("host-north"));
        zones.close(200, "north");
        zones.harness.settle(210);
        CPPUNIT_ASSERT(zones.harness.haltOrders.empty());
    }

    // Guards against a task of a closed zone that starts there again, or nowhere.
    void aTaskThatEndsInAClosedZoneStartsElsewhere()
    {
        Zones zones;
        zones.close(50, "south");
        Wire::StepDefinition step = makeStep(1, 1000, 300);
        step.longRunning = true;
        zones.harness.submit(60, makeJob(jobId, { step }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.startsOn("host-north"));
        const Wire::TaskName task = makeTask(jobId, 0, 0);
        const int run = zones.harness.startOrders.front().run;
        zones.report(150, "host-north", "north", { makeRunningTask(task, run) });
        zones.reopen(200, "south");
        zones.close(200, "north");
        zones.report(300, "host-north", "north", {}, { makeEndedTask(1, task, run, Wire::RunEnd::Stopped) });
        zones.harness.settle(310);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.startsOn("host-north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.startsOn("host-south"));
    }

    // Guards against a closure that covers only the hosts that were known when it was read.
    void aHostThatRegistersLaterInAClosedZoneGetsNothing()
    {
        Zones zones;
        zones.close(50, "north");
        zones.close(50, "south");
        zones.report(60, "host-north-2", "north");
        zones.harness.settle(60);
        zones.harness.submit(120, makeJob(jobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(120);
        CPPUNIT_ASSERT(zones.harness.startOrders.empty());
    }

    // Guards against a zone that stays out of use after the operator has reopened it.
    void aReopenedZoneIsUsedAtOnce()
    {
        Zones zones;
        zones.close(50, "north");
        zones.close(50, "south");
        zones.harness.submit(60, makeJob(jobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT(zones.harness.startOrders.empty());
        zones.reopen(150, "north");
        zones.harness.settle(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.startsOn("host-north"));
    }

    // Guards against a gang that fills its last places in a closed zone.
    void aGangDoesNotUseAClosedZone()
    {
        Zones zones;
        zones.close(50, "north");
        Wire::StepDefinition step = makeStep(6, 1000, 300);
        step.gang = true;
        zones.harness.submit(60, makeJob(jobId, { step }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT(zones.harness.startOrders.empty());
        zones.reopen(150, "north");
        zones.harness.settle(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), zones.harness.startOrders.size());
    }

    // Guards against runs that are stopped for a task that may not start in their place.
    void stopsNoRunInAClosedZoneForAnUrgentTask()
    {
        Zones zones;
        Wire::JobDefinition less = makeJob(jobId, { makeStep(8, 1000, 5000) });
        less.priority = 2;
        zones.harness.submit(60, less);
        zones.harness.settle(60);
        std::map<std::string, std::vector<Wire::RunningTask>> running;
        for (const Wire::HostOrders& orders : zones.harness.sentOrders) {
            for (const Wire::StartOrder& start : orders.starts)
                running[orders.hostId].push_back(makeRunningTask(start.task, start.run));
        }
        zones.report(150, "host-north", "north", running["host-north"]);
        zones.report(150, "host-south", "south", running["host-south"]);
        zones.close(160, "north");
        zones.close(160, "south");
        zones.harness.submit(170, makeJob(urgentJobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(170);
        CPPUNIT_ASSERT(zones.harness.haltOrders.empty());
        zones.reopen(250, "south");
        zones.harness.settle(250);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.haltOrders.size());
    }

    // Guards against a new owner that starts tasks in a zone whose closure it has not read yet.
    void startsNothingBeforeTheZonesAreKnown()
    {
        Zones zones(rulesWithBound());
        zones.harness.submit(60, makeJob(jobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT(zones.harness.startOrders.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.linesOf("starts_paused").size());
        zones.readZones(150);
        zones.harness.settle(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.linesOf("starts_resumed").size());
    }

    // Guards against an owner that starts tasks although a closure may have been acknowledged longer ago than the bound
    // allows.
    void startsNothingWhileTheZonesAreNotRead()
    {
        Zones zones(rulesWithBound());
        zones.readZones(1000);
        const int lastStartAt = 1000 + zoneClosureBoundMilliseconds - deliveryMarginMilliseconds;
        zones.report(lastStartAt - 100, "host-north", "north");
        zones.harness.submit(lastStartAt - 100, makeJob(jobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(lastStartAt - 90);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.startOrders.size());
        zones.report(lastStartAt + 50, "host-north", "north");
        zones.harness.submit(lastStartAt + 50, makeJob(urgentJobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(lastStartAt + 60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.startOrders.size());
    }

    // Guards against deployments without the bound whose owners stop starting tasks while the store is away.
    void startsWithoutReadsWhereNoBoundIsSet()
    {
        Zones zones;
        zones.harness.submit(60, makeJob(jobId, { makeStep(1, 1000, 300) }));
        zones.harness.settle(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zones.harness.startOrders.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClosedZoneTest);
