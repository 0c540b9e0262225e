/// One owner at a time: several entries over one store in virtual time.
#include "Decision/Process/JobEntryCore.h"
#include "Support/JobFixture.h"
#include "Support/VirtualStore.h"
#include "Support/VirtualTime.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <functional>

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
    CPPUNIT_TEST(aRestartedOwnerWaitsForTheOwnerBeforeIt);
    CPPUNIT_TEST(aClaimOfAProcessThatNeverOwnedShortensNoWait);
    CPPUNIT_TEST(aRestartedOwnerWaitsOneLeaseWhenNobodyBeforeItHolds);
    CPPUNIT_TEST(aResignationWhoseAnswerIsLostIsNotTakenBack);
    CPPUNIT_TEST(aResignationAfterAnUnansweredSignOfLifeIsRead);
    CPPUNIT_TEST(anAnswerToAnEarlierTermIsNoSignOfLife);
    CPPUNIT_TEST(aPageReadForAnEarlierTermIsNotLoaded);
    CPPUNIT_TEST(anOwnerWithoutSignsOfLifeIsNotCertainWhenItIsReplaced);
    CPPUNIT_TEST(aSilenceOfBeforeASuspensionMakesNobodyClaim);
    CPPUNIT_TEST(anIntentionOfBeforeASuspensionMakesNobodyClaim);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 5;
    static constexpr int storeDelay = 5;

    static std::string nodeName(std::size_t number) { return "entry-" + std::to_string(number); }

    /// One entry and its way to the store.
    struct Node {
        explicit Node(int number, std::int64_t incarnation = 1)
            : ownership(NodeIdentity { nodeName(number), incarnation, "127.0.0.1", 7720 + number }, OwnerRules {},
                OwnershipTiming {})
        {
            ownership.onChange = [](Instant, bool, Actions&) {};
        }

        Ownership ownership;
        bool frozen = false;
        bool cut = false;
        /// Loses the answers of appends.
        bool loses = false;
        /// Loses the answers of reads.
        bool losesReads = false;
        /// Signs of life do not reach the store.
        bool silent = false;
        /// The longest lease that it ordered, on the hosts' clock.
        std::int64_t leaseOrdered = 0;
        /// Calls that the store carries out, but whose answers are late.
        std::function<bool(const Action&)> delays;
        std::vector<std::function<void(Actions&)>> late;
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
            for (const Wire::HostOrders& orders : messagesOf<Wire::HostOrders>(actions))
                nodes[node]->leaseOrdered = std::max(nodes[node]->leaseOrdered, orders.leaseUntilMilliseconds);
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
                const bool hangs = node.silent && append->topic == StoreTopic::Pulses;
                if (!node.cut && !away && !hangs)
                    response = store.append(*append);
                if (node.delays && node.delays(call.action)) {
                    node.late.push_back([this, &node, id = append->callId, response](Actions& more) {
                        node.ownership.onAppendResponse(at(now), id, response, more);
                    });
                    return;
                }
                if (node.loses)
                    response = AppendResponse();
                if (!node.frozen)
                    node.ownership.onAppendResponse(at(now), append->callId, response, actions);
            } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&call.action)) {
                const NewestResponse response = node.cut || away ? NewestResponse() : store.newest(*newest);
                if (node.delays && node.delays(call.action)) {
                    node.late.push_back([this, &node, id = newest->callId, response](
                                            Actions& more) { node.ownership.onNewest(at(now), id, response, more); });
                    return;
                }
                if (!node.frozen)
                    node.ownership.onNewest(at(now), newest->callId, response, actions);
            } else if (const ReadStore* read = std::get_if<ReadStore>(&call.action)) {
                const ReadResponse response = node.cut || away ? ReadResponse() : store.read(*read);
                if (response.answered && response.records.empty() && now < call.waitUntil) {
                    calls.push_back(call);
                    return;
                }
                if (node.delays && node.delays(call.action)) {
                    node.late.push_back([this, &node, id = read->callId, response](
                                            Actions& more) { node.ownership.onRead(at(now), id, response, more); });
                    return;
                }
                if (!node.frozen)
                    node.ownership.onRead(at(now), read->callId, node.losesReads ? ReadResponse() : response, actions);
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

        /// The process of a node ends, and a new one starts.
        void restart(std::size_t node)
        {
            std::erase_if(calls, [node](const Call& call) { return call.node == node; });
            nodes[node] = std::make_unique<Node>(static_cast<int>(node), ++lastIncarnation);
        }

        /// A host that was given orders; no owner hears it.
        void addUnheardHost()
        {
            AppendToStore append;
            append.topic = StoreTopic::Jobs;
            append.records.push_back(StoreRecord { StoreKey::host("i-1"), Wire::encode(Wire::HostRecord()) });
            store.append(append);
        }

        /// Milliseconds until an owner takes every lease that was granted before it for over.
        int untilAccounted(std::size_t owner, int limit)
        {
            const int begun = now;
            while (now < begun + limit && !nodes[owner]->ownership.owner()->state().hostsAccounted(at(now)))
                run(now + stepMilliseconds);
            return now - begun;
        }

        /// The owner is told that a host runs this.
        void report(std::size_t owner, const std::vector<Wire::RunningTask>& running)
        {
            JobOwner& reader = *nodes[owner]->ownership.owner();
            Wire::HostReport report = makeReport("i-1", 1, now);
            Actions actions;
            report.listed = false;
            reader.onReport(at(now), testLink, report, actions);
            report.listed = true;
            report.listFence = reader.state().hosts.hosts().at("i-1").fence;
            report.running = running;
            reader.onReport(at(now), testLink, report, actions);
            take(owner, actions);
        }

        void submit(std::size_t owner, const std::string& jobId)
        {
            const Wire::JobCall call
                = makeCall(Wire::JobCallKind::Submit, makeJob(jobId, { makeStep(1, 1000, 60'000) }));
            Actions actions;
            nodes[owner]->ownership.owner()->onCall(at(now), CallOrigin { noLink, 1 }, call, actions);
            take(owner, actions);
        }

        /// The newest sign of life in the store.
        Wire::OwnerPulse newestPulse() const
        {
            const NewestResponse newest = store.newest(ReadNewest { 0, StoreTopic::Pulses, {} });
            const std::optional<Wire::OwnerPulse> pulse
                = newest.records.empty() ? std::nullopt : Wire::decode<Wire::OwnerPulse>(newest.records[0].value);
            return pulse ? *pulse : Wire::OwnerPulse();
        }

        /// Another process claims and wins; it does nothing else.
        void claimAs(const std::string& nodeId)
        {
            Wire::OwnerClaim claim;
            claim.nodeId = nodeId;
            claim.incarnation = ++lastIncarnation;
            claim.address = "127.0.0.1";
            claim.port = 7720;
            AppendToStore append;
            append.topic = StoreTopic::Owners;
            append.records.push_back(StoreRecord { "owner", Wire::encode(claim) });
            store.append(append);
        }

        /// The owner of this term, which is no node of this world, stores one record.
        void appendAs(std::int64_t term, StoreTopic topic, const std::string& key, const std::string& value)
        {
            AppendToStore append;
            append.topic = topic;
            append.epoch = term;
            append.number = 1;
            append.records.push_back(StoreRecord { key, value });
            store.append(append);
        }

        /// While the only node has a call of term 1 under way, another process owns as term 2, stores a job and
        /// resigns; then the node has won term 3 and done nothing yet.
        void letAnotherOwnAndResign()
        {
            claimAs("entry-9");
            appendAs(2, StoreTopic::Jobs, StoreKey::job("aa"), Wire::encode(makeJob("aa", { makeStep(1, 1000, 100) })));
            Wire::OwnerPulse pulse;
            pulse.term = 2;
            pulse.resigning = true;
            appendAs(2, StoreTopic::Pulses, "pulse", Wire::encode(pulse));
            while (nodes[0]->ownership.current().term < 3 && now < 10'000)
                run(now + stepMilliseconds);
        }

        void handLateAnswers(std::size_t node)
        {
            Actions actions;
            for (const std::function<void(Actions&)>& answer : nodes[node]->late)
                answer(actions);
            nodes[node]->late.clear();
            take(node, actions);
        }

        int now = 0;
        std::int64_t lastIncarnation = 1;
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

    /// This owner must not take leases for over that a former one, which is cut from the store, may still grant.
    static void checkOutlasts(World& world, std::size_t owner, std::size_t former)
    {
        CPPUNIT_ASSERT(world.nodes[owner]->ownership.owner());
        CPPUNIT_ASSERT(world.nodes[former]->ownership.owner());
        const Duration hold = OwnerRules {}.ownershipHold;
        const Instant holdsUntil = world.nodes[former]->ownership.owner()->state().confirmedAt + hold;
        world.untilAccounted(owner, 20'000);
        CPPUNIT_ASSERT_MESSAGE(
            "the former owner may grant for " + std::to_string(toMilliseconds(holdsUntil - at(world.now))) + " ms more",
            at(world.now) >= holdsUntil);
        CPPUNIT_ASSERT(at(world.now) <= holdsUntil + hold);
    }

    // Guards against tasks started twice: the owner before the one that ended may still extend leases.
    void aRestartedOwnerWaitsForTheOwnerBeforeIt()
    {
        World world(2);
        world.run(3000);
        const std::size_t first = world.owners().at(0);
        const std::size_t second = 1 - first;
        world.addUnheardHost();
        world.nodes[first]->cut = true;
        CPPUNIT_ASSERT(world.untilReplaced(first, 5000) <= 2500);
        world.restart(second);
        CPPUNIT_ASSERT(world.untilReplaced(first, 5000) <= 500);
        checkOutlasts(world, second, first);
    }

    // Guards against tasks started twice: a claim that is carried out late says nothing of the owner before it.
    void aClaimOfAProcessThatNeverOwnedShortensNoWait()
    {
        World world(2);
        world.run(3000);
        const std::size_t first = world.owners().at(0);
        const std::size_t second = 1 - first;
        world.addUnheardHost();
        world.nodes[first]->cut = true;
        world.claimAs(nodeName(second));
        CPPUNIT_ASSERT(world.untilReplaced(first, 5000) <= 500);
        checkOutlasts(world, second, first);
    }

    // Guards against a wait that is longer than needed when an owner is restarted.
    void aRestartedOwnerWaitsOneLeaseWhenNobodyBeforeItHolds()
    {
        World world(1);
        world.run(12'000);
        world.addUnheardHost();
        world.restart(0);
        CPPUNIT_ASSERT(world.untilReplaced(1, 5000) <= 500);
        const Duration lease = OwnerRules {}.lease;
        const int waited = world.untilAccounted(0, 20'000);
        CPPUNIT_ASSERT(milliseconds(waited) >= lease);
        CPPUNIT_ASSERT(milliseconds(waited) <= lease + milliseconds(500));
    }

    // Guards against tasks started twice: a successor that read the resignation waits one lease only.
    void aResignationWhoseAnswerIsLostIsNotTakenBack()
    {
        World world(2);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        Node& node = *world.nodes[owner];
        world.report(owner, {});
        world.submit(owner, "aa");
        world.run(world.now + 200);
        CPPUNIT_ASSERT(node.leaseOrdered > 0);
        const std::vector<Wire::RunningTask> running { makeRunning(makeTask("aa", 0, 0), 1) };
        for (int n = 0; n < 15; ++n) {
            world.report(owner, running);
            world.run(world.now + 100);
        }
        Actions actions;
        node.ownership.resign(at(world.now), actions);
        node.loses = true;
        node.losesReads = true;
        while (!world.newestPulse().resigning && world.now < 10'000)
            world.run(world.now + stepMilliseconds);
        CPPUNIT_ASSERT(world.newestPulse().resigning);
        const std::int64_t granted = node.leaseOrdered;
        bool certain = false;
        for (int n = 0; n < 30 && node.ownership.owner(); ++n) {
            world.report(owner, running);
            world.run(world.now + 100);
            const JobOwner* resigned = node.ownership.owner();
            certain = certain || (resigned && resigned->state().isCertain(at(world.now)));
        }
        CPPUNIT_ASSERT(world.nodes[1 - owner]->ownership.owner());
        CPPUNIT_ASSERT_EQUAL(granted, node.leaseOrdered);
        CPPUNIT_ASSERT(!certain);
        node.loses = false;
        world.run(world.now + 1000);
        CPPUNIT_ASSERT(node.ownership.hasResigned() && !node.ownership.owner());
    }

    // Guards against a hand-over that nobody reads: the store answers a repeated number with what it stored first.
    void aResignationAfterAnUnansweredSignOfLifeIsRead()
    {
        World world(2);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        Node& node = *world.nodes[owner];
        node.loses = true;
        world.run(world.now + 550);
        node.loses = false;
        Actions actions;
        node.ownership.resign(at(world.now), actions);
        CPPUNIT_ASSERT(world.untilReplaced(owner, 5000) <= 500);
        CPPUNIT_ASSERT(world.newestPulse().term > 1);
    }

    // Guards against an owner whose predecessor may still be confirmed: an answer to a call of an earlier term.
    void anAnswerToAnEarlierTermIsNoSignOfLife()
    {
        World world(1);
        world.run(3000);
        Node& node = *world.nodes[0];
        node.delays = [](const Action& action) {
            const AppendToStore* append = std::get_if<AppendToStore>(&action);
            return append && append->topic == StoreTopic::Pulses;
        };
        while (node.late.empty())
            world.run(world.now + stepMilliseconds);
        node.delays = nullptr;
        node.silent = true;
        world.letAnotherOwnAndResign();
        world.handLateAnswers(0);
        world.run(world.now + 500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), node.ownership.current().term);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), world.newestPulse().term);
        CPPUNIT_ASSERT_MESSAGE("owns without a sign of life of its term in the store", !node.ownership.owner());
        node.silent = false;
        world.run(world.now + 500);
        CPPUNIT_ASSERT(node.ownership.owner());
    }

    // Guards against an owner that does not know jobs which were accepted before it: a page that was read earlier.
    void aPageReadForAnEarlierTermIsNotLoaded()
    {
        World world(1);
        Node& node = *world.nodes[0];
        node.delays = [](const Action& action) {
            const ReadNewest* read = std::get_if<ReadNewest>(&action);
            return read && read->topic == StoreTopic::Jobs;
        };
        while (node.late.empty())
            world.run(world.now + stepMilliseconds);
        node.delays = nullptr;
        world.letAnotherOwnAndResign();
        while (world.newestPulse().term < 3)
            world.run(world.now + stepMilliseconds);
        world.handLateAnswers(0);
        world.run(world.now + 500);
        CPPUNIT_ASSERT(node.ownership.owner());
        CPPUNIT_ASSERT(node.ownership.owner()->state().jobs.contains("aa"));
    }

    // Guards against a run that goes on under a successor and is started again: only signs of life keep others from
    // claiming.
    void anOwnerWithoutSignsOfLifeIsNotCertainWhenItIsReplaced()
    {
        World world(2);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        Node& node = *world.nodes[owner];
        const Ownership& other = world.nodes[1 - owner]->ownership;
        node.silent = true;
        node.losesReads = true;
        for (int n = 0; n < 400 && !other.owner(); ++n) {
            if (n % 10 == 0 && node.ownership.owner())
                world.submit(owner, "job-" + std::to_string(n));
            world.run(world.now + stepMilliseconds);
            const bool certain = node.ownership.owner() && node.ownership.owner()->state().isCertain(at(world.now));
            CPPUNIT_ASSERT(!certain || (!other.isTakingOver() && !other.owner()));
        }
        CPPUNIT_ASSERT(other.owner());
    }

    /// The store tells a follower of a short silence of its owner; the follower is suspended before it handles that
    /// answer, or once it has.
    static void checkSuspendedFollower(bool answerHandled)
    {
        World world(2);
        world.run(3000);
        const std::size_t owner = world.owners().at(0);
        Node& other = *world.nodes[1 - owner];
        const std::int64_t term = other.ownership.current().term;
        other.delays = [](const Action& action) {
            const ReadStore* read = std::get_if<ReadStore>(&action);
            return read && read->topic == StoreTopic::Pulses;
        };
        world.nodes[owner]->silent = true;
        while (other.late.empty() && world.now < 10'000)
            world.run(world.now + stepMilliseconds);
        CPPUNIT_ASSERT(!other.late.empty());
        other.delays = nullptr;
        if (answerHandled)
            world.handLateAnswers(1 - owner);
        world.nodes[owner]->silent = false;
        other.frozen = true;
        world.run(world.now + 2000);
        other.frozen = false;
        world.handLateAnswers(1 - owner);
        world.run(world.now + 3000);
        CPPUNIT_ASSERT_EQUAL(term, other.ownership.current().term);
        CPPUNIT_ASSERT(world.nodes[owner]->ownership.owner());
    }

    // Guards against a sound owner that is replaced: a process was suspended after the store had told it of a silence.
    void aSilenceOfBeforeASuspensionMakesNobodyClaim() { checkSuspendedFollower(false); }

    // Guards against a sound owner that is replaced: a process was suspended before it claimed.
    void anIntentionOfBeforeASuspensionMakesNobodyClaim() { checkSuspendedFollower(true); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
