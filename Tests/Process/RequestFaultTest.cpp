/// Latency-critical requests while processes die, freeze and lose their connections; checked against the runs that the
/// targets recorded.
#include "Process/CallerLoad.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class RequestFaultTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestFaultTest);
    CPPUNIT_TEST(killsOfSides);
    CPPUNIT_TEST(killsOfTargets);
    CPPUNIT_TEST(killsOfEntries);
    CPPUNIT_TEST(frozenSides);
    CPPUNIT_TEST(frozenTargets);
    CPPUNIT_TEST(frozenEntries);
    CPPUNIT_TEST(silentConnections);
    CPPUNIT_TEST(oneWayCuts);
    CPPUNIT_TEST(logAway);
    CPPUNIT_TEST(halfAZoneGone);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds readyTimeout { 20 };
    /// Longer than every timeout between the processes.
    static constexpr std::chrono::milliseconds freezeDuration { 3000 };
    static constexpr std::chrono::milliseconds faultInterval { 300 };

    static ClusterOptions options(bool relays = false)
    {
        return ClusterOptions { .entries = 3, .sides = 6, .zones = 3, .serviceMilliseconds = 4, .relays = relays };
    }

    /// From the silence of a connection to an answer over another one.
    static constexpr std::chrono::milliseconds silenceLatencyBound { 1000 };

    /// Injects the fault repeatedly while callers send at least 10,000 requests.
    static void run(Cluster& cluster, const std::string& title, const std::function<void(int round)>& fault,
        std::optional<std::chrono::milliseconds> bound = std::nullopt)
    {
        LoadOptions load;
        cluster.start();
        load.largeAnswerBytes = 100'000;
        CallerLoad callers(cluster, load);
        callers.start();
        for (int round = 0; callers.answeredCount() < load.requests * 9 / 10; ++round) {
            fault(round);
            std::this_thread::sleep_for(faultInterval);
        }
        callers.await();
        callers.checkOutcomes(title);
        CPPUNIT_ASSERT_MESSAGE(
            "more than 80% of the requests must be done", callers.count("done") > load.requests * 8 / 10);
        CPPUNIT_ASSERT_MESSAGE(
            "99th percentile of the response time exceeds the bound", !bound || callers.doneP99() <= *bound);
    }

    void killsOfSides()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of sides", [&](int round) {
            cluster.side(round % 6).kill();
            std::this_thread::sleep_for(faultInterval);
            cluster.startSide(round % 6);
        });
    }

    void killsOfTargets()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of targets", [&](int round) {
            cluster.target(round % 6).kill();
            std::this_thread::sleep_for(faultInterval);
            cluster.startTarget(round % 6);
        });
    }

    void killsOfEntries()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of entries", [&](int round) {
            const int n = round % 3;
            cluster.entry(n).kill();
            // The load balancer detects the failure 50 ms later and routes callers to the entry again once it is ready.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            cluster.setInRotation(n, false);
            cluster.startEntry(n);
            const auto isReady = [&] { return cluster.call(cluster.entryPort(n), "GET", "/readyz").status == 200; };
            CPPUNIT_ASSERT(Cluster::await(readyTimeout, isReady));
            cluster.setInRotation(n, true);
        });
    }

    void frozenSides()
    {
        Cluster cluster(options());
        run(cluster, "frozen sides", [&](int round) {
            cluster.side(round % 6).freeze();
            std::this_thread::sleep_for(freezeDuration);
            cluster.side(round % 6).resume();
        });
    }

    void frozenTargets()
    {
        Cluster cluster(options());
        run(cluster, "frozen targets", [&](int round) {
            cluster.target(round % 6).freeze();
            std::this_thread::sleep_for(freezeDuration);
            cluster.target(round % 6).resume();
        });
    }

    void frozenEntries()
    {
        Cluster cluster(options());
        run(cluster, "frozen entries", [&](int round) {
            cluster.entry(round % 3).freeze();
            std::this_thread::sleep_for(freezeDuration);
            cluster.entry(round % 3).resume();
        });
    }

    void silentConnections()
    {
        Cluster cluster(options(true));
        run(cluster, "connections silent for good",
            [&](int round) { cluster.relay(round % 6).silenceExisting(true, true); });
    }

    void oneWayCuts()
    {
        Cluster cluster(options(true));
        run(cluster, "one-way cuts",
            [&](int round) { cluster.relay(round % 6).silenceExisting(round % 2 == 0, round % 2 != 0); });
    }

    void logAway()
    {
        Cluster cluster(options());
        run(cluster, "log away throughout", [&](int round) {
            if (round == 0)
                cluster.setLogSwitches({ { "down", true } });
        });
    }

    void halfAZoneGone()
    {
        Cluster cluster(options());
        run(cluster, "half a zone gone", [&](int round) {
            if (round != 0)
                return;
            cluster.side(0).kill();
            cluster.target(0).kill();
            cluster.worker(0).kill();
        });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestFaultTest);
