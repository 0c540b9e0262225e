/// Latency-critical requests while processes die, freeze and lose each other: judged from what targets really ran.
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

    static constexpr std::chrono::seconds limit { 20 };
    /// Longer than every timeout between the processes.
    static constexpr std::chrono::milliseconds freezeTime { 3000 };
    static constexpr std::chrono::milliseconds betweenFaults { 300 };

    static ClusterOptions options(bool relays = false)
    {
        return ClusterOptions { .entries = 3, .sides = 6, .zones = 3, .serviceMilliseconds = 4, .relays = relays };
    }

    /// From a connection's silence to an answer over another one.
    static constexpr std::chrono::milliseconds silenceBound { 1000 };

    /// Injects the fault again and again while callers send at least 10,000 requests.
    static void run(Cluster& cluster, const std::string& title, const std::function<void(int round)>& fault,
        std::optional<std::chrono::milliseconds> bound = std::nullopt)
    {
        LoadOptions load;
        cluster.start();
        load.largeAnswerBytes = 100'000;
        CallerLoad callers(cluster, load);
        callers.start();
        for (int round = 0; callers.done() < load.requests * 9 / 10; ++round) {
            fault(round);
            std::this_thread::sleep_for(betweenFaults);
        }
        callers.await();
        callers.judge(title);
        CPPUNIT_ASSERT_MESSAGE("most work must get through", callers.count("done") > load.requests * 8 / 10);
        CPPUNIT_ASSERT_MESSAGE("the tail", !bound || callers.doneP99() <= *bound);
    }

    void killsOfSides()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of sides", [&](int round) {
            cluster.side(round % 6).kill();
            std::this_thread::sleep_for(betweenFaults);
            cluster.startSide(round % 6);
        });
    }

    void killsOfTargets()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of targets", [&](int round) {
            cluster.target(round % 6).kill();
            std::this_thread::sleep_for(betweenFaults);
            cluster.startTarget(round % 6);
        });
    }

    void killsOfEntries()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of entries", [&](int round) {
            const int n = round % 3;
            cluster.entry(n).kill();
            // The balancer notices a little later, and sends callers again once the entry is ready.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            cluster.setInRotation(n, false);
            cluster.startEntry(n);
            const auto isReady = [&] { return cluster.call(cluster.entryPort(n), "GET", "/readyz").status == 200; };
            CPPUNIT_ASSERT(Cluster::await(limit, isReady));
            cluster.setInRotation(n, true);
        });
    }

    void frozenSides()
    {
        Cluster cluster(options());
        run(cluster, "frozen sides", [&](int round) {
            cluster.side(round % 6).freeze();
            std::this_thread::sleep_for(freezeTime);
            cluster.side(round % 6).wake();
        });
    }

    void frozenTargets()
    {
        Cluster cluster(options());
        run(cluster, "frozen targets", [&](int round) {
            cluster.target(round % 6).freeze();
            std::this_thread::sleep_for(freezeTime);
            cluster.target(round % 6).wake();
        });
    }

    void frozenEntries()
    {
        Cluster cluster(options());
        run(cluster, "frozen entries", [&](int round) {
            cluster.entry(round % 3).freeze();
            std::this_thread::sleep_for(freezeTime);
            cluster.entry(round % 3).wake();
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
                cluster.setLog({ { "down", true } });
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
