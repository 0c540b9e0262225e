/// The queue of a decision loop when it is full: which events may be refused, and which must arrive.
#include "Shell/Process/DecisionLoop.h"
#include "Shell/Process/Clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace Plantainpier;

class DecisionLoopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLoopTest);
    CPPUNIT_TEST(anAwaitedEventArrivesThroughAFullQueue);
    CPPUNIT_TEST_SUITE_END();

    // Guards against the loss of an answer while the queue is full: a list of a host without an outcome stays in flight
    // for ever, so that the side sends no other and the runs of a living host are given up.
    void anAwaitedEventArrivesThroughAFullQueue()
    {
        constexpr int moreThanTheCapacity = 100'000;
        DecisionLoop loop(
            [](Instant, Actions&) {}, [](Action&&) {}, [] { return false; }, [](const LogLine&) {}, steadyNow);
        int accepted = 0;
        int processed = 0;
        while (accepted < moreThanTheCapacity
            && loop.post(EventKind::Message, [&processed](Instant, Actions&) { ++processed; }))
            ++accepted;
        CPPUNIT_ASSERT(accepted < moreThanTheCapacity);
        int processedBefore = -1;
        CPPUNIT_ASSERT(
            loop.postAwaited(EventKind::OtherAnswer, [&loop, &processed, &processedBefore](Instant, Actions&) {
                processedBefore = processed;
                loop.stop();
            }));
        std::thread decisionThread([&loop] { loop.run(); });
        decisionThread.join();
        CPPUNIT_ASSERT_EQUAL(accepted, processedBefore);
        CPPUNIT_ASSERT(!loop.postAwaited(EventKind::OtherAnswer, [](Instant, Actions&) {}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLoopTest);
