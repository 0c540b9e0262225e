/// Tests Ownership in virtual time with several entries and one store: at most one entry may act as the owner of jobs.
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
    CPPUNIT_TEST(oneOfThreeEntriesBecomesOwner);
    CPPUNIT_TEST(aFailedOwnerIsReplacedWithinTwoSeconds);
    CPPUNIT_TEST(aResigningOwnerIsReplacedAtOnce);
    CPPUNIT_TEST(aResigningOwnerIsReplacedWhileTasksEnd);
    CPPUNIT_TEST(aResigningOwnerIsReplacedWhileItsRecordsAreNotStored);
    CPPUNIT_TEST(anOwnerWithoutTheStoreIsReplacedAndFenced);
    CPPUNIT_TEST(noEntryClaimsWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(anOwnerThatEndsBeforeItsFirstPulseIsReplaced);
    CPPUNIT_TEST(aFrozenOwnerStepsDownWhenItResumes);
    CPPUNIT_TEST(aClaimWhoseResponseWasLostIsFound);
    CPPUNIT_TEST(aRestartedOwnerWaitsForItsPredecessor);
    CPPUNIT_TEST(aClaimOfAProcessThatNeverOwnedDoesNotShortenTheWait);
    CPPUNIT_TEST(aRestartedOwnerWaitsOneLeaseWithoutAnActivePredecessor);
    CPPUNIT_TEST(aResignationWhoseResponseIsLostIsNotRevoked);
    CPPUNIT_TEST(aResignationAfterAnUnansweredPulseIsRead);
    CPPUNIT_TEST(aProcessThatEndsWhileItsClaimIsInFlightResigns);
    CPPUNIT_TEST(aResponseToAPulseOfAnEarlierTermDoesNotCount);
    CPPUNIT_TEST(aPageReadForAnEarlierTermIsNotLoaded);
    CPPUNIT_TEST(aPageWithoutRecordsThatIsNotTheLastIsReadAgain);
    CPPUNIT_TEST(anOwnerWithoutPulsesIsNotCertainWhenItIsReplaced);
    CPPUNIT_TEST(anOwnerWhoseRepeatedPulseIsAnsweredIsNotCertainWhenItIsReplaced);
    CPPUNIT_TEST(anOwnerWhoseRepeatedPulseIsAnsweredStaysOwner);
    CPPUNIT_TEST(pulseSilenceFromBeforeASuspensionCausesNoClaim);
    CPPUNIT_TEST(aPlannedClaimFromBeforeASuspensionIsDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 5;
    static constexpr int storeDelay = 5;

    static std::string nodeName(std::size_t number) { return "entry-" + std::to_string(number); }

    /// One entry and its connection to the store.
    struct Node {
        explicit Node(int number, std::int64_t incarnation = 1)
            : ownership(NodeIdentity { nodeName(number), incarnation, "127.0.0.1", 7720 + number }, OwnerRules {},
                OwnershipTiming {})
        {
            ownership.onChange = [](Instant, bool, Actions&) {};
        }

        Ownership ownership;
        bool frozen = false;
        bool storeUnreachable = false;
        bool losesAppendResponses = false;
        bool losesReadResponses = false;
        /// Pulses, the heartbeat records of an owner, do not reach the store.
        bool losesPulses = false;
        /// Records of jobs do not reach the store.
        bool losesJobRecords = false;
        /// The pages of job records that this node reads are empty and say that more follow.
        bool readsEmptyPages = false;
        /// The longest lease that this node ordered, on the hosts' clock.
        std::int64_t longestLeaseOrdered = 0;
        /// The newest end of a run that this node acknowledged to host i-1.
        std::int64_t acknowledgedNumber = 0;
        /// Selects calls that the store carries out, but whose responses are held back until deliverLateResponses().
        std::function<bool(const Action&)> delaysResponseTo;
        std::vector<std::function<void(Actions&)>> lateResponses;
    };

    /// A store call in flight; its response is delivered at `due`.
    struct Call {
        std::size_t node;
        int due;
        Action action;
        int waitUntil = 0;
    };

    struct Simulation {
        explicit Simulation(int count)
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
                    perform(n, actions);
                }
                std::deque<Call> due;
                due.swap(calls);
                for (Call& call : due)
                    handleStoreCall(call);
            }
        }

        void perform(std::size_t node, const Actions& actions)
        {
            for (const Wire::HostOrders& orders : messagesOf<Wire::HostOrders>(actions)) {
                nodes[node]->longestLeaseOrdered
                    = std::max(nodes[node]->longestLeaseOrdered, orders.leaseUntilMilliseconds);
                nodes[node]->acknowledgedNumber = std::max(nodes[node]->acknowledgedNumber, orders.acknowledgedNumber);
            }
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

        void handleStoreCall(Call& call)
        {
            if (now < call.due) {
                calls.push_back(call);
                return;
            }
            Node& node = *nodes[call.node];
            Actions actions;
            if (const AppendToStore* append = std::get_if<AppendToStore>(&call.action)) {
                AppendResponse response;
                const bool isLost = (node.losesPulses && append->topic == StoreTopic::Pulses)
                    || (node.losesJobRecords && append->topic == StoreTopic::Jobs);
                if (!node.storeUnreachable && !storeUnavailable && !isLost)
                    response = store.append(*append);
                if (node.delaysResponseTo && node.delaysResponseTo(call.action)) {
                    node.lateResponses.push_back([this, &node, id = append->callId, response](Actions& more) {
                        node.ownership.onAppendResponse(at(now), id, response, more);
                    });
                    return;
                }
                if (node.losesAppendResponses)
                    response = AppendResponse();
                if (!node.frozen)
                    node.ownership.onAppendResponse(at(now), append->callId, response, actions);
            } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&call.action)) {
                NewestResponse response
                    = node.storeUnreachable || storeUnavailable ? NewestResponse() : store.newest(*newest);
                if (node.readsEmptyPages && newest->topic == StoreTopic::Jobs) {
                    response.records.clear();
                    response.more = true;
                }
                if (node.delaysResponseTo && node.delaysResponseTo(call.action)) {
                    node.lateResponses.push_back([this, &node, id = newest->callId, response](Actions& more) {
                        node.ownership.onNewestResponse(at(now), id, response, more);
                    });
                    return;
                }
                if (!node.frozen)
                    node.ownership.onNewestResponse(at(now), newest->callId, response, actions);
            } else if (const ReadStore* read = std::get_if<ReadStore>(&call.action)) {
                const ReadResponse response
                    = node.storeUnreachable || storeUnavailable ? ReadResponse() : store.read(*read);
                if (response.answered && response.records.empty() && now < call.waitUntil) {
                    calls.push_back(call);
                    return;
                }
                if (node.delaysResponseTo && node.delaysResponseTo(call.action)) {
                    node.lateResponses.push_back([this, &node, id = read->callId, response](Actions& more) {
                        node.ownership.onReadResponse(at(now), id, response, more);
                    });
                    return;
                }
                if (!node.frozen)
                    node.ownership.onReadResponse(
                        at(now), read->callId, node.losesReadResponses ? ReadResponse() : response, actions);
            }
            perform(call.node, actions);
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

        /// Runs until a node other than this one owns; returns the milliseconds that this took, at most the limit.
        int millisecondsUntilReplaced(std::size_t former, int limit)
        {
            const int startedAt = now;
            while (now < startedAt + limit) {
                run(now + stepMilliseconds);
                for (const std::size_t owner : owners()) {
                    if (owner != former)
                        return now - startedAt;
                }
            }
            return limit;
        }

        /// Replaces the process of a node by a new one.
        void restart(std::size_t node)
        {
            std::erase_if(calls, [node](const Call& call) { return call.node == node; });
            nodes[node] = std::make_unique<Node>(static_cast<int>(node), ++lastIncarnation);
        }

        /// Stores a host that was given orders earlier and reports to no owner.
        void addHostThatNeverReports()
        {
            AppendToStore append;
            append.topic = StoreTopic::Jobs;
            append.records.push_back(StoreRecord { StoreKey::host("i-1"), Wire::encode(Wire::HostRecord()) });
            store.append(append);
        }

        /// Runs until the owner considers all leases that earlier owners granted as expired; returns the milliseconds.
        int millisecondsUntilHostsAccountedFor(std::size_t owner, int limit)
        {
            const int startedAt = now;
            while (
                now < startedAt + limit && !nodes[owner]->ownership.owner()->state().areAllHostsAccountedFor(at(now)))
                run(now + stepMilliseconds);
            return now - startedAt;
        }

        /// Delivers a report of host i-1 with the given runs to the owner.
        void report(std::size_t owner, const std::vector<Wire::RunningTask>& running,
            const std::vector<Wire::EndedTask>& ended = {})
        {
            JobOwner& reader = *nodes[owner]->ownership.owner();
            Wire::HostReport report = makeReport("i-1", 1, now);
            Actions actions;
            report.listed = false;
            reader.onReport(at(now), testLink, report, actions);
            report.listed = true;
            report.listFence = reader.state().hosts.hosts().at("i-1").fence;
            report.running = running;
            report.ended = ended;
            reader.onReport(at(now), testLink, report, actions);
            perform(owner, actions);
        }

        void submit(std::size_t owner, const std::string& jobId, int tasks = 1)
        {
            const Wire::JobCall call
                = makeCall(Wire::JobCallKind::Submit, makeJob(jobId, { makeStep(tasks, 1000, 60'000) }));
            Actions actions;
            nodes[owner]->ownership.owner()->onCall(at(now), CallOrigin { noLink, 1 }, call, actions);
            perform(owner, actions);
        }

        /// The newest pulse in the store.
        Wire::OwnerPulse newestPulse() const
        {
            const NewestResponse newest = store.newest(ReadNewest { 0, StoreTopic::Pulses, {} });
            const std::optional<Wire::OwnerPulse> pulse
                = newest.records.empty() ? std::nullopt : Wire::decode<Wire::OwnerPulse>(newest.records[0].value);
            return pulse ? *pulse : Wire::OwnerPulse();
        }

        /// Stores a claim of another process, which wins and does nothing else.
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

        /// Stores one record as the owner of this term, which is no node of the simulation.
        void appendAs(std::int64_t term, StoreTopic topic, const std::string& key, const std::string& value)
        {
            AppendToStore append;
            append.topic = topic;
            append.epoch = term;
            append.appendNumber = 1;
            append.records.push_back(StoreRecord { key, value });
            store.append(append);
        }

        /// While the only node has a call of term 1 in flight, another process owns as term 2, stores a job and
        /// resigns. Runs until the node has won term 3, before it does anything else.
        void runAnotherOwnerUntilItResigns()
        {
            claimAs("entry-9");
            appendAs(2, StoreTopic::Jobs, StoreKey::job("aa"), Wire::encode(makeJob("aa", { makeStep(1, 1000, 100) })));
            Wire::OwnerPulse pulse;
            pulse.term = 2;
            pulse.resigning = true;
            appendAs(2, StoreTopic::Pulses, "pulse", Wire::encode(pulse));
            while (nodes[0]->ownership.currentOwner().term < 3 && now < 10'000)
                run(now + stepMilliseconds);
        }

        void deliverLateResponses(std::size_t node)
        {
            Actions actions;
            for (const std::function<void(Actions&)>& answer : nodes[node]->lateResponses)
                answer(actions);
            nodes[node]->lateResponses.clear();
            perform(node, actions);
        }

        int now = 0;
        std::int64_t lastIncarnation = 1;
        bool storeUnavailable = false;
        VirtualStore store;
        std::vector<std::unique_ptr<Node>> nodes;
        std::deque<Call> calls;
    };

    void oneOfThreeEntriesBecomesOwner()
    {
        Simulation simulation(3);
        simulation.run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
        const std::int64_t term = simulation.nodes[0]->ownership.currentOwner().term;
        for (const std::unique_ptr<Node>& node : simulation.nodes)
            CPPUNIT_ASSERT_EQUAL(term, node->ownership.currentOwner().term);
    }

    void aFailedOwnerIsReplacedWithinTwoSeconds()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        simulation.nodes[owner]->frozen = true;
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 2000);
        simulation.run(simulation.now + 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
    }

    void aResigningOwnerIsReplacedAtOnce()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Actions actions;
        simulation.nodes[owner]->ownership.resign(at(simulation.now), actions);
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 200);
        CPPUNIT_ASSERT(simulation.nodes[owner]->ownership.hasResigned());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
    }

    // Guards against a hand-over that lasts as long as tasks end: nothing is scheduled meanwhile.
    void aResigningOwnerIsReplacedWhileTasksEnd()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        constexpr int tasks = 1000;
        simulation.submit(owner, "aa", tasks);
        simulation.run(simulation.now + 100);
        int ends = 0;
        const auto endOneTask = [&] {
            ++ends;
            simulation.report(
                owner, {}, { makeEndedTask(ends, makeTask("aa", 0, ends - 1), 1, Wire::RunEnd::Completed) });
            simulation.run(simulation.now + stepMilliseconds);
        };
        while (ends < 50)
            endOneTask();
        Actions actions;
        node.ownership.resign(at(simulation.now), actions);
        const int resignedAt = simulation.now;
        while (node.ownership.owner() && ends < tasks)
            endOneTask();
        CPPUNIT_ASSERT_MESSAGE("the resignation took " + std::to_string(simulation.now - resignedAt) + " ms",
            simulation.now - resignedAt <= 200);
        CPPUNIT_ASSERT(node.ownership.hasResigned());
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 200);
        const JobOwner& successor = *simulation.nodes[1 - owner]->ownership.owner();
        const int loaded = successor.state().jobs.at("aa")->steps().at(0).completedTasks;
        CPPUNIT_ASSERT(node.acknowledgedNumber >= 50);
        CPPUNIT_ASSERT_MESSAGE("ends that were acknowledged are missing", loaded >= node.acknowledgedNumber);
    }

    // Guards against an owner that never resigns because one of its records cannot be stored.
    void aResigningOwnerIsReplacedWhileItsRecordsAreNotStored()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        node.losesJobRecords = true;
        simulation.submit(owner, "aa");
        simulation.run(simulation.now + 100);
        Actions actions;
        node.ownership.resign(at(simulation.now), actions);
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 1500);
        CPPUNIT_ASSERT(node.ownership.hasResigned());
    }

    void anOwnerWithoutTheStoreIsReplacedAndFenced()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        simulation.nodes[owner]->storeUnreachable = true;
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 2500);
        simulation.nodes[owner]->storeUnreachable = false;
        simulation.run(simulation.now + 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
        CPPUNIT_ASSERT(simulation.owners().at(0) != owner);
    }

    void noEntryClaimsWhileTheStoreIsUnavailable()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        simulation.storeUnavailable = true;
        simulation.run(simulation.now + 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
        CPPUNIT_ASSERT_EQUAL(owner, simulation.owners().at(0));
        simulation.storeUnavailable = false;
        simulation.run(simulation.now + 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
    }

    // Guards against a system without an owner for good: reads of pulses wait for a short time only until the first
    // pulse is read, which is too short to show that pulses have stopped.
    void anOwnerThatEndsBeforeItsFirstPulseIsReplaced()
    {
        Simulation simulation(1);
        simulation.claimAs("entry-9");
        simulation.run(5000);
        CPPUNIT_ASSERT(simulation.nodes[0]->ownership.owner());
    }

    void aFrozenOwnerStepsDownWhenItResumes()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        simulation.nodes[owner]->frozen = true;
        simulation.run(simulation.now + 4000);
        simulation.nodes[owner]->frozen = false;
        // The responses to the calls that were in flight are lost.
        simulation.run(simulation.now + 12'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
    }

    void aClaimWhoseResponseWasLostIsFound()
    {
        Simulation simulation(1);
        simulation.nodes[0]->losesAppendResponses = true;
        simulation.run(200);
        simulation.nodes[0]->losesAppendResponses = false;
        simulation.run(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.owners().size());
    }

    /// Checks that the owner waits for the leases that a former owner without access to the store may still grant.
    static void checkWaitsOutLeasesOf(Simulation& simulation, std::size_t owner, std::size_t former)
    {
        CPPUNIT_ASSERT(simulation.nodes[owner]->ownership.owner());
        CPPUNIT_ASSERT(simulation.nodes[former]->ownership.owner());
        const Duration hold = OwnerRules {}.ownershipHold;
        const Instant holdsUntil = simulation.nodes[former]->ownership.owner()->state().ownershipConfirmedAt + hold;
        simulation.millisecondsUntilHostsAccountedFor(owner, 20'000);
        CPPUNIT_ASSERT_MESSAGE("the former owner may grant leases for "
                + std::to_string(toMilliseconds(holdsUntil - at(simulation.now))) + " ms more",
            at(simulation.now) >= holdsUntil);
        CPPUNIT_ASSERT(at(simulation.now) <= holdsUntil + hold);
    }

    // Guards against tasks started twice: the predecessor of the owner that ended may still extend leases.
    void aRestartedOwnerWaitsForItsPredecessor()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t first = simulation.owners().at(0);
        const std::size_t second = 1 - first;
        simulation.addHostThatNeverReports();
        simulation.nodes[first]->storeUnreachable = true;
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(first, 5000) <= 2500);
        simulation.restart(second);
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(first, 5000) <= 500);
        checkWaitsOutLeasesOf(simulation, second, first);
    }

    // Guards against tasks started twice: a claim that the store carries out late gives no information about the
    // owner before it.
    void aClaimOfAProcessThatNeverOwnedDoesNotShortenTheWait()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t first = simulation.owners().at(0);
        const std::size_t second = 1 - first;
        simulation.addHostThatNeverReports();
        simulation.nodes[first]->storeUnreachable = true;
        simulation.claimAs(nodeName(second));
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(first, 5000) <= 500);
        checkWaitsOutLeasesOf(simulation, second, first);
    }

    // Guards against an unnecessarily long wait when an owner is restarted.
    void aRestartedOwnerWaitsOneLeaseWithoutAnActivePredecessor()
    {
        Simulation simulation(1);
        simulation.run(12'000);
        simulation.addHostThatNeverReports();
        simulation.restart(0);
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(1, 5000) <= 500);
        const Duration lease = OwnerRules {}.lease;
        const int waited = simulation.millisecondsUntilHostsAccountedFor(0, 20'000);
        CPPUNIT_ASSERT(milliseconds(waited) >= lease);
        CPPUNIT_ASSERT(milliseconds(waited) <= lease + milliseconds(500));
    }

    // Guards against tasks started twice: a successor that has read the resignation waits for one lease only, so the
    // resigning owner must extend no lease, although it received no response.
    void aResignationWhoseResponseIsLostIsNotRevoked()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        simulation.report(owner, {});
        simulation.submit(owner, "aa");
        simulation.run(simulation.now + 200);
        CPPUNIT_ASSERT(node.longestLeaseOrdered > 0);
        const std::vector<Wire::RunningTask> running { makeRunningTask(makeTask("aa", 0, 0), 1) };
        for (int n = 0; n < 15; ++n) {
            simulation.report(owner, running);
            simulation.run(simulation.now + 100);
        }
        Actions actions;
        node.ownership.resign(at(simulation.now), actions);
        node.losesAppendResponses = true;
        node.losesReadResponses = true;
        while (!simulation.newestPulse().resigning && simulation.now < 10'000)
            simulation.run(simulation.now + stepMilliseconds);
        CPPUNIT_ASSERT(simulation.newestPulse().resigning);
        const std::int64_t granted = node.longestLeaseOrdered;
        bool certain = false;
        for (int n = 0; n < 30 && node.ownership.owner(); ++n) {
            simulation.report(owner, running);
            simulation.run(simulation.now + 100);
            const JobOwner* resigned = node.ownership.owner();
            certain = certain || (resigned && resigned->state().isOwnershipCertain(at(simulation.now)));
        }
        CPPUNIT_ASSERT(simulation.nodes[1 - owner]->ownership.owner());
        CPPUNIT_ASSERT_EQUAL(granted, node.longestLeaseOrdered);
        CPPUNIT_ASSERT(!certain);
        node.losesAppendResponses = false;
        simulation.run(simulation.now + 1000);
        CPPUNIT_ASSERT(node.ownership.hasResigned() && !node.ownership.owner());
    }

    // Guards against a hand-over that is never stored: the store ignores an append that reuses the sequence number of
    // the unanswered pulse, and returns the response to that pulse.
    void aResignationAfterAnUnansweredPulseIsRead()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        node.losesAppendResponses = true;
        simulation.run(simulation.now + 550);
        node.losesAppendResponses = false;
        Actions actions;
        node.ownership.resign(at(simulation.now), actions);
        CPPUNIT_ASSERT(simulation.millisecondsUntilReplaced(owner, 5000) <= 500);
        CPPUNIT_ASSERT(simulation.newestPulse().term > 1);
    }

    // Guards against a term without an owner: a process that is stopped while its claim is in flight ended as one that
    // owns nothing, and the claim won.
    void aProcessThatEndsWhileItsClaimIsInFlightResigns()
    {
        Simulation simulation(3);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        const std::size_t second = owner == 0 ? 1 : 0;
        const std::size_t third = 3 - owner - second;
        Node& claimant = *simulation.nodes[second];
        claimant.delaysResponseTo = [](const Action& action) {
            const AppendToStore* append = std::get_if<AppendToStore>(&action);
            return append && append->topic == StoreTopic::Owners;
        };
        Actions actions;
        simulation.nodes[owner]->ownership.resign(at(simulation.now), actions);
        while (claimant.lateResponses.empty() && simulation.now < 10'000)
            simulation.run(simulation.now + stepMilliseconds);
        claimant.ownership.resign(at(simulation.now), actions);
        // A process that has resigned ends.
        claimant.frozen = claimant.ownership.hasResigned();
        const int resignedAt = simulation.now;
        simulation.run(simulation.now + 50);
        if (!claimant.frozen)
            simulation.deliverLateResponses(second);
        while (!simulation.nodes[third]->ownership.owner() && simulation.now < resignedAt + 5000) {
            simulation.run(simulation.now + stepMilliseconds);
            claimant.frozen = claimant.ownership.hasResigned();
        }
        CPPUNIT_ASSERT(claimant.ownership.hasResigned());
        CPPUNIT_ASSERT(simulation.nodes[third]->ownership.owner());
        CPPUNIT_ASSERT_MESSAGE("replaced after " + std::to_string(simulation.now - resignedAt) + " ms",
            simulation.now - resignedAt <= 500);
    }

    // Guards against an owner that starts while the store has no pulse of its term: it takes the response to a pulse of
    // an earlier term as a confirmation.
    void aResponseToAPulseOfAnEarlierTermDoesNotCount()
    {
        Simulation simulation(1);
        simulation.run(3000);
        Node& node = *simulation.nodes[0];
        node.delaysResponseTo = [](const Action& action) {
            const AppendToStore* append = std::get_if<AppendToStore>(&action);
            return append && append->topic == StoreTopic::Pulses;
        };
        while (node.lateResponses.empty())
            simulation.run(simulation.now + stepMilliseconds);
        node.delaysResponseTo = nullptr;
        node.losesPulses = true;
        simulation.runAnotherOwnerUntilItResigns();
        simulation.deliverLateResponses(0);
        simulation.run(simulation.now + 500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), node.ownership.currentOwner().term);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), simulation.newestPulse().term);
        CPPUNIT_ASSERT_MESSAGE("the node owns without a pulse of its term in the store", !node.ownership.owner());
        node.losesPulses = false;
        simulation.run(simulation.now + 500);
        CPPUNIT_ASSERT(node.ownership.owner());
    }

    // Guards against an owner that misses accepted jobs: it loads a page that was read for an earlier term.
    void aPageReadForAnEarlierTermIsNotLoaded()
    {
        Simulation simulation(1);
        Node& node = *simulation.nodes[0];
        node.delaysResponseTo = [](const Action& action) {
            const ReadNewest* read = std::get_if<ReadNewest>(&action);
            return read && read->topic == StoreTopic::Jobs;
        };
        while (node.lateResponses.empty())
            simulation.run(simulation.now + stepMilliseconds);
        node.delaysResponseTo = nullptr;
        simulation.runAnotherOwnerUntilItResigns();
        while (simulation.newestPulse().term < 3)
            simulation.run(simulation.now + stepMilliseconds);
        simulation.deliverLateResponses(0);
        simulation.run(simulation.now + 500);
        CPPUNIT_ASSERT(node.ownership.owner());
        CPPUNIT_ASSERT(node.ownership.owner()->state().jobs.contains("aa"));
    }

    // Guards against an owner that misses accepted jobs: a page without readable records ends its load.
    void aPageWithoutRecordsThatIsNotTheLastIsReadAgain()
    {
        Simulation simulation(1);
        Node& node = *simulation.nodes[0];
        simulation.appendAs(
            1, StoreTopic::Jobs, StoreKey::job("aa"), Wire::encode(makeJob("aa", { makeStep(1, 1000, 100) })));
        simulation.claimAs("entry-9");
        Wire::OwnerPulse pulse;
        pulse.term = 1;
        simulation.appendAs(1, StoreTopic::Pulses, "pulse", Wire::encode(pulse));
        node.readsEmptyPages = true;
        simulation.run(5000);
        CPPUNIT_ASSERT_MESSAGE("the node owns without the records", !node.ownership.owner());
        CPPUNIT_ASSERT(node.ownership.isTakingOver());
        node.readsEmptyPages = false;
        simulation.run(simulation.now + 500);
        CPPUNIT_ASSERT(node.ownership.owner());
        CPPUNIT_ASSERT(node.ownership.owner()->state().jobs.contains("aa"));
    }

    // Guards against a second start of a run that a successor has adopted: only pulses keep other entries from
    // claiming, so successful appends alone must not make an owner certain of its ownership.
    void anOwnerWithoutPulsesIsNotCertainWhenItIsReplaced()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        const Ownership& other = simulation.nodes[1 - owner]->ownership;
        node.losesPulses = true;
        node.losesReadResponses = true;
        for (int n = 0; n < 400 && !other.owner(); ++n) {
            if (n % 10 == 0 && node.ownership.owner())
                simulation.submit(owner, "job-" + std::to_string(n));
            simulation.run(simulation.now + stepMilliseconds);
            const bool certain
                = node.ownership.owner() && node.ownership.owner()->state().isOwnershipCertain(at(simulation.now));
            CPPUNIT_ASSERT(!certain || (!other.isTakingOver() && !other.owner()));
        }
        CPPUNIT_ASSERT(other.owner());
    }

    /// Loses the responses to one pulse of the owner and its repeats, until that pulse was stored this long ago.
    static void losePulseResponses(Simulation& simulation, std::size_t owner, int lossMilliseconds)
    {
        Node& node = *simulation.nodes[owner];
        const std::int64_t stored = simulation.store.endOffset(StoreTopic::Pulses);
        node.losesAppendResponses = true;
        while (simulation.store.endOffset(StoreTopic::Pulses) == stored && simulation.now < 10'000)
            simulation.run(simulation.now + stepMilliseconds);
        simulation.run(simulation.now + lossMilliseconds);
        node.losesAppendResponses = false;
    }

    // Guards against an owner that counts the answer to a repeated pulse as a new pulse. It denied jobs that its
    // successor had accepted, and restarted tasks that the successor had adopted.
    void anOwnerWhoseRepeatedPulseIsAnsweredIsNotCertainWhenItIsReplaced()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& node = *simulation.nodes[owner];
        const Ownership& other = simulation.nodes[1 - owner]->ownership;
        losePulseResponses(simulation, owner, 800);
        // The repeat is answered, and no later call of this owner reaches the store.
        simulation.run(simulation.now + 250);
        node.storeUnreachable = true;
        for (int n = 0; n < 400 && !other.owner(); ++n) {
            simulation.run(simulation.now + stepMilliseconds);
            const JobOwner* former = node.ownership.owner();
            const bool certain = former && former->state().isOwnershipCertain(at(simulation.now));
            CPPUNIT_ASSERT(!certain || (!other.isTakingOver() && !other.owner()));
        }
        CPPUNIT_ASSERT(other.owner());
    }

    // Guards against a change of owner while the owner and the store are well: after lost responses the next pulse came
    // too late for the other entries.
    void anOwnerWhoseRepeatedPulseIsAnsweredStaysOwner()
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        const std::int64_t term = simulation.nodes[owner]->ownership.currentOwner().term;
        losePulseResponses(simulation, owner, 800);
        simulation.run(simulation.now + 3000);
        CPPUNIT_ASSERT_EQUAL(term, simulation.nodes[owner]->ownership.currentOwner().term);
        CPPUNIT_ASSERT(simulation.nodes[owner]->ownership.owner());
    }

    /// A follower reads from the store that the owner's pulses have stopped. The follower is suspended before or after
    /// it handles that response, while the pulses resume.
    static void checkFollowerSuspension(bool responseHandled)
    {
        Simulation simulation(2);
        simulation.run(3000);
        const std::size_t owner = simulation.owners().at(0);
        Node& other = *simulation.nodes[1 - owner];
        const std::int64_t term = other.ownership.currentOwner().term;
        other.delaysResponseTo = [](const Action& action) {
            const ReadStore* read = std::get_if<ReadStore>(&action);
            return read && read->topic == StoreTopic::Pulses;
        };
        simulation.nodes[owner]->losesPulses = true;
        while (other.lateResponses.empty() && simulation.now < 10'000)
            simulation.run(simulation.now + stepMilliseconds);
        CPPUNIT_ASSERT(!other.lateResponses.empty());
        other.delaysResponseTo = nullptr;
        if (responseHandled)
            simulation.deliverLateResponses(1 - owner);
        simulation.nodes[owner]->losesPulses = false;
        other.frozen = true;
        simulation.run(simulation.now + 2000);
        other.frozen = false;
        simulation.deliverLateResponses(1 - owner);
        simulation.run(simulation.now + 3000);
        CPPUNIT_ASSERT_EQUAL(term, other.ownership.currentOwner().term);
        CPPUNIT_ASSERT(simulation.nodes[owner]->ownership.owner());
    }

    // Guards against the replacement of a healthy owner: a process was suspended between receiving and handling the
    // response that showed no new pulse.
    void pulseSilenceFromBeforeASuspensionCausesNoClaim() { checkFollowerSuspension(false); }

    // Guards against the replacement of a healthy owner: a process was suspended after it decided to claim.
    void aPlannedClaimFromBeforeASuspensionIsDropped() { checkFollowerSuspension(true); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
