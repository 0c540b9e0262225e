/// Tests LinkMonitor: a silent connection is closed within its timeout, and a suspension of the monitoring process does
/// not count as silence of the peer.
#include "Decision/Connection/LinkMonitor.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LinkMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkMonitorTest);
    CPPUNIT_TEST(closesASilentConnectionWithinTheTimeout);
    CPPUNIT_TEST(keepsAConnectionThatResponds);
    CPPUNIT_TEST(doesNotCountItsOwnSuspensionAsSilence);
    CPPUNIT_TEST(anyReceivedMessageReplacesAHeartbeat);
    CPPUNIT_TEST(closesAConnectionThatIsNotEstablished);
    CPPUNIT_TEST_SUITE_END();

    /// Ticks every 5 ms; returns the time of the first request to close the connection, or -1.
    static long long firstCloseAt(LinkMonitor& monitor, long long from, long long until, bool busy)
    {
        for (long long n = from; n <= until; n += 5) {
            if (monitor.tick(at(n), busy) == LinkAction::Suspect)
                return n;
        }
        return -1;
    }

    void closesASilentConnectionWithinTheTimeout()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long closedAt = firstCloseAt(monitor, 0, 5000, true);
        CPPUNIT_ASSERT(closedAt > 0);
        CPPUNIT_ASSERT(milliseconds(closedAt) <= LinkTiming {}.busySilence + milliseconds(10));
    }

    void keepsAConnectionThatResponds()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            const LinkAction action = monitor.tick(at(n), true);
            CPPUNIT_ASSERT(action != LinkAction::Suspect);
            if (action == LinkAction::SendHeartbeat)
                monitor.onHeard(at(n));
        }
    }

    void doesNotCountItsOwnSuspensionAsSilence()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long timeoutMilliseconds = toMilliseconds(LinkTiming {}.busySilence);
        CPPUNIT_ASSERT_EQUAL(-1LL, firstCloseAt(monitor, 0, timeoutMilliseconds - 100, true));
        CPPUNIT_ASSERT(monitor.tick(at(60'000), true) != LinkAction::Suspect);
        CPPUNIT_ASSERT_EQUAL(-1LL, firstCloseAt(monitor, 60'005, 60'000 + timeoutMilliseconds, true));
        CPPUNIT_ASSERT(firstCloseAt(monitor, 60'005 + timeoutMilliseconds, 60'000 + 2 * timeoutMilliseconds, true) > 0);
    }

    void anyReceivedMessageReplacesAHeartbeat()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            monitor.onHeard(at(n));
            CPPUNIT_ASSERT(monitor.tick(at(n), true) == LinkAction::Fine);
        }
    }

    void closesAConnectionThatIsNotEstablished()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        CPPUNIT_ASSERT(firstCloseAt(monitor, 0, 1000, false) > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkMonitorTest);
