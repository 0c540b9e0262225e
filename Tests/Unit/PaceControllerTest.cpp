/// Noisy fillers beside serving tasks: pairs are told apart within seconds, and only what is noisy is slowed down.
#include "Decision/Job/PaceController.h"
#include "Decision/Job/Placement.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class PaceControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PaceControllerTest);
    CPPUNIT_TEST(tellsTheNoisyPairWithinSeconds);
    CPPUNIT_TEST(slowsOnlyWhatIsNoisy);
    CPPUNIT_TEST(probesWhenATaskStaysOverItsTarget);
    CPPUNIT_TEST(holdsNothingBackForATaskThatAProbeAcquitted);
    CPPUNIT_TEST(keepsToAShorterBoundOfHarm);
    CPPUNIT_TEST(doesNotTakeWhatItAllotsForAnAlarm);
    CPPUNIT_TEST(learnsNothingTooSmallFromCensoredTails);
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

    static Host& addHost(HostRegistry& hosts, const std::string& hostId)
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
                HostRegistry::addRun(host, serving("0000000000000001", n, "desk"));
                HostRegistry::addRun(host, serving("0000000000000002", n, "board"));
            }
            HostRegistry::addRun(hosts.hosts()["host-0"], filler("0000000000000003", 0, "loud"));
            HostRegistry::addRun(hosts.hosts()["host-1"], filler("0000000000000004", 0, "quiet"));
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

        HostRegistry hosts;
        InterferenceModel model;
        PaceController control;
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

    /// Lists the host with its serving tasks at this tail and lets the control work.
    static void listWithTail(World& world, Host& host, int now, std::int64_t tail)
    {
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.targetMilliseconds > 0)
                run.second.usage = tail;
        }
        Actions actions;
        host.orders.paces.clear();
        world.control.adjust(at(now), host, actions);
    }

    static int paceOf(const Host& host)
    {
        for (const std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.filler)
                return run.second.orderedPercent;
        }
        return -1;
    }

    void probesWhenATaskStaysOverItsTarget()
    {
        World world;
        Host& host = world.hosts.hosts()["host-1"];
        for (int now = 3000; now < 8000; now += 500)
            world.list(now);
        const int patience = static_cast<int>(toMilliseconds(PaceRules {}.alarmPatience));
        const int probe = static_cast<int>(toMilliseconds(PaceRules {}.probe));
        listWithTail(world, host, 8000, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a quiet filler is not suspected at once", 100, paceOf(host));
        listWithTail(world, host, 8000 + patience, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("everything stands still", 0, paceOf(host));
        listWithTail(world, host, 8000 + patience + probe - 100, 100);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("figures are not of the probe yet", 0, paceOf(host));
        CPPUNIT_ASSERT_MESSAGE(
            "with an old list and an order that takes its time below the bound", patience + 1000 < 4000);
        listWithTail(world, host, 8000 + patience + probe, 100);
        CPPUNIT_ASSERT_EQUAL(100, paceOf(host));
    }

    void holdsNothingBackForATaskThatAProbeAcquitted()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        Host& host = world.hosts.hosts()["host-0"];
        const int patience = static_cast<int>(toMilliseconds(PaceRules {}.alarmPatience));
        const int probe = static_cast<int>(toMilliseconds(PaceRules {}.probe));
        const int acquittal = static_cast<int>(toMilliseconds(PaceRules {}.acquittal));
        listWithTail(world, host, 10'000, 300);
        listWithTail(world, host, 10'000 + patience, 300);
        CPPUNIT_ASSERT_EQUAL(0, paceOf(host));
        // Still over its target with nothing beside it.
        int now = 10'000 + patience + probe;
        for (; paceOf(host) < 100 && now < 20'000; now += 500)
            listWithTail(world, host, now, 300);
        CPPUNIT_ASSERT(now <= 10'000 + patience + probe + 2000);
        now = 10'000 + patience + probe + acquittal;
        listWithTail(world, host, now, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its load may have fallen: probed anew", 0, paceOf(host));
    }

    void keepsToAShorterBoundOfHarm()
    {
        const PaceRules usual = PaceRules::within(seconds(4));
        CPPUNIT_ASSERT(usual.alarmPatience == PaceRules {}.alarmPatience);
        CPPUNIT_ASSERT(usual.acquittal == PaceRules {}.acquittal);
        const PaceRules strict = PaceRules::within(seconds(2));
        const Duration listAndOrder = milliseconds(600);
        CPPUNIT_ASSERT(strict.alarmPatience + listAndOrder < seconds(2));
        CPPUNIT_ASSERT(strict.acquittal + listAndOrder <= seconds(2));
    }

    void doesNotTakeWhatItAllotsForAnAlarm()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        // Three loud fillers that run already and that the serving tasks bear.
        Host& host = world.hosts.hosts()["host-0"];
        for (int n = 1; n < 3; ++n)
            HostRegistry::addRun(host, filler("0000000000000003", n, "loud"));
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (!run.second.filler)
                continue;
            run.second.orderedPercent = 100;
            run.second.demand.milliProcessors = 300;
            run.second.usage = 300;
        }
        listWithTail(world, host, 11'000, 90);
        for (const std::pair<const RunKey, HostRun>& run : host.runs)
            CPPUNIT_ASSERT_EQUAL(100, run.second.orderedPercent);
    }

    void learnsNothingTooSmallFromCensoredTails()
    {
        World world;
        for (int now = 3000; now < 10'000; now += 500)
            world.list(now);
        const double learnt = world.model.pressure("desk", "loud");
        // Four times as much filler, and tails that cannot show it any more.
        Host& host = world.hosts.hosts()["host-0"];
        for (int n = 1; n < 4; ++n)
            HostRegistry::addRun(host, filler("0000000000000003", n, "loud"));
        for (int now = 10'000; now < 16'000; now += 500)
            world.list(now);
        CPPUNIT_ASSERT(world.model.pressure("desk", "loud") > 0.9 * learnt);
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
        HostRegistry hosts;
        const InterferenceModel model;
        const PaceController control(PaceRules {}, model);
        const Placement placement(PlacementRules {}, control);
        HostRegistry::addRun(addHost(hosts, "host-1"), serving("0000000000000001", 0, "board"));
        HostRegistry::addRun(addHost(hosts, "host-2"), serving("0000000000000002", 0, "desk"));
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
CPPUNIT_TEST_SUITE_REGISTRATION(PaceControllerTest);
