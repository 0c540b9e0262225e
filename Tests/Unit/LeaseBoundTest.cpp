/// Tests LeaseBound: the leases of a host count as over no earlier than the host's own clock can show.
#include "Decision/Process/LeaseBound.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LeaseBoundTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseBoundTest);
    CPPUNIT_TEST(coversLeasesOfAnEarlierProcess);
    CPPUNIT_TEST(coversALeaseGrantedAfterTheReading);
    CPPUNIT_TEST(allowsForASlowClock);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a side that restarts while its host holds a lease of which the new process has no record.
    void coversLeasesOfAnEarlierProcess()
    {
        const LeaseBound bound(at(1000), seconds(10));
        CPPUNIT_ASSERT(!bound.isOver(at(1000 + 10'200)));
        CPPUNIT_ASSERT(bound.isOver(at(1000 + 10'320)));
    }

    void coversALeaseGrantedAfterTheReading()
    {
        LeaseBound bound(at(0), seconds(1));
        bound.onClockReading(at(50'000), 7000);
        CPPUNIT_ASSERT_MESSAGE("no lease was granted", bound.isOver(at(50'020)));
        bound.onLeaseGranted(9000);
        bound.onLeaseGranted(12'000);
        bound.onLeaseGranted(11'000);
        CPPUNIT_ASSERT(!bound.isOver(at(55'100)));
        CPPUNIT_ASSERT(bound.isOver(at(55'170)));
    }

    void allowsForASlowClock()
    {
        LeaseBound bound(at(0), seconds(1));
        bound.onLeaseGranted(100'000);
        bound.onClockReading(at(5000), 0);
        // A clock that is 2% slow reads 100 s after 102.04 s.
        CPPUNIT_ASSERT(!bound.isOver(at(5000 + 102'041)));
        bound.onClockReading(at(90'000), 100'000);
        CPPUNIT_ASSERT(bound.isOver(at(90'020)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundTest);
