/// Tests FailedPlacements and how TaskScheduler uses it. The load pattern: hosts are full, and many steps of a few
/// kinds wait, so that a search over all hosts for each of them would take most of the owner's processor.
#include "Decision/Placement/FailedPlacements.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class FailedPlacementsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailedPlacementsTest);
    CPPUNIT_TEST(rulesOutRequestsThatNeedAsMuch);
    CPPUNIT_TEST(keepsNoFailureThatDependsOnTheStep);
    CPPUNIT_TEST(aPassSearchesOnceForWaitingStepsOfOneKind);
    CPPUNIT_TEST(aSmallerStepIsPlacedBehindALargeOne);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* jobId = "00000000000000aa";

    static bool isRuledOut(
        const FailedPlacements& failures, const Wire::JobDefinition& job, int minimumPacePercent = 30)
    {
        const std::vector<RunPlace> places;
        return failures.find(PlacementRequest { job, job.steps[0], 0, 0, places, {}, minimumPacePercent }) != nullptr;
    }

    void rulesOutRequestsThatNeedAsMuch()
    {
        Wire::StepDefinition step = makeStep(1, 2000, 300);
        step.filler = true;
        step.image = "plan";
        const Wire::JobDefinition job = makeJob(jobId, { step });
        const std::vector<RunPlace> places;
        FailedPlacements failures;
        failures.add(PlacementRequest { job, job.steps[0], 0, 0, places, {} }, HostEligibilityCounts());
        CPPUNIT_ASSERT(isRuledOut(failures, job));
        CPPUNIT_ASSERT_MESSAGE("a higher pace is harder to find", isRuledOut(failures, job, 90));
        CPPUNIT_ASSERT(!isRuledOut(failures, job, 20));
        PlacementRequest waited { job, job.steps[0], 0, 0, places, {} };
        waited.hasWaitedLong = true;
        CPPUNIT_ASSERT_MESSAGE("more hosts will do after a long wait", !failures.find(waited));
        Wire::JobDefinition other = job;
        other.steps[0].demand.milliProcessors = 3000;
        CPPUNIT_ASSERT(isRuledOut(failures, other));
        other.steps[0].demand.memoryMegabytes = 50;
        CPPUNIT_ASSERT_MESSAGE("it needs less memory", !isRuledOut(failures, other));
        other = job;
        other.steps[0].image = "report";
        CPPUNIT_ASSERT_MESSAGE("hosts tolerate other images differently", !isRuledOut(failures, other));
        other = job;
        other.steps[0].filler = false;
        CPPUNIT_ASSERT(!isRuledOut(failures, other));
        other = job;
        other.steps[0].requiredLabel = "large";
        CPPUNIT_ASSERT(!isRuledOut(failures, other));
        other = job;
        other.serviceName = "bench";
        CPPUNIT_ASSERT(!isRuledOut(failures, other));
        failures.clear();
        CPPUNIT_ASSERT(!isRuledOut(failures, job));
    }

    // Guards against a step that is not placed because another one may run only once on each host.
    void keepsNoFailureThatDependsOnTheStep()
    {
        const Wire::JobDefinition job = makeJob(jobId, { makeStep(1, 2000, 300) });
        const std::vector<RunPlace> places;
        for (const HostEligibility eligibility :
            { HostEligibility::OtherRack, HostEligibility::RunsTheTask, HostEligibility::StepAtMaximum }) {
            HostEligibilityCounts hostCounts;
            hostCounts.add(eligibility);
            FailedPlacements failures;
            failures.add(PlacementRequest { job, job.steps[0], 0, 0, places, {} }, hostCounts);
            CPPUNIT_ASSERT(!isRuledOut(failures, job));
        }
    }

    /// An owner with one host of 4 cores that two tasks keep full.
    static void fillHost(OwnerHarness& harness)
    {
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.submit(60, makeJob(jobId, { makeStep(1, 3500, 60'000) }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
    }

    void aPassSearchesOnceForWaitingStepsOfOneKind()
    {
        constexpr int jobs = 200;
        constexpr int passes = 10;
        OwnerHarness harness;
        fillHost(harness);
        for (int n = 0; n < jobs; ++n)
            harness.submit(200, makeJob("00000000000001" + std::to_string(10 + n), { makeStep(3, 1000, 300) }));
        harness.settle(210);
        const std::int64_t before = harness.owner.state().counters.hostSearches;
        for (int n = 0; n < passes; ++n)
            harness.tick(400 + 60 * n);
        const std::int64_t searches = harness.owner.state().counters.hostSearches - before;
        CPPUNIT_ASSERT_MESSAGE("each pass searches", searches >= passes);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(searches) + " searches", searches <= passes);
    }

    // Guards against small steps that wait behind a large one although they fit.
    void aSmallerStepIsPlacedBehindALargeOne()
    {
        OwnerHarness harness;
        fillHost(harness);
        harness.submit(200, makeJob("0000000000000100", { makeStep(1, 1000, 300) }));
        harness.submit(200, makeJob("0000000000000101", { makeStep(1, 400, 60'000) }));
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("0000000000000101"), harness.startOrders[1].task.jobId);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FailedPlacementsTest);
