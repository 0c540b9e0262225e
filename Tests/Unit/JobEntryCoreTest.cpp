/// Tests JobEntryCore, an entry on the users' platform: which owner receives the calls of clients, and how the entry
/// answers them when no owner is available.
#include "Decision/Process/JobEntryCore.h"
#include "Support/JobFixture.h"
#include "Support/TestPolicy.h"
#include "Support/VirtualStore.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class JobEntryCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobEntryCoreTest);
    CPPUNIT_TEST(aCallWaitsForTheNextOwner);
    CPPUNIT_TEST(refusesAtOnceWhenTheLastOwnerHasResigned);
    CPPUNIT_TEST(refusesWaitingCallsWhenShutdownStarts);
    CPPUNIT_TEST(servesCallsDuringShutdownWhileAnotherOwnerIsConnected);
    CPPUNIT_TEST(refusesAtOnceDuringShutdownWithoutAnOwner);
    CPPUNIT_TEST(aCallThatTheFormerOwnerReceivedIsSentAgain);
    CPPUNIT_TEST(aRefusalOfTheFormerOwnerDoesNotEndTheCall);
    CPPUNIT_TEST(anAcceptanceOfTheFormerOwnerEndsTheCall);
    CPPUNIT_TEST(aRefusalIsNotTrueWhileAnotherCopyMayBeAccepted);
    CPPUNIT_TEST(theLastCopyOnAConnectionDecides);
    CPPUNIT_TEST(answersAllCallsWhenShutdownFinishes);
    CPPUNIT_TEST(forwardsNoCallAfterShutdown);
    CPPUNIT_TEST(aSlowOwnerIsNotReplacedSooner);
    CPPUNIT_TEST(aLostConnectionSaysNothingAboutTheNextOwner);
    CPPUNIT_TEST(anOwnerThatIsCutOffIsReplacedInTime);
    CPPUNIT_TEST(aZoneClosesAndReopensWithTheOperatorsRecords);
    CPPUNIT_TEST(aRemovalWhoseRecordWasDroppedReopensTheZone);
    CPPUNIT_TEST(aRemovalThatOldPagesHideReopensTheZone);
    CPPUNIT_TEST(aRemovedRequestThatOnlyOldPagesShowIsNotKept);
    CPPUNIT_TEST(oldPagesDoNotCountAsKnowledgeOfTheZones);
    CPPUNIT_TEST(aDroppedRequestThatThePagesShowCountsAtOnce);
    CPPUNIT_TEST(aRequestStoredWhilePagesAreReadIsNotLost);
    CPPUNIT_TEST(anEmptyZoneNameIsPassedOver);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 5;
    static constexpr const char* jobId = "00000000000000aa";
    /// Longer than a call waits for an owner, shorter than its client waits for an answer.
    static constexpr int afterOwnerWaitMilliseconds = 1600;

    /// One entry with a store that responds at once; a read that finds no records waits for one.
    struct Entry {
        Entry()
            : core(NodeIdentity { "entry-1", 101, "127.0.0.1", 1 }, OwnerRules {}, JobEntryTiming {}, decodeTestPolicy,
                closedZoneOfTestKey)
        {
            AppendToStore append;
            append.topic = StoreTopic::Policy;
            append.records.push_back(StoreRecord { "config", "1" });
            store.append(append);
        }

        void run(int until)
        {
            for (; now < until; now += stepMilliseconds) {
                Actions actions;
                answerWaitingReads(actions);
                core.tick(at(now), now, actions);
                perform(actions);
            }
        }

        void answerWaitingReads(Actions& actions)
        {
            std::vector<ReadStore> reads;
            reads.swap(waitingReads);
            for (const ReadStore& read : reads) {
                if (readsEnd && now >= readEnds.at(read.callId))
                    core.onReadResponse(at(now), read.callId, store.read(read), actions);
                else
                    answerRead(read, actions);
            }
        }

        void answerRead(const ReadStore& read, Actions& actions)
        {
            const ReadResponse response = store.read(read);
            if (response.records.empty()) {
                waitingReads.push_back(read);
                readEnds.emplace(read.callId, now + static_cast<int>(toMilliseconds(read.wait)));
            } else
                core.onReadResponse(at(now), read.callId, response, actions);
        }

        void perform(Actions actions)
        {
            for (std::size_t n = 0; n < actions.size(); ++n) {
                Actions more;
                handleAction(actions[n], more);
                actions.insert(actions.end(), more.begin(), more.end());
            }
        }

        void handleAction(const Action& action, Actions& more)
        {
            if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action))
                answers[answer->token].push_back(answer->reply);
            else if (const OpenLink* open = std::get_if<OpenLink>(&action))
                ownerLink = open->link;
            else if (const SendMessage* send = std::get_if<SendMessage>(&action)) {
                if (const Wire::JobCall* call = std::get_if<Wire::JobCall>(&send->message))
                    forwardedCalls.push_back(*call);
            } else if (const AppendToStore* append = std::get_if<AppendToStore>(&action))
                core.onAppendResponse(at(now), append->callId, store.append(*append), more);
            else if (const ReadNewest* newest = std::get_if<ReadNewest>(&action))
                core.onNewestResponse(at(now), newest->callId, store.newest(*newest), more);
            else if (const ReadStore* read = std::get_if<ReadStore>(&action))
                answerRead(*read, more);
        }

        /// Stores a claim of another entry, which makes that entry the owner.
        void storeClaim(const std::string& nodeId)
        {
            Wire::OwnerClaim claim;
            claim.nodeId = nodeId;
            claim.incarnation = 1;
            claim.address = "127.0.0.1";
            claim.port = 2;
            AppendToStore append;
            append.topic = StoreTopic::Owners;
            append.records.push_back(StoreRecord { "owner", Wire::encode(claim) });
            store.append(append);
        }

        /// Stores a record of the operator; one without a value removes the key.
        void storeOperatorRecord(const std::string& key, const std::string& value)
        {
            AppendToStore append;
            append.topic = StoreTopic::Policy;
            append.records.push_back(StoreRecord { key, value });
            store.append(append);
        }

        /// Stores a pulse of the owner that this entry has found.
        void storePulse()
        {
            Wire::OwnerPulse pulse;
            pulse.term = core.ownership().currentOwner().term;
            AppendToStore append;
            append.topic = StoreTopic::Pulses;
            append.records.push_back(StoreRecord { "pulse", Wire::encode(pulse) });
            store.append(append);
        }

        /// Runs while the owner stores a pulse at each interval.
        void runWithPulses(int until, int interval)
        {
            while (now < until) {
                storePulse();
                run(std::min(until, now + interval));
            }
        }

        bool hasClaimed() const
        {
            return core.ownership().owner() || core.ownership().isTakingOver()
                || core.ownership().currentOwner().claim.nodeId == "entry-1";
        }

        /// Makes another entry the owner and connects to it.
        void connectToOtherOwner()
        {
            storeClaim("entry-2");
            run(100);
            CPPUNIT_ASSERT_MESSAGE("the entry opens a connection to the owner", ownerLink != noLink);
            linkUp();
        }

        void linkDown()
        {
            Actions actions;
            core.onLinkDown(at(now), ownerLink, actions);
            perform(actions);
        }

        void startShutdown()
        {
            Actions actions;
            core.beginShutdown(at(now), actions);
            perform(actions);
        }

        void finishShutdown()
        {
            Actions actions;
            core.finishShutdown(at(now), actions);
            perform(actions);
        }

        CallerToken call(Wire::JobCallKind::type kind)
        {
            ClientCall call;
            call.kind = kind;
            call.hostName = "desk.example";
            call.path = std::string("/checks/") + jobId;
            if (kind == Wire::JobCallKind::Submit)
                call.job = makeJob(jobId, { makeStep(1, 1000, 300) });
            Actions actions;
            core.onClientCall(at(now), ++lastToken, call, actions);
            perform(actions);
            return lastToken;
        }

        /// Connects to the owner that the entry has found.
        void linkUp()
        {
            Actions actions;
            core.onLinkUp(at(now), ownerLink, actions);
            perform(actions);
        }

        /// Delivers the reply of an owner to the forwarded copy with this index.
        void reply(std::size_t copy, Wire::JobReplyKind::type kind)
        {
            Wire::JobReply reply;
            reply.callId = forwardedCalls.at(copy).callId;
            reply.kind = kind;
            Actions actions;
            core.onMessage(at(now), ownerLink, reply, actions);
            perform(actions);
        }

        bool isAnswered(CallerToken token) const { return answers.contains(token); }

        /// The answer to a call, which must be the only one.
        Wire::JobReply answerTo(CallerToken token) const
        {
            CPPUNIT_ASSERT_MESSAGE("the call has been answered", answers.contains(token));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.at(token).size());
            return answers.at(token).front();
        }

        int now = 0;
        VirtualStore store;
        JobEntryCore core;
        std::vector<ReadStore> waitingReads;
        /// Reads without records are answered at the end of their wait.
        bool readsEnd = false;
        std::map<std::uint64_t, int> readEnds;
        LinkId ownerLink = noLink;
        CallerToken lastToken = 0;
        std::map<CallerToken, std::vector<Wire::JobReply>> answers;
        std::vector<Wire::JobCall> forwardedCalls;
    };

    /// Becomes the owner as the only entry, starts its shutdown and resigns; no other entry takes over.
    static void ownThenShutDown(Entry& entry)
    {
        entry.run(1000);
        CPPUNIT_ASSERT_MESSAGE("the entry is the owner", entry.core.ownership().owner());
        entry.startShutdown();
        entry.run(entry.now + 1000);
        CPPUNIT_ASSERT_MESSAGE("the entry has resigned", !entry.core.ownership().owner());
    }

    static void assertRefused(const Wire::JobReply& reply)
    {
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Refused, reply.kind);
        CPPUNIT_ASSERT_MESSAGE("the refusal has a retry time", reply.retryAfterMilliseconds > 0);
    }

    // Guards against refusals by a process that is not shutting down while it waits for the next owner.
    void aCallWaitsForTheNextOwner()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.linkDown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.run(entry.now + 300);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        entry.linkUp();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.forwardedCalls.size());
    }

    // Guards against calls that wait in vain for an owner until the process ends without answering them.
    void refusesAtOnceWhenTheLastOwnerHasResigned()
    {
        Entry entry;
        ownThenShutDown(entry);
        for (const Wire::JobCallKind::type kind :
            { Wire::JobCallKind::Submit, Wire::JobCallKind::Status, Wire::JobCallKind::Cancel })
            assertRefused(entry.answerTo(entry.call(kind)));
        CPPUNIT_ASSERT(entry.core.isDrained());
    }

    // Guards against calls, received before the shutdown started, that wait in vain for an owner until the process ends
    // without answering them.
    void refusesWaitingCallsWhenShutdownStarts()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.linkDown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        entry.startShutdown();
        assertRefused(entry.answerTo(token));
    }

    // Guards against refusals, during shutdown, of calls that the owner in another process can still handle.
    void servesCallsDuringShutdownWhileAnotherOwnerIsConnected()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.startShutdown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.run(entry.now + 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.forwardedCalls.size());
        CPPUNIT_ASSERT_MESSAGE("a call is still in progress", !entry.core.isDrained());
        entry.reply(0, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    // Guards against calls that wait, during shutdown, for an owner whose connection is closed.
    void refusesAtOnceDuringShutdownWithoutAnOwner()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.startShutdown();
        entry.linkDown();
        assertRefused(entry.answerTo(entry.call(Wire::JobCallKind::Submit)));
        CPPUNIT_ASSERT_MESSAGE("no call was forwarded", entry.forwardedCalls.empty());
    }

    // Guards against refusing a call that the former owner may have accepted, and against abandoning the call before
    // a successor is connected.
    void aCallThatTheFormerOwnerReceivedIsSentAgain()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.startShutdown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.linkDown();
        entry.run(entry.now + afterOwnerWaitMilliseconds);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        entry.linkUp();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.forwardedCalls.size());
        entry.reply(1, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    /// Forwards a submission to one owner, and then to the next one.
    static CallerToken forwardToTwoOwners(Entry& entry)
    {
        entry.connectToOtherOwner();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        const LinkId formerLink = entry.ownerLink;
        entry.storeClaim("entry-3");
        entry.run(entry.now + 1000);
        CPPUNIT_ASSERT_MESSAGE("the entry opens a connection to the next owner", entry.ownerLink != formerLink);
        entry.linkUp();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.forwardedCalls.size());
        return token;
    }

    // Guards against telling the client that a job will not run although the next owner accepts it.
    void aRefusalOfTheFormerOwnerDoesNotEndTheCall()
    {
        Entry entry;
        const CallerToken token = forwardToTwoOwners(entry);
        entry.reply(0, Wire::JobReplyKind::Refused);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        entry.reply(1, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    // Guards against delaying an answer that is ready: the former owner has stored the job.
    void anAcceptanceOfTheFormerOwnerEndsTheCall()
    {
        Entry entry;
        const CallerToken token = forwardToTwoOwners(entry);
        entry.reply(0, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    // Guards against a refusal of one copy while the same owner has another one, from a lost connection, still to read.
    void aRefusalIsNotTrueWhileAnotherCopyMayBeAccepted()
    {
        Entry entry;
        entry.connectToOtherOwner();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.linkDown();
        entry.run(entry.now + 300);
        entry.linkUp();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.forwardedCalls.size());
        entry.reply(1, Wire::JobReplyKind::Refused);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Unknown, entry.answerTo(token).kind);
    }

    // Guards against a refusal of a copy that the owner received while it took over: the copy that was sent after its
    // greeting may be accepted.
    void theLastCopyOnAConnectionDecides()
    {
        for (const Wire::JobReplyKind::type kind : { Wire::JobReplyKind::Accepted, Wire::JobReplyKind::Refused }) {
            Entry entry;
            entry.connectToOtherOwner();
            const CallerToken token = entry.call(Wire::JobCallKind::Submit);
            Actions actions;
            entry.core.onMessage(at(entry.now), entry.ownerLink, Wire::NodeHello(), actions);
            entry.perform(actions);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.forwardedCalls.size());
            entry.reply(0, Wire::JobReplyKind::Refused);
            CPPUNIT_ASSERT(!entry.isAnswered(token));
            entry.reply(1, kind);
            CPPUNIT_ASSERT_EQUAL(kind, entry.answerTo(token).kind);
        }
    }

    // Guards against connections that are closed without an answer, and against refusing a call that the owner may have
    // accepted.
    void answersAllCallsWhenShutdownFinishes()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.startShutdown();
        const CallerToken submitCall = entry.call(Wire::JobCallKind::Submit);
        const CallerToken statusCall = entry.call(Wire::JobCallKind::Status);
        entry.finishShutdown();
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Unknown, entry.answerTo(submitCall).kind);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Unknown, entry.answerTo(statusCall).kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.core.pendingCalls());
        // A late reply of the owner must not cause a second answer.
        entry.reply(0, Wire::JobReplyKind::Accepted);
        entry.answerTo(submitCall);
    }

    // Guards against forwarding a call whose reply the process can no longer wait for.
    void forwardsNoCallAfterShutdown()
    {
        Entry entry;
        entry.connectToOtherOwner();
        entry.startShutdown();
        entry.finishShutdown();
        assertRefused(entry.answerTo(entry.call(Wire::JobCallKind::Submit)));
        CPPUNIT_ASSERT(entry.forwardedCalls.empty());
    }

    /// Pulses of a busy owner may be this far apart: less than the timeout without a pulse.
    static constexpr int slowPulseInterval = 1000;
    static constexpr int pulseInterval = 500;

    // Guards against the replacement of a living owner: entries that close silent connections to it claim sooner.
    void aSlowOwnerIsNotReplacedSooner()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.connectToOtherOwner();
        const LinkId first = entry.ownerLink;
        entry.call(Wire::JobCallKind::Status);
        entry.runWithPulses(entry.now + 1500, pulseInterval);
        CPPUNIT_ASSERT_MESSAGE("the entry has closed the silent connection", entry.ownerLink != first);
        entry.runWithPulses(entry.now + 5000, slowPulseInterval);
        CPPUNIT_ASSERT(!entry.hasClaimed());
    }

    // Guards against the replacement of a living owner: an entry that lost the connection to the former owner claims
    // sooner until it is connected to the present one.
    void aLostConnectionSaysNothingAboutTheNextOwner()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.connectToOtherOwner();
        entry.runWithPulses(entry.now + 1000, pulseInterval);
        entry.linkDown();
        entry.storeClaim("entry-3");
        entry.run(entry.now + 50);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), entry.core.ownership().currentOwner().claim.nodeId);
        entry.runWithPulses(entry.now + 5000, slowPulseInterval);
        CPPUNIT_ASSERT(!entry.hasClaimed());
    }

    // Guards against a late replacement of an owner whose machine is cut off: nothing resets the connection to it.
    void anOwnerThatIsCutOffIsReplacedInTime()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.connectToOtherOwner();
        entry.call(Wire::JobCallKind::Status);
        entry.runWithPulses(entry.now + 400, pulseInterval);
        const int lastPulseAt = entry.now - 400;
        while (!entry.hasClaimed() && entry.now < lastPulseAt + 5000)
            entry.run(entry.now + stepMilliseconds);
        const int silent = entry.now - lastPulseAt;
        CPPUNIT_ASSERT_MESSAGE("replaced after " + std::to_string(silent) + " ms", silent <= 1400);
    }

    // Guards against a request that an entry does not read, or whose value decides about it.
    void aZoneClosesAndReopensWithTheOperatorsRecords()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.run(100);
        CPPUNIT_ASSERT(entry.core.zoneClosures().knownAsOf());
        entry.storeOperatorRecord("closed/north", "not JSON");
        entry.run(200);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        entry.storeOperatorRecord("closed/north", "");
        entry.run(300);
        CPPUNIT_ASSERT(!entry.core.zoneClosures().isClosed("north"));
    }

    // Guards against a zone that stays closed after the store has dropped the record of its removal.
    void aRemovalWhoseRecordWasDroppedReopensTheZone()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.storeOperatorRecord("closed/north", "{}");
        entry.storeOperatorRecord("closed/south", "{}");
        entry.run(100);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        entry.storeOperatorRecord("closed/north", "");
        entry.store.compact();
        entry.run(static_cast<int>(toMilliseconds(ZoneClosures::maximumAnswerAge)) + 5000);
        CPPUNIT_ASSERT(!entry.core.zoneClosures().isClosed("north"));
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("south"));
    }

    // Guards against a zone that stays closed because pages from before its removal were shown for some time after it.
    void aRemovalThatOldPagesHideReopensTheZone()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.storeOperatorRecord("closed/north", "{}");
        entry.run(100);
        entry.store.freezePages();
        entry.storeOperatorRecord("closed/north", "");
        entry.store.compact();
        entry.run(6000);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        entry.store.thawPages();
        entry.run(3 * static_cast<int>(toMilliseconds(ZoneClosures::maximumAnswerAge)));
        CPPUNIT_ASSERT(!entry.core.zoneClosures().isClosed("north"));
    }

    // Guards against a zone that stays closed because the entry has read the request only after its removal.
    void aRemovedRequestThatOnlyOldPagesShowIsNotKept()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.storeOperatorRecord("closed/north", "{}");
        entry.store.freezePages();
        entry.storeOperatorRecord("closed/north", "");
        entry.store.compact();
        entry.run(100);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        entry.run(6000);
        entry.store.thawPages();
        entry.run(3 * static_cast<int>(toMilliseconds(ZoneClosures::maximumAnswerAge)));
        CPPUNIT_ASSERT(!entry.core.zoneClosures().isClosed("north"));
    }

    // Guards against an owner that starts tasks in a closed zone because pages from before the request count as
    // knowledge as of the time when they were read.
    void oldPagesDoNotCountAsKnowledgeOfTheZones()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.run(1000);
        entry.store.freezePages();
        entry.storeOperatorRecord("closed/north", "{}");
        entry.store.compact();
        entry.run(7000);
        CPPUNIT_ASSERT(!entry.core.zoneClosures().isClosed("north"));
        CPPUNIT_ASSERT(entry.core.zoneClosures().knownAsOf() <= at(1000));
        entry.store.thawPages();
        entry.run(9500);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        CPPUNIT_ASSERT(entry.core.zoneClosures().knownAsOf() >= at(8000));
    }

    // Guards against starts that are held back longer than needed after each loss of history.
    void aDroppedRequestThatThePagesShowCountsAtOnce()
    {
        Entry entry;
        entry.readsEnd = true;
        entry.run(1000);
        entry.storeOperatorRecord("closed/north", "{}");
        entry.store.compact();
        entry.run(3000);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("north"));
        CPPUNIT_ASSERT(entry.core.zoneClosures().knownAsOf() >= at(2000));
    }

    // Guards against a read that goes on after the highest offset of the last page and passes over a request that was
    // stored before it.
    void aRequestStoredWhilePagesAreReadIsNotLost()
    {
        Entry entry;
        entry.store.setPageSize(1);
        entry.storeOperatorRecord("closed/south", "{}");
        Actions reads;
        entry.core.tick(at(0), 0, reads);
        Actions others;
        for (std::size_t n = 0; n < reads.size(); ++n) {
            const ReadNewest* newest = std::get_if<ReadNewest>(&reads[n]);
            if (!newest || newest->topic != StoreTopic::Policy) {
                others.push_back(reads[n]);
                continue;
            }
            const bool isFirstPage = newest->afterKey.empty();
            Actions more;
            entry.core.onNewestResponse(at(0), newest->callId, entry.store.newest(*newest), more);
            if (isFirstPage) {
                entry.storeOperatorRecord("closed/a-north", "{}");
                entry.storeOperatorRecord("closed/south", "{}");
            }
            entry.core.tick(at(0), 0, more);
            reads.insert(reads.end(), more.begin(), more.end());
        }
        entry.perform(others);
        entry.run(500);
        CPPUNIT_ASSERT(entry.core.zoneClosures().isClosed("a-north"));
    }

    // Guards against a key without a zone that closes the zone of hosts that announce none.
    void anEmptyZoneNameIsPassedOver()
    {
        Entry entry;
        entry.storeOperatorRecord("closed/", "{}");
        entry.run(100);
        CPPUNIT_ASSERT(entry.core.zoneClosures().closedZones().empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobEntryCoreTest);
