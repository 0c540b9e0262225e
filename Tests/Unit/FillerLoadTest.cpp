/// Plays the load of plans beside serving tasks in virtual time: jobs of wide steps whose tasks are fillers, some of
/// which disturb some serving tasks.
#include "Support/HistorySeeds.h"
#include "Support/SharedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>

using namespace Plantainpier;

class FillerLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FillerLoadTest);
    CPPUNIT_TEST(plansOfALargeFleetEndInTime);
    CPPUNIT_TEST(anOverloadDelaysAFewPlans);
    CPPUNIT_TEST(placingFillersToStayMovesFewerOfThem);
    CPPUNIT_TEST_SUITE_END();

    /// The share of the worth of plans that users ask for at least on a day without faults.
    static constexpr double leastEarnedShare = 0.46;
    /// The same for a day with a burst that exceeds what the processors and serving tasks bear.
    static constexpr double leastEarnedShareInOverload = 0.24;
    /// The largest tenth of the plans must be served at least half as often as all.
    static constexpr double leastServedShareOfLargePlans = 0.5;
    /// Longest time in milliseconds for which fillers may keep a serving task over its target.
    static constexpr int interferenceBound = 4000;

    static FleetLoad largeFleet(unsigned seed)
    {
        FleetLoad load;
        load.seed = seed;
        load.hosts = 240;
        load.servingJobs = 48;
        load.plansPerSecond = 4;
        load.shortJobsPerSecond = 14;
        return load;
    }

    static std::string describe(const FleetLoad& load, const SharedFleet& fleet)
    {
        std::ostringstream text;
        text << "seed " << load.seed << ": earned " << fleet.earnedShare() << ", in time " << fleet.inTimeShare()
             << " of " << fleet.plans().size() << " plans, bound " << fleet.earnedShareBound()
             << ", longest interference " << fleet.account().longestInterference << " ms\n";
        return text.str();
    }

    // Guards against steps that are held up by one task: a filler stood nearly still on a host whose serving tasks did
    // not tolerate it, while the rest of its step had ended and other hosts were idle.
    void plansOfALargeFleetEndInTime()
    {
        const HistorySeeds seeds = historySeeds(4);
        std::string failures;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            const FleetLoad load = largeFleet(seed);
            SharedFleet fleet(load);
            fleet.run();
            const bool processorsSuffice = fleet.earnedShareBound() > 0.99;
            CPPUNIT_ASSERT_MESSAGE("the load is one that all processors could serve", processorsSuffice);
            if (fleet.earnedShare() < leastEarnedShare || fleet.account().longestInterference >= interferenceBound)
                failures += describe(load, fleet);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    /// The share of the plans that ended before they were of no use.
    static double servedShare(const std::vector<PlanOutcome>& plans)
    {
        const std::ptrdiff_t served = std::count_if(
            plans.begin(), plans.end(), [](const PlanOutcome& plan) { return plan.isInTime() || plan.isLate(); });
        return plans.empty() ? 0 : static_cast<double>(served) / static_cast<double>(plans.size());
    }

    // Guards against an overload that makes nearly all plans late, and against one that leaves large plans behind.
    void anOverloadDelaysAFewPlans()
    {
        const HistorySeeds seeds = historySeeds(6);
        const double count = static_cast<double>(seeds.count());
        double earned = 0;
        std::vector<PlanOutcome> all;
        std::vector<PlanOutcome> large;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            FleetLoad load;
            load.seed = seed;
            load.hosts = 120;
            load.servingJobs = 24;
            load.plansPerSecond = 2.6;
            load.shortJobsPerSecond = 7;
            load.burstFactor = 2.6;
            SharedFleet fleet(load);
            fleet.run();
            earned += fleet.earnedShare() / count;
            std::vector<PlanOutcome> plans = fleet.plans();
            std::sort(plans.begin(), plans.end(),
                [](const PlanOutcome& one, const PlanOutcome& other) { return one.coreSeconds > other.coreSeconds; });
            all.insert(all.end(), plans.begin(), plans.end());
            large.insert(large.end(), plans.begin(), plans.begin() + static_cast<std::ptrdiff_t>(plans.size() / 10));
        }
        CPPUNIT_ASSERT_MESSAGE("earned " + std::to_string(earned), earned >= leastEarnedShareInOverload);
        const double largeShare = servedShare(large) / servedShare(all);
        CPPUNIT_ASSERT_MESSAGE(
            "large plans served " + std::to_string(largeShare), largeShare >= leastServedShareOfLargePlans);
    }

    /// Uneven hosts, bursts of fillers and then of short tasks, checkpoints after 2 s of work that a stop does not
    /// save, and half of all pairs of images interfere.
    static FleetLoad burstDay(unsigned seed)
    {
        FleetLoad load;
        load.seed = seed;
        load.hosts = 66;
        load.smallHostMilliCores = 32'000;
        load.hostMegabytes = 128'000;
        load.servingJobs = 11;
        load.servingJobWidth = 14;
        load.servingMegabytes = 20'000;
        load.plansPerSecond = 1.7;
        load.planWidth = 20;
        load.planDuration = 2'400;
        load.fillerMilliCores = 3'500;
        load.fillerMegabytes = 6'500;
        load.burstFactor = 2.45;
        load.burstFrom = 9'000;
        load.burstUntil = 15'000;
        load.shortJobsPerSecond = 4;
        load.shortJobWidth = 16;
        load.shortMilliCores = 700;
        load.shortDuration = 750;
        load.shortFactor = 1.7;
        load.shortBurstFrom = 15'000;
        load.shortBurstUntil = 18'000;
        load.checkpointInterval = 2'000;
        load.savesWhenStopped = false;
        load.fillerImages = 18;
        load.highPressureShare = 0.75;
        load.twoKindsShare = 1;
        return load;
    }

    /// Sums of several days.
    struct DaySums {
        double earned = 0;
        double usedByFillers = 0;
        double overTargetByFillers = 0;
        double heldBack = 0;
        std::int64_t moves = 0;
        int longestInterference = 0;
    };

    static DaySums playBurstDays(const HistorySeeds& seeds, FillerPlacement placement)
    {
        DaySums sums;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            FleetLoad load = burstDay(seed);
            load.fillerPlacement = placement;
            SharedFleet fleet(load);
            fleet.run();
            const FleetAccount& account = fleet.account();
            sums.earned += fleet.earnedShare();
            sums.usedByFillers += account.usedByFillers;
            sums.overTargetByFillers += account.overTargetByFillers;
            sums.heldBack += account.heldBack;
            sums.moves += fleet.harness().owner.state().counters.fillerMoves;
            sums.longestInterference = std::max(sums.longestInterference, account.longestInterference);
        }
        return sums;
    }

    // Guards against fillers that are placed where they stand still a second later: each of their moves repeats all
    // work since the last checkpoint, and the serving tasks beside them exceed their targets meanwhile.
    void placingFillersToStayMovesFewerOfThem()
    {
        // Users ask for under 100 moves instead of 447, at no lower throughput, and a third less of the time for which
        // serving tasks are over their target or fillers are held back.
        constexpr double mostMovesShare = 100.0 / 447;
        constexpr double mostHarmShare = 2.0 / 3;
        const HistorySeeds seeds = historySeeds(16);
        const DaySums pace = playBurstDays(seeds, FillerPlacement::Pace);
        const DaySums stay = playBurstDays(seeds, FillerPlacement::Stay);
        std::ostringstream text;
        text << "earned " << pace.earned << " and " << stay.earned << ", moves " << pace.moves << " and " << stay.moves
             << ", used by fillers " << pace.usedByFillers << " and " << stay.usedByFillers << ", over target "
             << pace.overTargetByFillers << " and " << stay.overTargetByFillers << ", held back " << pace.heldBack
             << " and " << stay.heldBack << ", longest interference " << stay.longestInterference;
        CPPUNIT_ASSERT_MESSAGE(text.str(), stay.earned >= pace.earned);
        CPPUNIT_ASSERT_MESSAGE(
            text.str(), static_cast<double>(stay.moves) <= mostMovesShare * static_cast<double>(pace.moves));
        CPPUNIT_ASSERT_MESSAGE(text.str(), stay.overTargetByFillers <= mostHarmShare * pace.overTargetByFillers);
        CPPUNIT_ASSERT_MESSAGE(text.str(), stay.heldBack <= mostHarmShare * pace.heldBack);
        CPPUNIT_ASSERT_MESSAGE(text.str(), stay.longestInterference < interferenceBound);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FillerLoadTest);
