/// Tests RoomReservations with a JobOwner and hosts in virtual time. The load: small tasks arrive without end and take
/// each gap as soon as a run ends, while a large task of the same priority waits for a gap that it fits into.
#include "Support/BusyFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class RoomReservationsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoomReservationsTest);
    CPPUNIT_TEST(aLargeTaskStartsAlthoughSmallTasksKeepArriving);
    CPPUNIT_TEST(aLargeTaskStartsAlthoughSmallJobsStandStill);
    CPPUNIT_TEST(smallTasksStartBesideAReservation);
    CPPUNIT_TEST(nothingIsReservedWhereLongRunningTasksTakeTheRoom);
    CPPUNIT_TEST(aMoreUrgentTaskIgnoresAReservation);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* background = "a00000000000000a";
    static constexpr const char* large = "b00000000000000b";
    /// Small tasks fill nine tenths of what the background tasks leave.
    static constexpr int hosts = 40;
    static constexpr int smallTasksPerStep = 80;
    /// A host is free of small tasks once those that run there have ended and their ends are listed.
    static constexpr int longestWait = 2000;

    /// Hosts with 4 of 16 cores left by background tasks, and a stream of small tasks for these.
    static std::unique_ptr<BusyFleet> makeFleet()
    {
        std::unique_ptr<BusyFleet> fleet = std::make_unique<BusyFleet>(hosts, smallTasksPerStep);
        fleet->submitLasting(background, 3 * hosts, 4000);
        fleet->runUntil(1000);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(3 * hosts), fleet->runsOf(background));
        fleet->startArrivals();
        fleet->runUntil(3000);
        return fleet;
    }

    // Guards against a long-running task that is never placed because small tasks of its priority take each gap.
    void aLargeTaskStartsAlthoughSmallTasksKeepArriving()
    {
        const std::unique_ptr<BusyFleet> fleet = makeFleet();
        fleet->submitLasting(large, 4, 3900);
        fleet->runUntil(3000 + longestWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fleet->runsOf(large));
    }

    // Guards against small jobs that stood still for long: they come before the large task in the order of the pass.
    void aLargeTaskStartsAlthoughSmallJobsStandStill()
    {
        BusyFleet fleet(hosts, 1);
        fleet.setJobsPerArrival(130);
        fleet.submitLasting(background, 3 * hosts, 4000);
        fleet.runUntil(1000);
        fleet.startArrivals();
        fleet.runUntil(10'000);
        fleet.submitLasting(large, 4, 3900);
        fleet.runUntil(10'000 + longestWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fleet.runsOf(large));
    }

    // Guards against reservations that keep small tasks from the rest of the fleet.
    void smallTasksStartBesideAReservation()
    {
        const std::unique_ptr<BusyFleet> fleet = makeFleet();
        fleet->submitLasting(large, 1, 3900);
        const std::size_t before = fleet->smallStarts();
        fleet->runUntil(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet->runsOf(large));
        CPPUNIT_ASSERT(!fleet->harness.linesOf("room_reserved").empty());
        // One of forty hosts is reserved, and nine tenths of the room were in use.
        const std::size_t arrived = 10 * smallTasksPerStep;
        CPPUNIT_ASSERT(fleet->smallStarts() - before >= arrived * 3 / 4);
    }

    // Guards against hosts that stay idle for a task that cannot start there.
    void nothingIsReservedWhereLongRunningTasksTakeTheRoom()
    {
        const std::unique_ptr<BusyFleet> fleet = makeFleet();
        fleet->submitLasting(large, 1, 4100);
        fleet->runUntil(6000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet->runsOf(large));
        CPPUNIT_ASSERT(fleet->harness.linesOf("room_reserved").empty());
    }

    // Guards against a less urgent task that holds up urgent ones by its reservation.
    void aMoreUrgentTaskIgnoresAReservation()
    {
        BusyFleet fleet(1, 1);
        fleet.submitLasting(background, 3, 4000);
        fleet.runUntil(1000);
        RoomReservation reservation;
        reservation.jobId = large;
        reservation.priority = 1;
        reservation.demand.milliProcessors = 4000;
        Wire::JobDefinition job = makeJob(background, { makeStep(1, 1000, 100) });
        const InterferenceModel model;
        const PaceController paces(PaceRules {}, model);
        const Placement placement(PlacementRules {}, paces);
        HostRegistry registry = fleet.harness.owner.state().hosts;
        Host& host = registry.hosts().begin()->second;
        host.reservations.push_back(reservation);
        const std::vector<RunPlace> noRuns;
        const Instant now = at(fleet.now());
        job.priority = 1;
        CPPUNIT_ASSERT(!placement.isEligible(host, PlacementRequest { job, job.steps[0], 0, 0, noRuns, {} }, now));
        job.priority = 0;
        CPPUNIT_ASSERT(placement.isEligible(host, PlacementRequest { job, job.steps[0], 0, 0, noRuns, {} }, now));
        job.priority = 1;
        job.jobId = large;
        CPPUNIT_ASSERT(placement.isEligible(host, PlacementRequest { job, job.steps[0], 0, 0, noRuns, {} }, now));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RoomReservationsTest);
