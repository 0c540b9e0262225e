/// Tests that tasks start on the hosts whose records are stored while a host with more room waits for the store.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class HostNotStoredTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostNotStoredTest);
    CPPUNIT_TEST(tasksStartOnAStoredHostWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(tasksStartOnAStoredHostWhileHostsKeepArriving);
    CPPUNIT_TEST(aGangStartsOnStoredHosts);
    CPPUNIT_TEST(lessUrgentRunsAreStoppedOnStoredHosts);
    CPPUNIT_TEST_SUITE_END();

    static Wire::StepDefinition makeLastingStep(int count)
    {
        Wire::StepDefinition step = makeStep(count, 1000, 1000);
        step.longRunning = true;
        return step;
    }

    /// Number of starts that were ordered on the host.
    static std::size_t startsOn(const OwnerHarness& harness, const std::string& hostId)
    {
        std::size_t count = 0;
        for (const Wire::HostOrders& orders : harness.sentOrders)
            count += orders.hostId == hostId ? orders.starts.size() : 0;
        return count;
    }

    static std::size_t startsOf(const OwnerHarness& harness, const std::string& jobId)
    {
        return static_cast<std::size_t>(std::count_if(harness.startOrders.begin(), harness.startOrders.end(),
            [&jobId](const Wire::StartOrder& start) { return start.task.jobId == jobId; }));
    }

    /// Lists the first `running` tasks of the job on host-1, which has room for four.
    static void listStoredHost(OwnerHarness& harness, int now, const std::string& jobId, int running)
    {
        Wire::HostReport report = makeReport("host-1", 1, now);
        for (int n = 0; n < running; ++n)
            report.running.push_back(makeRunningTask(makeTask(jobId, 0, n), 1));
        harness.announceAndReport(now, report);
    }

    // Guards against tasks that wait for the store although a host has room: the host with the most room has just
    // arrived, and its record is not stored.
    void tasksStartOnAStoredHostWhileTheStoreIsUnavailable()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 0));
        harness.settle(10);
        harness.submit(60, makeJob("00000000000000aa", { makeLastingStep(5) }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one task waits for room", std::size_t(4), startsOn(harness, "host-1"));
        harness.storeUnavailable = true;
        harness.announceAndReport(200, makeReport("host-2", 1, 200), testLink + 1);
        Wire::HostReport report = makeReport("host-1", 1, 210);
        for (int n = 0; n < 3; ++n)
            report.running.push_back(makeRunningTask(makeTask("00000000000000aa", 0, n), 1));
        report.ended.push_back(makeEndedTask(1, makeTask("00000000000000aa", 0, 3), 1, Wire::RunEnd::Failed));
        harness.announceAndReport(210, report);
        harness.settle(220);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(harness, "host-2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("host-1 has room for one task", std::size_t(5), startsOn(harness, "host-1"));
    }

    // Guards against tasks that wait for as long as hosts keep arriving: the newest host has the most room, and the
    // next one arrives before its record is stored.
    void tasksStartOnAStoredHostWhileHostsKeepArriving()
    {
        constexpr int arrivalInterval = 100;
        constexpr int submittedAt = 950;
        constexpr int boundMilliseconds = 500;
        OwnerHarness harness;
        harness.storeUnavailable = true;
        std::optional<AppendToStore> append;
        int arrived = 0;
        int startedAt = 0;
        for (int now = 0; now < 3000 && startedAt == 0; now += 10) {
            harness.owner.onPulseConfirmed(at(now));
            if (now == submittedAt)
                harness.submit(now, makeJob("00000000000000bb", { makeLastingStep(1) }));
            if (now % arrivalInterval == 0) {
                // Among hosts with equal room the one with the lowest id is chosen, so the newest gets that one.
                const std::string hostId = "host-" + std::to_string(900 - ++arrived);
                harness.announceAndReport(now, makeReport(hostId, 1, now), testLink + static_cast<LinkId>(arrived));
                // The store answers an append once the next host has arrived.
                if (append) {
                    AppendResponse response;
                    response.outcome = AppendOutcome::Stored;
                    Actions actions;
                    harness.owner.onAppendResponse(at(now), response, actions);
                    harness.collectActions(actions);
                }
                append = harness.owner.nextAppend(at(now));
            }
            harness.tick(now);
            if (startsOf(harness, "00000000000000bb") > 0)
                startedAt = now;
        }
        CPPUNIT_ASSERT_MESSAGE("the task has started", startedAt > 0);
        CPPUNIT_ASSERT_MESSAGE("the task starts after " + std::to_string(startedAt - submittedAt),
            startedAt - submittedAt <= boundMilliseconds);
    }

    // Guards against gangs that wait for the store although stored hosts have room for all of their tasks.
    void aGangStartsOnStoredHosts()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 0));
        harness.settle(10);
        harness.submit(60, makeJob("00000000000000aa", { makeLastingStep(3) }));
        Wire::StepDefinition gang = makeStep(2, 1000, 1000);
        gang.gang = true;
        harness.submit(60, makeJob("00000000000000bb", { gang }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one processor is left", std::size_t(3), startsOn(harness, "host-1"));
        listStoredHost(harness, 150, "00000000000000aa", 3);
        harness.settle(160);
        harness.storeUnavailable = true;
        harness.announceAndReport(300, makeReport("host-2", 1, 300), testLink + 1);
        // The tasks of the cancelled job end, which makes room on host-1.
        harness.sendCall(310, Wire::JobCallKind::Cancel, makeJob("00000000000000aa", {}));
        Wire::HostReport report = makeReport("host-1", 1, 320);
        for (int n = 0; n < 3; ++n)
            report.ended.push_back(makeEndedTask(n + 1, makeTask("00000000000000aa", 0, n), 1, Wire::RunEnd::Stopped));
        harness.announceAndReport(320, report);
        harness.settle(330);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(harness, "host-2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("host-1 has room for the gang", std::size_t(5), startsOn(harness, "host-1"));
    }

    // Guards against urgent tasks that wait for the store although a stored host could make room for them.
    void lessUrgentRunsAreStoppedOnStoredHosts()
    {
        constexpr const char* lessUrgentJob = "00000000000000aa";
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 0));
        harness.settle(10);
        Wire::JobDefinition lessUrgent = makeJob(lessUrgentJob, { makeStep(4, 1000, 60'000) });
        lessUrgent.priority = 2;
        harness.submit(60, lessUrgent);
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), startsOf(harness, lessUrgentJob));
        listStoredHost(harness, 150, lessUrgentJob, 4);
        harness.submit(160, makeJob("00000000000000bb", { makeStep(1, 1000, 1000) }));
        harness.owner.onPulseConfirmed(at(160));
        const std::optional<AppendToStore> append = harness.owner.nextAppend(at(200));
        CPPUNIT_ASSERT(append.has_value());
        harness.announceAndReport(205, makeReport("host-2", 1, 205), testLink + 1);
        harness.storeUnavailable = true;
        AppendResponse response;
        response.outcome = AppendOutcome::Stored;
        Actions actions;
        harness.owner.onAppendResponse(at(210), response, actions);
        harness.collectActions(actions);
        harness.settle(220);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(harness, "host-2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostNotStoredTest);
