/// Tests in virtual time what waiting for a place near data or group earns, on the loads named in docs/LOAD-WORK.md.
/// The comparison is with no wait on the same jobs. PLANTAINPIER_TRACE=1 prints the figures of all ways of waiting.
#include "Support/HistorySeeds.h"
#include "Support/RackedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>

using namespace Plantainpier;

namespace {

constexpr int racks = 4;
constexpr int hostsPerRack = 4;
constexpr int arrivalsUntil = 40'000;
constexpr int endAt = 60'000;
/// Waits add to the time of a job by at most this share of it, over all seeds; the rest is noise of the arrivals.
constexpr double noise = 0.02;

/// A wait ends in a pass, and passes follow each other after at most this time in milliseconds.
constexpr int longestPassInterval = 60;

/// Jobs and events of one load.
struct Load {
    std::string name;
    double remoteFactor = 2;
    std::function<std::vector<RackedJob>(std::mt19937&)> makeJobs;
    std::function<void(int, RackedFleet&)> onStep;
};

/// A way of deciding how long to wait.
struct Way {
    std::string name;
    LocalityWaitMode mode = LocalityWaitMode::ExpectedCost;
    std::function<Duration(const LocalityOffer&)> longestWait;
};

struct JobShape {
    int tasks = 12;
    int durationMilliseconds = 1000;
    double estimateError = 0;
    std::string dataRack;
    bool isGang = false;
    std::int64_t milliCores = 1000;
    /// Empty: an image of its own for each duration.
    std::string image;
};

RackedJob makeRackedJob(int n, int submitAt, const JobShape& shape)
{
    Wire::StepDefinition step = makeStep(shape.tasks, shape.milliCores,
        std::max(1, static_cast<int>(shape.durationMilliseconds * (1 + shape.estimateError))));
    step.image = "image-" + std::to_string(shape.durationMilliseconds) + (shape.isGang ? "-gang" : "");
    if (!shape.image.empty())
        step.image = shape.image;
    step.dataRack = shape.dataRack;
    step.gang = shape.isGang;
    step.sameRack = shape.isGang;
    RackedJob job;
    job.submitAt = submitAt;
    job.definition = makeJob("job-" + std::to_string(10'000 + n), { step });
    job.definition.stretch = 4;
    job.definition.objectiveMilliseconds = 2000;
    job.durationMilliseconds = shape.durationMilliseconds;
    return job;
}

int exponential(std::mt19937& random, double mean)
{
    return static_cast<int>(std::exponential_distribution<double>(1 / mean)(random));
}

/// Adds jobs of a shape at random times.
void addJobs(std::vector<RackedJob>& jobs, std::mt19937& random, double meanInterval, const JobShape& shape)
{
    for (int now = exponential(random, meanInterval); now < arrivalsUntil; now += exponential(random, meanInterval))
        jobs.push_back(makeRackedJob(static_cast<int>(jobs.size()), now, shape));
}

/// Most jobs have their data in one rack, the others in the other racks.
std::vector<RackedJob> hotRackJobs(
    std::mt19937& random, int durationMilliseconds, double estimateError, double meanIntervals = 1.3)
{
    std::vector<RackedJob> jobs;
    JobShape shape;
    shape.durationMilliseconds = durationMilliseconds;
    shape.estimateError = estimateError;
    shape.dataRack = "rack-0";
    addJobs(jobs, random, meanIntervals * durationMilliseconds, shape);
    for (const char* rack : { "rack-1", "rack-2" }) {
        shape.dataRack = rack;
        addJobs(jobs, random, 4 * durationMilliseconds, shape);
    }
    return jobs;
}

/// Jobs of one image whose durations differ by a factor of up to ten, and whose estimates are off by up to 0.9.
std::vector<RackedJob> variedJobs(std::mt19937& random)
{
    std::vector<RackedJob> jobs = hotRackJobs(random, 1000, 0);
    for (RackedJob& job : jobs) {
        JobShape shape;
        shape.dataRack = job.definition.steps.front().dataRack;
        shape.durationMilliseconds = std::uniform_int_distribution<int>(200, 2000)(random);
        shape.estimateError = std::uniform_real_distribution<double>(-0.9, 0.9)(random);
        shape.image = "varied";
        job = makeRackedJob(static_cast<int>(&job - jobs.data()), job.submitAt, shape);
    }
    return jobs;
}

/// Long tasks fill the hot rack for five of every ten seconds.
std::vector<RackedJob> alternatingJobs(std::mt19937& random)
{
    std::vector<RackedJob> jobs = hotRackJobs(random, 800, 0);
    JobShape filler;
    filler.durationMilliseconds = 5000;
    filler.tasks = 16;
    filler.dataRack = "rack-0";
    for (int now = 3000; now < arrivalsUntil; now += 10'000) {
        jobs.push_back(makeRackedJob(static_cast<int>(jobs.size()), now, filler));
        jobs.back().isJudged = false;
    }
    return jobs;
}

std::vector<RackedJob> mixedJobs(std::mt19937& random)
{
    std::vector<RackedJob> jobs;
    JobShape shape;
    shape.dataRack = "rack-0";
    shape.durationMilliseconds = 500;
    shape.tasks = 8;
    addJobs(jobs, random, 900, shape);
    shape.durationMilliseconds = 3000;
    shape.tasks = 4;
    addJobs(jobs, random, 2500, shape);
    return jobs;
}

/// Gangs beside other tasks that use a third of the processors.
std::vector<RackedJob> gangJobs(std::mt19937& random, int members, std::int64_t milliCores)
{
    std::vector<RackedJob> jobs;
    JobShape shape;
    shape.tasks = 4;
    shape.durationMilliseconds = 700;
    addJobs(jobs, random, 130, shape);
    for (RackedJob& job : jobs)
        job.isJudged = false;
    shape.isGang = true;
    shape.tasks = members;
    shape.milliCores = milliCores;
    shape.durationMilliseconds = 1500;
    addJobs(jobs, random, members > 10 ? 5000 : 700, shape);
    return jobs;
}

Load hotRack(const std::string& name, double factor = 2, int durationMilliseconds = 1000, double estimateError = 0)
{
    return Load { name, factor,
        [durationMilliseconds, estimateError](
            std::mt19937& random) { return hotRackJobs(random, durationMilliseconds, estimateError); },
        {} };
}

std::vector<Load> allLoads()
{
    const auto drainRack = [](int now, RackedFleet& fleet) {
        if (now >= arrivalsUntil / 2)
            fleet.setDraining("rack-0");
    };
    std::vector<Load> loads { hotRack("hot rack"), hotRack("hot rack, factor 1.5", 1.5),
        hotRack("hot rack, factor 3", 3), hotRack("hot rack, estimates 0.9 too low", 2, 1000, -0.9),
        hotRack("hot rack, estimates 0.9 too high", 2, 1000, 0.9), hotRack("hot rack, short tasks", 2, 500),
        hotRack("hot rack, long tasks", 2, 3000) };
    loads.push_back(hotRack("hot rack that drains"));
    loads.back().onStep = drainRack;
    loads.push_back(Load { "hot rack, durations and estimates vary", 2, variedJobs, {} });
    // The tasks with data in the rack need 1.2 times its processors.
    loads.push_back(Load {
        "hot rack, overloaded", 2, [](std::mt19937& random) { return hotRackJobs(random, 1000, 0, 0.625); }, {} });
    loads.push_back(Load { "rack that fills and empties", 2, alternatingJobs, {} });
    loads.push_back(Load { "short against long tasks", 2, mixedJobs, {} });
    loads.push_back(Load { "gangs of 2", 2, [](std::mt19937& random) { return gangJobs(random, 2, 2000); }, {} });
    loads.push_back(Load { "gangs of 57", 2, [](std::mt19937& random) { return gangJobs(random, 57, 200); }, {} });
    return loads;
}

std::vector<Way> allWays()
{
    const auto fixedWait
        = [](Duration wait) { return [wait](const LocalityOffer& /*offer*/) -> Duration { return wait; }; };
    const auto untilSlackIsUsed = [](const LocalityOffer& offer) -> Duration { return offer.waited + offer.slack; };
    return { Way { "no wait", LocalityWaitMode::Off, {} },
        Way { "fixed 0.5 s", LocalityWaitMode::ExpectedCost, fixedWait(milliseconds(500)) },
        Way { "fixed 2 s", LocalityWaitMode::ExpectedCost, fixedWait(seconds(2)) },
        Way { "until slack is used", LocalityWaitMode::ExpectedCost, untilSlackIsUsed },
        Way { "expected cost", LocalityWaitMode::ExpectedCost, {} } };
}

/// Means over the seeds.
RackedResult play(const Load& load, const Way& way)
{
    const HistorySeeds seeds = historySeeds(6);
    RackedResult sum;
    for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
        std::mt19937 random(seed);
        OwnerRules rules;
        rules.locality.mode = way.mode;
        rules.locality.remoteFactor = load.remoteFactor;
        rules.locality.longestWait = way.longestWait;
        RackedFleet fleet(rules, load.remoteFactor, racks, hostsPerRack);
        fleet.onStep = load.onStep;
        const RackedResult result = fleet.run(load.makeJobs(random), endAt);
        sum.jobs += result.jobs;
        sum.completedJobs += result.completedJobs;
        sum.jobsOnTime += result.jobsOnTime;
        sum.tasks += result.tasks;
        sum.tasksAway += result.tasksAway;
        sum.meanJobMilliseconds += result.meanJobMilliseconds / static_cast<double>(seeds.count());
        sum.lostToRemoteSeconds += result.lostToRemoteSeconds;
        sum.waitedSeconds += result.waitedSeconds;
        sum.longestExcessMilliseconds = std::max(sum.longestExcessMilliseconds, result.longestExcessMilliseconds);
    }
    return sum;
}

std::string describe(const Load& load, const Way& way, const RackedResult& result)
{
    return "| " + load.name + " | " + way.name + " | " + std::to_string(std::lround(result.meanJobMilliseconds)) + " | "
        + std::to_string(std::lround(result.lostToRemoteSeconds)) + " | "
        + std::to_string(std::lround(result.waitedSeconds)) + " | " + std::to_string(result.tasksAway) + " of "
        + std::to_string(result.tasks) + " | " + std::to_string(result.jobsOnTime) + " of "
        + std::to_string(result.jobs) + " |";
}

} // namespace

class LocalityLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LocalityLoadTest);
    CPPUNIT_TEST(isNeverWorseThanNoWait);
    CPPUNIT_TEST(savesAThirdOfTheTimeLostOnAHotRack);
    CPPUNIT_TEST(printsTheFiguresOfAllWays);
    CPPUNIT_TEST_SUITE_END();

    // Guards against waits that cost jobs more than they gain.
    void isNeverWorseThanNoWait()
    {
        const std::vector<Way> ways = allWays();
        for (const Load& load : allLoads()) {
            const RackedResult without = play(load, ways.front());
            const RackedResult with = play(load, ways.back());
            const std::string figures
                = describe(load, ways.front(), without) + "\n" + describe(load, ways.back(), with);
            CPPUNIT_ASSERT_MESSAGE(
                load.name + ": a wait exceeds its gain by " + std::to_string(with.longestExcessMilliseconds) + " ms",
                with.longestExcessMilliseconds <= longestPassInterval);
            CPPUNIT_ASSERT_MESSAGE(figures, with.completedJobs >= without.completedJobs);
            CPPUNIT_ASSERT_MESSAGE(figures, with.jobsOnTime >= without.jobsOnTime - noise * without.jobs);
            CPPUNIT_ASSERT_MESSAGE(figures, with.meanJobMilliseconds <= (1 + noise) * without.meanJobMilliseconds);
        }
    }

    // Guards against a decision that hardly ever waits.
    void savesAThirdOfTheTimeLostOnAHotRack()
    {
        const std::vector<Way> ways = allWays();
        const Load load = hotRack("hot rack");
        const RackedResult without = play(load, ways.front());
        const RackedResult with = play(load, ways.back());
        CPPUNIT_ASSERT_MESSAGE(describe(load, ways.front(), without) + "\n" + describe(load, ways.back(), with),
            with.lostToRemoteSeconds <= 2.0 / 3 * without.lostToRemoteSeconds);
    }

    void printsTheFiguresOfAllWays()
    {
        if (!std::getenv("PLANTAINPIER_TRACE"))
            return;
        for (const Load& load : allLoads())
            for (const Way& way : allWays())
                std::cout << describe(load, way, play(load, way)) << std::endl;
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LocalityLoadTest);
