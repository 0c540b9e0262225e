/// Random histories of calls, with real entries in virtual time: owners change while calls are in progress, entries
/// lose the store, freeze and restart, and clients repeat their calls at other entries. PLANTAINPIER_HISTORIES sets the
/// number of histories, PLANTAINPIER_SEED selects one, and PLANTAINPIER_TRACE prints the entries' log.
#include "Support/CallSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class CallHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallHistoryTest);
    CPPUNIT_TEST(refusalsAndAcceptancesAreTrue);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a refusal of a former owner that ends a call which the present owner stores.
    void refusalsAndAcceptancesAreTrue()
    {
        constexpr int milliseconds = 20'000;
        constexpr unsigned defaultHistories = 40;
        const char* historiesSetting = std::getenv("PLANTAINPIER_HISTORIES");
        const char* seedSetting = std::getenv("PLANTAINPIER_SEED");
        const unsigned first = seedSetting ? static_cast<unsigned>(std::stoul(seedSetting)) : 1;
        const unsigned last = seedSetting ? first
            : historiesSetting            ? static_cast<unsigned>(std::stoul(historiesSetting))
                                          : defaultHistories;
        std::string violations;
        std::size_t acceptedCount = 0;
        std::size_t takeOverCount = 0;
        for (unsigned seed = first; seed <= last; ++seed) {
            CallSimulation simulation(seed);
            simulation.run(milliseconds);
            acceptedCount += simulation.acceptedCount();
            takeOverCount += simulation.takeOverCount();
            for (const std::string& violation : simulation.violations())
                violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
        const std::size_t histories = last - first + 1;
        CPPUNIT_ASSERT_MESSAGE("the histories accept jobs", acceptedCount >= 100 * histories);
        CPPUNIT_ASSERT_MESSAGE("the histories change the owner", takeOverCount >= 3 * histories);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallHistoryTest);
