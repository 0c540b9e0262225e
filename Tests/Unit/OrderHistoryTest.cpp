/// Tests the real JobOwner and HostAgent in random histories: hosts crash and restart under the same id, orders are
/// carried out seconds late, sides restart, owners freeze and are replaced, and messages of old connections are read
/// after those of new ones. The checks use the runs that the hosts carried out.
#include "Support/HistorySeeds.h"
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class OrderHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryTest);
    CPPUNIT_TEST(tasksRunOnceAndFitTheirHosts);
    CPPUNIT_TEST(tasksRunOnceBesideFormerProcessesOfSides);
    CPPUNIT_TEST(tasksRunOnceWhenHostsLeaveByPlan);
    CPPUNIT_TEST(tasksRunOnceInALargeFleet);
    CPPUNIT_TEST(tasksRunOnceBesideSlowSides);
    CPPUNIT_TEST(tasksRunOnceWithAllFaults);
    CPPUNIT_TEST(nothingStartsInClosedZones);
    CPPUNIT_TEST(lastingTasksRunAgainSoonAfterHandOvers);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two concurrent runs of a task, overcommitted hosts, and tasks that are never placed again, when
    // orders and lists of an earlier connection, owner or incarnation of a host arrive late.
    void tasksRunOnceAndFitTheirHosts() { CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(60, {})); }

    // Guards against runs that are given up or doubled because a process of a side still lists, starts and reports
    // while the next one does.
    void tasksRunOnceBesideFormerProcessesOfSides()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(20, { .overlappingSides = true }));
    }

    // Guards against runs of a new host that are given up because a late announcement or departure notice of its
    // predecessor arrives, and against runs of the predecessor that are never given up.
    void tasksRunOnceWhenHostsLeaveByPlan()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(20, { .plannedDepartures = true }));
    }

    // Guards against runs that are taken for absent when a list omits ends or many starts are on their way.
    void tasksRunOnceInALargeFleet()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(5, { .largeFleet = true }));
    }

    // Guards against runs that are given up because the answer to a start arrives after a list or a fence that was sent
    // after it.
    void tasksRunOnceBesideSlowSides()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(20, { .slowAnswers = true }));
    }

    // Guards against faults that only act together.
    void tasksRunOnceWithAllFaults()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
            runOrderHistories(
                5, { .overlappingSides = true, .plannedDepartures = true, .largeFleet = true, .slowAnswers = true }));
    }

    // Guards against starts in a zone that an operator has closed, by an owner that has just taken over, is cut off
    // from the store or reads old pages, and against zones that stay out of use.
    void nothingStartsInClosedZones()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(20, { .zoneClosures = true }));
    }

    // Guards against long-running tasks that wait for the leases of hosts that have left: a host that leaves while its
    // side has no owner is never reported as gone, and each hand-over waits for its leases again.
    void lastingTasksRunAgainSoonAfterHandOvers()
    {
        constexpr int handOvers = 8;
        constexpr int longestWaitMilliseconds = 3000;
        const HistorySeeds seeds = historySeeds(20);
        std::string violations;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            OrderSimulation simulation(seed, { .largeFleet = true });
            const int longest = simulation.runHandOvers(handOvers);
            if (longest > longestWaitMilliseconds)
                violations
                    += "seed " + std::to_string(seed) + ": a task has no run for " + std::to_string(longest) + " ms\n";
            for (const std::string& violation : simulation.violations())
                violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryTest);
