/// Tests JobOwner with a host that restarts under its id. An acknowledgement to the earlier incarnation may reach the
/// next one, which then forgets the ends of its first runs without ever listing them.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class ForgottenEndsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForgottenEndsTest);
    CPPUNIT_TEST(aHostThatMayForgetEndsGetsLongRunningTasksOnly);
    CPPUNIT_TEST(aHaltedTrialShowsThatEndsAreListed);
    CPPUNIT_TEST(aForgottenTrialIsFollowedByAnother);
    CPPUNIT_TEST(aRunThatIsFoundOnAHostThatMayForgetEndsIsHalted);
    CPPUNIT_TEST(aLaterOwnerKnowsWhichHostsMayForgetEnds);
    CPPUNIT_TEST(aLaterOwnerKnowsTheIdsOfHostsThatDeparted);
    CPPUNIT_TEST(shortTasksAreNotUsedForTrialsAtOnce);
    CPPUNIT_TEST(forgottenTrialsAreFollowedByMoreAtOnce);
    CPPUNIT_TEST(aHostThatMayForgetEndsGetsShortTasksInTheEnd);
    CPPUNIT_TEST(aHostThatMayForgetEndsGetsTasksThatMayRunTwice);
    CPPUNIT_TEST(anIncarnationCountsOnceItHasListed);
    CPPUNIT_TEST_SUITE_END();

    /// A host-1 whose first incarnation was replaced by the second, which has listed no end.
    static void restartHost(OwnerHarness& harness)
    {
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.announceAndReport(60, makeReport("host-1", 2, 10));
        harness.settle(70);
    }

    static Wire::JobDefinition makeLongJob() { return makeJob("aa", { makeStep(1, 1000, 2000) }); }

    static void reportStarted(int now, OwnerHarness& harness, int run)
    {
        Wire::HostReport report = makeReport("host-1", 2, 0);
        report.listed = false;
        Wire::OrderResult result;
        result.task = makeTask("aa", 0, 0);
        result.run = run;
        result.outcome = Wire::OrderOutcome::Started;
        report.results.push_back(result);
        harness.deliverReport(now, report);
    }

    /// Lists host-1 with these ends and nothing running.
    static void list(int now, OwnerHarness& harness, const std::vector<Wire::EndedTask>& ended)
    {
        Wire::HostReport report = makeReport("host-1", 2, now);
        report.ended = ended;
        harness.announceAndReport(now, report);
        harness.settle(now);
    }

    // Guards against a second run of a task that has ended: the host forgets its end, and the owner takes it for not
    // run.
    void aHostThatMayForgetEndsGetsLongRunningTasksOnly()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeJob("aa", { makeStep(1, 1000, 100) }));
        harness.settle(130);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.startOrders.size());
        Wire::StepDefinition lasting = makeStep(1, 1000, 100);
        lasting.longRunning = true;
        harness.submit(200, makeJob("bb", { lasting }));
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("bb"), harness.startOrders.at(0).task.jobId);
    }

    // Guards against a host that gets no tasks any more after it has restarted.
    void aHaltedTrialShowsThatEndsAreListed()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeLongJob());
        harness.settle(130);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.haltOrders.size());
        reportStarted(190, harness, 1);
        harness.settle(190);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
        list(250, harness, { makeEndedTask(1, makeTask("aa", 0, 0), 1, Wire::RunEnd::Stopped) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        reportStarted(310, harness, 2);
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the second run may complete", std::size_t(1), harness.haltOrders.size());
    }

    // Guards against a host that gets no tasks any more after it has restarted: several of its ends are forgotten.
    void aForgottenTrialIsFollowedByAnother()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeLongJob());
        harness.settle(130);
        for (int run = 1; run <= 3; ++run) {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(run), harness.startOrders.size());
            const int now = 100 + 200 * run;
            reportStarted(now, harness, run);
            harness.settle(now);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(run), harness.haltOrders.size());
            Wire::HostReport report = makeReport("host-1", 2, now + 60);
            Wire::OrderResult result;
            result.task = makeTask("aa", 0, 0);
            result.run = run;
            result.outcome = Wire::OrderOutcome::Absent;
            report.results.push_back(result);
            harness.announceAndReport(now + 60, report);
            harness.settle(now + 60);
        }
    }

    // Guards against a second run of a task that has ended: an order to the earlier incarnation, or of an earlier
    // owner, was carried out on a host that may forget its end.
    void aRunThatIsFoundOnAHostThatMayForgetEndsIsHalted()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.submit(60, makeLongJob());
        harness.settle(70);
        Wire::HostReport report = makeReport("host-1", 2, 10);
        report.running.push_back(makeRunningTask(makeTask("aa", 0, 0), 1));
        harness.announceAndReport(130, report);
        harness.settle(140);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
    }

    // Guards against a second run of a task that has ended: the owner that saw the host restart was replaced.
    void aLaterOwnerKnowsWhichHostsMayForgetEnds()
    {
        for (const bool listsEnds : { false, true }) {
            OwnerHarness first;
            restartHost(first);
            if (listsEnds)
                list(120, first, { makeEndedTask(1, makeTask("zz", 0, 0), 1, Wire::RunEnd::Stopped) });
            first.settle(500);
            OwnerHarness next(2);
            next.owner.loadRecords(first.storedRecords);
            Actions actions;
            next.owner.finishLoad(at(1000), 1000, at(1000), actions);
            next.announceAndReport(1010, makeReport("host-1", 2, 900));
            next.settle(1020);
            next.submit(1080, makeJob("aa", { makeStep(1, 1000, 100) }));
            next.settle(1090);
            CPPUNIT_ASSERT_EQUAL(std::size_t(listsEnds ? 1 : 0), next.startOrders.size());
        }
    }

    // Guards against a second run of a task that has ended: the earlier incarnation had departed before the change of
    // owner.
    void aLaterOwnerKnowsTheIdsOfHostsThatDeparted()
    {
        OwnerHarness first;
        first.announceAndReport(0, makeReport("host-1", 1, 100));
        first.settle(10);
        Wire::HostReport departed = makeReport("host-1", 1, 0);
        departed.listed = false;
        departed.state = Wire::HostState::Gone;
        first.deliverReport(60, departed);
        first.settle(500);
        first.settle(600);
        OwnerHarness next(2);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        CPPUNIT_ASSERT_MESSAGE("nothing runs there", next.owner.state().areAllHostsAccountedFor(at(1000)));
        next.announceAndReport(1010, makeReport("host-1", 2, 10));
        next.settle(1020);
        next.submit(1080, makeJob("aa", { makeStep(1, 1000, 100) }));
        next.settle(1090);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), next.startOrders.size());
    }

    // Guards against a second run of a task that has ended: a trial of a task that may complete before it is halted.
    void shortTasksAreNotUsedForTrialsAtOnce()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeJob("aa", { makeStep(1, 1000, 200) }));
        harness.settle(130);
        CPPUNIT_ASSERT(harness.startOrders.empty());
    }

    // Guards against a host that is shut for minutes because it forgets hundreds of ends.
    void forgottenTrialsAreFollowedByMoreAtOnce()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeJob("aa", { makeStep(40, 10, 2000) }));
        harness.settle(130);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        Wire::HostReport report = makeReport("host-1", 2, 300);
        report.running.push_back(makeRunningTask(makeTask("aa", 0, 0), 1));
        harness.announceAndReport(300, report);
        harness.settle(310);
        Wire::HostReport forgotten = makeReport("host-1", 2, 400);
        Wire::OrderResult absent;
        absent.task = makeTask("aa", 0, 0);
        absent.run = 1;
        absent.outcome = Wire::OrderOutcome::Absent;
        forgotten.results.push_back(absent);
        harness.announceAndReport(400, forgotten);
        harness.settle(410);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.startOrders.size());
    }

    // Guards against tasks that wait for ever: all tasks are too short for a trial, and all hosts have restarted.
    void aHostThatMayForgetEndsGetsShortTasksInTheEnd()
    {
        OwnerHarness harness;
        restartHost(harness);
        harness.submit(120, makeJob("aa", { makeStep(1, 1000, 100) }));
        for (int now = 200; now < 60'000; now += 200) {
            harness.announceAndReport(now, makeReport("host-1", 2, now));
            harness.tick(now);
        }
        CPPUNIT_ASSERT(!harness.startOrders.empty());
    }

    // Guards against tasks that wait while a host has room for them: a run that may be repeated needs no known end.
    void aHostThatMayForgetEndsGetsTasksThatMayRunTwice()
    {
        OwnerHarness harness;
        restartHost(harness);
        Wire::StepDefinition step = makeStep(1, 1000, 100);
        step.allowDuplicates = true;
        harness.submit(120, makeJob("aa", { step }));
        harness.settle(130);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        reportStarted(190, harness, 1);
        harness.settle(190);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.haltOrders.size());
    }

    // Guards against a second run of all tasks of a living host: a side that has just started reports an incarnation
    // that it has from an announcement alone, and the host's list shows that the earlier one lives.
    void anIncarnationCountsOnceItHasListed()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.announceAndReport(0, makeReport("host-2", 1, 100), testLink + 1);
        harness.settle(10);
        harness.submit(60, makeLongJob());
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        const bool isOnFirst = !harness.owner.state().hosts.hosts().at("host-1").runs.empty();
        const std::string id = isOnFirst ? "host-1" : "host-2";
        Wire::HostReport running = makeReport(id, 1, 200);
        running.running.push_back(makeRunningTask(makeTask("aa", 0, 0), 1));
        harness.announceAndReport(200, running, isOnFirst ? testLink : testLink + 1);
        harness.settle(210);
        Wire::HostReport announced = makeReport(id, 9, 0);
        announced.listed = false;
        harness.deliverReport(300, announced, testLink + 2);
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        announced.state = Wire::HostState::Gone;
        harness.deliverReport(400, announced, testLink + 2);
        harness.settle(410);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it never listed anything", std::size_t(1), harness.startOrders.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ForgottenEndsTest);
