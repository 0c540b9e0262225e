/// Tests PaceController and InterferenceModel with fillers beside serving tasks: the pressure of a filler image on a
/// serving image is learned within seconds, and only high-pressure fillers are slowed down.
#include "Decision/Placement/PaceController.h"
#include "Decision/Placement/Placement.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class PaceControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PaceControllerTest);
    CPPUNIT_TEST(identifiesTheHighPressurePairWithinSeconds);
    CPPUNIT_TEST(slowsOnlyHighPressureFillers);
    CPPUNIT_TEST(probesWhenATaskStaysOverItsTarget);
    CPPUNIT_TEST(slowsNoFillerForATaskThatAProbeExempted);
    CPPUNIT_TEST(keepsToAShorterInterferenceBound);
    CPPUNIT_TEST(doesNotSlowFillersThatServingTasksTolerate);
    CPPUNIT_TEST(keepsItsPressureEstimateWhenTailsAreCensored);
    CPPUNIT_TEST(raisesPacesSlowly);
    CPPUNIT_TEST(aFillerInheritsNoProbe);
    CPPUNIT_TEST(furtherImagesAreNotChargedToTheFirst);
    CPPUNIT_TEST(placesFillersWhereServingTasksKeepTheirHeadroom);
    CPPUNIT_TEST(placesNoFillerBesideAProbe);
    CPPUNIT_TEST(placesFillersToStayOnlyWhereHeadroomIsLeft);
    CPPUNIT_TEST(countsHeldFillersWithAllTheirProcessors);
    CPPUNIT_TEST(packsServingTasksByImage);
    CPPUNIT_TEST(avoidsASlowHostForServingTasks);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double actualPressure = 8;

    static HostRun makeServingRun(const std::string& jobId, int index, const std::string& image)
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
        run.placedAt = at(0);
        return run;
    }

    static HostRun makeFillerRun(const std::string& jobId, int index, const std::string& image)
    {
        HostRun run = makeServingRun(jobId, index, image);
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

    /// Three hosts with tasks of two serving images and fillers of two images. The filler image "loud" has a high
    /// pressure on the serving image "desk"; all other pressures are zero.
    struct Simulation {
        Simulation()
            : controller(PaceRules {}, model)
        {
            for (int n = 0; n < 3; ++n) {
                Host& host = addHost(hosts, "host-" + std::to_string(n));
                HostRegistry::addRun(host, makeServingRun("0000000000000001", n, "desk"));
                HostRegistry::addRun(host, makeServingRun("0000000000000002", n, "board"));
            }
            HostRegistry::addRun(hosts.hosts()["host-0"], makeFillerRun("0000000000000003", 0, "loud"));
            HostRegistry::addRun(hosts.hosts()["host-1"], makeFillerRun("0000000000000004", 0, "quiet"));
        }

        /// Sets the usage that all hosts list according to the actual pressures, and updates the model.
        void listHosts(int now)
        {
            for (std::pair<const std::string, Host>& entry : hosts.hosts()) {
                Host& host = entry.second;
                host.clockReadAt = at(now);
                host.lastContactAt = at(now);
                double highPressureLoad = 0;
                for (std::pair<const RunKey, HostRun>& run : host.runs) {
                    if (!run.second.filler)
                        continue;
                    run.second.usage = std::int64_t(10) * std::max(0, run.second.orderedPacePercent);
                    if (run.second.image == "loud")
                        highPressureLoad += static_cast<double>(run.second.usage) / 10'000;
                }
                for (std::pair<const RunKey, HostRun>& run : host.runs) {
                    if (run.second.targetMilliseconds == 0)
                        continue;
                    const double headroom = run.second.image == "desk" ? 2.0 - actualPressure * highPressureLoad : 2.0;
                    run.second.usage = static_cast<std::int64_t>(150 / std::max(0.2, headroom));
                }
            }
            model.updatePressures(at(now), hosts);
        }

        HostRegistry hosts;
        InterferenceModel model;
        PaceController controller;
    };

    void identifiesTheHighPressurePairWithinSeconds()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        CPPUNIT_ASSERT(simulation.model.pressure("desk", "loud") > 4);
        CPPUNIT_ASSERT(simulation.model.pressure("board", "loud") < 1);
        CPPUNIT_ASSERT(simulation.model.pressure("desk", "quiet") < 1);
    }

    void slowsOnlyHighPressureFillers()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        Actions actions;
        Host& highPressureHost = simulation.hosts.hosts()["host-0"];
        Host& lowPressureHost = simulation.hosts.hosts()["host-1"];
        simulation.controller.adjustPaces(at(10'000), highPressureHost, actions);
        simulation.controller.adjustPaces(at(10'000), lowPressureHost, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), highPressureHost.orders.paces.size());
        CPPUNIT_ASSERT(highPressureHost.orders.paces[0].percent < 100);
        CPPUNIT_ASSERT(lowPressureHost.orders.paces.empty());
    }

    /// Sets the tail latency of the serving tasks on the host, in milliseconds, and adjusts the paces.
    static void adjustWithTail(Simulation& simulation, Host& host, int now, std::int64_t tail)
    {
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.targetMilliseconds > 0)
                run.second.usage = tail;
        }
        Actions actions;
        host.orders.paces.clear();
        simulation.controller.adjustPaces(at(now), host, actions);
    }

    static int paceOf(const Host& host)
    {
        for (const std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.filler)
                return run.second.orderedPacePercent;
        }
        return -1;
    }

    void probesWhenATaskStaysOverItsTarget()
    {
        Simulation simulation;
        Host& host = simulation.hosts.hosts()["host-1"];
        for (int now = 3000; now < 8000; now += 500)
            simulation.listHosts(now);
        const int probeDelay = static_cast<int>(toMilliseconds(PaceRules {}.probeDelay));
        const int probeDuration = static_cast<int>(toMilliseconds(PaceRules {}.probeDuration));
        adjustWithTail(simulation, host, 8000, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a low-pressure filler is not slowed before the probe delay", 100, paceOf(host));
        adjustWithTail(simulation, host, 8000 + probeDelay, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all fillers are paused for the probe", 0, paceOf(host));
        adjustWithTail(simulation, host, 8000 + probeDelay + probeDuration - 100, 100);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the listed figures do not cover the probe yet", 0, paceOf(host));
        CPPUNIT_ASSERT_MESSAGE("the probe delay and 1 s for an old list and a slow order stay below the bound of 4 s",
            probeDelay + 1000 < 4000);
        adjustWithTail(simulation, host, 8000 + probeDelay + probeDuration, 100);
        CPPUNIT_ASSERT_EQUAL(100, paceOf(host));
    }

    void slowsNoFillerForATaskThatAProbeExempted()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        Host& host = simulation.hosts.hosts()["host-0"];
        const int probeDelay = static_cast<int>(toMilliseconds(PaceRules {}.probeDelay));
        const int probeDuration = static_cast<int>(toMilliseconds(PaceRules {}.probeDuration));
        const int exemptionDuration = static_cast<int>(toMilliseconds(PaceRules {}.exemptionDuration));
        adjustWithTail(simulation, host, 10'000, 300);
        adjustWithTail(simulation, host, 10'000 + probeDelay, 300);
        CPPUNIT_ASSERT_EQUAL(0, paceOf(host));
        // The task stays over its target although all co-located fillers are paused.
        int now = 10'000 + probeDelay + probeDuration;
        for (; paceOf(host) < 100 && now < 20'000; now += 500)
            adjustWithTail(simulation, host, now, 300);
        CPPUNIT_ASSERT(now <= 10'000 + probeDelay + probeDuration + 2000);
        now = 10'000 + probeDelay + probeDuration + exemptionDuration;
        adjustWithTail(simulation, host, now, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "a new probe follows the exemption, since the load of the task may have fallen", 0, paceOf(host));
    }

    void keepsToAShorterInterferenceBound()
    {
        const PaceRules standard = PaceRules::forInterferenceBound(seconds(4));
        CPPUNIT_ASSERT(standard.probeDelay == PaceRules {}.probeDelay);
        CPPUNIT_ASSERT(standard.exemptionDuration == PaceRules {}.exemptionDuration);
        const PaceRules strict = PaceRules::forInterferenceBound(seconds(2));
        const Duration listAndOrderDelay = milliseconds(600);
        CPPUNIT_ASSERT(strict.probeDelay + listAndOrderDelay < seconds(2));
        CPPUNIT_ASSERT(strict.exemptionDuration + listAndOrderDelay <= seconds(2));
    }

    void doesNotSlowFillersThatServingTasksTolerate()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        // Three high-pressure fillers run at full pace, with few processors, and the serving tasks tolerate them.
        Host& host = simulation.hosts.hosts()["host-0"];
        for (int n = 1; n < 3; ++n)
            HostRegistry::addRun(host, makeFillerRun("0000000000000003", n, "loud"));
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (!run.second.filler)
                continue;
            run.second.orderedPacePercent = 100;
            run.second.demand.milliProcessors = 300;
            run.second.usage = 300;
        }
        adjustWithTail(simulation, host, 11'000, 90);
        for (const std::pair<const RunKey, HostRun>& run : host.runs)
            CPPUNIT_ASSERT_EQUAL(100, run.second.orderedPacePercent);
    }

    void keepsItsPressureEstimateWhenTailsAreCensored()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        const double learnedPressure = simulation.model.pressure("desk", "loud");
        // Four times as many fillers: the tails are capped and no longer show the full pressure.
        Host& host = simulation.hosts.hosts()["host-0"];
        for (int n = 1; n < 4; ++n)
            HostRegistry::addRun(host, makeFillerRun("0000000000000003", n, "loud"));
        for (int now = 10'000; now < 16'000; now += 500)
            simulation.listHosts(now);
        CPPUNIT_ASSERT(simulation.model.pressure("desk", "loud") > 0.9 * learnedPressure);
    }

    void raisesPacesSlowly()
    {
        Simulation simulation;
        for (int now = 3000; now < 10'000; now += 500)
            simulation.listHosts(now);
        Host& host = simulation.hosts.hosts()["host-0"];
        for (std::pair<const RunKey, HostRun>& run : host.runs) {
            if (run.second.filler)
                run.second.orderedPacePercent = 0;
            else
                run.second.usage = 20;
        }
        Actions actions;
        host.paceRaisedAt = at(9900);
        simulation.controller.adjustPaces(at(10'000), host, actions);
        CPPUNIT_ASSERT_MESSAGE("the listed figures do not show the last raise yet", host.orders.paces.empty());
        simulation.controller.adjustPaces(at(11'000), host, actions);
        CPPUNIT_ASSERT_EQUAL(PaceRules {}.maximumRaisePercent, host.orders.paces.at(0).percent);
    }

    // Guards against a serving task that is exempted without a probe, or probed at once, because it was over its target
    // while no filler ran beside it.
    void aFillerInheritsNoProbe()
    {
        Simulation simulation;
        for (int now = 3000; now < 8000; now += 500)
            simulation.listHosts(now);
        Host& host = simulation.hosts.hosts()["host-1"];
        const int probeDelay = static_cast<int>(toMilliseconds(PaceRules {}.probeDelay));
        adjustWithTail(simulation, host, 8000, 300);
        adjustWithTail(simulation, host, 8000 + probeDelay, 300);
        CPPUNIT_ASSERT_MESSAGE("a probe has begun", host.probeUntil != Instant());
        HostRegistry::removeRun(host, runKey(makeTask("0000000000000004", 0, 0), 1));
        adjustWithTail(simulation, host, 8000 + probeDelay + 100, 300);
        CPPUNIT_ASSERT(host.probeUntil == Instant());
        HostRegistry::addRun(host, makeFillerRun("0000000000000004", 1, "quiet"));
        adjustWithTail(simulation, host, 30'000, 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("neither probe nor exemption", 100, paceOf(host));
        for (const std::pair<const RunKey, HostRun>& run : host.runs)
            CPPUNIT_ASSERT(run.second.slowdownExemptUntil == Instant());
    }

    // Guards against slowing the fillers of one image for the interference of images that the model has no room for.
    void furtherImagesAreNotChargedToTheFirst()
    {
        constexpr int trackedImages = 64;
        Simulation simulation;
        simulation.listHosts(3000);
        for (int n = 0; n < trackedImages; ++n)
            HostRegistry::addRun(
                simulation.hosts.hosts()["host-2"], makeFillerRun("0000000000000005", n, "image-" + std::to_string(n)));
        simulation.listHosts(3500);
        HostRegistry::addRun(
            simulation.hosts.hosts()["host-1"], makeFillerRun("0000000000000006", 0, "image-" + std::to_string(63)));
        const double before = simulation.model.pressure("desk", "loud");
        Host& host = simulation.hosts.hosts()["host-1"];
        for (int n = 0; n < 4; ++n)
            HostRegistry::addRun(host, makeFillerRun("0000000000000007", n, "image-" + std::to_string(63)));
        for (int now = 4000; now < 12'000; now += 500)
            simulation.listHosts(now);
        CPPUNIT_ASSERT(simulation.model.pressure("desk", "loud") >= before);
    }

    /// The host that a filler of the low-pressure image "quiet" is placed on.
    static std::string hostOfQuietFiller(Simulation& simulation)
    {
        const Placement placement(PlacementRules {}, simulation.controller);
        Wire::StepDefinition step = makeStep(1, 1000, 100);
        step.filler = true;
        step.image = "quiet";
        const Wire::JobDefinition job = makeJob("0000000000000008", { step });
        const std::vector<RunPlace> noPlaces;
        const Host* host
            = placement.chooseHost(simulation.hosts, PlacementRequest { job, step, 0, 0, noPlaces, {} }, at(10'000));
        CPPUNIT_ASSERT(host);
        return host->hostId;
    }

    // Guards against low-pressure fillers beside serving tasks that are near their target: together they take a task
    // over it at a rise of its load, and a probe then stops all fillers of the host.
    void placesFillersWhereServingTasksKeepTheirHeadroom()
    {
        Simulation simulation;
        for (int now = 3000; now <= 10'000; now += 500)
            simulation.listHosts(now);
        // host-2 has more idle processors than host-1, which runs a filler.
        for (std::pair<const std::string, Host>& entry : simulation.hosts.hosts())
            simulation.controller.refreshServingGroups(at(10'000), entry.second);
        CPPUNIT_ASSERT_EQUAL(std::string("host-2"), hostOfQuietFiller(simulation));
        Host& host = simulation.hosts.hosts()["host-2"];
        for (std::pair<const RunKey, HostRun>& run : host.runs)
            run.second.usage = 130;
        simulation.controller.refreshServingGroups(at(10'000), host);
        CPPUNIT_ASSERT_EQUAL(std::string("host-1"), hostOfQuietFiller(simulation));
    }

    // Guards against fillers that are stopped as soon as they start.
    void placesNoFillerBesideAProbe()
    {
        Simulation simulation;
        for (int now = 3000; now <= 10'000; now += 500)
            simulation.listHosts(now);
        for (std::pair<const std::string, Host>& entry : simulation.hosts.hosts())
            simulation.controller.refreshServingGroups(at(10'000), entry.second);
        CPPUNIT_ASSERT_EQUAL(std::string("host-2"), hostOfQuietFiller(simulation));
        simulation.hosts.hosts()["host-2"].probeUntil = at(11'000);
        CPPUNIT_ASSERT_EQUAL(std::string("host-1"), hostOfQuietFiller(simulation));
    }

    /// Whether a filler of the low-pressure image "quiet" may be placed on the host under the setting "stay".
    static bool mayStay(
        const Simulation& simulation, const Host& host, std::int64_t milliCores, bool hasWaitedLong = false)
    {
        const Placement placement(PlacementRules::forFillers(FillerPlacement::Stay), simulation.controller);
        Wire::StepDefinition step = makeStep(1, milliCores, 100);
        step.filler = true;
        step.image = "quiet";
        const Wire::JobDefinition job = makeJob("0000000000000008", { step });
        const std::vector<RunPlace> noPlaces;
        PlacementRequest request { job, step, 0, 0, noPlaces, {} };
        request.hasWaitedLong = hasWaitedLong;
        return placement.isEligible(host, request, at(10'000));
    }

    // Guards against fillers that are started beside serving tasks near their target, or beside a probe, where they
    // stand still a second later. One filler may try.
    void placesFillersToStayOnlyWhereHeadroomIsLeft()
    {
        constexpr std::int64_t milliCores = 500;
        Simulation simulation;
        for (int now = 3000; now <= 10'000; now += 500)
            simulation.listHosts(now);
        Host& host = simulation.hosts.hosts()["host-1"];
        const auto mayStayAtTail = [&simulation, &host](int tailMilliseconds) {
            for (std::pair<const RunKey, HostRun>& run : host.runs) {
                if (run.second.targetMilliseconds > 0)
                    run.second.usage = tailMilliseconds;
            }
            simulation.controller.refreshServingGroups(at(10'000), host);
            return mayStay(simulation, host, milliCores);
        };
        CPPUNIT_ASSERT(mayStayAtTail(40));
        CPPUNIT_ASSERT_MESSAGE("near the target beside a filler", !mayStayAtTail(120));
        CPPUNIT_ASSERT_MESSAGE("a filler must not wait for good", mayStay(simulation, host, milliCores, true));
        host.probeUntil = at(11'000);
        CPPUNIT_ASSERT_MESSAGE("beside a probe", !mayStayAtTail(40));
        host.probeUntil = Instant();
        std::erase_if(
            host.runs, [](const std::pair<const RunKey, HostRun>& run) { return run.second.targetMilliseconds == 0; });
        host.processorUse.fillers = 0;
        CPPUNIT_ASSERT_MESSAGE("near the target, as a single filler", mayStayAtTail(120));
        CPPUNIT_ASSERT_MESSAGE("over the target", !mayStayAtTail(160));
    }

    // Guards against hosts that get more fillers than they can run: those at a low pace seemed to leave processors
    // idle.
    void countsHeldFillersWithAllTheirProcessors()
    {
        Simulation simulation;
        Host& host = addHost(simulation.hosts, "host-9");
        host.lastContactAt = at(10'000);
        const std::int64_t idle = host.capacity.milliProcessors;
        HostRun& held = HostRegistry::addRun(host, makeFillerRun("0000000000000005", 0, "quiet"));
        held.acknowledgedPacePercent.reset();
        HostRegistry::setOrderedPace(host, held, 0);
        CPPUNIT_ASSERT(mayStay(simulation, host, idle - held.demand.milliProcessors));
        CPPUNIT_ASSERT(!mayStay(simulation, host, idle));
    }

    /// The host that a serving task of the image "desk" is placed on.
    static std::string hostOfServingTask(HostRegistry& hosts)
    {
        const InterferenceModel model;
        const PaceController controller(PaceRules {}, model);
        const Placement placement(PlacementRules {}, controller);
        Wire::StepDefinition step = makeStep(1, 2000, 100);
        step.longRunning = true;
        step.targetMilliseconds = 150;
        step.image = "desk";
        const Wire::JobDefinition job = makeJob("0000000000000005", { step });
        const std::vector<RunPlace> noPlaces;
        const Host* host = placement.chooseHost(hosts, PlacementRequest { job, step, 0, 0, noPlaces, {} }, at(100));
        CPPUNIT_ASSERT(host);
        return host->hostId;
    }

    // Guards against long-running tasks that are placed on slow hosts: scores of serving tasks can be negative.
    void avoidsASlowHostForServingTasks()
    {
        HostRegistry hosts;
        addHost(hosts, "host-1").health.slowness = 4;
        addHost(hosts, "host-2");
        for (std::pair<const std::string, Host>& entry : hosts.hosts())
            entry.second.lastContactAt = at(100);
        CPPUNIT_ASSERT_EQUAL(std::string("host-2"), hostOfServingTask(hosts));
    }

    void packsServingTasksByImage()
    {
        HostRegistry hosts;
        HostRegistry::addRun(addHost(hosts, "host-1"), makeServingRun("0000000000000001", 0, "board"));
        HostRegistry::addRun(addHost(hosts, "host-2"), makeServingRun("0000000000000002", 0, "desk"));
        addHost(hosts, "host-3");
        for (std::pair<const std::string, Host>& entry : hosts.hosts()) {
            entry.second.lastContactAt = at(100);
            entry.second.clockReadAt = at(100);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("host-2"), hostOfServingTask(hosts));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PaceControllerTest);
