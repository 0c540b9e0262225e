/// Tests that a pace counts as in force once the host has acknowledged it, and that an order which is lost, refused or
/// overtaken is sent again: HostAgent on the side, JobOwner and HostRegistry on the owner.
#include "Decision/Process/HostAgent.h"
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class PaceAcknowledgementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PaceAcknowledgementTest);
    CPPUNIT_TEST(anOrderLostWithTheConnectionIsSentAgain);
    CPPUNIT_TEST(anOrderThatAnEarlierSideLostIsSentAgain);
    CPPUNIT_TEST(anOrderThatIsNotAcknowledgedIsSentAgain);
    CPPUNIT_TEST(aLoweredPaceFreesNoRoomBeforeTheHostHasTakenIt);
    CPPUNIT_TEST(anAdoptedFillerOfUnknownPaceTakesRoom);
    CPPUNIT_TEST(anAdoptedFillerKeepsItsAcknowledgedPace);
    CPPUNIT_TEST(ordersCountAtOnceForSidesThatReportNoPaces);
    CPPUNIT_TEST(aRefusedOrderIsRepeated);
    CPPUNIT_TEST(anOrderToAHostThatDoesNotListenIsRepeated);
    CPPUNIT_TEST(anOrderThatAnotherIncarnationAnsweredIsRepeated);
    CPPUNIT_TEST(anOrderThatAnEarlierOneMayHaveOvertakenIsRepeated);
    CPPUNIT_TEST(aLateStartAnswerDoesNotOverrideALaterPace);
    CPPUNIT_TEST(ordersOfARunThatIsOverAreForgotten);
    CPPUNIT_TEST(anOrderOfAnEarlierFenceLeavesThePaceUnknown);
    CPPUNIT_TEST(aSideThatStartedAgainReportsUnknownPaces);
    CPPUNIT_TEST(anAcknowledgedPaceIsReportedWithoutAList);
    CPPUNIT_TEST(aListReportsAChangedPaceAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t fillerMilliCores = 1000;
    static constexpr int targetMilliseconds = 150;
    static constexpr int tailOverTarget = 300;
    static constexpr int listInterval = 100;

    static Wire::TaskName fillerTask() { return makeTask("00000000000000ff", 0, 0); }

    /// An owner with one host, on which a serving task is over its target beside a filler.
    struct Owner {
        Owner()
        {
            Wire::StepDefinition filler = makeStep(1, fillerMilliCores, 60'000);
            filler.filler = true;
            filler.image = "plan";
            harness.submit(0, makeJob(fillerTask().jobId, { filler }));
            Wire::StepDefinition serving = makeStep(1, 1000, 1000);
            serving.longRunning = true;
            serving.targetMilliseconds = targetMilliseconds;
            serving.image = "desk";
            harness.submit(0, makeJob(servingTask().jobId, { serving }));
        }

        static Wire::TaskName servingTask() { return makeTask("00000000000000aa", 0, 0); }

        /// The host lists both runs. The pace of the filler is as its side has it, if the side reports paces.
        void list(int now, std::optional<int> acknowledgedPercent, std::int64_t tail = tailOverTarget)
        {
            Wire::HostReport report = makeReport("host-1", 1, now);
            report.running = { makeRunningTask(servingTask(), 1), makeRunningTask(fillerTask(), 1) };
            report.running[0].usage = tail;
            report.running[1].usage = fillerMilliCores;
            if (acknowledgedPercent)
                report.running[1].__set_acknowledgedPacePercent(*acknowledgedPercent);
            harness.announceAndReport(now, report, link);
            harness.tick(now);
        }

        /// Lists until a probe stops the filler, and returns that time.
        int listUntilStopped(std::optional<int> acknowledgedPercent)
        {
            int now = 0;
            for (; now < 5000 && stopOrders() == 0; now += listInterval)
                list(now, acknowledgedPercent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("a probe has stopped the filler", 1, stopOrders());
            return now;
        }

        void loseConnection(int now)
        {
            harness.owner.onLinkDown(at(now), link);
            ++link;
        }

        int stopOrders() const
        {
            return static_cast<int>(std::count_if(harness.paceOrders.begin(), harness.paceOrders.end(),
                [](const Wire::PaceOrder& order) { return order.percent == 0; }));
        }

        std::int64_t fillerUse() const { return harness.owner.state().hosts.hosts().at("host-1").processorUse.fillers; }

        OwnerHarness harness;
        LinkId link = testLink;
    };

    // Guards against a filler that goes on at full pace: the order to stop it was lost with the connection, and the
    // owner took it for carried out.
    void anOrderLostWithTheConnectionIsSentAgain()
    {
        Owner owner;
        int now = owner.listUntilStopped(100);
        owner.loseConnection(now);
        now += listInterval;
        owner.list(now, 100);
        CPPUNIT_ASSERT_EQUAL(2, owner.stopOrders());
        CPPUNIT_ASSERT_EQUAL(fillerMilliCores, owner.fillerUse());
    }

    // Guards against a filler that goes on at full pace: the side started again before it had carried out the order.
    void anOrderThatAnEarlierSideLostIsSentAgain()
    {
        Owner owner;
        int now = owner.listUntilStopped(100);
        owner.loseConnection(now);
        now += listInterval;
        owner.list(now, -1);
        CPPUNIT_ASSERT_EQUAL(2, owner.stopOrders());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the pace is unknown", fillerMilliCores, owner.fillerUse());
        owner.list(now + listInterval, 0);
        CPPUNIT_ASSERT_EQUAL(2, owner.stopOrders());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), owner.fillerUse());
    }

    // Guards against a filler that goes on at full pace because its side passed over the order, and against an order
    // with each list.
    void anOrderThatIsNotAcknowledgedIsSentAgain()
    {
        Owner owner;
        const int stoppedAt = owner.listUntilStopped(100);
        const int probeDuration = static_cast<int>(toMilliseconds(PaceRules {}.probeDuration));
        for (int now = stoppedAt; now < stoppedAt + probeDuration - listInterval; now += listInterval)
            owner.list(now, 100);
        CPPUNIT_ASSERT_EQUAL(2, owner.stopOrders());
    }

    // Guards against work that is placed on processors which a filler still uses.
    void aLoweredPaceFreesNoRoomBeforeTheHostHasTakenIt()
    {
        Owner owner;
        const int now = owner.listUntilStopped(100);
        CPPUNIT_ASSERT_EQUAL(fillerMilliCores, owner.fillerUse());
        owner.list(now, 100);
        CPPUNIT_ASSERT_EQUAL(fillerMilliCores, owner.fillerUse());
        Wire::HostReport acknowledgement = makeReport("host-1", 1, now);
        acknowledgement.listed = false;
        acknowledgement.running.push_back(makeRunningTask(fillerTask(), 1));
        acknowledgement.running[0].__set_acknowledgedPacePercent(0);
        owner.harness.deliverReport(now + 10, acknowledgement);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), owner.fillerUse());
    }

    // Guards against a new owner that takes the processors of adopted fillers for idle.
    void anAdoptedFillerOfUnknownPaceTakesRoom()
    {
        for (const std::optional<int> reported : { std::optional<int>(), std::optional<int>(-1) }) {
            Wire::HostReport report = makeReport("host-1", 1, 0);
            report.running.push_back(makeRunningTask(fillerTask(), 1));
            if (reported)
                report.running[0].__set_acknowledgedPacePercent(*reported);
            OwnerState state("entry-1", 1, OwnerRules {}, at(0));
            Wire::StepDefinition filler = makeStep(1, fillerMilliCores, 60'000);
            filler.filler = true;
            state.jobs[fillerTask().jobId]
                = std::make_unique<JobState>(makeJob(fillerTask().jobId, { filler }), at(0), 0);
            state.openJobs[fillerTask().jobId] = state.jobs[fillerTask().jobId].get();
            state.jobs[fillerTask().jobId]->addDueOccurrences(at(0), 0);
            RunTracker runTracker(state);
            Actions actions;
            Wire::HostReport announcement = report;
            announcement.listed = false;
            announcement.running.clear();
            runTracker.onReport(at(0), testLink, announcement, actions);
            report.listFence = state.hosts.hosts().at("host-1").fence;
            runTracker.onReport(at(10), testLink, report, actions);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.hosts.hosts().at("host-1").runs.size());
            CPPUNIT_ASSERT_EQUAL(fillerMilliCores, state.hosts.hosts().at("host-1").processorUse.fillers);
        }
    }

    // Guards against a burst of orders, and of fillers let go, whenever the owner changes.
    void anAdoptedFillerKeepsItsAcknowledgedPace()
    {
        Owner owner;
        owner.list(0, 100, 50);
        owner.list(listInterval, 100, 50);
        CPPUNIT_ASSERT(owner.harness.paceOrders.empty());
        CPPUNIT_ASSERT_EQUAL(fillerMilliCores, owner.fillerUse());
    }

    // Guards against orders without end to sides of earlier versions, which report no paces.
    void ordersCountAtOnceForSidesThatReportNoPaces()
    {
        Owner owner;
        const int stoppedAt = owner.listUntilStopped(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), owner.fillerUse());
        const int probeDuration = static_cast<int>(toMilliseconds(PaceRules {}.probeDuration));
        for (int now = stoppedAt; now < stoppedAt + probeDuration - listInterval; now += listInterval)
            owner.list(now, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(1, owner.stopOrders());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), owner.fillerUse());
    }

    static HostResponse makeResponse(HostAnswer answer, const std::string& reason = {})
    {
        HostResponse response;
        response.answer = answer;
        response.reason = reason;
        return response;
    }

    /// A list of a host that runs the filler.
    static HostResponse makeList(bool isRunning = true)
    {
        HostResponse response = makeResponse(HostAnswer::Done);
        response.incarnation = 1;
        if (isRunning)
            response.running.push_back(makeRunningTask(fillerTask(), 1));
        return response;
    }

    /// A side with a host that has been listed, connected to the owner of term 4.
    struct Side {
        Side()
            : agent(NodeIdentity { "side-1", 1, "127.0.0.1", 1 }, HostAgentTiming {})
        {
            Actions actions;
            agent.tick(at(0), actions);
            Wire::OwnerClaim claim;
            claim.nodeId = "entry-1";
            claim.address = "127.0.0.1";
            claim.port = 9;
            NewestResponse newest;
            newest.answered = true;
            newest.records.push_back(StoreRecord { "owner", Wire::encode(claim), 3 });
            agent.onNewestResponse(at(1), actionsOf<ReadNewest>(actions).at(0).callId, newest, actions);
            agent.tick(at(2), actions);
            link = actionsOf<OpenLink>(actions).at(0).link;
            agent.onLinkUp(at(3), link, actions);
            HostDescription description;
            description.hostId = "host-1";
            description.incarnation = 1;
            description.service = "desk";
            description.sequence = 1;
            agent.onAnnouncement(at(4), description, actions);
            sendOrders(5, makeOrders());
            // The first list inquires whether the announced host is beside the side.
            answerList(6, makeList());
            answerList(7, makeList());
        }

        static Wire::HostOrders makeOrders(std::int64_t fence = 4 * fencesPerTerm)
        {
            Wire::HostOrders orders;
            orders.term = 4;
            orders.fence = fence;
            orders.hostId = "host-1";
            orders.incarnation = 1;
            orders.leaseUntilMilliseconds = 9000;
            orders.acceptsChanges = true;
            return orders;
        }

        Actions sendOrders(int now, const Wire::HostOrders& orders)
        {
            Actions actions;
            agent.onMessage(at(now), link, orders, actions);
            return actions;
        }

        SetPaceOnHost orderPace(int now, int percent)
        {
            Wire::HostOrders orders = makeOrders();
            Wire::PaceOrder pace;
            pace.task = fillerTask();
            pace.run = 1;
            pace.percent = percent;
            orders.paces.push_back(pace);
            const std::vector<SetPaceOnHost> calls = actionsOf<SetPaceOnHost>(sendOrders(now, orders));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), calls.size());
            return calls[0];
        }

        /// Ticks every 10 ms. Lists are answered at once, and so are pace calls. Returns the number of pace calls.
        int run(int from, int until, const HostResponse& list, const HostResponse& paceAnswer)
        {
            int calls = 0;
            for (int now = from; now < until; now += 10) {
                // The owner is heard from, so the connection stays up.
                Actions actions = sendOrders(now, makeOrders(fence));
                agent.tick(at(now), actions);
                reports.push_back(messagesOf<Wire::HostReport>(actions));
                for (const ListHost& call : actionsOf<ListHost>(actions)) {
                    Actions more;
                    agent.onListResponse(at(now), call, list, more);
                    reports.push_back(messagesOf<Wire::HostReport>(more));
                }
                for (const SetPaceOnHost& call : actionsOf<SetPaceOnHost>(actions)) {
                    Actions more;
                    agent.onPaceResponse(at(now), call, paceAnswer, more);
                    ++calls;
                }
            }
            return calls;
        }

        void answerList(int now, const HostResponse& response)
        {
            Actions actions;
            agent.tick(at(now), actions);
            for (const ListHost& call : actionsOf<ListHost>(actions)) {
                Actions more;
                agent.onListResponse(at(now), call, response, more);
                reports.push_back(messagesOf<Wire::HostReport>(more));
            }
        }

        void answerPace(int now, const SetPaceOnHost& call, const HostResponse& response)
        {
            Actions actions;
            agent.onPaceResponse(at(now), call, response, actions);
            for (const SetPaceOnHost& more : actionsOf<SetPaceOnHost>(actions))
                callsAfterAnswers.push_back(more);
        }

        /// The newest reported pace of the filler; nothing if none was reported.
        std::optional<int> reportedPace() const
        {
            std::optional<int> percent;
            for (const std::vector<Wire::HostReport>& sent : reports) {
                for (const Wire::HostReport& report : sent) {
                    for (const Wire::RunningTask& row : report.running) {
                        if (row.__isset.acknowledgedPacePercent)
                            percent = row.acknowledgedPacePercent;
                    }
                }
            }
            return percent;
        }

        HostAgent agent;
        LinkId link = noLink;
        std::int64_t fence = 4 * fencesPerTerm;
        std::vector<std::vector<Wire::HostReport>> reports;
        std::vector<SetPaceOnHost> callsAfterAnswers;
    };

    // Guards against a filler that goes on at full pace because its host, which was unwell, refused the order to stop
    // it, and against a storm of calls to such a host.
    void aRefusedOrderIsRepeated()
    {
        Side side;
        side.answerPace(11, side.orderPace(10, 0), makeResponse(HostAnswer::Refused, "status_503"));
        const int calls = side.run(20, 3020, makeList(), makeResponse(HostAnswer::Refused, "status_503"));
        CPPUNIT_ASSERT(calls >= 3);
        CPPUNIT_ASSERT_MESSAGE("calls become rarer", calls <= 7);
        CPPUNIT_ASSERT(side.reportedPace() != 0);
        CPPUNIT_ASSERT_EQUAL(1, side.run(3020, 6000, makeList(), makeResponse(HostAnswer::Done)));
        CPPUNIT_ASSERT(side.reportedPace() == 0);
    }

    // Guards against a filler that goes on at full pace because its host accepted no connection when it was to stop.
    void anOrderToAHostThatDoesNotListenIsRepeated()
    {
        Side side;
        side.answerPace(11, side.orderPace(10, 0), makeResponse(HostAnswer::NotListening));
        const HostResponse notListening = makeResponse(HostAnswer::NotListening);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "lists find out when the host listens", 0, side.run(20, 3020, notListening, notListening));
        CPPUNIT_ASSERT_EQUAL(1, side.run(3020, 4000, makeList(), makeResponse(HostAnswer::Done)));
        CPPUNIT_ASSERT(side.reportedPace() == 0);
    }

    // Guards against a pace that is taken for set because another life of the host answered the call.
    void anOrderThatAnotherIncarnationAnsweredIsRepeated()
    {
        HostResponse ofOtherLife = makeResponse(HostAnswer::Done);
        ofOtherLife.incarnation = 2;
        for (const HostResponse& answer : { makeResponse(HostAnswer::OtherIncarnation), ofOtherLife }) {
            Side side;
            side.answerPace(11, side.orderPace(10, 0), answer);
            CPPUNIT_ASSERT(side.reportedPace() != 0);
            CPPUNIT_ASSERT_EQUAL(1, side.run(20, 1000, makeList(), makeResponse(HostAnswer::Done)));
            CPPUNIT_ASSERT(side.reportedPace() == 0);
        }
    }

    // Guards against a filler at an earlier pace: two orders were under way at the same time, and the host carried out
    // the earlier one last.
    void anOrderThatAnEarlierOneMayHaveOvertakenIsRepeated()
    {
        Side side;
        const SetPaceOnHost earlier = side.orderPace(10, 100);
        const SetPaceOnHost later = side.orderPace(11, 0);
        side.answerPace(12, later, makeResponse(HostAnswer::Done));
        side.run(20, 40, makeList(), makeResponse(HostAnswer::Done));
        CPPUNIT_ASSERT(side.reportedPace() != 0);
        side.answerPace(40, earlier, makeResponse(HostAnswer::Done));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), side.callsAfterAnswers.size());
        CPPUNIT_ASSERT_EQUAL(0, side.callsAfterAnswers[0].order.percent);
        side.answerPace(45, side.callsAfterAnswers[0], makeResponse(HostAnswer::Done));
        side.run(50, 60, makeList(), makeResponse(HostAnswer::Done));
        CPPUNIT_ASSERT(side.reportedPace() == 0);
    }

    // Guards against a filler that goes on although it was stopped: a list showed its run before the host's answer to
    // the start arrived, which then set the pace of the start order.
    void aLateStartAnswerDoesNotOverrideALaterPace()
    {
        Side side;
        Wire::HostOrders orders = Side::makeOrders();
        Wire::StartOrder start;
        start.task = fillerTask();
        start.run = 1;
        start.percent = 40;
        orders.starts.push_back(start);
        const StartOnHost call = actionsOf<StartOnHost>(side.sendOrders(10, orders)).at(0);
        side.answerPace(21, side.orderPace(20, 0), makeResponse(HostAnswer::Done));
        Actions actions;
        side.agent.onStartResponse(at(30), call, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), actionsOf<SetPaceOnHost>(actions).size());
        side.reports.push_back(messagesOf<Wire::HostReport>(actions));
        side.run(40, 100, makeList(), makeResponse(HostAnswer::Done));
        CPPUNIT_ASSERT(side.reportedPace() == 0);
    }

    // Guards against calls without end for a run that is over.
    void ordersOfARunThatIsOverAreForgotten()
    {
        Side side;
        side.answerPace(11, side.orderPace(10, 0), makeResponse(HostAnswer::Refused, "status_503"));
        CPPUNIT_ASSERT(side.run(20, 5000, makeList(false), makeResponse(HostAnswer::Refused, "status_503")) <= 1);
        Side other;
        other.answerPace(11, other.orderPace(10, 0), makeResponse(HostAnswer::Uncertain));
        CPPUNIT_ASSERT(other.run(20, 5000, makeList(false), makeResponse(HostAnswer::Uncertain)) <= 1);
    }

    // Guards against an order that a side repeats although the owner, which has connected again, does not count on it.
    void anOrderOfAnEarlierFenceLeavesThePaceUnknown()
    {
        Side side;
        side.answerPace(11, side.orderPace(10, 40), makeResponse(HostAnswer::Done));
        side.run(20, 40, makeList(), makeResponse(HostAnswer::Done));
        CPPUNIT_ASSERT(side.reportedPace() == 40);
        side.answerPace(750, side.orderPace(50, 0), makeResponse(HostAnswer::Uncertain));
        side.fence += fencesPerOwnerFence;
        side.sendOrders(760, Side::makeOrders(side.fence));
        CPPUNIT_ASSERT_EQUAL(0, side.run(770, 2000, makeList(), makeResponse(HostAnswer::Done)));
        CPPUNIT_ASSERT(side.reportedPace() == -1);
    }

    // Guards against a side that reports full pace for runs which an earlier process of the side slowed down.
    void aSideThatStartedAgainReportsUnknownPaces()
    {
        Side side;
        CPPUNIT_ASSERT(side.reportedPace() == -1);
    }

    // Guards against room that stays taken until the next list, which the host may delay by half a second.
    void anAcknowledgedPaceIsReportedWithoutAList()
    {
        Side side;
        Actions actions;
        side.agent.tick(at(9), actions);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a list is in flight", std::size_t(1), actionsOf<ListHost>(actions).size());
        side.answerPace(11, side.orderPace(10, 0), makeResponse(HostAnswer::Done));
        Actions more;
        side.agent.tick(at(20), more);
        const std::vector<Wire::HostReport> reports = messagesOf<Wire::HostReport>(more);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT(!reports[0].listed && reports[0].changesOnly);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports[0].running.size());
        CPPUNIT_ASSERT_EQUAL(0, reports[0].running[0].acknowledgedPacePercent);
        Actions later;
        side.agent.tick(at(30), later);
        CPPUNIT_ASSERT_MESSAGE("each pace is reported once", messagesOf<Wire::HostReport>(later).empty());
    }

    // Guards against an owner that keeps an outdated pace because nothing else of the run has changed.
    void aListReportsAChangedPaceAtOnce()
    {
        ReportedRuns reported;
        Wire::HostReport report = makeReport("host-1", 1, 100);
        report.running.push_back(makeRunningTask(fillerTask(), 1));
        report.running[0].__set_acknowledgedPacePercent(100);
        const Wire::HostReport first = report;
        reported.reduce(at(0), report);
        report = first;
        report.running[0].__set_acknowledgedPacePercent(0);
        CPPUNIT_ASSERT(reported.reduce(at(10), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PaceAcknowledgementTest);
