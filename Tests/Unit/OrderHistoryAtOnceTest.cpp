/// As OrderHistoryTest, with hosts that start again at once and take what was meant for their earlier life.
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class OrderHistoryAtOnceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryAtOnceTest);
    CPPUNIT_TEST(whatIsOrderedRunsOnceAndFits);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two runs of a task and ends that nobody hears: an order or an acknowledgement of an earlier life
    // reaches the next one before its side does.
    void whatIsOrderedRunsOnceAndFits()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), playOrderHistories(60, Restarts::AtOnce));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryAtOnceTest);
