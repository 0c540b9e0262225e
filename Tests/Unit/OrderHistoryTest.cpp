/// Random histories over real owners and real sides: hosts crash and start again under the id that they had, orders are
/// carried out seconds late, sides restart, owners freeze and are replaced, messages of old connections are read after
/// those of new ones. Checked against what the hosts did.
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class OrderHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryTest);
    CPPUNIT_TEST(whatIsOrderedRunsOnceAndFits);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two runs of a task, hosts that are given more than they hold, and tasks that are never placed
    // again, when orders and lists of an earlier connection, owner or life of a host come late.
    void whatIsOrderedRunsOnceAndFits()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), playOrderHistories(60, Restarts::Ordinary));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryTest);
