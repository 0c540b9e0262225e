/// Tests the log lines that tell why plans end late: CapacityLogger, and the line about a completed step.
#include "Decision/Job/CapacityLogger.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class CapacityLoggerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CapacityLoggerTest);
    CPPUNIT_TEST(logsOnceASecondWhileThereAreFillers);
    CPPUNIT_TEST(logsWhenTheLastRunOfAStepStarted);
    CPPUNIT_TEST_SUITE_END();

    static Wire::StepDefinition makeFillerStep(int count, std::int64_t milliCores)
    {
        Wire::StepDefinition step = makeStep(count, milliCores, 500);
        step.filler = true;
        step.image = "plan";
        return step;
    }

    /// A report of host-1 that lists all started runs with the given usage.
    static Wire::HostReport makeListing(const OwnerHarness& harness, int now, std::int64_t usage)
    {
        Wire::HostReport report = makeReport("host-1", 1, now + 100);
        for (const Wire::StartOrder& start : harness.startOrders) {
            report.running.push_back(makeRunningTask(start.task, start.run));
            report.running.back().usage = usage;
        }
        return report;
    }

    void logsOnceASecondWhileThereAreFillers()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(0);
        CPPUNIT_ASSERT(harness.linesOf("capacity").empty());
        Wire::StepDefinition serving = makeStep(1, 1000, 100);
        serving.longRunning = true;
        serving.targetMilliseconds = 150;
        serving.image = "desk";
        harness.submit(1000, makeJob("0000000000000001", { serving }));
        harness.settle(1000);
        harness.submit(1100, makeJob("0000000000000002", { makeFillerStep(5, 700) }));
        for (int now = 1100; now < 3400; now += 100) {
            harness.announceAndReport(now, makeListing(harness, now, 20));
            harness.settle(now);
        }
        const std::vector<std::string> lines = harness.linesOf("capacity");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        // Four fillers fit beside the serving task, which is assumed to use 0.6 of its processors; the fifth waits. By
        // its estimate it could end in time for the first second.
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "event=capacity hosts=1 milli=4000 serving_milli=1000 batch_milli=0 halting_milli=0 "
                "unlisted_milli=0 fillers=4 filler_milli=2800 paced_milli=2800 used_milli=80 stopped=0 slowed=0 "
                "probing_hosts=0 over_target=0 near_target=0 waiting_in_time=0 waiting_late=1 "
                "waiting_lasting=0 lasting_wait_ms=0"),
            lines[1]);
    }

    void logsWhenTheLastRunOfAStepStarted()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(0);
        // Two tasks fit at once; the third starts when the first one has ended.
        harness.submit(1000, makeJob("0000000000000001", { makeStep(3, 2000, 400) }));
        harness.settle(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        Wire::HostReport report = makeListing(harness, 1400, 2000);
        report.ended.push_back(makeEndedTask(1, harness.startOrders[0].task, 1, Wire::RunEnd::Completed));
        report.running.erase(report.running.begin());
        harness.announceAndReport(1400, report);
        harness.settle(1400);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.startOrders.size());
        CPPUNIT_ASSERT(harness.linesOf("step_completed").empty());
        Wire::HostReport last = makeReport("host-1", 1, 1900);
        last.ended.push_back(makeEndedTask(2, harness.startOrders[1].task, 1, Wire::RunEnd::Completed));
        last.ended.push_back(makeEndedTask(3, harness.startOrders[2].task, 1, Wire::RunEnd::Completed));
        harness.announceAndReport(1850, last);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.linesOf("step_completed").size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("event=step_completed job=0000000000000001 occurrence=0 step=0 filler=false tasks=3 runs=3 "
                        "estimate_ms=400 after_ms=840 last_start_after_ms=390 last_host=host-1 due_in_ms=450"),
            harness.linesOf("step_completed").front());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CapacityLoggerTest);
