/// Tests that one tick of an owner examines a bounded number of hosts, however many tasks wait.
#include "Support/FloodedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;
using namespace Plantainpier::Flooding;

class PassSliceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PassSliceTest);
    CPPUNIT_TEST(aTickExaminesABoundedNumberOfHosts);
    CPPUNIT_TEST_SUITE_END();

    /// Time in milliseconds in which all tasks with room are started once they may.
    static constexpr int floodTime = 2'000;
    /// Hosts that one tick may examine: 50 searches of a fleet of 240, and one search more that ends the slice.
    static constexpr std::int64_t evaluationBound = std::int64_t(51) * livingHosts;

    // Guards against an owner that does nothing else than place tasks while thousands wait, so that it is taken for
    // dead and replaced.
    void aTickExaminesABoundedNumberOfHosts()
    {
        constexpr int leasesEnd = 3'000;
        Flood flood;
        flood.leasesEnd = leasesEnd;
        FloodedFleet fleet(flood);
        fleet.runUntil(leasesEnd);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.startsOf("lasting-"));
        fleet.runUntil(leasesEnd + floodTime);
        CPPUNIT_ASSERT_MESSAGE("most hosts examined in one tick: " + std::to_string(fleet.mostEvaluations),
            fleet.mostEvaluations <= evaluationBound);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("lasting tasks have no room left", 0, fleet.hostsWithRoom(lastingCores));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("short tasks have no room left", 0, fleet.hostsWithRoom(shortCores));
        CPPUNIT_ASSERT(fleet.startsOf("filler-") > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PassSliceTest);
