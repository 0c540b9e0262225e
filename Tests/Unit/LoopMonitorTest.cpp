/// The figures of a decision loop, and the line about intervals in which events waited long.
#include "Shell/Process/LoopMonitor.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LoopMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoopMonitorTest);
    CPPUNIT_TEST(aBusyIntervalIsLoggedWhole);
    CPPUNIT_TEST(everyKindOfEventHasAName);
    CPPUNIT_TEST(aLongTickAloneIsLogged);
    CPPUNIT_TEST(shortWaitsAreNotLogged);
    CPPUNIT_TEST(eachIntervalStartsAnew);
    CPPUNIT_TEST_SUITE_END();

    static std::string textOf(const std::optional<LogLine>& line) { return line ? line->text() : std::string(); }

    // Guards against a slow owner whose log doesn't show what its time was spent on and which events waited.
    void aBusyIntervalIsLoggedWhole()
    {
        LoopMonitor monitor(at(0));
        monitor.onEvent(EventKind::Message, milliseconds(40), milliseconds(2));
        monitor.onEvent(EventKind::Message, milliseconds(140), milliseconds(3));
        monitor.onEvent(EventKind::StoreAnswer, milliseconds(1), milliseconds(4));
        monitor.onEvent(EventKind::SignOfLife, milliseconds(2), Duration());
        monitor.onTick(milliseconds(60), 12);
        monitor.onTick(milliseconds(30), 7);
        CPPUNIT_ASSERT(!monitor.endInterval(at(999)));
        CPPUNIT_ASSERT_EQUAL(
            std::string("event=loop_busy interval_ms=1010 longest_queue=12 ticks=2 tick_worked_ms=90 longest_tick_ms=60"
                        " store_answer_count=1 store_answer_worked_ms=4 store_answer_longest_wait_ms=1"
                        " sign_of_life_count=1 sign_of_life_worked_ms=0 sign_of_life_longest_wait_ms=2"
                        " message_count=2 message_worked_ms=5 message_longest_wait_ms=140"),
            textOf(monitor.endInterval(at(1010))));
    }

    // Guards against a kind of event that is added without a row, whose figures the log and the metrics would omit.
    void everyKindOfEventHasAName()
    {
        LoopMonitor monitor(at(0));
        for (const EventKind kind : { EventKind::StoreAnswer, EventKind::SignOfLife, EventKind::OtherAnswer,
                 EventKind::Message, EventKind::Link, EventKind::Call, EventKind::Control })
            monitor.onEvent(kind, milliseconds(100), Duration());
        CPPUNIT_ASSERT_EQUAL(
            std::string("event=loop_busy interval_ms=1000 longest_queue=0 ticks=0 tick_worked_ms=0 longest_tick_ms=0"
                        " store_answer_count=1 store_answer_worked_ms=0 store_answer_longest_wait_ms=100"
                        " sign_of_life_count=1 sign_of_life_worked_ms=0 sign_of_life_longest_wait_ms=100"
                        " other_answer_count=1 other_answer_worked_ms=0 other_answer_longest_wait_ms=100"
                        " message_count=1 message_worked_ms=0 message_longest_wait_ms=100"
                        " link_count=1 link_worked_ms=0 link_longest_wait_ms=100"
                        " call_count=1 call_worked_ms=0 call_longest_wait_ms=100"
                        " control_count=1 control_worked_ms=0 control_longest_wait_ms=100"),
            textOf(monitor.endInterval(at(1000))));
    }

    void aLongTickAloneIsLogged()
    {
        LoopMonitor monitor(at(0));
        monitor.onTick(milliseconds(100), 0);
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "event=loop_busy interval_ms=1000 longest_queue=0 ticks=1 tick_worked_ms=100 longest_tick_ms=100"),
            textOf(monitor.endInterval(at(1000))));
    }

    // Guards against a line a second from each process of a fleet that has nothing to report.
    void shortWaitsAreNotLogged()
    {
        LoopMonitor monitor(at(0));
        monitor.onEvent(EventKind::Message, milliseconds(99), milliseconds(99));
        monitor.onTick(milliseconds(99), 1000);
        CPPUNIT_ASSERT(!monitor.endInterval(at(1000)));
    }

    void eachIntervalStartsAnew()
    {
        LoopMonitor monitor(at(0));
        monitor.onEvent(EventKind::Call, milliseconds(300), milliseconds(1));
        monitor.onTick(milliseconds(20), 5);
        CPPUNIT_ASSERT(monitor.endInterval(at(1000)));
        const LoopMonitor::Interval& interval = monitor.lastInterval();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), interval.longestQueue);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), interval.ticks.count);
        const LoopMonitor::Events& calls = interval.events[static_cast<std::size_t>(EventKind::Call)];
        CPPUNIT_ASSERT_EQUAL(300LL, static_cast<long long>(toMilliseconds(calls.longestWait)));
        CPPUNIT_ASSERT(!monitor.endInterval(at(2000)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), monitor.lastInterval().ticks.count);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoopMonitorTest);
