/// Tests how long tasks of jobs that an earlier owner accepted wait for hosts that are gone with their sides while
/// owners follow each other.
#include "Support/ReplacedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;
using namespace Plantainpier::Replacement;

class OwnersByTurnsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnersByTurnsTest);
    CPPUNIT_TEST(tasksStartWithinABoundHoweverManyOwnersFollow);
    CPPUNIT_TEST_SUITE_END();

    // Guards against inherited tasks that wait for as long as owners replace each other: each owner waits for the
    // longest lease of hosts that are gone.
    void tasksStartWithinABoundHoweverManyOwnersFollow()
    {
        /// The last leases before the loss of power at 0 are over then.
        constexpr int lastLeaseEnd = 5000;
        constexpr int boundMilliseconds = 6000;
        constexpr int endMilliseconds = 40'000;
        for (const int turnMilliseconds : { 5000, 2500 }) {
            ReplacedFleet fleet(FormerSides::Gone);
            const int startedAt = fleet.runWithOwnersByTurns(turnMilliseconds, endMilliseconds);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("with owners each " + std::to_string(turnMilliseconds) + " ms",
                std::size_t(lastingTaskCount), fleet.runningTasks());
            CPPUNIT_ASSERT_MESSAGE("with owners each " + std::to_string(turnMilliseconds) + " ms all tasks run after "
                    + std::to_string(startedAt),
                startedAt <= lastLeaseEnd + boundMilliseconds);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OwnersByTurnsTest);
