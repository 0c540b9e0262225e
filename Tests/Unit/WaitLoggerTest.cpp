/// Why a task waits shows in the log, in few lines, in virtual time.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class WaitLoggerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitLoggerTest);
    CPPUNIT_TEST(tellsThatNoHostHasRoom);
    CPPUNIT_TEST(tellsThatHostsOfAnEarlierOwnerAreUnheard);
    CPPUNIT_TEST(tellsThatAHostIsNotStored);
    CPPUNIT_TEST(tellsWhyAGangWaits);
    CPPUNIT_TEST(namesWhatKeepsEachHostOut);
    CPPUNIT_TEST(staysShortWhenMuchWaits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 50;
    static constexpr const char* jobId = "00000000000000aa";
    /// The silence between two lines of a step and the lines of any second, as docs/OPERATIONS.md says.
    static constexpr int leastInterval = 5000;
    static constexpr int linesInASecond = 8;

    static std::vector<std::string> waitsIn(const OwnerHarness& harness)
    {
        std::vector<std::string> found;
        std::copy_if(harness.log.begin(), harness.log.end(), std::back_inserter(found),
            [](const std::string& line) { return line.starts_with("event=task_waits "); });
        return found;
    }

    static void assertHas(const std::string& line, const std::string& part)
    {
        CPPUNIT_ASSERT_MESSAGE(part + " in: " + line, (line + " ").find(" " + part + " ") != std::string::npos);
    }

    /// A report that lists everything that was started.
    static Wire::HostReport listingAll(const OwnerHarness& harness, std::int64_t clock)
    {
        Wire::HostReport report = makeReport("host-1", 1, clock);
        for (const Wire::StartOrder& start : harness.starts)
            report.running.push_back(makeRunning(start.task, start.run));
        return report;
    }

    /// Lets time pass while host-1 reports.
    static void pass(OwnerHarness& harness, int from, int until)
    {
        for (int now = from; now < until; now += stepMilliseconds) {
            harness.report(now, listingAll(harness, now + 100));
            harness.tick(now);
        }
    }

    // Guards against a waiting task that is passed over without a word (issue 13: a lasting task is not placed again).
    void tellsThatNoHostHasRoom()
    {
        OwnerHarness harness;
        pass(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { makeStep(6, 1000, 60'000) }));
        pass(harness, 100, 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.starts.size());
        CPPUNIT_ASSERT_MESSAGE("a short wait is ordinary", waitsIn(harness).empty());
        pass(harness, 2000, 3000);
        const std::vector<std::string> lines = waitsIn(harness);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        for (const char* part : { "job=00000000000000aa", "occurrence=0", "step=0", "waiting=2", "why=no_host",
                 "hosts_unheard=0", "hosts=no_processors:1" })
            assertHas(lines[0], part);
        pass(harness, 3000, 2100 + leastInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), waitsIn(harness).size());
        pass(harness, 2100 + leastInterval, 3000 + leastInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), waitsIn(harness).size());
    }

    // Guards against taking a wait for hosts of an earlier owner for want of room.
    void tellsThatHostsOfAnEarlierOwnerAreUnheard()
    {
        OwnerHarness first;
        pass(first, 0, 100);
        first.submit(100, makeJob(jobId, { makeStep(2, 1000, 60'000) }));
        pass(first, 100, 300);
        OwnerHarness next(3);
        next.owner.load(first.stored);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        for (int now = 1000; now < 3500; now += stepMilliseconds) {
            next.report(now, makeReport("host-2", 1, now), testLink + 1);
            next.tick(now);
        }
        CPPUNIT_ASSERT(next.starts.empty());
        const std::vector<std::string> lines = waitsIn(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertHas(lines[0], "why=hosts_unheard");
        assertHas(lines[0], "hosts_unheard=1");
    }

    // Guards against taking a wait for the store for want of room.
    void tellsThatAHostIsNotStored()
    {
        OwnerHarness harness;
        harness.settle(0);
        harness.submit(10, makeJob(jobId, { makeStep(1, 1000, 60'000) }));
        harness.settle(20);
        harness.storeAway = true;
        pass(harness, 100, 3500);
        CPPUNIT_ASSERT(harness.starts.empty());
        const std::vector<std::string> lines = waitsIn(harness);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertHas(lines[0], "why=host_not_stored");
    }

    // Guards against gangs that are left out.
    void tellsWhyAGangWaits()
    {
        Wire::StepDefinition step = makeStep(5, 1000, 60'000);
        step.gang = true;
        OwnerHarness harness;
        pass(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { step }));
        pass(harness, 100, 3000);
        CPPUNIT_ASSERT(harness.starts.empty());
        const std::vector<std::string> lines = waitsIn(harness);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        assertHas(lines[0], "why=no_host");
        assertHas(lines[0], "waiting=5");
        assertHas(lines[0], "hosts=no_processors:1");
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
        host.heardAt = at(0);
        return host;
    }

    /// Something that runs on the host.
    static void addRun(Host& host, const std::string& ofJob, std::int64_t milliCores, std::int64_t megabytes)
    {
        HostRun run;
        run.task = makeTask(ofJob, 0, 0);
        run.run = 1;
        run.demand.milliProcessors = milliCores;
        run.demand.memoryMegabytes = megabytes;
        HostRegistry::addRun(host, run);
    }

    // Guards against a host that is left out for a reason that the line does not name.
    void namesWhatKeepsEachHostOut()
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
        addHost(hosts).heardAt = at(-5000);
        addHost(hosts).health.quarantinedUntil = at(500);
        Host& onTrial = addHost(hosts);
        onTrial.health.onTrial = true;
        addRun(onTrial, "00000000000000bb", 100, 10);
        addHost(hosts).rack = "rack-2";
        addHost(hosts).labels.clear();
        addRun(addHost(hosts), "00000000000000bb", 3000, 10);
        addRun(addHost(hosts), "00000000000000bb", 100, 950);
        addHost(hosts).capacity.accelerators = 0;
        addRun(addHost(hosts), jobId, 100, 10);
        const Host& taken = addHost(hosts);
        const std::vector<RunPlace> places { RunPlace { taken.hostId, 0, 1, at(0) } };
        PlacementRequest request { job, job.steps[0], 0, 0, places, "rack-1" };
        const InterferenceModel model;
        const PaceController paces(PaceRules {}, model);
        const Placement placement(PlacementRules {}, paces);
        HostEligibilityCounts counts;
        CPPUNIT_ASSERT(!placement.choose(hosts, request, at(0), &counts));
        for (const HostEligibility verdict : { HostEligibility::OtherService, HostEligibility::NotListed,
                 HostEligibility::Draining, HostEligibility::NoLink, HostEligibility::Silent,
                 HostEligibility::Quarantined, HostEligibility::OnTrial, HostEligibility::OtherRack,
                 HostEligibility::NoLabel, HostEligibility::NoProcessors, HostEligibility::NoMemory,
                 HostEligibility::NoAccelerators, HostEligibility::RunsTheTask, HostEligibility::StepAtMaximum })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(nameIn(hostEligibilityNames, verdict)), 1, counts.of(verdict));
        CPPUNIT_ASSERT_EQUAL(0, counts.of(HostEligibility::Eligible));
        const Host& whole = addHost(hosts);
        CPPUNIT_ASSERT(placement.choose(hosts, request, at(0), &counts) == &whole);
        CPPUNIT_ASSERT_EQUAL(1, counts.of(HostEligibility::Eligible));
    }

    // Guards against a log that much waiting work floods, and against steps that are never told about.
    void staysShortWhenMuchWaits()
    {
        constexpr int jobs = 100;
        constexpr int until = 30'000;
        OwnerHarness harness;
        pass(harness, 0, 100);
        harness.submit(100, makeJob(jobId, { makeStep(4, 1000, 60'000) }));
        pass(harness, 100, 200);
        for (int n = 0; n < jobs; ++n) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n));
            harness.submit(200, makeJob(id, { makeStep(1, 1000, 60'000) }));
        }
        std::map<std::string, int> toldAt;
        for (int now = 200; now < until; now += 1000) {
            harness.log.clear();
            pass(harness, now, now + 1000);
            const std::vector<std::string> lines = waitsIn(harness);
            CPPUNIT_ASSERT(lines.size() <= linesInASecond);
            for (const std::string& line : lines) {
                const std::string job = line.substr(line.find("job="), 20);
                CPPUNIT_ASSERT_MESSAGE(job, !toldAt.contains(job) || now + 1000 - toldAt[job] >= leastInterval);
                toldAt[job] = now;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), toldAt.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WaitLoggerTest);
