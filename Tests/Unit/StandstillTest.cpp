/// Tests that no accepted job stands still without bound, with a JobOwner and hosts in virtual time. The load: small
/// fillers that can still be on time arrive without end and use all processors, while a job that is overdue waits for
/// some.
#include "Support/BusyFleet.h"

#include "Decision/Job/WorkPriority.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class StandstillTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandstillTest);
    CPPUNIT_TEST(anOverdueJobRunsAlthoughOthersAreOnTime);
    CPPUNIT_TEST(aJobThatStoodStillGetsOneTaskAheadOfOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* overdue = "b00000000000000b";
    static constexpr int hosts = 4;
    /// More than the processors of the hosts can serve.
    static constexpr int smallTasksPerStep = 50;
    static constexpr int submittedAt = 3000;
    /// The largest filler of the users takes most of a small host.
    static constexpr std::int64_t largeMilliCores = 14'000;

    static std::unique_ptr<BusyFleet> makeFleet(int tasks)
    {
        std::unique_ptr<BusyFleet> fleet
            = std::make_unique<BusyFleet>(hosts, smallTasksPerStep, BusyFleet::SmallTasks::Fillers);
        fleet->startArrivals();
        fleet->runUntil(submittedAt);
        Wire::StepDefinition step = makeStep(tasks, largeMilliCores, 10);
        step.filler = true;
        step.image = "large";
        Wire::JobDefinition job = makeJob(overdue, { step });
        job.stretch = 1;
        job.objectiveMilliseconds = 1;
        fleet->harness.submit(submittedAt, job);
        return fleet;
    }

    static constexpr int boundMilliseconds = 4500;

    // Guards against a job with nothing running for as long as others that can be on time keep arriving.
    void anOverdueJobRunsAlthoughOthersAreOnTime()
    {
        const std::unique_ptr<BusyFleet> fleet = makeFleet(1);
        CPPUNIT_ASSERT(toMilliseconds(longestStandstill) < boundMilliseconds);
        fleet->runUntil(submittedAt + boundMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet->runsOf(overdue));
    }

    // Guards against overdue work that takes the processors from work that can be on time.
    void aJobThatStoodStillGetsOneTaskAheadOfOthers()
    {
        const std::unique_ptr<BusyFleet> fleet = makeFleet(8);
        fleet->runUntil(submittedAt + boundMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet->runsOf(overdue));
        fleet->runUntil(submittedAt + 2 * boundMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet->runsOf(overdue));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StandstillTest);
