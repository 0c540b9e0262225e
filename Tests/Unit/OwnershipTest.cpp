/// One owner at a time: several entries over one store in virtual time.
#include "Decision/Process/JobEntryCore.h"
#include "Support/VirtualStore.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace Plantainpier;

class OwnershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(oneOfThreeWins);
    CPPUNIT_TEST(aDeadOwnerIsReplacedWithinTwoSeconds);
    CPPUNIT_TEST(aResigningOwnerIsReplacedAtOnce);
    CPPUNIT_TEST(anOwnerCutFromTheStoreIsReplacedAndFenced);
    CPPUNIT_TEST(nobodyClaimsWhileTheStoreIsAway);
    CPPUNIT_TEST(aFrozenOwnerWakesAndStepsDown);
    CPPUNIT_TEST(aClaimWhoseAnswerWasLostIsFound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 5;
    static constexpr int storeDelay = 5;

    /// One entry and its way to the store.
    struct Node {
        explicit Node(int number)
            : ownership(NodeIdentity { "entry-" + std::to_string(number), 100 + number, "127.0.0.1", 7720 + number },
                OwnerRules {}, OwnershipTiming {})
        {
            ownership.onChange = [](Instant, bool, Actions&) {};
        }

        Ownership ownership;
        bool frozen = false;
        bool cut = false;
        /// Loses the answers of appends.
        bool loses = false;
    };

    /// A call under way: due when its answer is handed on.
    struct Call {
        std::size_t node;
        int due;
        Action action;
        int waitUntil = 0;
    };

    struct World {
        explicit World(int count)
        {
            for (int n = 0; n < count; ++n)
                nodes.push_back(std::make_unique<Node>(n));
        }

        void run(int until)
        {
            for (; now < until; now += stepMilliseconds) {
                for (std::size_t n = 0; n < nodes.size(); ++n) {
                    if (nodes[n]->frozen)
                        continue;
                    Actions actions;
                    nodes[n]->ownership.tick(at(now), now, actions);
                    take(n, actions);
                }
                std::deque<Call> due;
                due.swap(calls);
                for (Call& call : due)
                    serve(call);
            }
        }

        void take(std::size_t node, const Actions& actions)
        {
            for (const Action& action : actions) {
                const ReadStore* read = std::get_if<ReadStore>(&action);
                const bool toStore = read || std::holds_alternative<AppendToStore>(action)
                    || std::holds_alternative<ReadNewest>(action);
                if (!toStore)
                    continue;
                const int wait = read ? static_cast<int>(toMilliseconds(read->wait)) : 0;
                calls.push_back(Call { node, now + storeDelay, action, now + wait });
            }
        }

        void serve(Call& call)
        {
            if (now < call.due) {
                calls.push_back(call);
                return;
            }
            Node& node = *nodes[call.node];
            Actions actions;
            if (const AppendToStore* append = std::get_if<AppendToStore>(&call.action)) {
                AppendResponse response;
                if (!node.cut && !away)
                    response = store.append(*append);
                if (node.loses)
                    response = AppendResponse();
                if (!node.frozen)
                    node.ownership.onAppendResponse(at(now), append->callId, response, actions);
            } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&call.action)) {
                const NewestResponse response = node.cut || away ? NewestResponse() : store.newest(*newest);
                if (!node.frozen)
                    node.ownership.onNewest(at(now), newest->callId, response, actions);
            } else if (const ReadStore* read = std::get_if<ReadStore>(&call.action)) {
                const ReadResponse response = node.cut || away ? ReadResponse() : store.read(*read);
                if (response.answered && response.records.empty() && now < call.waitUntil) {
                    calls.push_back(call);
                    return;
                }
                if (!node.frozen)
                    node.ownership.onRead(at(now), read->callId, response, actions);
            }
            take(call.node, actions);
        }

        std::vector<std::size_t> owners() const
        {
            std::vector<std::size_t> found;
            for (std::size_t n = 0; n < nodes.size(); ++n) {
                if (nodes[n]->ownership.owner() && !nodes[n]->frozen)
                    found.push_back(n);
            }
            return found;
        }

        /// Milliseconds until an owner other than this node stands.
        int untilReplaced(std::size_t former, int limit)
        {
            const int begun = now;
            while (now < begun + limit) {
                run(now + stepMilliseconds);
                for (const std::size_t owner : owners()) {
                    if (owner != former)
                        return now - begun;
                }
            }
            return limit;
        }

        int now = 0;
        bool away = false;
        VirtualStore store;
        std::vector<std::unique_ptr<Node>> nodes;
        std::deque<Call> calls;
    };

    void oneOfThreeWins()
    {
        World world(3);
        world.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
        const std::int64_t term = world.nodes[0]->ownership.current().term;
        for (const std::unique_ptr<Node>& node : world.nodes)
            CPPUNIT_ASSERT_EQUAL(term, node->ownership.current().term);
    }

    void aDeadOwnerIsReplacedWithinTwoSeconds()
    {
        World world(3);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        world.nodes[owner]->frozen = true;
        CPPUNIT_ASSERT(world.untilReplaced(owner, 5000) <= 2000);
        world.run(world.now + 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
    }

    void aResigningOwnerIsReplacedAtOnce()
    {
        World world(3);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        Actions actions;
        world.nodes[owner]->ownership.resign(at(world.now), actions);
        CPPUNIT_ASSERT(world.untilReplaced(owner, 5000) <= 200);
        CPPUNIT_ASSERT(world.nodes[owner]->ownership.hasResigned());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
    }

    void anOwnerCutFromTheStoreIsReplacedAndFenced()
    {
        World world(3);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        world.nodes[owner]->cut = true;
        CPPUNIT_ASSERT(world.untilReplaced(owner, 5000) <= 2500);
        world.nodes[owner]->cut = false;
        world.run(world.now + 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
        CPPUNIT_ASSERT(world.owners().at(0) != owner);
    }

    void nobodyClaimsWhileTheStoreIsAway()
    {
        World world(3);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        world.away = true;
        world.run(world.now + 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
        CPPUNIT_ASSERT_EQUAL(owner, world.owners().at(0));
        world.away = false;
        world.run(world.now + 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
    }

    void aFrozenOwnerWakesAndStepsDown()
    {
        World world(3);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        world.nodes[owner]->frozen = true;
        world.run(world.now + 4000);
        world.nodes[owner]->frozen = false;
        // Its calls of before were lost with the pause.
        world.run(world.now + 12'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
    }

    void aClaimWhoseAnswerWasLostIsFound()
    {
        World world(1);
        world.nodes[0]->loses = true;
        world.run(200);
        world.nodes[0]->loses = false;
        world.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.owners().size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
