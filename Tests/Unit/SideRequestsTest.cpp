/// The outcomes that a side reports for dispatches: fenced dispatches never run, and finished ones keep their answer.
#include "Decision/Request/SideRequests.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class SideRequestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SideRequestsTest);
    CPPUNIT_TEST(aFencedDispatchNeverRuns);
    CPPUNIT_TEST(aWaitingDispatchCanBeFenced);
    CPPUNIT_TEST(aRunningDispatchCannotBeFenced);
    CPPUNIT_TEST(aRepeatedDispatchRunsOnce);
    CPPUNIT_TEST(anEarlierIncarnationIsUnknown);
    CPPUNIT_TEST(refusesDuringShutdownAndWithoutABundle);
    CPPUNIT_TEST(aBrokenCallIsUnknown);
    CPPUNIT_TEST(retainedAnswersAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t incarnation = 5;
    static constexpr LinkId link = 1;
    static constexpr LinkId newLink = 2;

    static SideRequests makeSide(int slots)
    {
        SideRequests side("side-1", incarnation);
        side.setBundle(makeTestRegistry(1).current());
        Actions actions;
        side.setSlots(at(0), slots, actions);
        return side;
    }

    static Wire::RunRequest dispatch(const std::string& id)
    {
        Wire::RunRequest request;
        request.dispatchId = id;
        request.budgetMicroseconds = 1'000'000;
        request.sideIncarnation = incarnation;
        request.body = "body of " + id;
        return request;
    }

    static Actions run(SideRequests& side, long long now, const std::string& id)
    {
        Actions actions;
        side.onRunRequest(at(now), link, dispatch(id), actions);
        return actions;
    }

    static Wire::RunAnswer resolve(
        SideRequests& side, long long now, const std::string& id, std::int64_t queriedIncarnation = incarnation)
    {
        Wire::ResolveRequest request;
        request.dispatchId = id;
        request.sideIncarnation = queriedIncarnation;
        request.fence = true;
        Actions actions;
        side.onResolveRequest(at(now), newLink, request, actions);
        // Exactly one answer goes to the link that sent the query; other links may receive one too.
        std::vector<Wire::RunAnswer> answers;
        for (const SendMessage& send : actionsOf<SendMessage>(actions)) {
            if (send.link == newLink)
                answers.push_back(std::get<Wire::RunAnswer>(send.message));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        return answers.front();
    }

    void aFencedDispatchNeverRuns()
    {
        SideRequests side = makeSide(8);
        CPPUNIT_ASSERT(resolve(side, 0, "d").outcome == Wire::Outcome::NotRun);
        const Actions late = run(side, 10, "d");
        CPPUNIT_ASSERT(actionsOf<CallTarget>(late).empty());
        CPPUNIT_ASSERT(messagesOf<Wire::RunAnswer>(late).front().outcome == Wire::Outcome::NotRun);
    }

    void aWaitingDispatchCanBeFenced()
    {
        SideRequests side = makeSide(1);
        run(side, 0, "first");
        CPPUNIT_ASSERT(actionsOf<CallTarget>(run(side, 0, "second")).empty());
        CPPUNIT_ASSERT(resolve(side, 1, "second").outcome == Wire::Outcome::NotRun);
        Actions actions;
        side.onTargetResult(at(10), "first", { TargetResult::Kind::Answered, 200, "done" }, actions);
        CPPUNIT_ASSERT(actionsOf<CallTarget>(actions).empty());
    }

    void aRunningDispatchCannotBeFenced()
    {
        SideRequests side = makeSide(8);
        run(side, 0, "d");
        CPPUNIT_ASSERT(resolve(side, 1, "d").outcome == Wire::Outcome::Running);
        Actions actions;
        side.onTargetResult(at(10), "d", { TargetResult::Kind::Answered, 200, "the answer" }, actions);
        // The answer goes to the link of the dispatch and to the link of the query.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), actionsOf<SendMessage>(actions).size());
        CPPUNIT_ASSERT_EQUAL(link, actionsOf<SendMessage>(actions).front().link);
        CPPUNIT_ASSERT_EQUAL(newLink, actionsOf<SendMessage>(actions).back().link);
        CPPUNIT_ASSERT_EQUAL(std::string("the answer"), resolve(side, 11, "d").body);
    }

    void aRepeatedDispatchRunsOnce()
    {
        SideRequests side = makeSide(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<CallTarget>(run(side, 0, "d")).size());
        CPPUNIT_ASSERT(actionsOf<CallTarget>(run(side, 1, "d")).empty());
        Actions actions;
        side.onTargetResult(at(10), "d", { TargetResult::Kind::Answered, 200, "x" }, actions);
        CPPUNIT_ASSERT(actionsOf<CallTarget>(run(side, 11, "d")).empty());
    }

    void anEarlierIncarnationIsUnknown()
    {
        SideRequests side = makeSide(8);
        CPPUNIT_ASSERT(resolve(side, 0, "d", incarnation - 1).outcome == Wire::Outcome::Unknown);
    }

    void refusesDuringShutdownAndWithoutABundle()
    {
        SideRequests sideWithoutBundle("side-1", incarnation);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorCode::NoBundle),
            messagesOf<Wire::RunAnswer>(run(sideWithoutBundle, 0, "d")).front().code);
        SideRequests side = makeSide(8);
        side.beginShutdown();
        CPPUNIT_ASSERT_EQUAL(
            static_cast<int>(ErrorCode::Leaving), messagesOf<Wire::RunAnswer>(run(side, 0, "d")).front().code);
    }

    void aBrokenCallIsUnknown()
    {
        SideRequests side = makeSide(8);
        run(side, 0, "d");
        Actions actions;
        side.onTargetResult(at(10), "d", { TargetResult::Kind::Uncertain, 0, "" }, actions);
        CPPUNIT_ASSERT(messagesOf<Wire::RunAnswer>(actions).front().outcome == Wire::Outcome::Unknown);
        CPPUNIT_ASSERT(resolve(side, 11, "d").outcome == Wire::Outcome::Unknown);
    }

    void retainedAnswersAreBounded()
    {
        SideRequests side = makeSide(8);
        constexpr int answers = 40;
        const std::string large(1 << 20, 'x');
        for (int n = 0; n < answers; ++n) {
            run(side, n, std::to_string(n));
            Actions actions;
            side.onTargetResult(at(n), std::to_string(n), { TargetResult::Kind::Answered, 200, large }, actions);
        }
        CPPUNIT_ASSERT_EQUAL(large.size(), resolve(side, answers, std::to_string(answers - 1)).body.size());
        CPPUNIT_ASSERT(resolve(side, answers, "0").outcome == Wire::Outcome::Unknown);
        Actions actions;
        side.tick(at(1'000'000), actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), side.dispatchesKept());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SideRequestsTest);
