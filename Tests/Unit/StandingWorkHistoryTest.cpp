/// Plays random histories in which long-running tasks reserve most processors beside short tasks that arrive without
/// end, and checks at each moment that accepted work does not stand still although there is room for it twice over.
#include "Support/StandingWorkHistory.h"
#include "Support/HistorySeeds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

using namespace Plantainpier;

class StandingWorkHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandingWorkHistoryTest);
    CPPUNIT_TEST(workRunsWhereThereIsRoomTwiceOver);
    CPPUNIT_TEST(workRunsWhereThereIsRoomTwiceOverAfterFaults);
    CPPUNIT_TEST_SUITE_END();

    /// PLANTAINPIER_HOSTS changes the size of the fleet.
    static int hostCount(int defaultHosts)
    {
        const char* setting = std::getenv("PLANTAINPIER_HOSTS");
        return setting ? std::stoi(setting) : defaultHosts;
    }

    static std::string play(unsigned seed, bool injectsFaults)
    {
        StandingWorkLoad load;
        load.seed = seed;
        load.hosts = hostCount(load.hosts);
        load.injectsFaults = injectsFaults;
        StandingWorkHistory history(load);
        history.run();
        const WaitSummary waits = history.longRunningWaits();
        std::cout << "\nseed " << seed << (injectsFaults ? " with faults" : "") << ": " << history.starts()
                  << " starts, reserved up to " << history.peakReservedShare() << ", long-running waits " << waits.count
                  << ", median " << waits.median << " ms, 95% " << waits.percentile95 << " ms, longest "
                  << waits.longest << " ms, longest with room " << history.longestWaitWithRoom()
                  << " ms, longest standstill of other jobs " << history.longestStandstill() << " ms, "
                  << history.violations().size() << " violations";
        for (const std::pair<const std::string, int>& fault : history.faults())
            std::cout << ", " << fault.first << " " << fault.second;
        std::cout << std::endl;
        CPPUNIT_ASSERT_MESSAGE("the history starts more than 1000 runs", history.starts() > 1000);
        std::string violations;
        for (const std::string& violation : history.violations())
            violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        std::cout << violations;
        return violations;
    }

    // Guards against large tasks that starve: short tasks of the same priority refill each gap as soon as it opens, so
    // that no host ever has the room of a large task at once.
    void workRunsWhereThereIsRoomTwiceOver()
    {
        const HistorySeeds seeds = historySeeds(5);
        std::string violations;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed)
            violations += play(seed, false);
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }

    // The same after losses of hosts, owners, links and the store: guards against work that is forgotten, and against
    // hosts that are taken for full, quarantined or draining without end.
    void workRunsWhereThereIsRoomTwiceOverAfterFaults()
    {
        const HistorySeeds seeds = historySeeds(6);
        std::string violations;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed)
            violations += play(seed, true);
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StandingWorkHistoryTest);
