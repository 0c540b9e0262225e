/// Runs the histories of OrderHistoryTest with hosts that restart at once and accept orders that were meant for an
/// earlier incarnation.
#include "Support/OrderSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace Plantainpier;

class OrderHistoryAtOnceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderHistoryAtOnceTest);
    CPPUNIT_TEST(tasksRunOnceAndFitTheirHosts);
    CPPUNIT_TEST(nothingStartsInClosedZones);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two concurrent runs of a task and against ends that are never reported: an order or an
    // acknowledgement for an earlier incarnation reaches the next one before its side contacts it.
    void tasksRunOnceAndFitTheirHosts()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runOrderHistories(60, { .restarts = HostRestarts::Immediate }));
    }

    // Guards against starts in closed zones by orders that the next incarnation of a host carries out. Only these
    // violations count here: the others of these histories are those of the test above.
    void nothingStartsInClosedZones()
    {
        std::istringstream lines(runOrderHistories(20, { .restarts = HostRestarts::Immediate, .zoneClosures = true }));
        std::string violations;
        for (std::string line; std::getline(lines, line);) {
            if (line.find(" in a zone closed for ") != std::string::npos || line.starts_with("no zone"))
                violations += line + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderHistoryAtOnceTest);
