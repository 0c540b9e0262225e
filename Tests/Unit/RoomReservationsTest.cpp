/// Tests RoomReservations with a JobOwner and hosts in virtual time. The load: small tasks arrive without end and take
/// each gap as soon as a run ends, while a large task of the same priority waits for a gap that it fits into.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Plantainpier;

namespace {

constexpr int stepMilliseconds = 20;
constexpr std::int64_t hostMilliCores = 16'000;
constexpr int smallEstimate = 500;

/// Hosts that run what they are ordered to, beside a stream of small tasks.
class BusyFleet {
public:
    explicit BusyFleet(int hosts, int smallTasksPerStep)
        : m_smallTasksPerStep(smallTasksPerStep)
    {
        for (int n = 0; n < hosts; ++n)
            m_hosts["host-" + std::to_string(100 + n)] = SimulatedHost {};
        runUntil(100);
    }

    void runUntil(int until)
    {
        for (; m_now < until; m_now += stepMilliseconds) {
            if (m_arrivals && m_now % 100 == 0)
                submitSmallJob();
            for (std::pair<const std::string, SimulatedHost>& entry : m_hosts)
                report(entry.first, entry.second);
            harness.tick(m_now);
            deliverOrders();
        }
    }

    void submitLasting(const std::string& jobId, int count, std::int64_t milliCores, int priority = 0)
    {
        Wire::StepDefinition step = makeStep(count, milliCores, 100);
        step.longRunning = true;
        Wire::JobDefinition job = makeJob(jobId, { step });
        job.priority = priority;
        harness.submit(m_now, job);
    }

    void startArrivals() { m_arrivals = true; }
    void stopRunsOf(const std::string& jobId)
    {
        for (std::pair<const std::string, SimulatedHost>& entry : m_hosts) {
            for (std::pair<const RunKey, int>& run : entry.second.runs) {
                if (std::get<0>(run.first) == jobId)
                    run.second = m_now;
            }
        }
    }
    int now() const { return m_now; }

    std::size_t runsOf(const std::string& jobId) const
    {
        std::size_t count = 0;
        for (const std::pair<const std::string, SimulatedHost>& entry : m_hosts)
            count += static_cast<std::size_t>(std::count_if(entry.second.runs.begin(), entry.second.runs.end(),
                [&jobId](const std::pair<const RunKey, int>& run) { return std::get<0>(run.first) == jobId; }));
        return count;
    }

    std::size_t smallStarts() const { return m_smallStarts; }

    OwnerHarness harness;

private:
    static constexpr int never = std::numeric_limits<int>::max();

    struct SimulatedHost {
        /// When each run ends.
        std::map<RunKey, int> runs;
        std::vector<Wire::EndedTask> ended;
        std::int64_t lastEndNumber = 0;
    };

    void submitSmallJob()
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(++m_lastSmallJob));
        harness.submit(m_now, makeJob(id, { makeStep(m_smallTasksPerStep, 360, smallEstimate) }));
    }

    void report(const std::string& hostId, SimulatedHost& host)
    {
        Wire::HostReport report = makeReport(hostId, 1, m_now + 1000);
        report.capacity.milliProcessors = hostMilliCores;
        report.capacity.memoryMegabytes = 100'000;
        for (std::map<RunKey, int>::iterator it = host.runs.begin(); it != host.runs.end();) {
            const auto& [jobId, occurrence, step, index, run] = it->first;
            const Wire::TaskName task = makeTask(jobId, step, index);
            if (m_now < it->second) {
                report.running.push_back(makeRunningTask(task, run));
                ++it;
                continue;
            }
            host.ended.push_back(makeEndedTask(++host.lastEndNumber, task, run, Wire::RunEnd::Completed));
            it = host.runs.erase(it);
        }
        report.ended = host.ended;
        harness.announceAndReport(m_now, report);
    }

    void deliverOrders()
    {
        for (; m_nextOrders < harness.sentOrders.size(); ++m_nextOrders) {
            const Wire::HostOrders& orders = harness.sentOrders[m_nextOrders];
            SimulatedHost& host = m_hosts.at(orders.hostId);
            std::erase_if(
                host.ended, [&orders](const Wire::EndedTask& row) { return row.number <= orders.acknowledgedNumber; });
            for (const Wire::StartOrder& start : orders.starts) {
                const bool isSmall = start.task.jobId.starts_with("0000");
                m_smallStarts += isSmall ? 1 : 0;
                host.runs[runKey(start.task, start.run)] = isSmall ? m_now + smallEstimate : never;
            }
            for (const Wire::HaltOrder& halt : orders.halts)
                host.runs[runKey(halt.task, halt.run)] = m_now;
        }
    }

    int m_smallTasksPerStep;
    int m_now = 0;
    int m_lastSmallJob = 0;
    bool m_arrivals = false;
    std::size_t m_smallStarts = 0;
    std::size_t m_nextOrders = 0;
    std::map<std::string, SimulatedHost> m_hosts;
};

} // namespace

class RoomReservationsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoomReservationsTest);
    CPPUNIT_TEST(aLargeTaskStartsAlthoughSmallTasksKeepArriving);
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
