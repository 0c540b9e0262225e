/// Tests WaitLogger in virtual time: the log states why a task waits, in a limited number of lines.
#include "Decision/Placement/HostRoom.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class WaitLoggerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitLoggerTest);
    CPPUNIT_TEST(logsThatNoHostHasRoom);
    CPPUNIT_TEST(logsHostsOfAnEarlierOwnerThatHaveNotReported);
    CPPUNIT_TEST(logsThatAHostIsNotPersisted);
    CPPUNIT_TEST(logsWhyAGangWaits);
    CPPUNIT_TEST(logsWhatTakesTheRoomOfAWaitingTask);
    CPPUNIT_TEST(countsHostsByReasonOfIneligibility);
    CPPUNIT_TEST(limitsLogLinesWhenManyTasksWait);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 50;
    static constexpr const char* jobId = "00000000000000aa";
    /// Minimum time between two lines of one step and maximum number of lines in any second, as in docs/OPERATIONS.md.
    static constexpr int minimumLineIntervalMilliseconds = 5000;
    static constexpr int maximumLinesPerSecond = 8;

    static void assertContains(const std::string& line, const std::string& field)
    {
        CPPUNIT_ASSERT_MESSAGE(field + " in: " + line, (line + " ").find(" " + field + " ") != std::string::npos);
    }

    /// A report of host-1 that lists all started runs as running.
    static Wire::HostReport makeListingOfAllStarts(const OwnerHarness& harness, std::int64_t clock)
    {
        Wire::HostReport report = makeReport("host-1", 1, clock);
        for (const Wire::StartOrder& start : harness.startOrders)
            report.running.push_back(makeRunningTask(start.task, start.run));
        return report;
    }

    /// Advances the time while host-1 reports.
    static void runWithReports(OwnerHarness& harness, int from, int until)
    {
        for (int now = from; now < until; now += stepMilliseconds) {
            harness.announceAndReport(now, makeListingOfAllStarts(harness, now + 100));
            harness.tick(now);
        }
    }

    // Guards against a waiting task without a log line: a long-running task was not placed again and the log did not
    // show why.
    void logsThatNoHostHasRoom()
    {
        OwnerHarness harness;
        runWithReports(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { makeStep(6, 1000, 60'000) }));
        runWithReports(harness, 100, 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        CPPUNIT_ASSERT_MESSAGE("a short wait is not logged", harness.linesOf("task_waits").empty());
        runWithReports(harness, 2000, 3000);
        const std::vector<std::string> lines = harness.linesOf("task_waits");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        for (const char* field : { "job=00000000000000aa", "occurrence=0", "step=0", "waiting=2", "why=no_host",
                 "hosts_unheard=0", "job_runs=4", "hosts=no_processors:1", "lasting=false", "demand_milli=1000",
                 "demand_mb=100", "room=short_runs:1" })
            assertContains(lines[0], field);
        runWithReports(harness, 3000, 2100 + minimumLineIntervalMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.linesOf("task_waits").size());
        runWithReports(harness, 2100 + minimumLineIntervalMilliseconds, 3000 + minimumLineIntervalMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.linesOf("task_waits").size());
    }

    // Guards against reporting a lack of resources when the task waits for hosts of an earlier owner.
    void logsHostsOfAnEarlierOwnerThatHaveNotReported()
    {
        OwnerHarness first;
        runWithReports(first, 0, 100);
        first.submit(100, makeJob(jobId, { makeStep(2, 1000, 60'000) }));
        runWithReports(first, 100, 300);
        OwnerHarness next(3);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        for (int now = 1000; now < 3500; now += stepMilliseconds) {
            next.announceAndReport(now, makeReport("host-2", 1, now), testLink + 1);
            next.tick(now);
        }
        CPPUNIT_ASSERT(next.startOrders.empty());
        const std::vector<std::string> lines = next.linesOf("task_waits");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertContains(lines[0], "why=hosts_unheard");
        assertContains(lines[0], "hosts_unheard=1");
    }

    // Guards against reporting a lack of resources when the task waits for the store.
    void logsThatAHostIsNotPersisted()
    {
        OwnerHarness harness;
        harness.settle(0);
        harness.submit(10, makeJob(jobId, { makeStep(1, 1000, 60'000) }));
        harness.settle(20);
        harness.storeUnavailable = true;
        runWithReports(harness, 100, 3500);
        CPPUNIT_ASSERT(harness.startOrders.empty());
        const std::vector<std::string> lines = harness.linesOf("task_waits");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertContains(lines[0], "why=host_not_stored");
    }

    // Guards against waiting gangs without a log line.
    void logsWhyAGangWaits()
    {
        Wire::StepDefinition step = makeStep(5, 1000, 60'000);
        step.gang = true;
        OwnerHarness harness;
        runWithReports(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { step }));
        runWithReports(harness, 100, 3000);
        CPPUNIT_ASSERT(harness.startOrders.empty());
        const std::vector<std::string> lines = harness.linesOf("task_waits");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertContains(lines[0], "why=no_host");
        assertContains(lines[0], "waiting=5");
        assertContains(lines[0], "hosts=no_processors:1");
    }

    static Host& addHost(HostRegistry& hosts)
    {
        const std::string hostId = "host-" + std::to_string(hosts.hosts().size());
        Host& host = hosts.hosts()[hostId];
        host.hostId = hostId;
        host.link = testLink;
        host.service = "desk";
        host.rack = "rack-1";
        host.labels = { "large" };
        host.capacity.milliProcessors = 4000;
        host.capacity.memoryMegabytes = 1000;
        host.capacity.accelerators = 1;
        host.listed = true;
        host.lastContactAt = at(0);
        return host;
    }

    /// Adds a run to the host.
    static void addRun(Host& host, const std::string& runJobId, std::int64_t milliCores, std::int64_t megabytes)
    {
        HostRun run;
        run.task = makeTask(runJobId, 0, 0);
        run.run = 1;
        run.placedAt = at(0);
        run.demand.milliProcessors = milliCores;
        run.demand.memoryMegabytes = megabytes;
        HostRegistry::addRun(host, run);
    }

    // Guards against a log that does not tell tasks that wait for room from tasks that wait beside free room.
    void logsWhatTakesTheRoomOfAWaitingTask()
    {
        constexpr int priority = 1;
        Wire::Resources demand;
        demand.milliProcessors = 2000;
        HostRegistry hosts;
        Host& host = addHost(hosts);
        const auto takenBy = [&host, &demand] { return roomTakenBy(host, demand, false, priority); };
        CPPUNIT_ASSERT_EQUAL(std::string("free"), std::string(nameIn(roomTakenByNames, takenBy())));
        const auto add = [&host](const char* runJobId, std::int64_t milliCores) -> HostRun& {
            addRun(host, runJobId, milliCores, 10);
            HostRun& run = host.runs.at(runKey(makeTask(runJobId, 0, 0), 1));
            run.listed = true;
            run.phase = RunPhase::Running;
            return run;
        };
        add("00000000000000b1", 2500).listed = false;
        CPPUNIT_ASSERT_EQUAL(std::string("unlisted"), std::string(nameIn(roomTakenByNames, takenBy())));
        HostRegistry::removeRun(host, runKey(makeTask("00000000000000b1", 0, 0), 1));
        add("00000000000000b2", 2500).phase = RunPhase::Halting;
        CPPUNIT_ASSERT_EQUAL(std::string("halting"), std::string(nameIn(roomTakenByNames, takenBy())));
        HostRegistry::removeRun(host, runKey(makeTask("00000000000000b2", 0, 0), 1));
        add("00000000000000b3", 2500).priority = priority + 1;
        CPPUNIT_ASSERT_EQUAL(std::string("less_urgent"), std::string(nameIn(roomTakenByNames, takenBy())));
        HostRegistry::removeRun(host, runKey(makeTask("00000000000000b3", 0, 0), 1));
        add("00000000000000b4", 2500).priority = priority;
        CPPUNIT_ASSERT_EQUAL(std::string("short_runs"), std::string(nameIn(roomTakenByNames, takenBy())));
        HostRegistry::removeRun(host, runKey(makeTask("00000000000000b4", 0, 0), 1));
        add("00000000000000b5", 2500).longRunning = true;
        CPPUNIT_ASSERT_EQUAL(std::string("lasting"), std::string(nameIn(roomTakenByNames, takenBy())));
        CPPUNIT_ASSERT(RoomTakenBy::Nothing == roomTakenBy(host, demand, true, priority));
    }

    // Guards against a host that is ineligible for a reason that the counts do not show.
    void countsHostsByReasonOfIneligibility()
    {
        Wire::StepDefinition step = makeStep(4, 2000, 300);
        step.requiredLabel = "large";
        step.maximumPerHost = 1;
        step.demand.accelerators = 1;
        const Wire::JobDefinition job = makeJob(jobId, { step });
        HostRegistry hosts;
        addHost(hosts).service = "bench";
        addHost(hosts).listed = false;
        addHost(hosts).draining = true;
        addHost(hosts).link = noLink;
        addHost(hosts).refusesConnections = true;
        addHost(hosts).lastContactAt = at(-5000);
        addHost(hosts).health.quarantinedUntil = at(500);
        Host& hostOnProbation = addHost(hosts);
        hostOnProbation.health.onProbation = true;
        addRun(hostOnProbation, "00000000000000bb", 100, 10);
        addHost(hosts).rack = "rack-2";
        addHost(hosts).labels.clear();
        addRun(addHost(hosts), "00000000000000bb", 3000, 10);
        addRun(addHost(hosts), "00000000000000bb", 100, 950);
        addHost(hosts).capacity.accelerators = 0;
        addRun(addHost(hosts), jobId, 100, 10);
        const Host& hostRunningTheTask = addHost(hosts);
        const std::vector<RunPlace> places { RunPlace { hostRunningTheTask.hostId, 1, at(0) } };
        PlacementRequest request { job, job.steps[0], 0, 0, places, "rack-1" };
        const InterferenceModel model;
        const PaceController paces(PaceRules {}, model);
        const Placement placement(PlacementRules {}, paces);
        HostEligibilityCounts counts;
        CPPUNIT_ASSERT(!placement.chooseHost(hosts, request, at(0), &counts));
        for (const HostEligibility eligibility :
            { HostEligibility::OtherService, HostEligibility::NotListed, HostEligibility::Draining,
                HostEligibility::NoLink, HostEligibility::RefusesConnections, HostEligibility::Silent,
                HostEligibility::Quarantined, HostEligibility::OnProbation, HostEligibility::OtherRack,
                HostEligibility::NoLabel, HostEligibility::NoProcessors, HostEligibility::NoMemory,
                HostEligibility::NoAccelerators, HostEligibility::RunsTheTask, HostEligibility::StepAtMaximum })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                std::string(nameIn(hostEligibilityNames, eligibility)), 1, counts.count(eligibility));
        CPPUNIT_ASSERT_EQUAL(0, counts.count(HostEligibility::Eligible));
        const Host& eligibleHost = addHost(hosts);
        CPPUNIT_ASSERT(placement.chooseHost(hosts, request, at(0), &counts) == &eligibleHost);
        CPPUNIT_ASSERT_EQUAL(1, counts.count(HostEligibility::Eligible));
    }

    // Guards against a log that is flooded when many tasks wait, and against waiting steps that are never logged.
    void limitsLogLinesWhenManyTasksWait()
    {
        constexpr int jobs = 100;
        constexpr int until = 30'000;
        OwnerHarness harness;
        runWithReports(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { makeStep(4, 1000, 60'000) }));
        runWithReports(harness, 100, 200);
        for (int n = 0; n < jobs; ++n) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n));
            harness.submit(200, makeJob(id, { makeStep(1, 1000, 60'000) }));
        }
        std::map<std::string, int> loggedAt;
        for (int now = 200; now < until; now += 1000) {
            harness.logLines.clear();
            runWithReports(harness, now, now + 1000);
            const std::vector<std::string> lines = harness.linesOf("task_waits");
            CPPUNIT_ASSERT(lines.size() <= maximumLinesPerSecond);
            for (const std::string& line : lines) {
                const std::string job = line.substr(line.find("job="), 20);
                CPPUNIT_ASSERT_MESSAGE(
                    job, !loggedAt.contains(job) || now + 1000 - loggedAt[job] >= minimumLineIntervalMilliseconds);
                loggedAt[job] = now;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), loggedAt.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WaitLoggerTest);
