/// When the decision thread ticks: how its time is shared between ticks and the events that wait.
#include "Decision/Process/LoopPacer.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LoopPacerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoopPacerTest);
    CPPUNIT_TEST(theFirstTickIsDueAtOnce);
    CPPUNIT_TEST(anIdleLoopTicksOnceAnInterval);
    CPPUNIT_TEST(eventsThatWaitAreHandledBeforeTheNextTick);
    CPPUNIT_TEST(eventsDelayATickWithinALimit);
    CPPUNIT_TEST(eventsGetAsLongAsALongTick);
    CPPUNIT_TEST(aLongIntervalIsKept);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration interval = milliseconds(5);
    static constexpr Duration shortTick = milliseconds(1);
    /// The limit on the delay of a tick after a short one.
    static constexpr Duration longestDelay = milliseconds(100);

    static void assertNextTick(Instant expected, const LoopPacer& pacer)
    {
        const long long difference = toMilliseconds(pacer.nextTickAt() - expected);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("milliseconds after the expected time", 0LL, difference);
    }

    void theFirstTickIsDueAtOnce()
    {
        const LoopPacer pacer;
        CPPUNIT_ASSERT(pacer.nextTickAt() <= at(0));
    }

    // Guards against a loop that ticks without pause, or waits for the limit although nothing is left to handle.
    void anIdleLoopTicksOnceAnInterval()
    {
        LoopPacer pacer;
        pacer.onTickEnd(at(0), shortTick, interval, 0);
        assertNextTick(at(0) + interval, pacer);
        // Events that arrive later don't delay the tick.
        pacer.onEvent();
        assertNextTick(at(0) + interval, pacer);
        pacer.onTickEnd(at(20), shortTick, interval, 0);
        assertNextTick(at(20) + interval, pacer);
    }

    // Guards against events that get only what a long tick leaves of its interval, so that their queue grows.
    void eventsThatWaitAreHandledBeforeTheNextTick()
    {
        constexpr int waitingEvents = 3;
        LoopPacer pacer;
        pacer.onTickEnd(at(0), shortTick, interval, waitingEvents);
        for (int n = 0; n < waitingEvents; ++n) {
            assertNextTick(at(0) + longestDelay, pacer);
            pacer.onEvent();
        }
        assertNextTick(at(0) + interval, pacer);
    }

    // Guards against ticks, and with them pulses and leases, that wait for a queue that never becomes empty.
    void eventsDelayATickWithinALimit()
    {
        constexpr int waitingEvents = 1'000'000;
        LoopPacer pacer;
        pacer.onTickEnd(at(0), shortTick, interval, waitingEvents);
        for (int n = 0; n < waitingEvents / 2; ++n)
            pacer.onEvent();
        assertNextTick(at(0) + longestDelay, pacer);
        // The remaining events count anew after the tick.
        pacer.onTickEnd(at(100), shortTick, interval, 1);
        pacer.onEvent();
        assertNextTick(at(100) + interval, pacer);
    }

    // Guards against calls and reports that wait for seconds because ticks take several times as long as what events
    // get between two of them.
    void eventsGetAsLongAsALongTick()
    {
        LoopPacer pacer;
        pacer.onTickEnd(at(0), milliseconds(250), interval, 1);
        assertNextTick(at(250), pacer);
        pacer.onTickEnd(at(0), milliseconds(2000), interval, 1);
        assertNextTick(at(300), pacer);
        pacer.onEvent();
        assertNextTick(at(0) + interval, pacer);
    }

    void aLongIntervalIsKept()
    {
        constexpr Duration longInterval = milliseconds(250);
        LoopPacer pacer;
        pacer.onTickEnd(at(0), shortTick, longInterval, 1);
        assertNextTick(at(0) + longInterval, pacer);
        pacer.onEvent();
        assertNextTick(at(0) + longInterval, pacer);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoopPacerTest);
