/// A silent connection is found within its bound; a pause of the watcher is no silence of the peer.
#include "Decision/Connection/LinkMonitor.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class LinkMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkMonitorTest);
    CPPUNIT_TEST(findsSilenceWithinTheBound);
    CPPUNIT_TEST(keepsALinkThatAnswers);
    CPPUNIT_TEST(doesNotBlameThePeerForItsOwnPause);
    CPPUNIT_TEST(anythingHeardReplacesAHeartbeat);
    CPPUNIT_TEST(givesUpAConnectionThatIsNotMade);
    CPPUNIT_TEST_SUITE_END();

    /// Ticks every 5 ms; the time of the first suspicion, or -1.
    static long long suspectAt(LinkMonitor& monitor, long long from, long long until, bool busy)
    {
        for (long long n = from; n <= until; n += 5) {
            if (monitor.tick(at(n), busy) == LinkAction::Suspect)
                return n;
        }
        return -1;
    }

    void findsSilenceWithinTheBound()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long found = suspectAt(monitor, 0, 5000, true);
        CPPUNIT_ASSERT(found > 0);
        CPPUNIT_ASSERT(milliseconds(found) <= LinkTiming {}.busySilence + milliseconds(10));
    }

    void keepsALinkThatAnswers()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            const LinkAction verdict = monitor.tick(at(n), true);
            CPPUNIT_ASSERT(verdict != LinkAction::Suspect);
            if (verdict == LinkAction::SendHeartbeat)
                monitor.onHeard(at(n));
        }
    }

    void doesNotBlameThePeerForItsOwnPause()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        const long long bound = toMilliseconds(LinkTiming {}.busySilence);
        CPPUNIT_ASSERT_EQUAL(-1LL, suspectAt(monitor, 0, bound - 100, true));
        CPPUNIT_ASSERT(monitor.tick(at(60'000), true) != LinkAction::Suspect);
        CPPUNIT_ASSERT_EQUAL(-1LL, suspectAt(monitor, 60'005, 60'000 + bound, true));
        CPPUNIT_ASSERT(suspectAt(monitor, 60'005 + bound, 60'000 + 2 * bound, true) > 0);
    }

    void anythingHeardReplacesAHeartbeat()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        monitor.onUp(at(0));
        for (long long n = 0; n < 10'000; n += 5) {
            monitor.onHeard(at(n));
            CPPUNIT_ASSERT(monitor.tick(at(n), true) == LinkAction::Fine);
        }
    }

    void givesUpAConnectionThatIsNotMade()
    {
        LinkMonitor monitor(LinkTiming {}, at(0));
        CPPUNIT_ASSERT(suspectAt(monitor, 0, 1000, false) > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkMonitorTest);
