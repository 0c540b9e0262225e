/// The queue of a decision loop: the order of events, and which events may be refused or must arrive when it is full.
#include "Shell/Process/DecisionLoop.h"
#include "Shell/Process/Clock.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace Plantainpier;

class DecisionLoopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLoopTest);
    CPPUNIT_TEST(anAwaitedEventArrivesThroughAFullQueue);
    CPPUNIT_TEST(signsOfLifeAreHandledBeforeOtherEvents);
    CPPUNIT_TEST(aFloodOfSignsOfLifeIsRefused);
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

    // Guards against a living process that is taken for dead because its answers wait behind its work.
    void signsOfLifeAreHandledBeforeOtherEvents()
    {
        Instant now = at(0);
        DecisionLoop loop([](Instant, Actions&) {}, [](Action&&) {}, [] { return false; }, [](const LogLine&) {},
            [&now] { return now; });
        std::string handled;
        const auto post = [&loop, &handled](EventKind kind, const char* name) {
            CPPUNIT_ASSERT(loop.post(kind, [&handled, name](Instant, Actions&) { handled += name; }));
        };
        // The first tick is due at once.
        loop.step(Duration::zero());
        post(EventKind::Message, "message1 ");
        post(EventKind::Call, "call ");
        post(EventKind::StoreAnswer, "store1 ");
        post(EventKind::Control, "control ");
        post(EventKind::SignOfLife, "life ");
        post(EventKind::Message, "message2 ");
        post(EventKind::StoreAnswer, "store2 ");
        constexpr int eventCount = 7;
        for (int n = 0; n < eventCount; ++n)
            loop.step(Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::string("store1 life store2 message1 call control message2 "), handled);
    }

    // Guards against memory that grows without limit because a peer or a prober sends heartbeats faster than they are
    // answered: the lane of urgent events had no capacity.
    void aFloodOfSignsOfLifeIsRefused()
    {
        constexpr int moreThanTheCapacity = 100'000;
        DecisionLoop loop(
            [](Instant, Actions&) {}, [](Action&&) {}, [] { return false; }, [](const LogLine&) {}, steadyNow);
        int accepted = 0;
        while (accepted < moreThanTheCapacity && loop.post(EventKind::SignOfLife, [](Instant, Actions&) {}))
            ++accepted;
        CPPUNIT_ASSERT(accepted < moreThanTheCapacity);
        // The other lane has room, and an answer of the store arrives in any case.
        CPPUNIT_ASSERT(loop.post(EventKind::Message, [](Instant, Actions&) {}));
        CPPUNIT_ASSERT(loop.postAwaited(EventKind::StoreAnswer, [](Instant, Actions&) {}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLoopTest);
