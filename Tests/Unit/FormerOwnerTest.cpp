/// Tests what is started, and what is not, for an owner that cannot tell whether another entry has followed it.
#include "Support/HistorySeeds.h"
#include "Support/OwnedFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace Plantainpier;

namespace {

/// The platform's shortest bounds on a cancelled job: nothing starts this long after the acknowledgement.
constexpr int cancelMilliseconds = 3000;
constexpr int troubleMilliseconds = 7000;

/// A job whose tasks fill a part of the fleet's hosts of 16 cores at a time.
Wire::JobDefinition makeWork(const std::string& jobId, int tasks, std::int64_t milliCores, int duration)
{
    Wire::JobDefinition job = makeJob(jobId, { makeStep(tasks, milliCores, duration) });
    job.payload = std::to_string(duration);
    return job;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

} // namespace

class FormerOwnerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FormerOwnerTest);
    CPPUNIT_TEST(nothingOfACancelledJobIsStartedForAFormerOwner);
    CPPUNIT_TEST(nothingOfACancelledJobIsStartedWithoutNewsOnAnySide);
    CPPUNIT_TEST(nothingOfACancelledJobIsStartedWhileEntriesAreCut);
    CPPUNIT_TEST(noCopyOfACompletedTaskIsStartedForAFormerOwner);
    CPPUNIT_TEST(aFormerOwnerEndsWhenOneSideHasReadTheNextClaim);
    CPPUNIT_TEST(workStartsWhileTheStoreIsDownForAll);
    CPPUNIT_TEST(nothingIsStartedForAFormerOwnerAtAnyMoment);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t sides = 3;

    /// The entries cannot reach each other, so that the former owner is not told of the next one by an entry.
    static void cutEntries(OwnedFleet& fleet, int until) { fleet.cutBetween(0, 1, until); }

    /// Turns the owner away from the store, and makes `sidesWithoutNews` sides read nothing over their present
    /// connections. The other entry then cancels the job. Returns what is started too late.
    static std::string cancelAtSuccessor(std::size_t sidesWithoutNews, bool areEntriesCut)
    {
        OwnedFleet fleet(2, sides);
        fleet.run(3000);
        const std::size_t former = fleet.owner().value();
        const Wire::JobDefinition job = makeWork("00000000000000ad", 400, 4000, 1000);
        fleet.call(former, Wire::JobCallKind::Submit, job);
        fleet.run(300);
        CPPUNIT_ASSERT(fleet.startsBetween(0, fleet.now()) > 0);
        const int until = fleet.now() + troubleMilliseconds;
        fleet.cutFromStore(former, until);
        if (areEntriesCut)
            cutEntries(fleet, until);
        for (std::size_t n = 0; n < sidesWithoutNews; ++n)
            fleet.silenceStoreConnections(fleet.sideProcess(n));
        while (fleet.owner() == former && fleet.now() < until)
            fleet.run(5);
        const CallerToken cancel = fleet.call(1 - former, Wire::JobCallKind::Cancel, job);
        fleet.run(10'000);
        const int acknowledged = fleet.answeredAt(cancel, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_MESSAGE("the successor has cancelled the job", acknowledged > 0);
        return joinLines(fleet.startsOfJobAfter(job.jobId, acknowledged + cancelMilliseconds))
            + joinLines(fleet.runsAtTheSameTime());
    }

    // Guards against an owner that goes on for 9 s after the store has turned it away, through a side that waits for
    // news on a connection which has gone silent.
    void nothingOfACancelledJobIsStartedForAFormerOwner()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), cancelAtSuccessor(1, false));
    }

    // Guards against the same where no side can tell the former owner, which learns of its successor from the entry.
    void nothingOfACancelledJobIsStartedWithoutNewsOnAnySide()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), cancelAtSuccessor(sides, false));
    }

    // Guards against the same where nobody tells the former owner, so that each side has to find out by itself.
    void nothingOfACancelledJobIsStartedWhileEntriesAreCut()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), cancelAtSuccessor(1, true));
        CPPUNIT_ASSERT_EQUAL(std::string(), cancelAtSuccessor(sides, true));
    }

    // Guards against tasks with allow_duplicates that a former owner starts again when the leases of hosts that have
    // left it run out, although they have completed for its successor.
    void noCopyOfACompletedTaskIsStartedForAFormerOwner()
    {
        for (const bool areEntriesCut : { false, true }) {
            OwnedFleet fleet(2, sides);
            fleet.run(3000);
            const std::size_t former = fleet.owner().value();
            Wire::JobDefinition job = makeWork("00000000000000ac", 6, 4000, 4000);
            job.steps[0].allowDuplicates = true;
            fleet.call(former, Wire::JobCallKind::Submit, job);
            fleet.run(300);
            const int until = fleet.now() + troubleMilliseconds;
            fleet.cutFromStore(former, until);
            if (areEntriesCut)
                cutEntries(fleet, until);
            fleet.silenceStoreConnections(fleet.sideProcess(0));
            fleet.run(12'000);
            CPPUNIT_ASSERT_EQUAL(std::string(), joinLines(fleet.startsAfterAcknowledgedEnds()));
        }
    }

    // Guards against a former owner that goes on although a process that is connected to it has read the next claim.
    void aFormerOwnerEndsWhenOneSideHasReadTheNextClaim()
    {
        OwnedFleet fleet(2, sides);
        fleet.run(3000);
        const std::size_t former = fleet.owner().value();
        const int until = fleet.now() + troubleMilliseconds;
        fleet.cutFromStore(former, until);
        cutEntries(fleet, until);
        for (std::size_t n = 1; n < sides; ++n)
            fleet.silenceStoreConnections(fleet.sideProcess(n));
        while (fleet.owner() == former && fleet.now() < until)
            fleet.run(5);
        CPPUNIT_ASSERT(fleet.owner() == 1 - former);
        fleet.run(50);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.ownerCount());
    }

    // Guards against checks of ownership that stop work when the store is down for all.
    void workStartsWhileTheStoreIsDownForAll()
    {
        OwnedFleet fleet(2, sides);
        fleet.run(3000);
        fleet.call(fleet.owner().value(), Wire::JobCallKind::Submit, makeWork("00000000000000ae", 2000, 4000, 400));
        fleet.run(4000);
        constexpr int second = 1000;
        constexpr int outageSeconds = 8;
        fleet.run(outageSeconds * second);
        const int outage = fleet.now();
        const int before = fleet.startsBetween(outage - outageSeconds * second, outage);
        fleet.stopStore(outage + outageSeconds * second);
        fleet.run(outageSeconds * second);
        std::string starts = std::to_string(before) + " in 8 s before the outage, by second of it:";
        int fewest = before;
        for (int n = 0; n < outageSeconds; ++n) {
            const int started = fleet.startsBetween(outage + n * second, outage + (n + 1) * second);
            starts += " " + std::to_string(started);
            fewest = std::min(fewest, started);
        }
        if (std::getenv("PLANTAINPIER_TRACE"))
            std::printf("%s\n", starts.c_str());
        CPPUNIT_ASSERT_MESSAGE(starts, 2 * outageSeconds * fewest >= before);
    }

    /// One history: the store turns the owner away, and connections go silent, at random moments. Jobs are cancelled
    /// at the newest owner. Returns what is started too late.
    static std::string playHistory(unsigned seed)
    {
        std::mt19937 random(seed);
        const auto below = [&random](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
        OwnedFleet fleet(3, sides);
        fleet.run(3000);
        std::map<CallerToken, Wire::JobDefinition> cancels;
        std::vector<Wire::JobDefinition> jobs;
        for (int n = 0; n < 6; ++n) {
            Wire::JobDefinition job = makeWork("00000000000000b" + std::to_string(n), 200, 3000, 300 + 700 * below(4));
            job.steps[0].allowDuplicates = below(3) == 0;
            jobs.push_back(job);
            fleet.call(static_cast<std::size_t>(below(3)), Wire::JobCallKind::Submit, job);
        }
        for (int n = 0; n < 60; ++n) {
            fleet.run(50 + below(300));
            const std::size_t owner = fleet.owner().value_or(0);
            switch (below(12)) {
            case 0:
                // Most of the time some sides have no news either.
                fleet.cutFromStore(owner, fleet.now() + troubleMilliseconds);
                for (std::size_t side = 0; side < sides; ++side) {
                    if (below(2) == 0)
                        fleet.silenceStoreConnections(fleet.sideProcess(side));
                }
                break;
            case 1:
            case 2:
                fleet.silenceStoreConnections(fleet.sideProcess(static_cast<std::size_t>(below(sides))));
                break;
            case 3:
                fleet.cutBetween(0, 1, fleet.now() + below(troubleMilliseconds));
                break;
            case 4:
                fleet.silenceLinks(static_cast<std::size_t>(below(3 + static_cast<int>(sides))));
                break;
            case 5:
                fleet.silenceStoreConnections(static_cast<std::size_t>(below(3)));
                break;
            case 6: {
                const Wire::JobDefinition& job = jobs[static_cast<std::size_t>(below(static_cast<int>(jobs.size())))];
                cancels[fleet.call(owner, Wire::JobCallKind::Cancel, job)] = job;
                break;
            }
            default:
                break;
            }
        }
        fleet.run(20'000);
        std::string faults = joinLines(fleet.startsAfterAcknowledgedEnds());
        for (const std::pair<const CallerToken, Wire::JobDefinition>& cancel : cancels) {
            const int acknowledged = fleet.answeredAt(cancel.first, Wire::JobReplyKind::Accepted);
            if (acknowledged > 0)
                faults += joinLines(fleet.startsOfJobAfter(cancel.second.jobId, acknowledged + cancelMilliseconds));
        }
        return faults;
    }

    // Guards against the same faults at moments that nobody has thought of.
    void nothingIsStartedForAFormerOwnerAtAnyMoment()
    {
        std::string faults;
        const HistorySeeds seeds = historySeeds(20);
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            const std::string found = playHistory(seed);
            if (!found.empty())
                faults += "seed " + std::to_string(seed) + ":\n" + found;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerOwnerTest);
