/// Tests the order of jobs that cannot all be on time: the choice in single cases, and what it earns under load.
#include "Support/HistorySeeds.h"
#include "Support/OverloadedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace Plantainpier;

class FeasibleOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FeasibleOrderTest);
    CPPUNIT_TEST(earnsMoreThanLeastSlackInAnOverload);
    CPPUNIT_TEST_SUITE_END();

    static OverloadScenario makeScenario(unsigned seed, OverloadOrder order)
    {
        OverloadScenario scenario;
        scenario.seed = seed;
        scenario.rules.admission = AdmissionMode::RejectUnservable;
        scenario.rules.overloadOrder = order;
        scenario.burstUntil = 40'000;
        scenario.arrivalsUntil = 50'000;
        scenario.endAt = 100'000;
        return scenario;
    }

    // Guards against an overload in which job after job just misses its time.
    void earnsMoreThanLeastSlackInAnOverload()
    {
        const HistorySeeds seeds = historySeeds(6);
        double earned[2] = { 0, 0 };
        double useful[2] = { 0, 0 };
        double usefulLarge[2] = { 0, 0 };
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            for (const OverloadOrder order : { OverloadOrder::LeastSlack, OverloadOrder::FeasibleSet }) {
                OverloadedFleet fleet(makeScenario(seed, order));
                fleet.run();
                const int n = order == OverloadOrder::FeasibleSet ? 1 : 0;
                earned[n] += fleet.earnedShare() / static_cast<double>(seeds.count());
                useful[n] += fleet.usefulShare(false) / static_cast<double>(seeds.count());
                usefulLarge[n] += fleet.usefulShare(true) / static_cast<double>(seeds.count());
            }
        }
        std::ostringstream text;
        text << "earned " << earned[0] << " " << earned[1] << ", useful " << useful[0] << " " << useful[1]
             << ", of the largest " << usefulLarge[0] << " " << usefulLarge[1];
        CPPUNIT_ASSERT_MESSAGE(text.str(), earned[1] > 1.1 * earned[0]);
        CPPUNIT_ASSERT_MESSAGE(text.str(), usefulLarge[1] >= 0.5 * useful[1]);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FeasibleOrderTest);
