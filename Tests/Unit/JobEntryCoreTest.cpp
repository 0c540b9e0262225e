/// The calls of clients at one entry on the users' platform: who is asked, and what is said when nobody can be.
#include "Decision/Process/JobEntryCore.h"
#include "Support/JobFixture.h"
#include "Support/VirtualStore.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class JobEntryCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobEntryCoreTest);
    CPPUNIT_TEST(aCallWaitsForTheNextOwner);
    CPPUNIT_TEST(refusesAtOnceWhenTheLastOwnerHasLeft);
    CPPUNIT_TEST(refusesWhatWaitsForAnOwnerWhenItLeaves);
    CPPUNIT_TEST(servesOnWhileAnotherOwnerIsConnected);
    CPPUNIT_TEST(refusesAtOnceWhenTheOtherOwnerHasGone);
    CPPUNIT_TEST(aCallThatTheOldOwnerWasAskedIsAskedAgain);
    CPPUNIT_TEST(answersEverybodyBeforeItEnds);
    CPPUNIT_TEST(asksNobodyOnceItEnds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int stepMilliseconds = 5;
    static constexpr const char* jobId = "00000000000000aa";
    /// Longer than a call waits for an owner, shorter than its client does.
    static constexpr int ownerWaitOver = 1600;

    /// One entry over a store that answers at once; waiting reads that find nothing stay open.
    struct Entry {
        Entry()
            : core(NodeIdentity { "entry-1", 101, "127.0.0.1", 1 }, OwnerRules {}, JobEntryTiming {}, decode)
        {
            AppendToStore append;
            append.topic = StoreTopic::Policy;
            append.records.push_back(StoreRecord { "config", "1" });
            store.append(append);
        }

        static Result<PolicySnapshot> decode(const std::string&)
        {
            PolicySnapshot policy;
            policy.version = 1;
            QueuePolicy queue;
            queue.name = "checks";
            queue.hostName = "desk.example";
            queue.pathPrefix = "/checks/";
            queue.service = "desk";
            policy.queues.push_back(queue);
            return policy;
        }

        void run(int until)
        {
            for (; now < until; now += stepMilliseconds) {
                Actions actions;
                core.tick(at(now), now, actions);
                take(actions);
            }
        }

        void take(Actions actions)
        {
            for (std::size_t n = 0; n < actions.size(); ++n) {
                Actions more;
                serve(actions[n], more);
                actions.insert(actions.end(), more.begin(), more.end());
            }
        }

        void serve(const Action& action, Actions& more)
        {
            if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action))
                answers[answer->token].push_back(answer->reply);
            else if (const OpenLink* open = std::get_if<OpenLink>(&action))
                dialled = open->link;
            else if (const SendMessage* send = std::get_if<SendMessage>(&action)) {
                if (const Wire::JobCall* call = std::get_if<Wire::JobCall>(&send->message))
                    asked.push_back(*call);
            } else if (const AppendToStore* append = std::get_if<AppendToStore>(&action))
                core.onAppendResponse(at(now), append->callId, store.append(*append), more);
            else if (const ReadNewest* newest = std::get_if<ReadNewest>(&action))
                core.onNewest(at(now), newest->callId, store.newest(*newest), more);
            else if (const ReadStore* read = std::get_if<ReadStore>(&action)) {
                const ReadResponse response = store.read(*read);
                if (!response.records.empty())
                    core.onRead(at(now), read->callId, response, more);
            }
        }

        /// Another entry owns, as the store says.
        void addOwner(const std::string& nodeId)
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

        /// Follows another entry, with a connection to it.
        void follow()
        {
            addOwner("entry-2");
            run(100);
            CPPUNIT_ASSERT_MESSAGE("it dials the owner", dialled != noLink);
            Actions actions;
            core.onLinkUp(at(now), dialled, actions);
            take(actions);
        }

        void linkDown()
        {
            Actions actions;
            core.onLinkDown(at(now), dialled, actions);
            take(actions);
        }

        void leave()
        {
            Actions actions;
            core.leave(at(now), actions);
            take(actions);
        }

        void end()
        {
            Actions actions;
            core.end(at(now), actions);
            take(actions);
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
            take(actions);
            return lastToken;
        }

        /// The owner that is connected answers.
        void reply(CallerToken token, Wire::JobReplyKind::type kind)
        {
            Wire::JobReply reply;
            reply.callId = static_cast<std::int64_t>(token);
            reply.kind = kind;
            Actions actions;
            core.onMessage(at(now), dialled, reply, actions);
            take(actions);
        }

        bool isAnswered(CallerToken token) const { return answers.contains(token); }

        /// The one answer to a call.
        Wire::JobReply answerTo(CallerToken token) const
        {
            CPPUNIT_ASSERT_MESSAGE("the call has an answer", answers.contains(token));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.at(token).size());
            return answers.at(token).front();
        }

        int now = 0;
        VirtualStore store;
        JobEntryCore core;
        LinkId dialled = noLink;
        CallerToken lastToken = 0;
        std::map<CallerToken, std::vector<Wire::JobReply>> answers;
        std::vector<Wire::JobCall> asked;
    };

    /// Owns alone, leaves, and has handed the ownership over to nobody.
    static void ownAndLeave(Entry& entry)
    {
        entry.run(1000);
        CPPUNIT_ASSERT_MESSAGE("it owns", entry.core.ownership().owner());
        entry.leave();
        entry.run(entry.now + 1000);
        CPPUNIT_ASSERT_MESSAGE("it has resigned", !entry.core.ownership().owner());
    }

    static void assertRefused(const Wire::JobReply& reply)
    {
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Refused, reply.kind);
        CPPUNIT_ASSERT_MESSAGE("it says when to come back", reply.retryAfterMilliseconds > 0);
    }

    // Guards against refusals while a process that stays waits for a change of owner.
    void aCallWaitsForTheNextOwner()
    {
        Entry entry;
        entry.follow();
        entry.linkDown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.run(entry.now + 300);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        Actions actions;
        entry.core.onLinkUp(at(entry.now), entry.dialled, actions);
        entry.take(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.asked.size());
    }

    // Guards against calls that wait for an owner which cannot come, until the process ends without answering them.
    void refusesAtOnceWhenTheLastOwnerHasLeft()
    {
        Entry entry;
        ownAndLeave(entry);
        for (const Wire::JobCallKind::type kind :
            { Wire::JobCallKind::Submit, Wire::JobCallKind::Status, Wire::JobCallKind::Cancel })
            assertRefused(entry.answerTo(entry.call(kind)));
        CPPUNIT_ASSERT(entry.core.isDrained());
    }

    // Guards against the same for calls that had come before the signal.
    void refusesWhatWaitsForAnOwnerWhenItLeaves()
    {
        Entry entry;
        entry.follow();
        entry.linkDown();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        entry.leave();
        assertRefused(entry.answerTo(token));
    }

    // Guards against a leaving process that refuses what the owner elsewhere can still do.
    void servesOnWhileAnotherOwnerIsConnected()
    {
        Entry entry;
        entry.follow();
        entry.leave();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.run(entry.now + 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.asked.size());
        CPPUNIT_ASSERT_MESSAGE("a call is in progress", !entry.core.isDrained());
        entry.reply(token, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    // Guards against callers of a leaving process that wait for an owner whose connection has ended.
    void refusesAtOnceWhenTheOtherOwnerHasGone()
    {
        Entry entry;
        entry.follow();
        entry.leave();
        entry.linkDown();
        assertRefused(entry.answerTo(entry.call(Wire::JobCallKind::Submit)));
        CPPUNIT_ASSERT_MESSAGE("nobody was asked", entry.asked.empty());
    }

    // Guards against "not accepted" for a call that an owner was asked, and against giving it up before a successor
    // comes.
    void aCallThatTheOldOwnerWasAskedIsAskedAgain()
    {
        Entry entry;
        entry.follow();
        entry.leave();
        const CallerToken token = entry.call(Wire::JobCallKind::Submit);
        entry.linkDown();
        entry.run(entry.now + ownerWaitOver);
        CPPUNIT_ASSERT(!entry.isAnswered(token));
        Actions actions;
        entry.core.onLinkUp(at(entry.now), entry.dialled, actions);
        entry.take(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.asked.size());
        entry.reply(token, Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, entry.answerTo(token).kind);
    }

    // Guards against connections that are closed on requests without any answer, and against untrue refusals there.
    void answersEverybodyBeforeItEnds()
    {
        Entry entry;
        entry.follow();
        entry.leave();
        const CallerToken asked = entry.call(Wire::JobCallKind::Submit);
        const CallerToken watched = entry.call(Wire::JobCallKind::Status);
        entry.end();
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Unknown, entry.answerTo(asked).kind);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Unknown, entry.answerTo(watched).kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.core.pendingCalls());
        // The owner's own answer comes too late and is not a second one.
        entry.reply(asked, Wire::JobReplyKind::Accepted);
        entry.answerTo(asked);
    }

    // Guards against asking for what the process cannot wait for any more.
    void asksNobodyOnceItEnds()
    {
        Entry entry;
        entry.follow();
        entry.leave();
        entry.end();
        assertRefused(entry.answerTo(entry.call(Wire::JobCallKind::Submit)));
        CPPUNIT_ASSERT(entry.asked.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobEntryCoreTest);
