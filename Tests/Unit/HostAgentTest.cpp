/// The side: carries orders out once, never reports a run as absent that may still begin, and starts nothing on a host
/// that leaves.
#include "Decision/Process/HostAgent.h"
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class HostAgentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostAgentTest);
    CPPUNIT_TEST(anUnansweredStartIsStoppedBeforeItIsGivenBack);
    CPPUNIT_TEST(aListWithoutAllEndsDoesNotGiveARunBack);
    CPPUNIT_TEST(startsNothingOnAHostThatLeaves);
    CPPUNIT_TEST(ignoresOrdersOfAnEarlierTerm);
    CPPUNIT_TEST(ignoresALateAnnouncement);
    CPPUNIT_TEST(aClosedPortEndsTheHost);
    CPPUNIT_TEST(repeatsAPaceThatWasNotAnswered);
    CPPUNIT_TEST(aHostThatMayHaveRestartedGetsNoLeaseOfItsEarlierLife);
    CPPUNIT_TEST(aListOfAnEarlierFenceIsNotReported);
    CPPUNIT_TEST(aStartThatALaterLifeAnswersIsNotReported);
    CPPUNIT_TEST(aStartWhoseAnswerAListOvertookEndsNoHost);
    CPPUNIT_TEST(aStartRefusedAsOldIsLookedFor);
    CPPUNIT_TEST(aFarewellOfAnEarlierLifeIsForgotten);
    CPPUNIT_TEST(aFarewellIsBelievedOnceThePortIsClosed);
    CPPUNIT_TEST(anotherServiceTakesNoHostsPlace);
    CPPUNIT_TEST_SUITE_END();

    static HostDescription facts(std::int64_t incarnation, std::int64_t sequence)
    {
        HostDescription facts;
        facts.hostId = "host-1";
        facts.incarnation = incarnation;
        facts.service = "desk";
        facts.sequence = sequence;
        return facts;
    }

    /// An agent with a host and a connection to the owner of term 4.
    struct Harness {
        Harness()
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
            agent.onNewest(at(1), actionsOf<ReadNewest>(actions).at(0).callId, newest, actions);
            agent.tick(at(2), actions);
            link = actionsOf<OpenLink>(actions).at(0).link;
            agent.onLinkUp(at(3), link, actions);
            agent.onAnnouncement(at(4), facts(1, 1), actions);
        }

        Actions order(int now, const Wire::HostOrders& orders)
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

        static Wire::HostOrders startOrders(std::int64_t term)
        {
            Wire::HostOrders orders;
            orders.term = term;
            orders.fence = term * fencesOfATerm;
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

    static HostResponse answer(HostAnswer answer)
    {
        HostResponse response;
        response.answer = answer;
        return response;
    }

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

    void anUnansweredStartIsStoppedBeforeItIsGivenBack()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.order(10, Harness::startOrders(4))).at(0);
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onStarted(at(700), start, answer(HostAnswer::Uncertain), actions);
        CPPUNIT_ASSERT(!reportsAbsent(actions));
        const HaltOnHost halt = actionsOf<HaltOnHost>(harness.tick(701)).at(0);
        harness.agent.onHalted(at(705), halt, answer(HostAnswer::Done), actions);
        harness.agent.onListed(at(706), before, answer(HostAnswer::Done), actions);
        CPPUNIT_ASSERT_MESSAGE("that list was asked for before the stop", !reportsAbsent(actions));
        const ListHost after = actionsOf<ListHost>(harness.tick(800)).at(0);
        harness.agent.onListed(at(805), after, answer(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(reportsAbsent(actions));
    }

    // Guards against a second run of what has ended: its end is not among the first ones that the host lists.
    void aListWithoutAllEndsDoesNotGiveARunBack()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.order(10, Harness::startOrders(4))).at(0);
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onStarted(at(700), start, answer(HostAnswer::Uncertain), actions);
        const HaltOnHost halt = actionsOf<HaltOnHost>(harness.tick(701)).at(0);
        harness.agent.onHalted(at(705), halt, answer(HostAnswer::Done), actions);
        harness.agent.onListed(at(706), before, answer(HostAnswer::Done), actions);
        HostResponse part = answer(HostAnswer::Done);
        part.endsOmitted = true;
        const ListHost first = actionsOf<ListHost>(harness.tick(800)).at(0);
        harness.agent.onListed(at(805), first, part, actions);
        CPPUNIT_ASSERT_MESSAGE("its end may come with the next list", !reportsAbsent(actions));
        const ListHost second = actionsOf<ListHost>(harness.tick(900)).at(0);
        harness.agent.onListed(at(905), second, answer(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(reportsAbsent(actions));
    }

    void startsNothingOnAHostThatLeaves()
    {
        Harness harness;
        HostDescription leaving = facts(1, 2);
        leaving.draining = true;
        Actions actions;
        harness.agent.onAnnouncement(at(5), leaving, actions);
        const Actions after = harness.order(10, Harness::startOrders(4));
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(after).empty());
        CPPUNIT_ASSERT_EQUAL(
            Wire::OrderOutcome::Refused, messagesOf<Wire::HostReport>(after).at(0).results.at(0).outcome);
    }

    void ignoresOrdersOfAnEarlierTerm()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        CPPUNIT_ASSERT(actionsOf<StartOnHost>(harness.order(11, Harness::startOrders(3))).empty());
    }

    void ignoresALateAnnouncement()
    {
        Harness harness;
        Actions actions;
        harness.agent.onAnnouncement(at(10), facts(2, 1), actions);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, messagesOf<Wire::HostReport>(actions).at(0).state);
        Actions late;
        harness.agent.onAnnouncement(at(20), facts(1, 9), late);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(late).empty());
    }

    void aClosedPortEndsTheHost()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        Actions actions;
        harness.agent.onListed(
            at(12), actionsOf<ListHost>(harness.tick(11)).at(0), answer(HostAnswer::NotListening), actions);
        CPPUNIT_ASSERT_MESSAGE("one refusal may be a full queue", messagesOf<Wire::HostReport>(actions).empty());
        harness.agent.onListed(
            at(200), actionsOf<ListHost>(harness.tick(150)).at(0), answer(HostAnswer::NotListening), actions);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, messagesOf<Wire::HostReport>(actions).at(0).state);
    }

    // Guards against a lease and acknowledgements that reach the next life of a host under the same id.
    void aHostThatMayHaveRestartedGetsNoLeaseOfItsEarlierLife()
    {
        Harness harness;
        Wire::HostOrders orders = Harness::startOrders(4);
        orders.acknowledgedNumber = 57;
        harness.order(10, orders);
        const ListHost first = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onListed(at(20), first, answer(HostAnswer::Uncertain), actions);
        const ListHost probe = actionsOf<ListHost>(harness.tick(150)).at(0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), probe.leaseUntilMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), probe.acknowledgedNumber);
        CPPUNIT_ASSERT_MESSAGE("orders that were sent before are refused from then on", probe.fence > first.fence);
        HostResponse same = answer(HostAnswer::Done);
        same.incarnation = 1;
        harness.agent.onListed(at(152), probe, same, actions);
        const ListHost next = actionsOf<ListHost>(harness.tick(153)).at(0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9000), next.leaseUntilMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(57), next.acknowledgedNumber);
    }

    // Guards against a new owner that takes a list for the present which was asked for under its predecessor.
    void aListOfAnEarlierFenceIsNotReported()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        const ListHost before = actionsOf<ListHost>(harness.tick(11)).at(0);
        Wire::HostOrders later = Harness::startOrders(4);
        later.starts.clear();
        later.fence += fencesOfASide;
        harness.order(12, later);
        Actions actions;
        harness.agent.onListed(at(13), before, answer(HostAnswer::Done), actions);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(actions).empty());
        const ListHost after = actionsOf<ListHost>(harness.tick(14)).at(0);
        harness.agent.onListed(at(15), after, answer(HostAnswer::Done), actions);
        CPPUNIT_ASSERT_EQUAL(after.fence, messagesOf<Wire::HostReport>(actions).at(0).listFence);
    }

    // Guards against a run that is booked for one life of a host and goes on in the next.
    void aStartThatALaterLifeAnswersIsNotReported()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        HostResponse listed = answer(HostAnswer::Done);
        listed.incarnation = 1;
        listed.clockMilliseconds = 5000;
        Actions actions;
        harness.agent.onListed(at(12), actionsOf<ListHost>(harness.tick(11)).at(0), listed, actions);
        const StartOnHost later = actionsOf<StartOnHost>(harness.order(13, Harness::startOrders(4))).at(0);
        HostResponse started = answer(HostAnswer::Done);
        started.clockMilliseconds = 20;
        Actions after;
        harness.agent.onStarted(at(300), later, started, after);
        const Wire::HostReport report = messagesOf<Wire::HostReport>(after).at(0);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, report.state);
        CPPUNIT_ASSERT(report.results.empty());
    }

    // Guards against a second run of all that goes on: a list that was answered later comes before the answer to a
    // start, whose reading of the clock is then the smaller one.
    void aStartWhoseAnswerAListOvertookEndsNoHost()
    {
        Harness harness;
        HostResponse listed = answer(HostAnswer::Done);
        listed.incarnation = 1;
        listed.clockMilliseconds = 1000;
        Actions actions;
        harness.order(10, Harness::startOrders(4));
        harness.agent.onListed(at(12), actionsOf<ListHost>(harness.tick(11)).at(0), listed, actions);
        const StartOnHost start = actionsOf<StartOnHost>(harness.order(13, Harness::startOrders(4))).at(0);
        listed.clockMilliseconds = 1005;
        harness.agent.onListed(at(15), actionsOf<ListHost>(harness.tick(14)).at(0), listed, actions);
        HostResponse started = answer(HostAnswer::Done);
        started.clockMilliseconds = 1003;
        Actions after;
        harness.agent.onStarted(at(16), start, started, after);
        const Wire::HostReport report = messagesOf<Wire::HostReport>(after).at(0);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Ready, report.state);
        CPPUNIT_ASSERT_EQUAL(Wire::OrderOutcome::Started, report.results.at(0).outcome);
    }

    // Guards against a second run of what has ended: the host refuses a repeated start of it as old.
    void aStartRefusedAsOldIsLookedFor()
    {
        Harness harness;
        const StartOnHost start = actionsOf<StartOnHost>(harness.order(10, Harness::startOrders(4))).at(0);
        HostResponse refused = answer(HostAnswer::Refused);
        refused.reason = "old";
        Actions actions;
        harness.agent.onStarted(at(20), start, refused, actions);
        CPPUNIT_ASSERT_MESSAGE("it may have run", messagesOf<Wire::HostReport>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<HaltOnHost>(harness.tick(21)).size());
    }

    // Guards against a second run of what goes on: a farewell may be a late one of an earlier life.
    void aFarewellIsBelievedOnceThePortIsClosed()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        const ListHost list = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onFarewell(at(12), "host-1", actions);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(actions).empty());
        Actions closed;
        harness.agent.onListed(at(14), list, answer(HostAnswer::NotListening), closed);
        CPPUNIT_ASSERT_EQUAL(Wire::HostState::Gone, messagesOf<Wire::HostReport>(closed).at(0).state);
    }

    // Guards against a second run of what goes on: a late farewell makes one refused connection enough for good.
    void aFarewellOfAnEarlierLifeIsForgotten()
    {
        Harness harness;
        harness.order(10, Harness::startOrders(4));
        const ListHost list = actionsOf<ListHost>(harness.tick(11)).at(0);
        Actions actions;
        harness.agent.onFarewell(at(12), "host-1", actions);
        harness.agent.onAnnouncement(at(13), facts(1, 2), actions);
        harness.agent.onListed(at(14), list, answer(HostAnswer::NotListening), actions);
        CPPUNIT_ASSERT(messagesOf<Wire::HostReport>(actions).empty());
    }

    static bool logs(const Actions& actions, const std::string& event)
    {
        for (const WriteLog& line : actionsOf<WriteLog>(actions)) {
            if (line.line.starts_with("event=" + event + " "))
                return true;
        }
        return false;
    }

    // Guards against giving up a host that runs on, and its runs with it, for an announcement of another writer.
    void anotherServiceTakesNoHostsPlace()
    {
        Harness harness;
        HostDescription other = facts(2, 1);
        other.hostId = "host-2";
        other.service = "elsewhere";
        Actions first;
        harness.agent.onAnnouncement(at(5), other, first);
        harness.agent.onAnnouncement(at(6), facts(3, 1), first);
        CPPUNIT_ASSERT_MESSAGE("nobody has answered as the other one", logs(first, "host_ended"));
        Wire::HostOrders orders = Harness::startOrders(4);
        orders.incarnation = 3;
        harness.order(10, orders);
        HostResponse listed = answer(HostAnswer::Done);
        listed.incarnation = 3;
        harness.agent.onListed(at(12), actionsOf<ListHost>(harness.tick(11)).at(0), listed, first);
        other.incarnation = 4;
        Actions later;
        harness.agent.onAnnouncement(at(13), other, later);
        CPPUNIT_ASSERT(!logs(later, "host_ended"));
        CPPUNIT_ASSERT(logs(later, "announcement_passed_over"));
        Actions last;
        other.service = "desk";
        harness.agent.onAnnouncement(at(14), other, last);
        CPPUNIT_ASSERT_MESSAGE("the next life of the host", logs(last, "host_ended"));
    }

    void repeatsAPaceThatWasNotAnswered()
    {
        Harness harness;
        Wire::HostOrders orders = Harness::startOrders(4);
        orders.starts.clear();
        Wire::PaceOrder pace;
        pace.task = makeTask("00000000000000aa", 0, 0);
        pace.run = 1;
        pace.percent = 40;
        orders.paces.push_back(pace);
        const PaceOnHost first = actionsOf<PaceOnHost>(harness.order(10, orders)).at(0);
        Actions actions;
        harness.agent.onPaced(at(700), first, answer(HostAnswer::Uncertain), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<PaceOnHost>(harness.tick(900)).size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostAgentTest);
