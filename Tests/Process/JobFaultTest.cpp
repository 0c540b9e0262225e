/// Batch jobs while leaders, sides and the log fail; checked against the starts that the workers recorded.
#include "Process/Cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace Plantainpier;

class JobFaultTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobFaultTest);
    CPPUNIT_TEST(killsOfLeaders);
    CPPUNIT_TEST(frozenLeaders);
    CPPUNIT_TEST(killsOfSides);
    CPPUNIT_TEST(frozenSides);
    CPPUNIT_TEST(logAwayAndLostAnswers);
    CPPUNIT_TEST(cancellations);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds completionTimeout { 90 };
    static constexpr std::chrono::milliseconds faultInterval { 1500 };
    static constexpr int entries = 3;
    static constexpr int sides = 4;
    static constexpr int jobs = 120;

    static ClusterOptions options() { return ClusterOptions { .entries = entries, .sides = sides }; }

    static Json job(int n)
    {
        return { { "job", "job-" + std::to_string(n) }, { "team", "planning" }, { "priority", n % 10 },
            { "milli_processors", 2000 + 500 * (n % 5) }, { "memory_mb", 1000 },
            { "payload", "{\"run_ms\":" + std::to_string(200 + 40 * (n % 20)) + "}" } };
    }

    /// Submits until accepted; a job that is submitted again under the same id is the same job.
    static void submit(const Cluster& cluster, int n)
    {
        const bool accepted = Cluster::await(completionTimeout, [&] {
            for (int entry = 0; entry < entries; ++entry) {
                if (cluster.callJson(cluster.entryPort(entry), "POST", "/v1/jobs", job(n)).value("accepted", false))
                    return true;
            }
            return false;
        });
        CPPUNIT_ASSERT_MESSAGE("job " + std::to_string(n) + " was not accepted within 90 s", accepted);
    }

    static int leaderOf(const Cluster& cluster)
    {
        for (int n = 0; n < entries; ++n) {
            const std::string leader = cluster.status(n).value("leader", "");
            if (!leader.empty())
                return leader.back() - '0';
        }
        return 0;
    }

    static int completed(const Cluster& cluster)
    {
        int maximum = 0;
        for (int entry = 0; entry < entries; ++entry) {
            int count = 0;
            for (int n = 0; n < jobs; ++n) {
                const Json shown
                    = cluster.callJson(cluster.entryPort(entry), "GET", "/v1/jobs/job-" + std::to_string(n));
                count += shown.value("status", "") == "completed" ? 1 : 0;
            }
            maximum = std::max(maximum, count);
        }
        return maximum;
    }

    /// Asserts that no two attempts of a job overlap, no worker is overcommitted, and no job completes twice.
    static void checkStarts(const Cluster& cluster, const std::string& title)
    {
        // Workers' clocks have different origins; each is converted to the test's clock, which is read in the same
        // call.
        struct Span {
            std::string job;
            int worker = 0;
            std::int64_t milliProcessors = 0;
            std::int64_t from = 0;
            std::int64_t to = 0;
            bool completed = false;
        };
        std::vector<Span> spans;
        for (int n = 0; n < sides; ++n) {
            const std::int64_t beforeCall = steadyMilliseconds();
            const Json audit = cluster.workerAudit(n);
            const std::int64_t offset = beforeCall - audit.value("clock_ms", std::int64_t(0));
            for (const Json& start : audit["starts"]) {
                const std::int64_t end = start["ended_ms"].is_null() ? audit["clock_ms"].get<std::int64_t>()
                                                                     : start["ended_ms"].get<std::int64_t>();
                spans.push_back(Span { start["job"], n, start["milli_processors"],
                    start["started_ms"].get<std::int64_t>() + offset, end + offset, start["state"] == "completed" });
            }
        }
        int overlaps = 0;
        int overcommits = 0;
        int doubleCompletions = 0;
        constexpr std::int64_t clockTolerance = 20;
        for (const Span& span : spans) {
            std::int64_t committed = 0;
            for (const Span& other : spans) {
                const bool overlapsInTime
                    = other.from + clockTolerance < span.to && span.from + clockTolerance < other.to;
                if (&other != &span && other.job == span.job && overlapsInTime)
                    ++overlaps;
                if (&other != &span && other.job == span.job && span.completed && other.completed)
                    ++doubleCompletions;
                if (other.worker == span.worker && other.from <= span.from && span.from < other.to)
                    committed += other.milliProcessors;
            }
            overcommits += committed > cluster.options().milliProcessors ? 1 : 0;
        }
        std::cout << "jobs title=\"" << title << "\" jobs=" << jobs << " starts=" << spans.size()
                  << " overlaps=" << overlaps << " overcommits=" << overcommits
                  << " double_completions=" << doubleCompletions << std::endl;
        CPPUNIT_ASSERT_EQUAL(0, overlaps);
        CPPUNIT_ASSERT_EQUAL(0, overcommits);
        CPPUNIT_ASSERT_EQUAL(0, doubleCompletions);
    }

    static std::int64_t steadyMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }

    /// Submits all jobs while a thread injects the faults, then waits until all jobs are completed.
    static void run(Cluster& cluster, const std::string& title, int rounds, const std::function<void(int)>& fault)
    {
        cluster.start();
        std::thread faults([&] {
            for (int round = 0; round < rounds; ++round) {
                std::this_thread::sleep_for(faultInterval);
                fault(round);
            }
        });
        for (int n = 0; n < jobs; ++n)
            submit(cluster, n);
        faults.join();
        const bool allCompleted = Cluster::await(completionTimeout, [&] { return completed(cluster) == jobs; });
        checkStarts(cluster, title);
        CPPUNIT_ASSERT_MESSAGE("not every accepted job completed within 90 s", allCompleted);
    }

    void killsOfLeaders()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of leaders", 3, [&](int) {
            const int leader = leaderOf(cluster);
            cluster.entry(leader).kill();
            std::this_thread::sleep_for(faultInterval);
            cluster.startEntry(leader);
        });
    }

    void frozenLeaders()
    {
        Cluster cluster(options());
        run(cluster, "frozen leaders", 2, [&](int) {
            const int leader = leaderOf(cluster);
            cluster.entry(leader).freeze();
            std::this_thread::sleep_for(std::chrono::seconds(9));
            cluster.entry(leader).resume();
        });
    }

    void killsOfSides()
    {
        Cluster cluster(options());
        run(cluster, "kill -9 of sides", 4, [&](int round) {
            cluster.side(round % sides).kill();
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            cluster.startSide(round % sides);
        });
    }

    void frozenSides()
    {
        Cluster cluster(options());
        run(cluster, "frozen sides", 3, [&](int round) {
            cluster.side(round % sides).freeze();
            std::this_thread::sleep_for(std::chrono::seconds(5));
            cluster.side(round % sides).resume();
        });
    }

    void logAwayAndLostAnswers()
    {
        Cluster cluster(options());
        run(cluster, "log away and lost answers", 4, [&](int round) {
            cluster.setLogSwitches({ { "lose_answers", 5 } });
            std::this_thread::sleep_for(faultInterval);
            cluster.setLogSwitches({ { "down", round % 2 == 0 } });
            std::this_thread::sleep_for(std::chrono::seconds(5));
            cluster.setLogSwitches({ { "down", false } });
        });
        const Json resubmitted = cluster.callJson(cluster.entryPort(0), "POST", "/v1/jobs", job(0));
        CPPUNIT_ASSERT_MESSAGE("the same job is accepted again", resubmitted.value("accepted", false));
    }

    void cancellations()
    {
        Cluster cluster(options());
        cluster.start();
        for (int n = 0; n < jobs; ++n)
            submit(cluster, n);
        const std::int64_t beforeCall = cluster.callJson(cluster.logPort(), "GET", "/v1/switches")["appends"];
        std::vector<std::thread> callers;
        callers.reserve(jobs);
        for (int n = 0; n < jobs; ++n) {
            callers.emplace_back([&cluster, n] {
                cluster.call(cluster.entryPort(n % entries), "DELETE", "/v1/jobs/job-" + std::to_string(n));
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        const std::int64_t appends
            = cluster.callJson(cluster.logPort(), "GET", "/v1/switches")["appends"].get<std::int64_t>() - beforeCall;
        std::cout << "cancellations=" << jobs << " appends=" << appends << std::endl;
        CPPUNIT_ASSERT_MESSAGE("cancellations must share appends", appends < jobs);
        const auto isIdle = [&] {
            const Json status = cluster.status(0);
            return status.value("jobs_queued", -1) == 0 && status.value("jobs_running", -1) == 0;
        };
        CPPUNIT_ASSERT(Cluster::await(completionTimeout, isIdle));
        checkStarts(cluster, "cancellations");
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobFaultTest);
