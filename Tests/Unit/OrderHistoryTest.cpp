/// Tests the real JobOwner and HostAgent in random histories: hosts crash and restart under the same id, orders are
/// carried out seconds late, sides restart, owners freeze and are replaced, and messages of old connections are read
/// after those of new ones. The checks use the runs that the hosts carried out.
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class OrderHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryTest);
    CPPUNIT_TEST(tasksRunOnceAndFitTheirHosts);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two concurrent runs of a task, overcommitted hosts, and tasks that are never placed again, when
    // orders and lists of an earlier connection, owner or incarnation of a host arrive late.
    void tasksRunOnceAndFitTheirHosts()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(60, HostRestarts::Ordinary));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryTest);
