/// Tests FillerRelocator: fillers that stand nearly still move to hosts that run them at full pace, from every host of
/// the fleet, and no more of them than the destinations have room for.
#include "Decision/Placement/FillerRelocator.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class FillerRelocatorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FillerRelocatorTest);
    CPPUNIT_TEST(movesFillersFromAllHostsOfALargeFleet);
    CPPUNIT_TEST(movesNoMoreFillersThanDestinationsHaveRoomFor);
    CPPUNIT_TEST(movesTheFillerThatGainsMost);
    CPPUNIT_TEST(keepsFillersThatAreNearlyDone);
    CPPUNIT_TEST(keepsFillersOfHostsThatDoNotReport);
    CPPUNIT_TEST(repeatsWorkThatIsNotSavedOnlyIfThatIsFaster);
    CPPUNIT_TEST(countsTheWorkSinceTheNewestCheckpoint);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t fillerMilliCores = 1000;
    static constexpr int estimateMilliseconds = 2700;
    static constexpr int now = 10'000;

    /// Hosts with one slow filler each, and idle hosts behind or before them in the order of host ids.
    struct Fleet {
        explicit Fleet(bool savesProgress = true, const RelocationRules& rules = RelocationRules {})
            : state("entry-1", 1, OwnerRules {}, at(0))
            , runTracker(state)
            , controller(PaceRules {}, model)
            , placement(PlacementRules {}, controller)
            , relocator(state, runTracker, controller, placement, rules)
        {
            Wire::StepDefinition step = makeStep(100, fillerMilliCores, estimateMilliseconds);
            step.filler = true;
            step.savesProgress = savesProgress;
            step.image = "plan";
            const Wire::JobDefinition definition = makeJob(jobId, { step });
            state.jobs[jobId] = std::make_unique<JobState>(definition, at(0), 0);
            state.openJobs[jobId] = state.jobs[jobId].get();
            state.jobs[jobId]->addDueOccurrences(at(0), 0);
        }

        Host& addHost(const std::string& hostId, std::int64_t milliCores)
        {
            Host& host = state.hosts.hosts()[hostId];
            host.hostId = hostId;
            host.service = "desk";
            host.link = testLink;
            host.listed = true;
            host.capacity.milliProcessors = milliCores;
            host.capacity.memoryMegabytes = 10'000;
            return host;
        }

        /// Adds the run of the next task of the job, which has run at the given pace for a while.
        HostRun& addFiller(Host& host, double recentPace, int progressPercent = 0)
        {
            JobState& job = *state.jobs[jobId];
            StepState& step = job.steps()[0];
            HostRun run;
            run.task = makeTask(jobId, 0, nextTask);
            run.run = 1;
            run.phase = RunPhase::Running;
            RunTracker::setRunRequirements(run, job, step);
            run.placedAt = at(now - 5000);
            run.recentPace = recentPace;
            run.progressPercent = progressPercent;
            TaskState& task = step.tasks[static_cast<std::size_t>(nextTask++)];
            task.lastRun = 1;
            task.runs.push_back(RunPlace { host.hostId, 1, run.placedAt });
            --step.waitingTasks;
            return HostRegistry::addRun(host, std::move(run));
        }

        /// The hosts from which a pass moves fillers.
        std::vector<std::string> relocate(int passAt)
        {
            for (std::pair<const std::string, Host>& entry : state.hosts.hosts())
                entry.second.lastContactAt = at(passAt);
            const std::vector<std::string> before = hostsOfHaltedRuns();
            Actions actions;
            relocator.relocate(at(passAt), actions);
            std::vector<std::string> moved;
            for (const std::string& hostId : hostsOfHaltedRuns()) {
                if (std::find(before.begin(), before.end(), hostId) == before.end())
                    moved.push_back(hostId);
            }
            return moved;
        }

        std::vector<std::string> hostsOfHaltedRuns() const
        {
            std::vector<std::string> found;
            for (const std::pair<const std::string, Host>& entry : state.hosts.hosts()) {
                for (const std::pair<const RunKey, HostRun>& run : entry.second.runs) {
                    if (run.second.phase == RunPhase::Halting)
                        found.push_back(entry.first);
                }
            }
            return found;
        }

        const std::string jobId = "0000000000000001";
        OwnerState state;
        RunTracker runTracker;
        InterferenceModel model;
        PaceController controller;
        Placement placement;
        FillerRelocator relocator;
        int nextTask = 0;
    };

    static std::string hostName(const std::string& kind, int n) { return kind + "-" + std::to_string(100 + n); }

    // Guards against moves that a fixed number per pass keeps to the first hosts: fillers of the others stood still.
    void movesFillersFromAllHostsOfALargeFleet()
    {
        constexpr int hosts = 40;
        Fleet fleet;
        std::vector<std::string> expected;
        for (int n = 0; n < hosts; ++n) {
            expected.push_back(hostName("busy", n));
            fleet.addFiller(fleet.addHost(expected.back(), fillerMilliCores), 0.05);
            fleet.addHost(hostName("idle", n), fillerMilliCores);
        }
        CPPUNIT_ASSERT(expected == fleet.relocate(now));
    }

    // Guards against moves of many fillers to the same idle host, and against moving more while those are under way.
    void movesNoMoreFillersThanDestinationsHaveRoomFor()
    {
        Fleet fleet;
        for (int n = 0; n < 10; ++n)
            fleet.addFiller(fleet.addHost(hostName("busy", n), fillerMilliCores), 0.05);
        const Host& idle = fleet.addHost("idle", 2 * fillerMilliCores);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.relocate(now).size());
        CPPUNIT_ASSERT_MESSAGE("reservations are no runs", idle.runs.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), idle.processorUse.fillers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.relocate(now + 600).size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "a reservation that was not used lapses", std::size_t(2), fleet.relocate(now + 1800).size());
    }

    void movesTheFillerThatGainsMost()
    {
        Fleet fleet;
        fleet.addFiller(fleet.addHost("busy-1", fillerMilliCores), 0.3);
        fleet.addFiller(fleet.addHost("busy-2", fillerMilliCores), 0.05);
        fleet.addFiller(fleet.addHost("busy-3", fillerMilliCores), 0.2);
        fleet.addHost("idle", fillerMilliCores);
        CPPUNIT_ASSERT(std::vector<std::string> { "busy-2" } == fleet.relocate(now));
    }

    void keepsFillersThatAreNearlyDone()
    {
        Fleet fleet;
        fleet.addFiller(fleet.addHost("full-pace", fillerMilliCores), 1);
        fleet.addFiller(fleet.addHost("nearly-done", fillerMilliCores), 0.4, 90);
        fleet.addHost("idle", 10 * fillerMilliCores);
        CPPUNIT_ASSERT(fleet.relocate(now).empty());
    }

    void keepsFillersOfHostsThatDoNotReport()
    {
        Fleet fleet;
        Host& unlinked = fleet.addHost("unlinked", fillerMilliCores);
        fleet.addFiller(unlinked, 0.05);
        unlinked.link = noLink;
        Host& unlisted = fleet.addHost("unlisted", fillerMilliCores);
        fleet.addFiller(unlisted, 0.05);
        unlisted.listed = false;
        fleet.addHost("idle", 10 * fillerMilliCores);
        CPPUNIT_ASSERT(fleet.relocate(now).empty());
    }

    void repeatsWorkThatIsNotSavedOnlyIfThatIsFaster()
    {
        // Half of the work is left: 3.4 s at a pace of 0.4, 13.5 s at 0.1. From the start it takes 2.7 s and the move.
        Fleet unsaved(false);
        unsaved.addFiller(unsaved.addHost("busy-1", fillerMilliCores), 0.4, 50);
        unsaved.addFiller(unsaved.addHost("busy-2", fillerMilliCores), 0.1, 50);
        unsaved.addHost("idle", 10 * fillerMilliCores);
        CPPUNIT_ASSERT(std::vector<std::string> { "busy-2" } == unsaved.relocate(now));
        Fleet saved;
        saved.addFiller(saved.addHost("busy-1", fillerMilliCores), 0.4, 50);
        saved.addFiller(saved.addHost("busy-2", fillerMilliCores), 0.1, 50);
        saved.addHost("idle", 10 * fillerMilliCores);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), saved.relocate(now).size());
    }

    // Guards against moves that repeat more work than they save: tasks of 2.7 s save a checkpoint after 2 s of work, so
    // nearly all of them have none when they are moved.
    void countsTheWorkSinceTheNewestCheckpoint()
    {
        // At a pace of 0.35, the half that is left takes 3.9 s. Elsewhere and with the move it takes 4 s without a
        // checkpoint, and 2.65 s from one at half of the work.
        Fleet fleet(true, RelocationRules::forFillers(FillerPlacement::Stay));
        fleet.addFiller(fleet.addHost("no-checkpoint", fillerMilliCores), 0.35, 50);
        fleet.addFiller(fleet.addHost("checkpoint", fillerMilliCores), 0.35, 50).checkpointPercent = 50;
        fleet.addHost("idle", 10 * fillerMilliCores);
        CPPUNIT_ASSERT(std::vector<std::string> { "checkpoint" } == fleet.relocate(now));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FillerRelocatorTest);
