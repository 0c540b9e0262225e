/// A silent connection is detected within its bound; a pause of the monitoring process does not count as silence of the
/// peer.
#include "Decision/Connection/LinkMonitor.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LinkMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkMonitorTest);
    CPPUNIT_TEST(detectsSilenceWithinTheBound);
    CPPUNIT_TEST(keepsALinkThatAnswers);
    CPPUNIT_TEST(ignoresAPauseOfItsOwnProcess);
    CPPUNIT_TEST(anyReceivedMessageReplacesAHeartbeat);
    CPPUNIT_TEST(closesAConnectionThatIsNotEstablished);
    CPPUNIT_TEST_SUITE_END();

    /// Ticks every 5 ms; returns the time at which the monitor first closes the connection, or -1.
    static long long closedAt(LinkMonitor& monitor, long long from, long long until, bool busy)
    {
        for (long long n = from; n <= until; n += 5) {
            if (monitor.tick(at(n), busy) == LinkAction::Close)
                return n;
        }
        return -1;
    }

    void detectsSilenceWithinTheBound()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long detectedAt = closedAt(monitor, 0, 5000, true);
        CPPUNIT_ASSERT(detectedAt > 0);
        CPPUNIT_ASSERT(milliseconds(detectedAt) <= LinkTiming {}.busyTimeout + milliseconds(10));
    }

    void keepsALinkThatAnswers()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            const LinkAction action = monitor.tick(at(n), true);
            CPPUNIT_ASSERT(action != LinkAction::Close);
            if (action == LinkAction::SendHeartbeat)
                monitor.onReceived(at(n));
        }
    }

    void ignoresAPauseOfItsOwnProcess()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long bound = toMilliseconds(LinkTiming {}.busyTimeout);
        CPPUNIT_ASSERT_EQUAL(-1LL, closedAt(monitor, 0, bound - 100, true));
        CPPUNIT_ASSERT(monitor.tick(at(60'000), true) != LinkAction::Close);
        CPPUNIT_ASSERT_EQUAL(-1LL, closedAt(monitor, 60'005, 60'000 + bound, true));
        CPPUNIT_ASSERT(closedAt(monitor, 60'005 + bound, 60'000 + 2 * bound, true) > 0);
    }

    void anyReceivedMessageReplacesAHeartbeat()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            monitor.onReceived(at(n));
            CPPUNIT_ASSERT(monitor.tick(at(n), true) == LinkAction::None);
        }
    }

    void closesAConnectionThatIsNotEstablished()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        CPPUNIT_ASSERT(closedAt(monitor, 0, 1000, false) > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkMonitorTest);
