/// Checks in random histories of real JobOwners and HostAgents that every living host ends up with an owner that lists
/// it. In these histories a process of a side goes on for a while beside the one that replaces it.
#include "Support/HistorySeeds.h"
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LostHostHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LostHostHistoryTest);
    CPPUNIT_TEST(everyHostIsListedBesideFormerProcessesOfSides);
    CPPUNIT_TEST_SUITE_END();

    // Guards against hosts that are lost for good: a former process of the side connects to the owner last and ends,
    // and the owner passes over the reports of the present process.
    void everyHostIsListedBesideFormerProcessesOfSides()
    {
        constexpr int milliseconds = 20'000;
        const HistorySeeds seeds = historySeeds(20);
        std::string unlisted;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            OrderSimulation simulation(seed, { .overlappingSides = true });
            simulation.run(milliseconds);
            for (const std::string& host : simulation.unlistedHosts())
                unlisted += "seed " + std::to_string(seed) + ": " + host + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), unlisted);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LostHostHistoryTest);
