/// Noisy fillers beside serving tasks: pairs are told apart within seconds, and only what is noisy is slowed down.
#include "Decision/Job/PaceControl.h"
#include "Decision/Job/Placement.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class PaceControlTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PaceControlTest);
    CPPUNIT_TEST(tellsTheNoisyPairWithinSeconds);
    CPPUNIT_TEST(slowsOnlyWhatIsNoisy);
    CPPUNIT_TEST(stopsEverythingWhenAnAlarmLasts);
    CPPUNIT_TEST(raisesSlowly);
    CPPUNIT_TEST(packsServingTasksByImage);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double truePressure = 8;

    static HostRun serving(const std::string& jobId, int index, const std::string& image)
    {
        HostRun run;
        run.task = makeTask(jobId, 0, index);
        run.run = 1;
        run.phase = RunPhase::Running;
        run.demand.milliProcessors = 2000;
        run.longRunning = true;
        run.listed = true;
        run.image = image;
        run.targetMilliseconds = 150;
        run.usage = 50;
        run.since = at(0);
        return run;
    }

    static HostRun filler(const std::string& jobId, int index, const std::string& image)
    {
        HostRun run = serving(jobId, index, image);
        run.filler = true;
        run.longRunning = false;
        run.targetMilliseconds = 0;
        run.usage = 1000;
        run.demand.milliProcessors = 1000;
        return run;
    }

    static Host& addHost(HostBook& hosts, const std::string& hostId)
    {
        Host& host = hosts.hosts()[hostId];
        host.hostId = hostId;
        host.link = testLink;
        host.service = "desk";
        host.capacity.milliProcessors = 10'000;
        host.capacity.memoryMegabytes = 100'000;
        host.listed = true;
        return host;
    }

    /// Three hosts with tasks of two serving images and fillers of two images; "loud" pushes "desk" only.
    struct World {
        World()
            : control(PaceRules {}, model)
        {
            for (int n = 0; n < 3; ++n) {
                Host& host = addHost(hosts, "host-" + std::to_string(n));
                HostBook::addRun(host, serving("0000000000000001", n, "desk"));
                HostBook::addRun(host, serving("0000000000000002", n, "board"));
            }
            HostBook::addRun(hosts.hosts()["host-0"], filler("0000000000000003", 0, "loud"));
            HostBook::addRun(hosts.hosts()["host-1"], filler("0000000000000004", 0, "quiet"));
        }

        /// Lists all hosts as the pressures have it.
        void list(int now)
        {
            for (std::pair<const std::string, Host>& entry : hosts.hosts()) {
                Host& host = entry.second;
                host.clockReadAt = at(now);
                host.heardAt = at(now);
                double loud = 0;
                for (std::pair<const RunKey, HostRun>& run : host.runs) {
                    if (!run.second.filler)
                        continue;
                    run.second.usage = std::int64_t(10) * std::max(0, run.second.orderedPercent);
                    if (run.second.image == "loud")
                        loud += static_cast<double>(run.second.usage) / 10'000;
                }
                for (std::pair<const RunKey, HostRun>& run : host.runs) {
                    if (run.second.targetMilliseconds == 0)
                        continue;
                    const double headroom = run.second.image == "desk" ? 2.0 - truePressure * loud : 2.0;
                    run.second.usage = static_cast<std::int64_t>(150 / std::max(0.2, headroom));
                }
            }
            model.observe(at(now), hosts);
        }

        HostBook hosts;
        InterferenceModel model;
        PaceControl control;
    };

    void tellsTheNoisyPairWithinSeconds()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        CPPUNIT_ASSERT(world.model.pressure("desk", "loud") > 4);
        CPPUNIT_ASSERT(world.model.pressure("board", "loud") < 1);
        CPPUNIT_ASSERT(world.model.pressure("desk", "quiet") < 1);
    }

    void slowsOnlyWhatIsNoisy()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        Actions actions;
        Host& loud = world.hosts.hosts()["host-0"];
        Host& quiet = world.hosts.hosts()["host-1"];
        world.control.adjust(at(10'000), loud, actions);
        world.control.adjust(at(10'000), quiet, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loud.orders.paces.size());
        CPPUNIT_ASSERT(loud.orders.paces[0].percent < 100);
        CPPUNIT_ASSERT(quiet.orders.paces.empty());
    }

    void stopsEverythingWhenAnAlarmLasts()
    {
        World world;
        Host& host = world.hosts.hosts()["host-1"];
        for (int now = 3000; now < 8000; now += 500)
            world.list(now);
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.targetMilliseconds > 0)
                run.second.usage = 300;
        }
        Actions actions;
        host.alarmSince = at(8000);
        world.control.adjust(at(8100), host, actions);
        CPPUNIT_ASSERT(host.orders.paces.empty());
        world.control.adjust(at(8100) + PaceRules {}.alarmPatience, host, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.orders.paces.size());
        CPPUNIT_ASSERT_EQUAL(0, host.orders.paces[0].percent);
    }

    void raisesSlowly()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        Host& host = world.hosts.hosts()["host-0"];
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.filler)
                run.second.orderedPercent = 0;
            else
                run.second.usage = 20;
        }
        Actions actions;
        host.paceRaisedAt = at(9900);
        world.control.adjust(at(10'000), host, actions);
        CPPUNIT_ASSERT_MESSAGE("the figures do not show the last raise yet", host.orders.paces.empty());
        world.control.adjust(at(11'000), host, actions);
        CPPUNIT_ASSERT_EQUAL(PaceRules {}.largestRaise, host.orders.paces.at(0).percent);
    }

    void packsServingTasksByImage()
    {
        HostBook hosts;
        const InterferenceModel model;
        const PaceControl control(PaceRules {}, model);
        const Placement placement(PlacementRules {}, control);
        HostBook::addRun(addHost(hosts, "host-1"), serving("0000000000000001", 0, "board"));
        HostBook::addRun(addHost(hosts, "host-2"), serving("0000000000000002", 0, "desk"));
        addHost(hosts, "host-3");
        for (std::pair<const std::string, Host>& entry : hosts.hosts()) {
            entry.second.heardAt = at(100);
            entry.second.clockReadAt = at(100);
        }
        Wire::StepDefinition step = makeStep(1, 2000, 100);
        step.longRunning = true;
        step.targetMilliseconds = 150;
        step.image = "desk";
        const Wire::JobDefinition job = makeJob("0000000000000005", { step });
        const std::vector<RunPlace> none;
        const Host* host = placement.choose(hosts, PlacementRequest { job, step, 0, 0, none, {} }, at(100));
        CPPUNIT_ASSERT(host);
        CPPUNIT_ASSERT_EQUAL(std::string("host-2"), host->hostId);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PaceControlTest);
