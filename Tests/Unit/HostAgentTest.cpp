/// Tests HostAgent, the decisions of a side: it carries out each order once, reports no run as absent that may still
/// begin, and starts nothing on a draining host.
#include "Decision/Process/HostAgent.h"
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <set>

using namespace Plantainpier;

class HostAgentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostAgentTest);
    CPPUNIT_TEST(anUnansweredStartIsHaltedBeforeItIsReportedAbsent);
    CPPUNIT_TEST(aListThatOmitsEndsDoesNotMakeARunAbsent);
    CPPUNIT_TEST(startsNothingOnADrainingHost);
    CPPUNIT_TEST(reportsTheTimeLeftUntilTheHostShutsDown);
    CPPUNIT_TEST(reportsAChangeOfZone);
    CPPUNIT_TEST(ignoresOrdersOfAnEarlierTerm);
    CPPUNIT_TEST(ignoresALateAnnouncement);
    CPPUNIT_TEST(refusedConnectionsDoNotEndTheHost);
    CPPUNIT_TEST(aHostThatRefusesConnectionsEndsWithItsLeases);
    CPPUNIT_TEST(ordersForALaterIncarnationDoNotEndIt);
    CPPUNIT_TEST(repeatsAnUnansweredPaceOrder);
    CPPUNIT_TEST(aHostThatMayHaveRestartedGetsNoLeaseOfAnEarlierIncarnation);
    CPPUNIT_TEST(aListOfAnEarlierFenceIsNotReported);
    CPPUNIT_TEST(aStartThatALaterIncarnationAnswersIsNotReported);
    CPPUNIT_TEST(aStartResponseThatAListOvertookDoesNotEndTheHost);
    CPPUNIT_TEST(aStartRefusedAsOldIsHalted);
    CPPUNIT_TEST(ordersLeaveConnectionsOfTheHostUnused);
    CPPUNIT_TEST(haltsPassStartsThatTheHostLeavesUnanswered);
    CPPUNIT_TEST(pacesPassStartsThatWait);
    CPPUNIT_TEST(aHaltDropsTheStartThatWaits);
    CPPUNIT_TEST(startsThatWaitAreRefusedOnceTheHostDrains);
    CPPUNIT_TEST(anAnnouncementRevokesADepartureNotice);
    CPPUNIT_TEST(aDepartureNoticeEndsADrainingHostOnceThePortIsClosed);
    CPPUNIT_TEST(anAnnouncementOfAnotherHostEndsNoLivingHost);
    CPPUNIT_TEST(aCandidateThatAnswersReplacesTheHost);
    CPPUNIT_TEST(aCandidateThatDoesNotAnswerIsAskedAgain);
    CPPUNIT_TEST(aListOfTheHostSettlesAnAnnouncement);
    CPPUNIT_TEST(aHostIsReportedOnceItHasAnswered);
    CPPUNIT_TEST(aDrainingHostIsAcknowledgedBySidesThatKnowItOnly);
    CPPUNIT_TEST(startsAndAcknowledgesNothingUntilACandidateIsSettled);
    CPPUNIT_TEST(aLateListOfTheHostLeavesACandidateUnsettled);
    CPPUNIT_TEST(aHostIsFoundAfterALateAnnouncementOfItsEarlierIncarnation);
    CPPUNIT_TEST(anUnlistedIncarnationLeavesNoLeaseAndAcknowledgement);
    CPPUNIT_TEST(anAnnouncementUnderTheHostsIdKeepsItsService);
    CPPUNIT_TEST(aDrainingHostOfAnEarlierTimeIsNotAcknowledged);
    CPPUNIT_TEST(aDrainingAnnouncementBelowTheNewestSequenceCounts);
    CPPUNIT_TEST(aPassedOverAnnouncementLetsTheHostKeepItsLease);
    CPPUNIT_TEST(connectsAnewWhenTheHostKeepsRefusingItsFence);
    CPPUNIT_TEST(aHostThatEndedWithoutAnOwnerIsReportedToTheNext);
    CPPUNIT_TEST(anEndedIncarnationIsNotReportedBesideTheNextOne);
    CPPUNIT_TEST(ordersOfAnUncertainOwnerWaitForACheck);
    CPPUNIT_TEST(ordersAreCarriedOutWhenNoCheckIsAnswered);
    CPPUNIT_TEST(ordersAreDroppedWhenACheckShowsALaterClaim);
    CPPUNIT_TEST_SUITE_END();

    static HostDescription describeHost(std::int64_t incarnation, std::int64_t sequence)
    {
        HostDescription description;
        description.hostId = "host-1";
        description.incarnation = incarnation;
        description.service = "desk";
        description.sequence = sequence;
        return description;
    }

    static HostResponse makeResponse(HostAnswer answer)
    {
        HostResponse response;
        response.answer = answer;
        return response;
    }

    /// An agent with a host and a connection to the owner of term 4.
    struct Harness {
        explicit Harness(bool isHostListed = true)
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
            if (!isHostListed)
                return;
            agent.onAnnouncement(at(4), describeHost(1, 1), actions);
            HostResponse listed = makeResponse(HostAnswer::Done);
            listed.incarnation = 1;
            agent.onListResponse(at(5), actionsOf<ListHost>(tick(4)).at(0), listed, actions);
        }

        Actions sendOrders(int now, const Wire::HostOrders& orders)
        {
            Actions actions;
            agent.onMessage(at(now), link, orders, actions);
            return actions;
        }

        Actions tick(int now)
        {
            Actions actions;
            agent.tick(at(now), actions);
            return actions;
        }

        static Wire::HostOrders makeStartOrders(std::int64_t term)
        {
            Wire::HostOrders orders;
            orders.term = term;
            orders.fence = term * fencesPerTerm;
            orders.hostId = "host-1";
            orders.incarnation = 1;
            orders.leaseUntilMilliseconds = 9000;
            Wire::StartOrder start;
            start.task = makeTask("00000000000000aa", 0, 0);
            start.run = 1;
            start.percent = 100;
            orders.starts.push_back(start);
            return orders;
        }

        HostAgent agent;
        LinkId link = noLink;
    };

    static bool reportsAbsent(const Actions& actions)
    {
        for (const Wire::HostReport& report : messagesOf<Wire::HostReport>(actions)) {
            for (const Wire::OrderResult& result : report.results) {
                if (result.outcome == Wire::OrderOutcome::Absent)
                    return true;
            }
        }
        return false;
    }

    void anUnansweredStartIsHaltedBeforeItIsReportedAbsent()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.sendOrders(10, Harness::makeStartOrders(4))).at(0);
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onStartResponse(at(700), start, makeResponse(HostAnswer::Uncertain), actions);
        CPPUNIT_ASSERT(!reportsAbsent(actions));
        const HaltOnHost halt = actionsOf<HaltOnHost>(actions).at(0);
        harness.agent.onHaltResponse(at(705), halt, makeResponse(HostAnswer::Done), actions);
        harness.agent.onListResponse(at(706), before, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT_MESSAGE("the list was requested before the halt", !reportsAbsent(actions));
        const ListHost after = actionsOf<ListHost>(harness.tick(800)).at(0);
        harness.agent.onListResponse(at(805), after, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(reportsAbsent(actions));
    }

    // Guards against a second run of a task that has ended: the host lists only part of its ends at first, without the
    // end of this run.
    void aListThatOmitsEndsDoesNotMakeARunAbsent()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.sendOrders(10, Harness::makeStartOrders(4))).at(0);
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onStartResponse(at(700), start, makeResponse(HostAnswer::Uncertain), actions);
        const HaltOnHost halt = actionsOf<HaltOnHost>(actions).at(0);
        harness.agent.onHaltResponse(at(705), halt, makeResponse(HostAnswer::Done), actions);
        harness.agent.onListResponse(at(706), before, makeResponse(HostAnswer::Done), actions);
        HostResponse partialList = makeResponse(HostAnswer::Done);
        partialList.isIncomplete = true;
        const ListHost first = actionsOf<ListHost>(harness.tick(800)).at(0);
        harness.agent.onListResponse(at(805), first, partialList, actions);
        CPPUNIT_ASSERT_MESSAGE("the end may come with the next list", !reportsAbsent(actions));
        const ListHost second = actionsOf<ListHost>(harness.tick(900)).at(0);
        harness.agent.onListResponse(at(905), second, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(reportsAbsent(actions));
    }

    void startsNothingOnADrainingHost()
    {
        Harness harness;
        HostDescription leaving = describeHost(1, 2);
        leaving.draining = true;
        Actions actions;
        harness.agent.onAnnouncement(at(5), leaving, actions);
        const Actions after = harness.sendOrders(10, Harness::makeStartOrders(4));
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(after).empty());
        CPPUNIT_ASSERT_EQUAL(
            Wire::OrderOutcome::Refused, messagesOf<Wire::HostReport>(after).at(0).results.at(0).outcome);
    }

    // Guards against an owner that takes over while a host drains and takes the announced time for the time left.
    void reportsTheTimeLeftUntilTheHostShutsDown()
    {
        Harness harness;
        HostDescription draining = describeHost(1, 2);
        draining.draining = true;
        draining.remainingMilliseconds = 4500;
        Actions announced;
        harness.agent.onAnnouncement(at(100), draining, announced);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4500), messagesOf<Wire::HostReport>(announced).at(0).remainingMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::string("side-1@127.0.0.1"), messagesOf<Wire::HostReport>(announced).at(0).sideId);
        Actions greeted;
        harness.agent.onMessage(at(1100), harness.link, Wire::NodeHello(), greeted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3500), messagesOf<Wire::HostReport>(greeted).at(0).remainingMilliseconds);
        Actions late;
        harness.agent.onMessage(at(9000), harness.link, Wire::NodeHello(), late);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), messagesOf<Wire::HostReport>(late).at(0).remainingMilliseconds);
    }

    // Guards against an owner that starts tasks on a host by the zone that it had before: later lists omit the zone.
    void reportsAChangeOfZone()
    {
        Harness harness;
        HostDescription moved = describeHost(1, 2);
        moved.zone = "north";
        Actions announced;
        harness.agent.onAnnouncement(at(100), moved, announced);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), messagesOf<Wire::HostReport>(announced).size());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), messagesOf<Wire::HostReport>(announced).at(0).zone);
        CPPUNIT_ASSERT(!messagesOf<Wire::HostReport>(announced).at(0).changesOnly);
    }

    void ignoresOrdersOfAnEarlierTerm()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(harness.sendOrders(11, Harness::makeStartOrders(3))).empty());
    }

    void ignoresALateAnnouncement()
    {
        Harness harness;
        Actions actions;
        harness.agent.onAnnouncement(at(10), describeHost(2, 1), actions);
        harness.agent.onListResponse(at(12), inquiryOf(harness.tick(11), "host-1", 2), makeList(2), actions);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, messagesOf<Wire::HostReport>(actions).at(0).state);
        Actions late;
        harness.agent.onAnnouncement(at(20), describeHost(1, 9), late);
        harness.agent.tick(at(21), late);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(late).empty());
        for (const ListHost& list : actionsOf<ListHost>(late))
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2), list.incarnation);
    }

    /// Answers the list that is due at this time with a refused connection.
    static Actions refuseList(Harness& harness, int now)
    {
        Actions actions;
        harness.agent.onListResponse(
            at(now + 1), actionsOf<ListHost>(harness.tick(now)).at(0), makeResponse(HostAnswer::NotListening), actions);
        return actions;
    }

    // Guards against a second run of a running task: a host at its limit of connections refuses new ones while its runs
    // continue.
    void refusedConnectionsDoNotEndTheHost()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        const std::vector<Wire::HostReport> first = messagesOf<Wire::HostReport>(refuseList(harness, 11));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Ready, first[0].state);
        CPPUNIT_ASSERT_MESSAGE("nothing is to be placed on the host", first[0].refusesConnections);
        for (int now = 200; now < 1500; now += 200)
            CPPUNIT_ASSERT_MESSAGE(
                "the refusal is reported once", messagesOf<Wire::HostReport>(refuseList(harness, now)).empty());
        HostResponse listed = makeResponse(HostAnswer::Done);
        listed.running.push_back(makeRunningTask(makeTask("00000000000000aa", 0, 0), 1));
        Actions actions;
        harness.agent.onListResponse(at(1601), actionsOf<ListHost>(harness.tick(1600)).at(0), listed, actions);
        const std::vector<Wire::HostReport> later = messagesOf<Wire::HostReport>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), later[0].incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later[0].running.size());
        CPPUNIT_ASSERT(!later[0].refusesConnections);
    }

    // Guards against runs that are never given up: a host that ended without a notice refuses all connections.
    void aHostThatRefusesConnectionsEndsWithItsLeases()
    {
        constexpr int leasesEnd = 4 + 10'320;
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(refuseList(harness, leasesEnd - 200)).at(0).refusesConnections);
        const std::vector<Wire::HostReport> reports = messagesOf<Wire::HostReport>(refuseList(harness, leasesEnd));
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, reports.at(0).state);
    }

    // Guards against giving up the runs of a later incarnation when a late announcement of an earlier one is the newest
    // that a restarted side has received.
    void ordersForALaterIncarnationDoNotEndIt()
    {
        Harness harness;
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.incarnation = 2;
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(harness.sendOrders(10, orders)).empty());
        orders.incarnation = 0;
        const std::vector<Wire::HostReport> earlier = messagesOf<Wire::HostReport>(harness.sendOrders(11, orders));
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, earlier.at(0).state);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), earlier.at(0).incarnation);
    }

    // Guards against a lease and acknowledgements that reach the next incarnation of a host under the same id.
    void aHostThatMayHaveRestartedGetsNoLeaseOfAnEarlierIncarnation()
    {
        Harness harness;
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.acknowledgedNumber = 57;
        harness.sendOrders(10, orders);
        const ListHost first = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onListResponse(at(20), first, makeResponse(HostAnswer::Uncertain), actions);
        const ListHost listWithoutLease = actionsOf<ListHost>(harness.tick(150)).at(0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), listWithoutLease.leaseUntilMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), listWithoutLease.acknowledgedNumber);
        CPPUNIT_ASSERT_MESSAGE(
            "the raised fence makes the host refuse earlier orders", listWithoutLease.fence > first.fence);
        HostResponse sameIncarnation = makeResponse(HostAnswer::Done);
        sameIncarnation.incarnation = 1;
        harness.agent.onListResponse(at(152), listWithoutLease, sameIncarnation, actions);
        const ListHost next = actionsOf<ListHost>(harness.tick(153)).at(0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9000), next.leaseUntilMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(57), next.acknowledgedNumber);
    }

    // Guards against a new owner that takes a list for current although it was requested under the fence of its
    // predecessor.
    void aListOfAnEarlierFenceIsNotReported()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Wire::HostOrders later = Harness::makeStartOrders(4);
        later.starts.clear();
        later.fence += fencesPerOwnerFence;
        harness.sendOrders(12, later);
        Actions actions;
        harness.agent.onListResponse(at(13), before, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(actions).empty());
        const ListHost after = actionsOf<ListHost>(harness.tick(14)).at(0);
        harness.agent.onListResponse(at(15), after, makeResponse(HostAnswer::Done), actions);
        CPPUNIT_ASSERT_EQUAL(after.fence, messagesOf<Wire::HostReport>(actions).at(0).listFence);
    }

    // Guards against a run that is recorded for one incarnation of a host and runs in the next.
    void aStartThatALaterIncarnationAnswersIsNotReported()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        HostResponse listed = makeResponse(HostAnswer::Done);
        listed.incarnation = 1;
        listed.clockMilliseconds = 5000;
        Actions actions;
        harness.agent.onListResponse(at(12), actionsOf<ListHost>(harness.tick(11)).at(0), listed, actions);
        const StartOnHost later = actionsOf<StartOnHost>(harness.sendOrders(13, Harness::makeStartOrders(4))).at(0);
        HostResponse started = makeResponse(HostAnswer::Done);
        started.clockMilliseconds = 20;
        Actions after;
        harness.agent.onStartResponse(at(300), later, started, after);
        const Wire::HostReport report = messagesOf<Wire::HostReport>(after).at(0);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, report.state);
        CPPUNIT_ASSERT(report.results.empty());
    }

    // Guards against second runs of all tasks on a host: a list response overtakes the response to an earlier start,
    // whose smaller clock reading then looks like that of a restarted host.
    void aStartResponseThatAListOvertookDoesNotEndTheHost()
    {
        Harness harness;
        HostResponse listed = makeResponse(HostAnswer::Done);
        listed.incarnation = 1;
        listed.clockMilliseconds = 1000;
        Actions actions;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        harness.agent.onListResponse(at(12), actionsOf<ListHost>(harness.tick(11)).at(0), listed, actions);
        const StartOnHost start = actionsOf<StartOnHost>(harness.sendOrders(13, Harness::makeStartOrders(4))).at(0);
        listed.clockMilliseconds = 1005;
        harness.agent.onListResponse(at(15), actionsOf<ListHost>(harness.tick(14)).at(0), listed, actions);
        HostResponse started = makeResponse(HostAnswer::Done);
        started.clockMilliseconds = 1003;
        Actions after;
        harness.agent.onStartResponse(at(16), start, started, after);
        const Wire::HostReport report = messagesOf<Wire::HostReport>(after).at(0);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Ready, report.state);
        CPPUNIT_ASSERT_EQUAL(Wire::OrderOutcome::Started, report.results.at(0).outcome);
    }

    static Wire::HostOrders makeWideOrders(int starts)
    {
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        const Wire::StartOrder first = orders.starts.at(0);
        for (int n = 1; n < starts; ++n) {
            orders.starts.push_back(first);
            orders.starts.back().task.index = first.task.index + n;
        }
        return orders;
    }

    static Wire::HaltOrder makeHalt(const Wire::TaskName& task)
    {
        Wire::HaltOrder halt;
        halt.task = task;
        halt.run = 1;
        return halt;
    }

    static Wire::HostOrders makeOrdersOfAge(std::int64_t ageMilliseconds)
    {
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.__set_ownershipAgeMilliseconds(ageMilliseconds);
        orders.halts.push_back(makeHalt(makeTask("00000000000000bb", 0, 0)));
        return orders;
    }

    static std::size_t countOrders(const Actions& actions)
    {
        return actionsOf<StartOnHost>(actions).size() + actionsOf<HaltOnHost>(actions).size();
    }

    // Guards against starts and halts for an owner that may have been followed.
    void ordersOfAnUncertainOwnerWaitForACheck()
    {
        Harness harness;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOrders(harness.sendOrders(5000, makeOrdersOfAge(2000))));
        const Actions actions = harness.tick(5005);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOrders(actions));
        const ReadStore check = actionsOf<ReadStore>(actions).at(0);
        CPPUNIT_ASSERT(check.wait == Duration::zero());
        CPPUNIT_ASSERT(check.newConnectionTimeout.has_value());
        ReadResponse empty;
        empty.answered = true;
        Actions answered;
        harness.agent.onReadResponse(at(5010), check.callId, empty, answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), countOrders(answered) + countOrders(harness.tick(5015)));
    }

    // Guards against work that stops when the store is down for all.
    void ordersAreCarriedOutWhenNoCheckIsAnswered()
    {
        Harness harness;
        harness.sendOrders(5000, makeOrdersOfAge(2000));
        const OwnershipCheckTiming timing;
        std::size_t checks = 0;
        std::size_t orders = 0;
        int now = 5000;
        while (orders == 0 && now < 8000) {
            now += 5;
            const Actions actions = harness.tick(now);
            orders += countOrders(actions);
            for (const ReadStore& check : actionsOf<ReadStore>(actions)) {
                ++checks;
                now += static_cast<int>(toMilliseconds(timing.checkTimeout));
                Actions failed;
                harness.agent.onReadResponse(at(now), check.callId, ReadResponse(), failed);
                orders += countOrders(failed);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(timing.failuresUntilStoreIsDown), checks);
        CPPUNIT_ASSERT(now < 5000 + 1200);
    }

    // Guards against orders of a former owner that a side still sends after it has read the next claim.
    void ordersAreDroppedWhenACheckShowsALaterClaim()
    {
        Harness harness;
        harness.sendOrders(5000, makeOrdersOfAge(2000));
        const ReadStore check = actionsOf<ReadStore>(harness.tick(5005)).at(0);
        Wire::OwnerClaim claim;
        claim.nodeId = "entry-2";
        claim.address = "127.0.0.1";
        claim.port = 10;
        ReadResponse response;
        response.answered = true;
        response.records.push_back(StoreRecord { "owner", Wire::encode(claim), 7 });
        Actions actions;
        harness.agent.onReadResponse(at(5010), check.callId, response, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOrders(actions));
        // The former owner learns of the claim.
        const std::vector<Wire::NodeHello> farewells = messagesOf<Wire::NodeHello>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), farewells.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), farewells[0].term);
        for (int now = 5015; now < 8000; now += 5)
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOrders(harness.tick(now)));
    }

    // Guards against tasks of a cancelled job that run on because starts without an answer take all slots, and waiting
    // starts each slot that gets free.
    void haltsPassStartsThatTheHostLeavesUnanswered()
    {
        Harness harness;
        Wire::HostOrders orders = makeWideOrders(60);
        const std::vector<StartOnHost> started = actionsOf<StartOnHost>(harness.sendOrders(10, orders));
        orders.starts.clear();
        for (const StartOnHost& start : started)
            orders.halts.push_back(makeHalt(start.order.task));
        const std::size_t haltsAtOnce = actionsOf<HaltOnHost>(harness.sendOrders(20, orders)).size();
        CPPUNIT_ASSERT(haltsAtOnce > 0);
        // Each slot that gets free is taken by a halt as long as one waits.
        std::size_t halts = haltsAtOnce;
        for (std::size_t n = 0; n < started.size(); ++n) {
            Actions actions;
            harness.agent.onStartResponse(at(700), started[n], makeResponse(HostAnswer::Done), actions);
            halts += actionsOf<HaltOnHost>(actions).size();
            CPPUNIT_ASSERT_EQUAL(std::min(started.size(), haltsAtOnce + n + 1), halts);
        }
    }

    // Guards against a filler that goes on beside a disturbed task because its pace waits behind starts.
    void pacesPassStartsThatWait()
    {
        Harness harness;
        Wire::HostOrders orders = makeWideOrders(60);
        harness.sendOrders(10, orders);
        orders.starts.clear();
        Wire::PaceOrder pace;
        pace.task = makeTask("00000000000000bb", 0, 0);
        pace.run = 1;
        orders.paces.push_back(pace);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<SetPaceOnHost>(harness.sendOrders(20, orders)).size());
    }

    // Guards against a start that is sent to the host after its run was halted.
    void aHaltDropsTheStartThatWaits()
    {
        Harness harness;
        Wire::HostOrders orders = makeWideOrders(60);
        const std::vector<Wire::StartOrder> ordered = orders.starts;
        const std::vector<StartOnHost> sent = actionsOf<StartOnHost>(harness.sendOrders(10, orders));
        orders.starts.clear();
        for (const Wire::StartOrder& start : ordered)
            orders.halts.push_back(makeHalt(start.task));
        const Actions actions = harness.sendOrders(20, orders);
        std::size_t absent = 0;
        for (const Wire::HostReport& report : messagesOf<Wire::HostReport>(actions)) {
            for (const Wire::OrderResult& result : report.results)
                absent += result.outcome == Wire::OrderOutcome::Absent ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(ordered.size() - sent.size(), absent);
        for (const StartOnHost& start : sent) {
            Actions more;
            harness.agent.onStartResponse(at(700), start, makeResponse(HostAnswer::Done), more);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), actionsOf<StartOnHost>(more).size());
        }
    }

    // Guards against a burst that uses up the connections which a host serves, so that none is left to replace them
    // when they go silent.
    void ordersLeaveConnectionsOfTheHostUnused()
    {
        constexpr int starts = 60;
        const std::size_t limit = HostAgentTiming {}.maximumOrdersInFlight;
        constexpr std::size_t connectionsOfAHost = 64;
        constexpr std::size_t lists = 2;
        CPPUNIT_ASSERT(2 * (limit + lists) <= connectionsOfAHost);
        // Halts take the slots that starts leave, and no more.
        Harness halting;
        Wire::HostOrders halts = makeWideOrders(starts);
        halting.sendOrders(10, halts);
        const std::size_t startLimit = limit - 2 * HostAgentTiming {}.reservedOrdersInFlight;
        halts.starts.clear();
        for (int n = 0; n < starts; ++n)
            halts.halts.push_back(makeHalt(makeTask("00000000000000bb", 0, n)));
        CPPUNIT_ASSERT_EQUAL(limit - startLimit, actionsOf<HaltOnHost>(halting.sendOrders(11, halts)).size());
        Harness harness;
        std::deque<StartOnHost> unanswered;
        for (const StartOnHost& start : actionsOf<StartOnHost>(harness.sendOrders(10, makeWideOrders(starts))))
            unanswered.push_back(start);
        CPPUNIT_ASSERT_EQUAL(startLimit, unanswered.size());
        std::set<int> sent;
        for (int n = 0; !unanswered.empty(); ++n) {
            sent.insert(unanswered.front().order.task.index);
            Actions actions;
            harness.agent.onStartResponse(at(11 + n), unanswered.front(), makeResponse(HostAnswer::Done), actions);
            unanswered.pop_front();
            for (const StartOnHost& start : actionsOf<StartOnHost>(actions))
                unanswered.push_back(start);
            CPPUNIT_ASSERT(unanswered.size() <= limit);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(starts), sent.size());
    }

    // Guards against starts on a draining host that were ordered before it began to drain.
    void startsThatWaitAreRefusedOnceTheHostDrains()
    {
        Harness harness;
        const std::vector<StartOnHost> sent = actionsOf<StartOnHost>(harness.sendOrders(10, makeWideOrders(60)));
        HostDescription draining = describeHost(1, 2);
        draining.draining = true;
        Actions actions;
        harness.agent.onAnnouncement(at(20), draining, actions);
        Actions after;
        harness.agent.onStartResponse(at(21), sent.at(0), makeResponse(HostAnswer::Done), after);
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(after).empty());
        std::size_t refused = 0;
        for (const Wire::HostReport& report : messagesOf<Wire::HostReport>(after)) {
            for (const Wire::OrderResult& result : report.results)
                refused += result.outcome == Wire::OrderOutcome::Refused && result.reason == "draining" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(60) - sent.size(), refused);
    }

    // Guards against a second run of a task that has ended: the host refuses a repeated start order as old.
    void aStartRefusedAsOldIsHalted()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.sendOrders(10, Harness::makeStartOrders(4))).at(0);
        HostResponse refused = makeResponse(HostAnswer::Refused);
        refused.reason = "old";
        Actions actions;
        harness.agent.onStartResponse(at(20), start, refused, actions);
        CPPUNIT_ASSERT_MESSAGE("the refused run may have run already", messagesOf<Wire::HostReport>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<HaltOnHost>(actions).size());
    }

    // Guards against a second run of a running task: a delayed departure notice may stem from an earlier incarnation,
    // and a host at its limit of connections refuses new ones. Only a host that drains shuts down.
    void aDepartureNoticeEndsADrainingHostOnceThePortIsClosed()
    {
        for (const bool draining : { false, true }) {
            Harness harness;
            harness.sendOrders(10, Harness::makeStartOrders(4));
            HostDescription description = describeHost(1, 2);
            description.draining = draining;
            Actions actions;
            harness.agent.onAnnouncement(at(10), description, actions);
            const ListHost list = actionsOf<ListHost>(harness.tick(11)).at(0);
            Actions notice;
            harness.agent.onDepartureNotice(at(12), "host-1", notice);
            CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(notice).empty());
            Actions closed;
            harness.agent.onListResponse(at(14), list, makeResponse(HostAnswer::NotListening), closed);
            CPPUNIT_ASSERT_EQUAL(draining ? Wire::HostState::Gone : Wire::HostState::Ready,
                messagesOf<Wire::HostReport>(closed).at(0).state);
        }
    }

    // Guards against a second run of a running task: after a delayed departure notice of an earlier incarnation, one
    // refused connection would end the host, even after the host has announced itself again.
    void anAnnouncementRevokesADepartureNotice()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        const ListHost list = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onDepartureNotice(at(12), "host-1", actions);
        harness.agent.onAnnouncement(at(13), describeHost(1, 2), actions);
        harness.agent.onListResponse(at(14), list, makeResponse(HostAnswer::NotListening), actions);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Ready, messagesOf<Wire::HostReport>(actions).at(0).state);
    }

    static bool logs(const Actions& actions, const std::string& event)
    {
        for (const WriteLog& line : actionsOf<WriteLog>(actions)) {
            if (line.line.starts_with("event=" + event + " "))
                return true;
        }
        return false;
    }

    static HostResponse makeList(std::int64_t incarnation)
    {
        HostResponse listed = makeResponse(HostAnswer::Done);
        listed.incarnation = incarnation;
        listed.clockMilliseconds = 1000;
        return listed;
    }

    /// A harness whose host has answered a list.
    struct ListedHarness : Harness {
        ListedHarness()
        {
            sendOrders(10, makeStartOrders(4));
            Actions actions;
            agent.onListResponse(at(12), actionsOf<ListHost>(tick(11)).at(0), makeList(1), actions);
        }
    };

    static HostDescription describeOtherHost(const std::string& service)
    {
        HostDescription other = describeHost(2, 1);
        other.hostId = "host-2";
        other.service = service;
        return other;
    }

    /// The list that asks whether the announced host is there. The list of the known host may be among the actions too.
    static ListHost inquiryOf(const Actions& actions, const std::string& hostId, std::int64_t incarnation)
    {
        for (const ListHost& list : actionsOf<ListHost>(actions)) {
            if (list.hostId == hostId && list.incarnation == incarnation)
                return list;
        }
        CPPUNIT_FAIL("no list for " + hostId);
        return {};
    }

    static bool reportsGone(const Actions& actions)
    {
        const std::vector<Wire::HostReport> reports = messagesOf<Wire::HostReport>(actions);
        return std::any_of(reports.begin(), reports.end(),
            [](const Wire::HostReport& report) { return report.state == Wire::HostState::Gone; });
    }

    // Guards against a second run of all tasks of a living host: an announcement of another host, by another writer or
    // late, was taken for the end of the host.
    void anAnnouncementOfAnotherHostEndsNoLivingHost()
    {
        for (const char* service : { "desk", "elsewhere" }) {
            ListedHarness harness;
            Actions announced;
            harness.agent.onAnnouncement(at(13), describeOtherHost(service), announced);
            CPPUNIT_ASSERT(!logs(announced, "host_ended") && !reportsGone(announced));
            const ListHost inquiry = inquiryOf(harness.tick(14), "host-2", 2);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), inquiry.leaseUntilMilliseconds + inquiry.acknowledgedNumber);
            Actions answered;
            harness.agent.onListResponse(at(15), inquiry, makeResponse(HostAnswer::OtherIncarnation), answered);
            CPPUNIT_ASSERT(logs(answered, "announcement_passed_over") && !reportsGone(answered));
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(1), actionsOf<StartOnHost>(harness.sendOrders(16, Harness::makeStartOrders(4))).size());
        }
    }

    // Guards against a host that restarts and stays unknown: the next incarnation, of any service, replaces the one
    // that ended once it answers. Its first list carries a higher fence than any order before.
    void aCandidateThatAnswersReplacesTheHost()
    {
        HostDescription other = describeOtherHost("elsewhere");
        for (const HostDescription& successor : { describeHost(2, 1), other }) {
            ListedHarness harness;
            Actions announced;
            harness.agent.onAnnouncement(at(13), successor, announced);
            const ListHost inquiry = inquiryOf(harness.tick(14), successor.hostId, 2);
            Actions answered;
            harness.agent.onListResponse(at(15), inquiry, makeList(2), answered);
            const std::vector<Wire::HostReport> reports = messagesOf<Wire::HostReport>(answered);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), reports.size());
            CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, reports.at(0).state);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), static_cast<std::int64_t>(reports.at(0).incarnation));
            CPPUNIT_ASSERT_EQUAL(Wire::HostState::Ready, reports.at(1).state);
            CPPUNIT_ASSERT_EQUAL(successor.hostId, reports.at(1).hostId);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2), static_cast<std::int64_t>(reports.at(1).incarnation));
            const ListHost list = inquiryOf(harness.tick(16), successor.hostId, 2);
            CPPUNIT_ASSERT(list.fence > inquiry.fence);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.leaseUntilMilliseconds + list.acknowledgedNumber);
        }
    }

    // Guards against a host that restarts and stays unknown: its port may open only after its announcement.
    void aCandidateThatDoesNotAnswerIsAskedAgain()
    {
        for (const HostAnswer answer : { HostAnswer::NotListening, HostAnswer::Uncertain, HostAnswer::Refused }) {
            ListedHarness harness;
            Actions actions;
            harness.agent.onAnnouncement(at(13), describeHost(2, 1), actions);
            const ListHost first = inquiryOf(harness.tick(14), "host-1", 2);
            harness.agent.onListResponse(at(15), first, makeResponse(answer), actions);
            CPPUNIT_ASSERT(!reportsGone(actions));
            const ListHost second = inquiryOf(harness.tick(300), "host-1", 2);
            harness.agent.onListResponse(at(301), second, makeList(2), actions);
            CPPUNIT_ASSERT(reportsGone(actions));
        }
    }

    // Guards against a second run of all tasks of a living host: its own list, sent after the announcement of another
    // incarnation, shows that it lives.
    void aListOfTheHostSettlesAnAnnouncement()
    {
        ListedHarness harness;
        Actions actions;
        harness.agent.onAnnouncement(at(13), describeOtherHost("desk"), actions);
        const ListHost list = inquiryOf(harness.tick(14), "host-1", 1);
        Actions answered;
        harness.agent.onListResponse(at(15), list, makeList(1), answered);
        CPPUNIT_ASSERT(logs(answered, "announcement_passed_over") && !reportsGone(answered));
    }

    // Guards against a second run of all tasks of another side's host: its announcement reached this side, which
    // reported it as its own and, when the call was answered by another host, as gone.
    void aHostIsReportedOnceItHasAnswered()
    {
        HostResponse fenced = makeResponse(HostAnswer::Refused);
        fenced.reason = "fence";
        const std::vector<std::pair<HostResponse, bool>> cases { { makeResponse(HostAnswer::OtherIncarnation), false },
            { makeList(3), false }, { makeList(2), true }, { makeList(0), true }, { fenced, true } };
        for (const std::pair<HostResponse, bool>& answer : cases) {
            HostAgent agent(NodeIdentity { "side-1", 1, "127.0.0.1", 1 }, HostAgentTiming {});
            Actions actions;
            agent.onAnnouncement(at(1), describeOtherHost("desk"), actions);
            CPPUNIT_ASSERT(!logs(actions, "host_announced"));
            agent.tick(at(2), actions);
            agent.onListResponse(at(3), inquiryOf(actions, "host-2", 2), answer.first, actions);
            CPPUNIT_ASSERT_EQUAL(answer.second, logs(actions, "host_announced"));
            CPPUNIT_ASSERT(!logs(actions, "host_ended"));
        }
    }

    // Guards against a host that leaves and is taken for one that was announced to its own side: that side would go on
    // starting tasks there.
    void aDrainingHostIsAcknowledgedBySidesThatKnowItOnly()
    {
        ListedHarness harness;
        Actions actions;
        HostDescription other = describeOtherHost("desk");
        CPPUNIT_ASSERT(harness.agent.onAnnouncement(at(13), other, actions));
        other.draining = true;
        CPPUNIT_ASSERT(!harness.agent.onAnnouncement(at(14), other, actions));
        HostDescription own = describeHost(1, 2);
        own.draining = true;
        CPPUNIT_ASSERT(harness.agent.onAnnouncement(at(15), own, actions));
    }

    // Guards against orders and acknowledgements that the next incarnation takes for its own.
    void startsAndAcknowledgesNothingUntilACandidateIsSettled()
    {
        ListedHarness harness;
        Actions actions;
        harness.agent.onAnnouncement(at(13), describeHost(2, 1), actions);
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.acknowledgedNumber = 3;
        const Actions ordered = harness.sendOrders(14, orders);
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(ordered).empty());
        const Wire::OrderResult result = messagesOf<Wire::HostReport>(ordered).at(0).results.at(0);
        CPPUNIT_ASSERT_EQUAL(Wire::OrderOutcome::Refused, result.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("candidate_announced"), result.reason);
        const ListHost list = inquiryOf(harness.tick(15), "host-1", 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.leaseUntilMilliseconds + list.acknowledgedNumber);
    }

    // Guards against a lease and an acknowledgement that the next incarnation takes for its own: the answer to a list
    // from before its announcement arrives late and says nothing about the candidate.
    void aLateListOfTheHostLeavesACandidateUnsettled()
    {
        ListedHarness harness;
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.starts.clear();
        orders.acknowledgedNumber = 3;
        harness.sendOrders(13, orders);
        const ListHost before = inquiryOf(harness.tick(14), "host-1", 1);
        Actions actions;
        harness.agent.onAnnouncement(at(400), describeHost(2, 1), actions);
        harness.agent.onListResponse(at(401), before, makeList(1), actions);
        for (int now = 402; now < 500; now += 10) {
            const Actions ticked = harness.tick(now);
            for (const ListHost& list : actionsOf<ListHost>(ticked)) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.acknowledgedNumber);
                CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.leaseUntilMilliseconds);
            }
        }
    }

    // Guards against a host that is never reported after a restart of its side: it refuses the lists of a side without
    // an owner by their fence, whichever incarnation they ask for.
    void aHostIsFoundAfterALateAnnouncementOfItsEarlierIncarnation()
    {
        HostAgent agent(NodeIdentity { "side-1", 1, "127.0.0.1", 1 }, HostAgentTiming {});
        HostResponse fenced = makeResponse(HostAnswer::Refused);
        fenced.reason = "fence";
        Actions actions;
        agent.onAnnouncement(at(1), describeHost(1, 90), actions);
        int sequence = 0;
        for (int now = 2; now < 20'000; now += 10) {
            if (now > 500 && now % 500 == 2)
                agent.onAnnouncement(at(now), describeHost(2, ++sequence), actions);
            Actions ticked;
            agent.tick(at(now), ticked);
            for (const ListHost& list : actionsOf<ListHost>(ticked))
                agent.onListResponse(at(now), list, fenced, actions);
        }
        const std::vector<WriteLog> lines = actionsOf<WriteLog>(actions);
        CPPUNIT_ASSERT(std::any_of(lines.begin(), lines.end(), [](const WriteLog& line) {
            return line.line.starts_with("event=host_announced ")
                && line.line.find(" incarnation=2 ") != std::string::npos;
        }));
    }

    // Guards against a lease and an acknowledgement that the next incarnation takes for its own: the earlier one was
    // known by its announcement alone when the owner sent them.
    void anUnlistedIncarnationLeavesNoLeaseAndAcknowledgement()
    {
        Harness harness(false);
        Actions actions;
        harness.agent.onAnnouncement(at(4), describeHost(1, 1), actions);
        HostResponse fenced = makeResponse(HostAnswer::Refused);
        fenced.reason = "fence";
        harness.agent.onListResponse(at(6), inquiryOf(harness.tick(5), "host-1", 1), fenced, actions);
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.starts.clear();
        orders.acknowledgedNumber = 52;
        harness.sendOrders(10, orders);
        harness.agent.onAnnouncement(at(11), describeHost(2, 1), actions);
        harness.agent.onListResponse(at(13), inquiryOf(harness.tick(12), "host-1", 2), makeList(2), actions);
        const ListHost list = inquiryOf(harness.tick(14), "host-1", 2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.leaseUntilMilliseconds + list.acknowledgedNumber);
    }

    // Guards against a host that is taken for one of another service: another writer announces under the host's id and
    // incarnation.
    void anAnnouncementUnderTheHostsIdKeepsItsService()
    {
        ListedHarness harness;
        HostDescription foreign = describeHost(1, 9);
        foreign.service = "elsewhere";
        Actions actions;
        harness.agent.onAnnouncement(at(13), foreign, actions);
        const ListHost list = inquiryOf(harness.tick(14), "host-1", 1);
        Actions listed;
        harness.agent.onListResponse(at(15), list, makeList(1), listed);
        CPPUNIT_ASSERT_EQUAL(std::string("desk"), std::string(messagesOf<Wire::HostReport>(listed).at(0).serviceName));
    }

    // Guards against a host that leaves and is acknowledged by a side that takes no note of it, since its incarnation
    // is lower than that of the side's host.
    void aDrainingHostOfAnEarlierTimeIsNotAcknowledged()
    {
        ListedHarness harness;
        HostDescription other = describeOtherHost("desk");
        other.incarnation = 0;
        other.draining = true;
        Actions actions;
        CPPUNIT_ASSERT(!harness.agent.onAnnouncement(at(13), other, actions));
    }

    // Guards against starts on a host after the acknowledgement that it leaves: another writer announced it under a
    // higher sequence number.
    void aDrainingAnnouncementBelowTheNewestSequenceCounts()
    {
        ListedHarness harness;
        Actions actions;
        harness.agent.onAnnouncement(at(13), describeHost(1, 900), actions);
        HostDescription own = describeHost(1, 5);
        own.draining = true;
        const bool isAcknowledged = harness.agent.onAnnouncement(at(14), own, actions);
        const Actions ordered = harness.sendOrders(15, Harness::makeStartOrders(4));
        CPPUNIT_ASSERT(!isAcknowledged || actionsOf<StartOnHost>(ordered).empty());
    }

    // Guards against runs of a living host that lapse: another writer announces other hosts more often than the host's
    // lease lasts, and the host answers each list.
    void aPassedOverAnnouncementLetsTheHostKeepItsLease()
    {
        ListedHarness harness;
        int withLease = 0;
        for (int now = 20; now < 4000; now += 10) {
            Actions actions;
            if (now % 100 == 0) {
                HostDescription other = describeOtherHost("desk");
                other.hostId = "foreign-" + std::to_string(now);
                harness.agent.onAnnouncement(at(now), other, actions);
            }
            harness.sendOrders(now, Harness::makeStartOrders(4));
            for (const ListHost& list : actionsOf<ListHost>(harness.tick(now))) {
                withLease += list.leaseUntilMilliseconds > 0 ? 1 : 0;
                HostResponse answer = makeList(1);
                if (list.hostId != "host-1")
                    answer = makeResponse(HostAnswer::OtherIncarnation);
                harness.agent.onListResponse(at(now + 5), list, answer, actions);
            }
        }
        CPPUNIT_ASSERT(withLease > 4);
    }

    void repeatsAnUnansweredPaceOrder()
    {
        Harness harness;
        Wire::HostOrders orders = Harness::makeStartOrders(4);
        orders.starts.clear();
        Wire::PaceOrder pace;
        pace.task = makeTask("00000000000000aa", 0, 0);
        pace.run = 1;
        pace.percent = 40;
        orders.paces.push_back(pace);
        const SetPaceOnHost first = actionsOf<SetPaceOnHost>(harness.sendOrders(10, orders)).at(0);
        Actions actions;
        harness.agent.onPaceResponse(at(700), first, makeResponse(HostAnswer::Uncertain), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<SetPaceOnHost>(harness.tick(900)).size());
    }

    // Guards against a host that gets no task until the owner changes: a former process of the side connected to the
    // owner last and took the host under a higher fence, and the owner takes reports over the newest connection only.
    void connectsAnewWhenTheHostKeepsRefusingItsFence()
    {
        Harness harness;
        harness.sendOrders(10, Harness::makeStartOrders(4));
        HostResponse fenced = makeResponse(HostAnswer::Refused);
        fenced.reason = "fence";
        int reconnectedAt = 0;
        for (int now = 11; now < 3000 && reconnectedAt == 0; now += 10) {
            const Actions actions = harness.tick(now);
            for (const ListHost& list : actionsOf<ListHost>(actions)) {
                Actions more;
                harness.agent.onListResponse(at(now + 1), list, fenced, more);
                for (const CloseLink& close : actionsOf<CloseLink>(more))
                    reconnectedAt = close.link == harness.link ? now + 1 : reconnectedAt;
            }
        }
        CPPUNIT_ASSERT_MESSAGE("the connection stays", reconnectedAt > 0);
        CPPUNIT_ASSERT_MESSAGE("a fence that is on its way gets no time to arrive", reconnectedAt > 500);
        const std::vector<OpenLink> opened = actionsOf<OpenLink>(harness.tick(reconnectedAt + 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), opened.size());
        CPPUNIT_ASSERT(opened.at(0).link != harness.link);
    }

    /// The incarnations that were reported as gone, as "id/incarnation".
    static std::vector<std::string> goneHosts(const Actions& actions)
    {
        std::vector<std::string> hosts;
        for (const Wire::HostReport& report : messagesOf<Wire::HostReport>(actions)) {
            if (report.state == Wire::HostState::Gone)
                hosts.push_back(report.hostId + "/" + std::to_string(report.incarnation));
        }
        return hosts;
    }

    /// Connects the agent to its owner again.
    static Actions reconnect(Harness& harness, int now)
    {
        harness.link = actionsOf<OpenLink>(harness.tick(now)).at(0).link;
        Actions actions;
        harness.agent.onLinkUp(at(now), harness.link, actions);
        return actions;
    }

    /// Ends the connection to the owner, then the host by plan.
    static void endHostWithoutAnOwner(Harness& harness)
    {
        Actions actions = harness.sendOrders(10, Harness::makeStartOrders(4));
        harness.agent.onListResponse(
            at(12), actionsOf<ListHost>(harness.tick(11)).at(0), makeResponse(HostAnswer::Done), actions);
        harness.agent.onLinkDown(at(20), harness.link, actions);
        HostDescription draining = describeHost(1, 2);
        draining.draining = true;
        harness.agent.onAnnouncement(at(100), draining, actions);
        harness.agent.onDepartureNotice(at(100), "host-1", actions);
        harness.agent.onListResponse(
            at(101), actionsOf<ListHost>(harness.tick(100)).at(0), makeResponse(HostAnswer::NotListening), actions);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), harness.agent.endedIncarnations());
    }

    // Guards against an owner that waits for the leases of a host that has left: the host left while its side had no
    // owner, or the owner that received the report ended before it stored the departure.
    void aHostThatEndedWithoutAnOwnerIsReportedToTheNext()
    {
        const std::vector<std::string> gone { "host-1/1" };
        Harness harness;
        endHostWithoutAnOwner(harness);
        CPPUNIT_ASSERT(goneHosts(reconnect(harness, 300)) == gone);
        Actions actions;
        harness.agent.onLinkDown(at(400), harness.link, actions);
        CPPUNIT_ASSERT_MESSAGE("the next owner may know nothing of it", goneHosts(reconnect(harness, 700)) == gone);
        Actions greeted;
        harness.agent.onMessage(at(800), harness.link, Wire::NodeHello(), greeted);
        CPPUNIT_ASSERT_MESSAGE("reports before the greeting are lost", goneHosts(greeted) == gone);
    }

    // Guards against a new incarnation that an owner takes for free of runs: an order to the ended one may have reached
    // it, which its own lists show.
    void anEndedIncarnationIsNotReportedBesideTheNextOne()
    {
        Harness harness;
        endHostWithoutAnOwner(harness);
        Actions actions;
        harness.agent.onAnnouncement(at(120), describeHost(2, 1), actions);
        HostResponse listed = makeResponse(HostAnswer::Done);
        listed.incarnation = 2;
        harness.agent.onListResponse(at(121), actionsOf<ListHost>(harness.tick(120)).at(0), listed, actions);
        CPPUNIT_ASSERT(goneHosts(reconnect(harness, 300)).empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostAgentTest);
