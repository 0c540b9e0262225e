/// Tests LocalityWait, PlaceTurnover and RunDurations: what is waited for, for how long, and what ends a wait.
#include "Decision/Locality/LocalityWait.h"
#include "Shell/Process/NodeSettings.h"
#include "Support/HistorySeeds.h"
#include "Support/RackedFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Plantainpier;

namespace {

constexpr int taskMilliseconds = 1000;
/// By then the durations of the image and the load of the racks are known.
constexpr int knownAt = 9'000;

OwnerRules waitingRules(double remoteFactor = 2)
{
    OwnerRules rules;
    rules.locality.mode = LocalityWaitMode::ExpectedCost;
    rules.locality.remoteFactor = remoteFactor;
    return rules;
}

RackedJob dataJob(const std::string& jobId, int submitAt, int tasks, int durationMilliseconds = taskMilliseconds)
{
    Wire::StepDefinition step = makeStep(tasks, 1000, durationMilliseconds);
    step.image = "report";
    step.dataRack = "rack-0";
    RackedJob job;
    job.submitAt = submitAt;
    job.definition = makeJob(jobId, { step });
    job.definition.stretch = 4;
    job.definition.objectiveMilliseconds = 2000;
    job.durationMilliseconds = durationMilliseconds;
    return job;
}

RackedJob gangJob(const std::string& jobId, int submitAt, int tasks)
{
    RackedJob job = dataJob(jobId, submitAt, tasks);
    Wire::StepDefinition& step = job.definition.steps.front();
    step.dataRack.clear();
    step.gang = true;
    step.sameRack = true;
    return job;
}

/// Jobs that fit the rack and show the duration of the image.
std::vector<RackedJob> earlierJobs() { return { dataJob("earlier-1", 4'000, 4), dataJob("earlier-2", 6'000, 4) }; }

/// An offer with a gain of one second.
LocalityOffer makeOffer(int expectedWaitMilliseconds, double idleShare)
{
    LocalityOffer offer;
    offer.gain = seconds(1);
    offer.slack = seconds(10);
    offer.forecast = PlaceForecast { milliseconds(expectedWaitMilliseconds), idleShare };
    return offer;
}

} // namespace

class LocalityWaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LocalityWaitTest);
    CPPUNIT_TEST(waitsOnlyWhereItPaysOff);
    CPPUNIT_TEST(neverWaitsLongerThanItGains);
    CPPUNIT_TEST(waitsForAPlaceThatIsFreeSoon);
    CPPUNIT_TEST(isOffWithoutModeOrFactor);
    CPPUNIT_TEST(aNewOwnerWaitsForNothing);
    CPPUNIT_TEST(aTaskWithoutSlackStartsAtOnce);
    CPPUNIT_TEST(aRackThatDrainsIsNotWaitedFor);
    CPPUNIT_TEST(aRackThatIsSilentIsNotWaitedFor);
    CPPUNIT_TEST(anUnknownRackIsNotWaitedFor);
    CPPUNIT_TEST(aLongRunningTaskStartsAtOnce);
    CPPUNIT_TEST(aTaskThatGaveUpDoesNotWaitAgain);
    CPPUNIT_TEST(aWaitingGangHoldsNoRoom);
    CPPUNIT_TEST(aGangLargerThanARackStartsAtOnce);
    CPPUNIT_TEST(aGangStartsInTheRackOfItsData);
    CPPUNIT_TEST(aGangWaitsForTheRackOfItsData);
    CPPUNIT_TEST(aClosedZoneOrQuarantineEndsTheWait);
    CPPUNIT_TEST(aPlaceMadeByPreemptionIsUsed);
    CPPUNIT_TEST(aMovedFillerTakesTheHostItIsOffered);
    CPPUNIT_TEST(waitingStepsOfOneKindCostOneSearch);
    CPPUNIT_TEST(durationsOfRunsAwayCountAsNearTheData);
    CPPUNIT_TEST(settingsAreValidated);
    CPPUNIT_TEST_SUITE_END();

    void waitsOnlyWhereItPaysOff()
    {
        CPPUNIT_ASSERT(longestWaitByExpectedCost(makeOffer(300, 0.9)) == seconds(1));
        CPPUNIT_ASSERT_MESSAGE(
            "a later place gains nothing", longestWaitByExpectedCost(makeOffer(1200, 0.9)) == Duration::zero());
        CPPUNIT_ASSERT_MESSAGE(
            "later tasks would be delayed by more", longestWaitByExpectedCost(makeOffer(500, 0.2)) == Duration::zero());
        LocalityOffer offer = makeOffer(300, 0.9);
        offer.forecast.reset();
        CPPUNIT_ASSERT_MESSAGE("nothing is known", longestWaitByExpectedCost(offer) == Duration::zero());
        offer = makeOffer(700, 0.2);
        offer.isWaiting = true;
        offer.waited = milliseconds(200);
        CPPUNIT_ASSERT_MESSAGE("the rest still pays off", longestWaitByExpectedCost(offer) == seconds(1));
        offer.waited = milliseconds(400);
        CPPUNIT_ASSERT_MESSAGE("it no longer does", longestWaitByExpectedCost(offer) == Duration::zero());
    }

    // Property: whatever is known, the wait in all is within the gain.
    void neverWaitsLongerThanItGains()
    {
        const bool holds = rc::check("a wait is within its gain", [] {
            LocalityOffer offer = makeOffer(*rc::gen::inRange(0, 10'000), *rc::gen::inRange(0, 101) / 100.0);
            offer.gain = milliseconds(*rc::gen::inRange(0, 5'000));
            offer.waited = milliseconds(*rc::gen::inRange(0, 10'000));
            offer.isWaiting = *rc::gen::arbitrary<bool>();
            const Duration longest = longestWaitByExpectedCost(offer);
            RC_ASSERT(longest >= Duration::zero());
            RC_ASSERT(longest <= offer.gain);
        });
        CPPUNIT_ASSERT(holds);
    }

    /// Two racks of two hosts with four processors each.
    struct Fleet : RackedFleet {
        explicit Fleet(const OwnerRules& rules = waitingRules(), double factor = 2)
            : RackedFleet(rules, factor, 2, 2)
        {
        }
        const LocalityCounters& counters() const { return harness.owner.state().locality.counters(); }
        std::size_t outcomes(const std::string& outcome) const
        {
            const std::vector<std::string> lines = harness.linesOf("locality_wait");
            return static_cast<std::size_t>(
                std::count_if(lines.begin(), lines.end(), [&outcome](const std::string& it) {
                    return it.find("outcome=" + outcome + " ") != std::string::npos;
                }));
        }
        std::string describe() const
        {
            std::string text = std::to_string(counters().startsAway) + " starts away";
            for (const std::string& line : harness.linesOf("locality_wait"))
                text += "\n" + line;
            return text;
        }
        RackedResult play(std::vector<RackedJob> jobs, int endAt = knownAt + 6'000)
        {
            const std::vector<RackedJob> earlier = earlierJobs();
            jobs.insert(jobs.end(), earlier.begin(), earlier.end());
            return run(jobs, endAt);
        }
    };

    // The rack has eight places; four more tasks wait for them, since a run elsewhere would take a second more.
    void waitsForAPlaceThatIsFreeSoon()
    {
        Fleet fleet;
        fleet.play({ dataJob("first", knownAt, 8), dataJob("second", knownAt + 500, 4) });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(0), fleet.counters().startsAway);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::size_t(4), fleet.outcomes("got_place"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fleet.counters().gotPlace);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.harness.owner.state().locality.waitingTasks());
    }

    // Guards against waits in deployments that have not asked for them.
    void isOffWithoutModeOrFactor()
    {
        OwnerRules withoutMode = waitingRules();
        withoutMode.locality.mode = LocalityWaitMode::Off;
        OwnerRules withoutFactor = waitingRules();
        withoutFactor.locality.remoteFactor.reset();
        for (const OwnerRules& rules : { withoutMode, withoutFactor }) {
            Fleet fleet(rules);
            fleet.play({ dataJob("first", knownAt, 8), dataJob("second", knownAt + 500, 4) });
            CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fleet.counters().startsAway);
            CPPUNIT_ASSERT(fleet.harness.linesOf("locality_wait").empty());
        }
    }

    void aNewOwnerWaitsForNothing()
    {
        Fleet fleet;
        fleet.run({ dataJob("first", 1'000, 8), dataJob("second", 1'500, 4) }, 6'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fleet.counters().startsAway);
        CPPUNIT_ASSERT(fleet.harness.linesOf("locality_wait").empty());
    }

    // Guards against a wait that makes a job miss its objective.
    void aTaskWithoutSlackStartsAtOnce()
    {
        Fleet fleet;
        RackedJob urgent = dataJob("second", knownAt + 500, 4);
        urgent.definition.stretch = 1;
        urgent.definition.objectiveMilliseconds = 0;
        fleet.play({ dataJob("first", knownAt, 8), urgent });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(4), fleet.counters().startsAway);
    }

    void aRackThatDrainsIsNotWaitedFor()
    {
        Fleet fleet;
        fleet.onStep = [](int now, RackedFleet& it) {
            if (now >= knownAt + 600)
                it.setDraining("rack-0");
        };
        fleet.play(
            { dataJob("first", knownAt, 8), dataJob("second", knownAt + 500, 4), dataJob("third", knownAt + 900, 1) });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::size_t(4), fleet.outcomes("place_gone"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(5), fleet.counters().startsAway);
    }

    void aRackThatIsSilentIsNotWaitedFor()
    {
        Fleet fleet;
        fleet.onStep = [](int now, RackedFleet& it) {
            if (now >= knownAt + 100)
                it.silence("rack-0");
        };
        fleet.play({ dataJob("first", knownAt, 8), dataJob("second", knownAt + 2'500, 4) });
        CPPUNIT_ASSERT_MESSAGE(fleet.describe(), fleet.harness.linesOf("locality_wait").empty());
        CPPUNIT_ASSERT_MESSAGE(fleet.describe(), fleet.counters().startsAway >= 4);
    }

    void anUnknownRackIsNotWaitedFor()
    {
        Fleet fleet;
        RackedJob job = dataJob("second", knownAt, 4);
        job.definition.steps.front().dataRack = "rack-of-no-host";
        fleet.play({ job });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fleet.counters().startsAway);
        CPPUNIT_ASSERT(fleet.harness.linesOf("locality_wait").empty());
    }

    void aLongRunningTaskStartsAtOnce()
    {
        Fleet fleet;
        RackedJob lasting = dataJob("second", knownAt + 500, 1);
        lasting.definition.steps.front().longRunning = true;
        lasting.durationMilliseconds = 60'000;
        fleet.play({ dataJob("first", knownAt, 8), lasting });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(1), fleet.counters().startsAway);
    }

    // Guards against waits that follow each other, which in all would exceed the gain.
    void aTaskThatGaveUpDoesNotWaitAgain()
    {
        Fleet fleet;
        // The runs in the rack last much longer than those of their image did before.
        RackedJob slow = dataJob("first", knownAt, 8);
        slow.durationMilliseconds = 6'000;
        fleet.play({ slow, dataJob("second", knownAt + 500, 4) }, knownAt + 9'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::size_t(0), fleet.outcomes("got_place"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(4), fleet.counters().startsAway);
        CPPUNIT_ASSERT_MESSAGE(fleet.describe(), fleet.outcomes("gave_up") <= 4);
        CPPUNIT_ASSERT_MESSAGE(fleet.describe(), fleet.counters().waitedMilliseconds <= 4 * taskMilliseconds + 200);
    }

    // Guards against room that nobody uses while a gang waits for the rest of its places.
    void aWaitingGangHoldsNoRoom()
    {
        Fleet fleet;
        RackedJob other = dataJob("other", knownAt + 600, 4, 300);
        other.definition.steps.front().dataRack.clear();
        other.definition.steps.front().image = "other";
        std::vector<RackedJob> jobs { gangJob("gang", knownAt + 500, 6), other };
        for (const char* rack : { "rack-0", "rack-1" }) {
            jobs.push_back(dataJob(std::string("fill-") + rack, knownAt, 4));
            jobs.back().definition.steps.front().dataRack = rack;
        }
        fleet.play(jobs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::size_t(1), fleet.outcomes("got_place"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(0), fleet.counters().startsAway);
        const std::vector<std::string> lines = fleet.harness.linesOf("place");
        const auto placedAt = [&lines](const std::string& job) {
            return std::find_if(lines.begin(), lines.end(),
                [&job](const std::string& it) { return it.find("job=" + job + " ") != std::string::npos; });
        };
        CPPUNIT_ASSERT_MESSAGE("the other job starts while the gang waits", placedAt("other") < placedAt("gang"));
    }

    void aGangLargerThanARackStartsAtOnce()
    {
        Fleet fleet;
        fleet.play({ gangJob("gang", knownAt, 9) });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(9), fleet.counters().startsAway);
        CPPUNIT_ASSERT(fleet.harness.linesOf("locality_wait").empty());
    }

    /// Rules under which every task waits, while it has slack.
    static OwnerRules patientRules()
    {
        OwnerRules rules = waitingRules();
        rules.locality.longestWait = [](const LocalityOffer&) -> Duration { return seconds(5); };
        return rules;
    }

    static JobState makeJobState(bool filler)
    {
        Wire::JobDefinition definition = dataJob("job", 0, 1).definition;
        definition.steps.front().filler = filler;
        JobState job(definition, at(0), 0);
        job.addDueOccurrences(at(0), 0);
        return job;
    }

    static HostRegistry makeHosts()
    {
        HostRegistry hosts;
        Host& host = hosts.hosts()["host-1"];
        host.service = "desk";
        host.rack = "rack-0";
        host.listed = true;
        host.link = testLink;
        host.lastContactAt = at(0);
        host.capacity.milliProcessors = 4000;
        return hosts;
    }

    static std::int64_t freeRoom(const Host& host, bool /*filler*/) { return host.freeMilliCores(); }

    // Guards against a gang that gets one rack, but not the one of its data.
    void aGangStartsInTheRackOfItsData()
    {
        Fleet fleet;
        RackedJob gang = gangJob("gang", knownAt, 6);
        gang.definition.steps.front().dataRack = "rack-1";
        fleet.play({ gang });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(0), fleet.counters().startsAway);
    }

    void aGangWaitsForTheRackOfItsData()
    {
        Fleet fleet;
        RackedJob gang = gangJob("gang", knownAt + 500, 6);
        gang.definition.steps.front().dataRack = "rack-0";
        fleet.play({ dataJob("first", knownAt, 8), gang });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::size_t(1), fleet.outcomes("got_place"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.describe(), std::int64_t(0), fleet.counters().startsAway);
    }

    // Guards against waits for a rack in which nothing may start.
    void aClosedZoneOrQuarantineEndsTheWait()
    {
        const std::vector<std::function<void(Host&)>> changes { [](Host& host) { host.zoneClosed = true; },
            [](Host& host) { host.health.quarantinedUntil = at(5000); },
            [](Host& host) { host.health.onProbation = true; }, [](Host& host) { host.draining = true; },
            [](Host& host) { host.link = noLink; } };
        for (const std::function<void(Host&)>& change : changes) {
            LocalityWait locality(patientRules().locality);
            JobState job = makeJobState(false);
            HostRegistry hosts = makeHosts();
            locality.beginPass(at(10), hosts, freeRoom);
            const LocalityRequest request { job, job.steps().front(), 0 };
            Actions actions;
            CPPUNIT_ASSERT(locality.shouldWait(at(10), request, actions));
            CPPUNIT_ASSERT(actions.empty());
            change(hosts.hosts().begin()->second);
            locality.beginPass(at(20), hosts, freeRoom);
            CPPUNIT_ASSERT(!locality.shouldWait(at(20), request, actions));
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), locality.counters().placeGone);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<WriteLog>(actions).size());
            locality.recordStart(at(20), request, true, actions);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), locality.waitingTasks());
            CPPUNIT_ASSERT_EQUAL_MESSAGE("one line a wait", std::size_t(1), actionsOf<WriteLog>(actions).size());
        }
    }

    // Guards against fillers that are stopped for a move and then wait for another place.
    void aMovedFillerTakesTheHostItIsOffered()
    {
        LocalityWait locality(patientRules().locality);
        JobState job = makeJobState(true);
        const HostRegistry hosts = makeHosts();
        locality.beginPass(at(10), hosts, freeRoom);
        StepState& step = job.steps().front();
        Actions actions;
        CPPUNIT_ASSERT(locality.shouldWait(at(10), LocalityRequest { job, step, 0 }, actions));
        step.tasks.front().formerRun.fate = RunFate::EndListed;
        CPPUNIT_ASSERT(!locality.shouldWait(at(20), LocalityRequest { job, step, 0 }, actions));
    }

    // Guards against passes that search all hosts for each task that waits.
    void waitingStepsOfOneKindCostOneSearch()
    {
        Fleet fleet(patientRules());
        RackedJob first = dataJob("first", knownAt, 8);
        first.durationMilliseconds = 6'000;
        std::vector<RackedJob> jobs { first };
        for (int n = 0; n < 10; ++n) {
            jobs.push_back(dataJob("waiting-" + std::to_string(n), knownAt + 500, 2));
            jobs.back().definition.objectiveMilliseconds = 20'000;
        }
        OwnerCounters before;
        OwnerCounters after;
        fleet.onStep = [&before, &after](int now, RackedFleet& it) {
            if (now == knownAt + 1'000)
                before = it.harness.owner.state().counters;
            if (now == knownAt + 3'000)
                after = it.harness.owner.state().counters;
        };
        fleet.play(jobs, knownAt + 4'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fleet.counters().startsAway);
        CPPUNIT_ASSERT(after.passes > before.passes);
        CPPUNIT_ASSERT_EQUAL(after.passes - before.passes, after.hostSearches - before.hostSearches);
    }

    // Guards against runs that are stopped for a task which then waits for another place.
    void aPlaceMadeByPreemptionIsUsed()
    {
        LocalityWait locality(patientRules().locality);
        JobState job = makeJobState(false);
        const HostRegistry hosts = makeHosts();
        locality.beginPass(at(10), hosts, freeRoom);
        StepState& step = job.steps().front();
        Actions actions;
        CPPUNIT_ASSERT(locality.shouldWait(at(10), LocalityRequest { job, step, 0 }, actions));
        step.roomExpectedUntil.push_back(at(1000));
        CPPUNIT_ASSERT(!locality.shouldWait(at(20), LocalityRequest { job, step, 0 }, actions));
    }

    void durationsOfRunsAwayCountAsNearTheData()
    {
        RunDurations durations;
        Host host;
        host.service = "desk";
        HostRun run;
        run.task = makeTask("job", 0, 0);
        run.image = "report";
        run.placedAt = at(0);
        durations.record(at(1000), host, run, 1);
        CPPUNIT_ASSERT_MESSAGE("one run may be an outlier", !durations.find("desk", run.task, "report"));
        durations.record(at(3000), host, run, 3);
        CPPUNIT_ASSERT(durations.find("desk", run.task, "report") == Duration(seconds(1)));
        const Wire::TaskName other = makeTask("other", 0, 0);
        CPPUNIT_ASSERT(!durations.find("desk", other, "report"));
        durations.record(at(1000), host, run, 1);
        CPPUNIT_ASSERT(durations.find("desk", other, "report") == Duration(seconds(1)));
        CPPUNIT_ASSERT(!durations.find("bench", other, "report"));
    }

    void settingsAreValidated()
    {
        const auto parse = [](const std::string& more) {
            return parseNodeSettings(
                R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":7720,"store_address":"10.0.0.2:81")" + more
                + "}");
        };
        const Result<NodeSettings> defaults = parse("");
        CPPUNIT_ASSERT(isOk(defaults));
        CPPUNIT_ASSERT(!valueOf(defaults).remoteFactor && valueOf(defaults).localityWait == LocalityWaitMode::Off);
        const Result<NodeSettings> set = parse(R"(,"remote_factor":1.5,"locality_wait":"expected_cost")");
        CPPUNIT_ASSERT(isOk(set));
        CPPUNIT_ASSERT_EQUAL(1.5, *valueOf(set).remoteFactor);
        CPPUNIT_ASSERT(valueOf(set).localityWait == LocalityWaitMode::ExpectedCost);
        for (const char* more : { R"(,"remote_factor":0.9)", R"(,"remote_factor":-1)", R"(,"remote_factor":"2")",
                 R"(,"locality_wait":"long")", R"(,"locality_wait":2)" })
            CPPUNIT_ASSERT_MESSAGE(more, !isOk(parse(more)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LocalityWaitTest);
