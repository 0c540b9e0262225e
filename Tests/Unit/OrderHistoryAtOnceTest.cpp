/// Runs the histories of OrderHistoryTest with hosts that restart at once and accept orders that were meant for an
/// earlier incarnation.
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class OrderHistoryAtOnceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryAtOnceTest);
    CPPUNIT_TEST(tasksRunOnceAndFitTheirHosts);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two concurrent runs of a task and against ends that are never reported: an order or an
    // acknowledgement for an earlier incarnation reaches the next one before its side contacts it.
    void tasksRunOnceAndFitTheirHosts()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(60, { .restarts = HostRestarts::Immediate }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryAtOnceTest);
