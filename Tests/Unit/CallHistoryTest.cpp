/// Random histories of calls, with real entries in virtual time: owners change while calls are in progress, entries
/// lose the store, freeze, restart and are told to stop in turn, the store drops old records, and clients repeat their
/// calls at other entries. PLANTAINPIER_HISTORIES sets the
/// number of histories, PLANTAINPIER_SEED selects one, and PLANTAINPIER_TRACE prints the entries' log.
#include "Support/CallSimulation.h"
#include "Support/HistorySeeds.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class CallHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallHistoryTest);
    CPPUNIT_TEST(answersAreTrue);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a refusal of a former owner that ends a call which the present owner stores, a denial of an
    // accepted job, and calls that a process leaves without an answer when it is told to stop.
    void answersAreTrue()
    {
        constexpr int milliseconds = 20'000;
        const HistorySeeds seeds = historySeeds(40);
        std::string violations;
        std::size_t acceptedCount = 0;
        std::size_t takeOverCount = 0;
        std::size_t gracefulEndCount = 0;
        std::size_t queryCount = 0;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            CallSimulation simulation(seed);
            simulation.run(milliseconds);
            acceptedCount += simulation.acceptedCount();
            takeOverCount += simulation.takeOverCount();
            gracefulEndCount += simulation.gracefulEndCount();
            queryCount += simulation.queryCount();
            for (const std::string& violation : simulation.violations())
                violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
        CPPUNIT_ASSERT_MESSAGE("the histories accept jobs", acceptedCount >= 100 * seeds.count());
        CPPUNIT_ASSERT_MESSAGE("the histories change the owner", takeOverCount >= 3 * seeds.count());
        // A single seed may have no shutdown.
        if (seeds.count() < 10)
            return;
        CPPUNIT_ASSERT_MESSAGE("the histories stop processes", gracefulEndCount >= seeds.count());
        CPPUNIT_ASSERT_MESSAGE("the histories query jobs", queryCount >= 50 * seeds.count());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallHistoryTest);
