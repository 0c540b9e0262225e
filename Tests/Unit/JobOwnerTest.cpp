/// Tests JobOwner in virtual time: accepting jobs, starting and ending runs, taking over from an earlier owner, and the
/// status of jobs.
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class JobOwnerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobOwnerTest);
    CPPUNIT_TEST(acceptsAndStartsOnlyStoredJobs);
    CPPUNIT_TEST(refusesAtOnceWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(refusesJobsThatFitNoHost);
    CPPUNIT_TEST(neverCommitsAHostBeyondItsCapacity);
    CPPUNIT_TEST(startsAStepAfterItsPredecessors);
    CPPUNIT_TEST(acknowledgesARunEndOnceItIsStored);
    CPPUNIT_TEST(reportsCompletedOnceTheEndIsStored);
    CPPUNIT_TEST(showsAnOutcomeForItsRetentionOnceItIsStored);
    CPPUNIT_TEST(aCancelledJobStaysCancelled);
    CPPUNIT_TEST(restartsTasksElsewhereAfterTheLeaseExpires);
    CPPUNIT_TEST(keepsTheRunsOfAHostThatRefusesConnections);
    CPPUNIT_TEST(restartsNoRunThatASuccessorMayHaveAdopted);
    CPPUNIT_TEST(stopsGrantingLeasesWhenTheStoreStaysUnavailable);
    CPPUNIT_TEST(sendsALeaseAgainWhoseOrderWasLost);
    CPPUNIT_TEST(doesNotReportAJobAsMissingWhenItMayHaveBeenReplaced);
    CPPUNIT_TEST(aLaterOwnerWaitsForHostsThatHaveNotReported);
    CPPUNIT_TEST(aLaterOwnerAdoptsRunningTasks);
    CPPUNIT_TEST(countsAFailedRunOnceAcrossOwners);
    CPPUNIT_TEST(acceptsTheEndOfACopyThatAnEarlierOwnerStarted);
    CPPUNIT_TEST(aLateEndOnOneHostKeepsTheRunWithItsNumberOnAnother);
    CPPUNIT_TEST(refusedStartsUseUpNoRunNumberOfALaterTerm);
    CPPUNIT_TEST(anOwnerWithoutFurtherRunNumbersStepsDown);
    CPPUNIT_TEST(haltsRunsOfUnknownJobs);
    CPPUNIT_TEST(restartsTheTasksOfARestartedHost);
    CPPUNIT_TEST(haltsTheRunsOfADrainingHostBeforeItShutsDown);
    CPPUNIT_TEST(haltsRunsThatWouldCompleteTooShortlyBeforeTheShutdown);
    CPPUNIT_TEST(aGangStartsWholeOrNotAtAll);
    CPPUNIT_TEST(anOccurrenceStartsWhenItIsDue);
    CPPUNIT_TEST(urgentTasksPreemptFillers);
    CPPUNIT_TEST(preemptsFillersWhileAnotherHostStopsARun);
    CPPUNIT_TEST(preemptsOncePerWaitingTask);
    CPPUNIT_TEST(preemptsNothingWhereTheUrgentTaskCannotStart);
    CPPUNIT_TEST(anOwnerWithoutFurtherFencesStepsDown);
    CPPUNIT_TEST(logsAnUnreadableRecordOfAHost);
    CPPUNIT_TEST(aReportOverAnEarlierConnectionIsOutdated);
    CPPUNIT_TEST(aSideThatIsPassedOverConnectsAgain);
    CPPUNIT_TEST(aListUnderAnEarlierFenceDoesNotCount);
    CPPUNIT_TEST(anOrderToAnEarlierIncarnationCountsUntilTheNextIsListed);
    CPPUNIT_TEST(aRunThatIsNoLongerListedIsPlacedAgain);
    CPPUNIT_TEST(probationEndsWhenALongRunningTaskKeepsRunning);
    CPPUNIT_TEST(aRunFromBeforeTheQuarantineDoesNotEndProbation);
    CPPUNIT_TEST(probationWithALongRunningTaskFromBeforeAllowsATrial);
    CPPUNIT_TEST(aHostOnProbationGetsOneTaskOfAGang);
    CPPUNIT_TEST(aTrialThatOutlastsItsEstimateAllowsTheNext);
    CPPUNIT_TEST(waitsForTheLongestLeaseOfANewIncarnation);
    CPPUNIT_TEST(aRunThatEndedBeforeItsFirstListIsPlacedAgain);
    CPPUNIT_TEST_SUITE_END();

    /// A listing report of host-1 with the given runs.
    static Wire::HostReport listing(std::int64_t clock, const std::vector<Wire::RunningTask>& running,
        const std::vector<Wire::EndedTask>& ended = {})
    {
        Wire::HostReport report = makeReport("host-1", 1, clock);
        report.running = running;
        report.ended = ended;
        return report;
    }

    /// Gives the owner one empty host and one accepted job.
    static void acceptJobWithOneHost(OwnerHarness& harness, const Wire::JobDefinition& job)
    {
        harness.announceAndReport(0, listing(100, {}));
        harness.settle(10);
        harness.submit(60, job);
        harness.settle(70);
    }

    // Guards against a second run of a running task whose host accepts no new connection, and against tasks that are
    // placed on that host again and again.
    void keepsTheRunsOfAHostThatRefusesConnections()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        const Wire::TaskName task = harness.startOrders.at(0).task;
        harness.announceAndReport(200, listing(300, { makeRunningTask(task, 1) }));
        Wire::HostReport refusing = listing(300, {});
        refusing.listed = false;
        refusing.refusesConnections = true;
        harness.deliverReport(300, refusing);
        harness.announceAndReport(310, makeReport("host-2", 1, 100), testLink + 1);
        harness.submit(320, makeJob("00000000000000ab", { makeStep(2, 500, 300) }));
        harness.settle(330);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.owner.state().hosts.hosts().at("host-1").runs.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.owner.state().hosts.hosts().at("host-2").runs.size());
        harness.announceAndReport(500, listing(600, { makeRunningTask(task, 1) }));
        harness.submit(510, makeJob("00000000000000ac", { makeStep(1, 3000, 300) }));
        harness.settle(520);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "host-1 is reachable again", std::size_t(2), harness.owner.state().hosts.hosts().at("host-1").runs.size());
    }

    void acceptsAndStartsOnlyStoredJobs()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, listing(100, {}));
        harness.settle(10);
        harness.storeUnavailable = true;
        harness.submit(60, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        harness.settle(70);
        CPPUNIT_ASSERT(harness.replies.empty());
        CPPUNIT_ASSERT(harness.startOrders.empty());
        harness.storeUnavailable = false;
        harness.settle(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.replies.size());
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Accepted, harness.replies[0].kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
    }

    void refusesAtOnceWhileTheStoreIsUnavailable()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, listing(100, {}));
        harness.settle(10);
        harness.storeUnavailable = true;
        harness.submit(60, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        // The append is in flight and its response never arrives.
        CPPUNIT_ASSERT(harness.owner.nextAppend(at(100)));
        harness.submit(1500, makeJob("00000000000000ab", { makeStep(1, 1000, 300) }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.replies.size());
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Refused, harness.replies[0].kind);
        CPPUNIT_ASSERT_EQUAL(std::string("store_away"), harness.replies[0].reason);
        CPPUNIT_ASSERT(harness.replies[0].retryAfterMilliseconds > 0);
    }

    void refusesJobsThatFitNoHost()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, listing(100, {}));
        harness.settle(10);
        harness.submit(60, makeJob("00000000000000aa", { makeStep(1, 9000, 300) }));
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Refused, harness.replies.at(0).kind);
    }

    void neverCommitsAHostBeyondItsCapacity()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(6, 1000, 300) }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        // A run that is being halted still counts: only a listed end frees its resources.
        const Wire::TaskName first = harness.startOrders[0].task;
        harness.announceAndReport(200, listing(300, {}, { makeEndedTask(1, first, 1, Wire::RunEnd::Completed) }));
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), harness.startOrders.size());
    }

    void startsAStepAfterItsPredecessors()
    {
        Wire::StepDefinition second = makeStep(1, 1000, 300);
        second.after = { 0 };
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(2, 1000, 300), second }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        const Wire::TaskName one = makeTask("00000000000000aa", 0, 0);
        const Wire::TaskName other = makeTask("00000000000000aa", 0, 1);
        harness.announceAndReport(
            200, listing(300, { makeRunningTask(other, 1) }, { makeEndedTask(1, one, 1, Wire::RunEnd::Completed) }));
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        harness.announceAndReport(300, listing(400, {}, { makeEndedTask(2, other, 1, Wire::RunEnd::Completed) }));
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(1, harness.startOrders[2].task.step);
    }

    void acknowledgesARunEndOnceItIsStored()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(2, 1000, 300) }));
        harness.storeUnavailable = true;
        harness.sentOrders.clear();
        harness.announceAndReport(200,
            listing(300, {}, { makeEndedTask(1, makeTask("00000000000000aa", 0, 0), 1, Wire::RunEnd::Completed) }));
        harness.settle(300);
        for (const Wire::HostOrders& orders : harness.sentOrders)
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), orders.acknowledgedNumber);
        harness.storeUnavailable = false;
        harness.settle(400);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), harness.sentOrders.back().acknowledgedNumber);
    }

    void reportsCompletedOnceTheEndIsStored()
    {
        const Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        OwnerHarness harness;
        acceptJobWithOneHost(harness, job);
        harness.storeUnavailable = true;
        harness.announceAndReport(200,
            listing(300, {}, { makeEndedTask(1, makeTask("00000000000000aa", 0, 0), 1, Wire::RunEnd::Completed) }));
        harness.settle(300);
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Running, harness.sendCall(350, Wire::JobCallKind::Status, job).phase);
        harness.storeUnavailable = false;
        harness.settle(400);
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Completed, harness.sendCall(450, Wire::JobCallKind::Status, job).phase);
    }

    // Guards against a finished job that is denied before its outcome was shown: the store is away for longer than
    // outcomes are kept.
    void showsAnOutcomeForItsRetentionOnceItIsStored()
    {
        const Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        OwnerHarness harness;
        acceptJobWithOneHost(harness, job);
        harness.storeUnavailable = true;
        harness.announceAndReport(200,
            listing(300, {}, { makeEndedTask(1, makeTask("00000000000000aa", 0, 0), 1, Wire::RunEnd::Completed) }));
        const int retention = static_cast<int>(toMilliseconds(OwnerRules {}.finishedJobRetention));
        const int storedAt = retention + 10'000;
        for (int now = 300; now < storedAt; now += 500)
            harness.tick(now);
        harness.storeUnavailable = false;
        for (int now = storedAt; now < storedAt + retention; now += 500) {
            harness.tick(now);
            CPPUNIT_ASSERT_EQUAL(
                Wire::JobPhase::Completed, harness.sendCall(now + 100, Wire::JobCallKind::Status, job).phase);
        }
        harness.settle(storedAt + retention + 11'000);
        CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::NoSuchJob,
            harness.sendCall(storedAt + retention + 11'060, Wire::JobCallKind::Status, job).kind);
    }

    void aCancelledJobStaysCancelled()
    {
        const Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        OwnerHarness harness;
        acceptJobWithOneHost(harness, job);
        harness.sendCall(200, Wire::JobCallKind::Cancel, job);
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
        // A duplicate of the submission, delayed in transit.
        harness.submit(400, job);
        harness.settle(410);
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Cancelled, harness.sendCall(460, Wire::JobCallKind::Status, job).phase);
        JobOwner next("entry-2", 5, OwnerRules {}, at(500));
        next.loadRecords(harness.storedRecords);
        Actions actions;
        next.finishLoad(at(500), 500, at(500), actions);
        CPPUNIT_ASSERT(next.state().openJobs.empty());
    }

    void restartsTasksElsewhereAfterTheLeaseExpires()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        harness.owner.onLinkDown(at(200), testLink);
        Wire::HostReport other = makeReport("host-2", 1, 100);
        for (int now = 300; now < 5000; now += 400) {
            other.clockMilliseconds = now;
            harness.announceAndReport(now, other, testLink + 1);
            harness.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the task may still run on host-1 until its lease expires", std::size_t(1), harness.startOrders.size());
        for (int now = 5000; now < 6000; now += 200) {
            other.clockMilliseconds = now;
            harness.announceAndReport(now, other, testLink + 1);
            harness.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(2, harness.startOrders[1].run);
    }

    // Guards against two concurrent runs of a task: an owner without access to the store abandons the runs of a host
    // that its successor may have reached.
    void restartsNoRunThatASuccessorMayHaveAdopted()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        Wire::HostReport other = makeReport("host-2", 1, 100);
        harness.announceAndReport(120, other, testLink + 1);
        harness.settle(130);
        harness.storeUnavailable = true;
        harness.owner.onLinkDown(at(200), testLink);
        for (int now = 300; now < 8000; now += 200) {
            other.clockMilliseconds = now;
            harness.announceAndReport(now, other, testLink + 1);
            harness.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the lease of host-1 has expired", std::int64_t(1), harness.owner.state().counters.lostRuns);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        harness.owner.onPulseConfirmed(at(8000));
        harness.settle(8010);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the store confirms that no other entry owns", std::size_t(2), harness.startOrders.size());
    }

    void stopsGrantingLeasesWhenTheStoreStaysUnavailable()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(5, 1000, 300) }));
        harness.storeUnavailable = true;
        std::int64_t longest = 0;
        for (int now = 300; now < 20'000; now += 300) {
            harness.announceAndReport(now,
                listing(now,
                    { makeRunningTask(makeTask("00000000000000aa", 0, 0), 1),
                        makeRunningTask(makeTask("00000000000000aa", 0, 1), 1),
                        makeRunningTask(makeTask("00000000000000aa", 0, 2), 1),
                        makeRunningTask(makeTask("00000000000000aa", 0, 3), 1) }));
            harness.tick(now);
        }
        for (const Wire::HostOrders& orders : harness.sentOrders)
            longest = std::max(longest, orders.leaseUntilMilliseconds);
        CPPUNIT_ASSERT_MESSAGE("no lease may outlast the time that a successor waits", longest <= 9000 + 200);
        CPPUNIT_ASSERT(longest > 8000);
    }

    // Guards against a lease that lapses while its owner counts it as extended: the order is lost with its connection,
    // and the next extension is not due for a second.
    void sendsALeaseAgainWhoseOrderWasLost()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 60'000) }));
        const Wire::RunningTask run = makeRunningTask(harness.startOrders.at(0).task, 1);
        harness.announceAndReport(1500, listing(1600, { run }));
        harness.settle(1510);
        const std::int64_t lease = harness.sentOrders.back().leaseUntilMilliseconds;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1600 + 5000), lease);
        harness.owner.onLinkDown(at(1570), testLink);
        harness.sentOrders.clear();
        harness.announceAndReport(1700, listing(1800, { run }), testLink + 1);
        harness.settle(1710);
        CPPUNIT_ASSERT(!harness.sentOrders.empty());
        CPPUNIT_ASSERT_EQUAL(lease, harness.sentOrders.front().leaseUntilMilliseconds);
    }

    void doesNotReportAJobAsMissingWhenItMayHaveBeenReplaced()
    {
        OwnerHarness harness;
        const Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        harness.owner.onPulseConfirmed(at(1000));
        CPPUNIT_ASSERT_EQUAL(
            Wire::JobReplyKind::NoSuchJob, harness.sendCall(1100, Wire::JobCallKind::Status, job).kind);
        // The store has not confirmed the owner since: another entry may own and have accepted the job.
        for (const Wire::JobCallKind::type kind : { Wire::JobCallKind::Status, Wire::JobCallKind::Cancel })
            CPPUNIT_ASSERT_EQUAL(Wire::JobReplyKind::Refused, harness.sendCall(3000, kind, job).kind);
    }

    /// The records that a first owner stored after starting two tasks on host-1.
    static std::vector<StoreRecord> storedByFirstOwner()
    {
        OwnerHarness first;
        acceptJobWithOneHost(first, makeJob("00000000000000aa", { makeStep(2, 1000, 300) }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.startOrders.size());
        return first.storedRecords;
    }

    void aLaterOwnerWaitsForHostsThatHaveNotReported()
    {
        OwnerHarness next(3);
        next.owner.loadRecords(storedByFirstOwner());
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        Wire::HostReport other = makeReport("host-2", 1, 1000);
        next.announceAndReport(1010, other, testLink + 1);
        next.settle(1020);
        CPPUNIT_ASSERT_MESSAGE("the tasks may still run on host-1", next.startOrders.empty());
        next.announceAndReport(1100, listing(1200, {}));
        next.settle(1110);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), next.startOrders.size());
        CPPUNIT_ASSERT_MESSAGE("run numbers lie above those of the first owner's term", next.startOrders[0].run > 64);
    }

    void aLaterOwnerAdoptsRunningTasks()
    {
        OwnerHarness next(3);
        next.owner.loadRecords(storedByFirstOwner());
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        const Wire::TaskName one = makeTask("00000000000000aa", 0, 0);
        const Wire::TaskName other = makeTask("00000000000000aa", 0, 1);
        next.announceAndReport(
            1010, listing(1100, { makeRunningTask(one, 1) }, { makeEndedTask(1, other, 1, Wire::RunEnd::Completed) }));
        next.settle(1020);
        CPPUNIT_ASSERT(next.startOrders.empty());
        CPPUNIT_ASSERT(next.haltOrders.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), next.sentOrders.back().term);
        CPPUNIT_ASSERT(next.sentOrders.back().leaseUntilMilliseconds > 1100);
    }

    void countsAFailedRunOnceAcrossOwners()
    {
        const Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        OwnerHarness first;
        acceptJobWithOneHost(first, job);
        const Wire::EndedTask failed = makeEndedTask(1, makeTask("00000000000000aa", 0, 0), 1, Wire::RunEnd::Failed);
        first.announceAndReport(200, listing(300, {}, { failed }));
        first.settle(300);
        OwnerHarness next(3);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(1000), actions);
        // The end was stored but not acknowledged before the first owner ended, so the host lists it again.
        next.announceAndReport(1010, listing(1100, {}, { failed }));
        next.settle(1100);
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Running, next.sendCall(1200, Wire::JobCallKind::Status, job).phase);
        CPPUNIT_ASSERT_MESSAGE("the second of two attempts is started", !next.startOrders.empty());
    }

    void acceptsTheEndOfACopyThatAnEarlierOwnerStarted()
    {
        Wire::StepDefinition step = makeStep(1, 1000, 300);
        step.allowDuplicates = true;
        const Wire::JobDefinition job = makeJob("00000000000000aa", { step });
        OwnerHarness first;
        acceptJobWithOneHost(first, job);
        OwnerHarness next(3);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        next.announceAndReport(1010, makeReport("host-2", 1, 1000), testLink + 1);
        next.settle(1020);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a task that allows duplicates need not wait for the lease of host-1",
            std::size_t(1), next.startOrders.size());
        next.announceAndReport(
            1100, listing(1100, {}, { makeEndedTask(1, makeTask(job.jobId, 0, 0), 1, Wire::RunEnd::Completed) }));
        next.settle(1110);
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Completed, next.sendCall(1200, Wire::JobCallKind::Status, job).phase);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the other copy is halted", std::size_t(1), next.haltOrders.size());
    }

    // Guards against two concurrent runs of a task: the late end of a run on one host removes the run with the same
    // number on another.
    void aLateEndOnOneHostKeepsTheRunWithItsNumberOnAnother()
    {
        OwnerHarness harness;
        Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        job.maximumAttempts = 4;
        acceptJobWithOneHost(harness, job);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        const Wire::StartOrder start = harness.startOrders[0];
        harness.announceAndReport(100, makeReport("host-2", 1, 100), testLink + 1);
        Wire::HostReport late = makeReport("host-2", 1, 200);
        late.ended.push_back(makeEndedTask(1, start.task, start.run, Wire::RunEnd::Failed));
        harness.announceAndReport(200, late, testLink + 1);
        harness.announceAndReport(210, listing(300, { makeRunningTask(start.task, start.run) }));
        harness.settle(300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the run on host-1 continues", std::size_t(1), harness.startOrders.size());
    }

    // Guards against two concurrent runs of a task: refused starts use up the run numbers of a term, so that the next
    // owner assigns some of them again.
    void refusedStartsUseUpNoRunNumberOfALaterTerm()
    {
        constexpr std::size_t refusedStarts = 200;
        OwnerHarness first;
        acceptJobWithOneHost(first, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        for (int now = 200; first.startOrders.size() <= refusedStarts; now += 100) {
            Wire::HostReport refusing = listing(now, {});
            Wire::OrderResult result;
            result.task = first.startOrders.back().task;
            result.run = first.startOrders.back().run;
            result.outcome = Wire::OrderOutcome::Refused;
            result.reason = "unhealthy";
            refusing.results.push_back(result);
            first.announceAndReport(now, refusing);
            first.settle(now + 50);
        }
        OwnerHarness next(2);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        next.owner.finishLoad(at(60'000), 60'000, at(60'000), actions);
        next.announceAndReport(60'010, listing(60'000, {}));
        next.settle(60'100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.startOrders.size());
        CPPUNIT_ASSERT_GREATER(first.startOrders.back().run, next.startOrders[0].run);
    }

    // Guards against run numbers that two terms assign: without a further number, only a later term can start the task.
    void anOwnerWithoutFurtherRunNumbersStepsDown()
    {
        OwnerHarness harness;
        Wire::StepDefinition step = makeStep(1, 1000, 300);
        step.longRunning = true;
        const Wire::JobDefinition job = makeJob("00000000000000aa", { step });
        acceptJobWithOneHost(harness, job);
        const Wire::TaskName task = makeTask(job.jobId, 0, 0);
        harness.announceAndReport(200, listing(300, {}, { makeEndedTask(1, task, 1, Wire::RunEnd::Failed) }));
        harness.announceAndReport(201, listing(301, { makeRunningTask(task, runNumbersPerTerm - 1) }));
        harness.announceAndReport(
            210, listing(310, {}, { makeEndedTask(2, task, runNumbersPerTerm - 1, Wire::RunEnd::Failed) }));
        harness.settle(300);
        CPPUNIT_ASSERT_EQUAL(runNumbersPerTerm, harness.startOrders.back().run);
        CPPUNIT_ASSERT(!harness.owner.isFenced());
        harness.announceAndReport(
            400, listing(500, {}, { makeEndedTask(3, task, runNumbersPerTerm, Wire::RunEnd::Failed) }));
        harness.settle(500);
        CPPUNIT_ASSERT_EQUAL(runNumbersPerTerm, harness.startOrders.back().run);
        CPPUNIT_ASSERT(harness.owner.isFenced());
    }

    void haltsRunsOfUnknownJobs()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, listing(100, { makeRunningTask(makeTask("00000000000000ff", 0, 0), 4) }));
        harness.settle(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
        CPPUNIT_ASSERT_EQUAL(4, harness.haltOrders[0].run);
    }

    void restartsTheTasksOfARestartedHost()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 2000) }));
        harness.announceAndReport(200, makeReport("host-1", 2, 5));
        harness.settle(260);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(2, harness.startOrders[1].run);
    }

    // Guards against a second run of a completed task: a run that takes longer than estimated ends just before its host
    // shuts down, and the list with the end is lost with the connection.
    void haltsTheRunsOfADrainingHostBeforeItShutsDown()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { makeStep(1, 1000, 300) }));
        Wire::HostReport draining = listing(1000, { makeRunningTask(harness.startOrders.at(0).task, 1) });
        draining.state = Wire::HostState::Draining;
        draining.remainingMilliseconds = 4500;
        harness.announceAndReport(1000, draining);
        harness.settle(4000);
        CPPUNIT_ASSERT_MESSAGE("the run may complete in time", harness.haltOrders.empty());
        harness.settle(4400);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
    }

    void haltsRunsThatWouldCompleteTooShortlyBeforeTheShutdown()
    {
        OwnerHarness harness;
        acceptJobWithOneHost(
            harness, makeJob("00000000000000aa", { makeStep(1, 1000, 3000), makeStep(1, 1000, 4500) }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        Wire::HostReport draining = listing(
            1000, { makeRunningTask(harness.startOrders[0].task, 1), makeRunningTask(harness.startOrders[1].task, 1) });
        draining.state = Wire::HostState::Draining;
        draining.remainingMilliseconds = 4500;
        harness.announceAndReport(1000, draining);
        harness.settle(1010);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
        CPPUNIT_ASSERT_EQUAL(1, harness.haltOrders[0].task.step);
    }

    void aGangStartsWholeOrNotAtAll()
    {
        Wire::StepDefinition gang = makeStep(5, 1000, 300);
        gang.gang = true;
        OwnerHarness harness;
        acceptJobWithOneHost(harness, makeJob("00000000000000aa", { gang }));
        CPPUNIT_ASSERT(harness.startOrders.empty());
        harness.announceAndReport(200, makeReport("host-2", 1, 100), testLink + 1);
        harness.announceAndReport(200, listing(300, {}));
        harness.settle(210);
        harness.settle(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), harness.startOrders.size());
        for (const Wire::StartOrder& start : harness.startOrders)
            CPPUNIT_ASSERT_EQUAL(harness.startOrders[0].run, start.run);
    }

    void anOccurrenceStartsWhenItIsDue()
    {
        Wire::JobDefinition job = makeJob("00000000000000aa", { makeStep(1, 1000, 300) });
        job.occurrences = 2;
        job.firstDueUnixMilliseconds = 500;
        job.intervalMilliseconds = 400;
        OwnerHarness harness;
        acceptJobWithOneHost(harness, job);
        CPPUNIT_ASSERT(harness.startOrders.empty());
        harness.announceAndReport(500, listing(600, {}));
        harness.settle(510);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        harness.announceAndReport(900, listing(1000, { makeRunningTask(makeTask(job.jobId, 0, 0), 1) }));
        harness.settle(910);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(1, harness.startOrders[1].task.occurrence);
    }

    /// Runs two less urgent fillers on host-1, which together leave little memory.
    static void runTwoFillers(OwnerHarness& harness)
    {
        Wire::StepDefinition filler = makeStep(2, 1000, 5000);
        filler.filler = true;
        filler.demand.memoryMegabytes = 4500;
        Wire::JobDefinition fillerJob = makeJob("00000000000000aa", { filler });
        fillerJob.priority = 2;
        acceptJobWithOneHost(harness, fillerJob);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        const std::vector<Wire::RunningTask> running { makeRunningTask(makeTask(fillerJob.jobId, 0, 0), 1),
            makeRunningTask(makeTask(fillerJob.jobId, 0, 1), 1) };
        harness.announceAndReport(200, listing(300, running));
    }

    void urgentTasksPreemptFillers()
    {
        OwnerHarness harness;
        runTwoFillers(harness);
        Wire::StepDefinition large = makeStep(1, 1000, 300);
        large.demand.memoryMegabytes = 3000;
        harness.submit(210, makeJob("00000000000000ab", { large }));
        harness.settle(220);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
    }

    /// Two hosts, each with one less urgent filler that leaves little memory.
    static void runAFillerOnTwoHosts(OwnerHarness& harness)
    {
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.announceAndReport(0, makeReport("host-2", 1, 100), testLink + 1);
        harness.settle(10);
        for (const std::string& jobId : { "00000000000000a1", "00000000000000a2" }) {
            Wire::StepDefinition filler = makeStep(1, 1000, 60'000);
            filler.filler = true;
            filler.demand.memoryMegabytes = 8000;
            Wire::JobDefinition job = makeJob(jobId, { filler });
            job.priority = 2;
            harness.submit(60, job);
        }
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        for (const Wire::HostOrders& orders : harness.sentOrders) {
            if (orders.starts.empty())
                continue;
            Wire::HostReport report = makeReport(orders.hostId, 1, 300);
            report.running.push_back(makeRunningTask(orders.starts[0].task, 1));
            harness.announceAndReport(200, report, orders.hostId == "host-1" ? testLink : testLink + 1);
        }
        harness.settle(210);
    }

    static Wire::JobDefinition makeUrgentJob(int count)
    {
        Wire::StepDefinition urgent = makeStep(count, 1000, 300);
        urgent.demand.memoryMegabytes = 5000;
        return makeJob("00000000000000ab", { urgent });
    }

    // Guards against urgent tasks that wait in a large fleet, where some run is being stopped at any time.
    void preemptsFillersWhileAnotherHostStopsARun()
    {
        OwnerHarness harness;
        runAFillerOnTwoHosts(harness);
        harness.sendCall(300, Wire::JobCallKind::Cancel, makeJob("00000000000000a1", {}));
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.haltOrders.size());
        harness.submit(400, makeUrgentJob(1));
        harness.settle(410);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.haltOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("00000000000000a2"), harness.haltOrders[1].task.jobId);
    }

    // Guards against stopping more runs than tasks wait, and against tasks that wait for the room of one another.
    void preemptsOncePerWaitingTask()
    {
        OwnerHarness one;
        runAFillerOnTwoHosts(one);
        one.submit(300, makeUrgentJob(1));
        one.settle(310);
        one.settle(400);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), one.haltOrders.size());
        OwnerHarness two;
        runAFillerOnTwoHosts(two);
        two.submit(300, makeUrgentJob(2));
        two.settle(310);
        two.settle(400);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), two.haltOrders.size());
    }

    // Guards against work that is thrown away: the urgent task requires a label that the host does not have.
    void preemptsNothingWhereTheUrgentTaskCannotStart()
    {
        OwnerHarness harness;
        runTwoFillers(harness);
        Wire::HostReport labelled = makeReport("host-2", 1, 100);
        labelled.labels = { "large" };
        labelled.capacity.milliProcessors = 1000;
        harness.announceAndReport(200, labelled, testLink + 1);
        Wire::StepDefinition urgent = makeStep(2, 1000, 60'000);
        urgent.demand.memoryMegabytes = 3000;
        urgent.requiredLabel = "large";
        harness.submit(210, makeJob("00000000000000ab", { urgent }));
        harness.settle(220);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one task fits the labelled host", std::size_t(3), harness.startOrders.size());
        CPPUNIT_ASSERT(harness.haltOrders.empty());
    }

    // Guards against orders of an earlier connection that are carried out late: once a term has no further fence, hosts
    // cannot tell them from new ones.
    void anOwnerWithoutFurtherFencesStepsDown()
    {
        constexpr LinkId fences = fencesPerTerm / fencesPerOwnerFence;
        OwnerHarness harness;
        Wire::HostReport announcement = makeReport("host-1", 1, 100);
        announcement.listed = false;
        for (LinkId n = 0; n < fences - 1; ++n)
            harness.deliverReport(0, announcement, testLink + n);
        CPPUNIT_ASSERT(!harness.owner.isFenced());
        harness.deliverReport(0, announcement, testLink + fences);
        CPPUNIT_ASSERT(harness.owner.isFenced());
    }

    void logsAnUnreadableRecordOfAHost()
    {
        JobOwner owner("entry-1", 2, OwnerRules {}, at(0));
        owner.loadRecords({ StoreRecord { StoreKey::host("host-1"), "?" } });
        Actions actions;
        owner.finishLoad(at(0), 0, at(9000), actions);
        const std::vector<WriteLog> lines = actionsOf<WriteLog>(actions);
        CPPUNIT_ASSERT(std::any_of(lines.begin(), lines.end(),
            [](const WriteLog& line) { return line.line.starts_with("event=record_unreadable key=h/host-1 "); }));
        CPPUNIT_ASSERT_MESSAGE("the host may hold a lease", !owner.state().areAllHostsAccountedFor(at(100)));
    }

    // Guards against a long-running task that is never placed again: a report delayed on an earlier connection lists a
    // run that has ended since.
    void aReportOverAnEarlierConnectionIsOutdated()
    {
        constexpr LinkId laterLink = testLink + 1;
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        Wire::StepDefinition step = makeStep(1, 1000, 1000);
        step.longRunning = true;
        harness.submit(60, makeJob("aa", { step }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        Wire::HostReport late = makeReport("host-1", 1, 150);
        late.running.push_back(makeRunningTask(harness.startOrders[0].task, 1));
        late.listFence = harness.owner.state().hosts.hosts().at("host-1").fence;
        Wire::HostReport ended = makeReport("host-1", 1, 200);
        ended.ended.push_back(makeEndedTask(1, harness.startOrders[0].task, 1, Wire::RunEnd::Lapsed));
        harness.announceAndReport(150, ended, laterLink);
        harness.deliverReport(151, late, testLink);
        harness.settle(160);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
    }

    // Guards against a host without an owner for good: a former process of its side connected last and has ended, and
    // the reports of the present process over the earlier connection are passed over.
    void aSideThatIsPassedOverConnectsAgain()
    {
        constexpr LinkId laterLink = testLink + 1;
        OwnerHarness harness;
        const Wire::HostReport report = makeReport("host-1", 1, 100);
        harness.announceAndReport(0, report, testLink);
        harness.announceAndReport(10, report, laterLink);
        Actions beside;
        harness.owner.onReport(at(20), testLink, report, beside);
        CPPUNIT_ASSERT_MESSAGE("the newest connection is up", actionsOf<CloseLink>(beside).empty());
        harness.owner.onLinkDown(at(30), laterLink);
        Actions after;
        harness.owner.onReport(at(40), testLink, report, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<CloseLink>(after).size());
        CPPUNIT_ASSERT_EQUAL(testLink, actionsOf<CloseLink>(after)[0].link);
        CPPUNIT_ASSERT(harness.owner.state().hosts.hosts().at("host-1").link == noLink);
    }

    // Guards against two concurrent runs of a task: the host carries out a start order of the previous owner after
    // the list that the new owner receives, but before the first list under the new owner's fence.
    void aListUnderAnEarlierFenceDoesNotCount()
    {
        OwnerHarness harness;
        Wire::HostReport report = makeReport("host-1", 1, 100);
        harness.deliverReport(0, report);
        report.listFence = harness.owner.state().hosts.hosts().at("host-1").fence - fencesPerOwnerFence;
        harness.deliverReport(1, report);
        CPPUNIT_ASSERT(!harness.owner.state().hosts.hosts().at("host-1").listed);
        harness.announceAndReport(2, report);
        CPPUNIT_ASSERT(harness.owner.state().hosts.hosts().at("host-1").listed);
    }

    // Guards against two concurrent runs of a task: a start order that was sent to one incarnation of a host is carried
    // out by the next.
    void anOrderToAnEarlierIncarnationCountsUntilTheNextIsListed()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.submit(60, makeJob("aa", { makeStep(1, 1000, 1000) }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        Wire::HostReport departed = makeReport("host-1", 1, 0);
        departed.listed = false;
        departed.state = Wire::HostState::Gone;
        harness.deliverReport(150, departed);
        harness.announceAndReport(160, makeReport("host-2", 1, 100), testLink + 1);
        harness.settle(200);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the next incarnation may still carry out the start order", std::size_t(1), harness.startOrders.size());
        Wire::HostReport next = makeReport("host-1", 2, 10);
        next.running.push_back(makeRunningTask(harness.startOrders[0].task, 1));
        harness.announceAndReport(300, next);
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the next incarnation has carried out the start order", std::size_t(1), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "its end may be forgotten, see ForgottenEndsTest", std::size_t(1), harness.haltOrders.size());
        Wire::HostReport ended = makeReport("host-1", 2, 400);
        ended.ended.push_back(makeEndedTask(1, harness.startOrders[0].task, 1, Wire::RunEnd::Stopped));
        harness.announceAndReport(400, ended);
        harness.settle(410);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it starts again once it has ended", std::size_t(2), harness.startOrders.size());
    }

    // Guards against a task that is never placed again: the host no longer lists its run and never listed its end.
    void aRunThatIsNoLongerListedIsPlacedAgain()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.submit(60, makeJob("aa", { makeStep(1, 1000, 1000) }));
        harness.settle(70);
        Wire::HostReport running = makeReport("host-1", 1, 200);
        running.running.push_back(makeRunningTask(harness.startOrders.at(0).task, 1));
        harness.announceAndReport(200, running);
        harness.announceAndReport(300, makeReport("host-1", 1, 300));
        harness.settle(310);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
    }

    // Guards against long-running tasks that are never placed again: the probation task of a host after its quarantine
    // is long-running, so waiting for its completion would never end the probation.
    void probationEndsWhenALongRunningTaskKeepsRunning()
    {
        constexpr int jobs = 4;
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        Wire::StepDefinition step = makeStep(1, 500, 1000);
        step.longRunning = true;
        for (int n = 0; n < jobs; ++n)
            harness.submit(60 + n, makeJob("a" + std::to_string(n), { step }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), harness.startOrders.size());
        Wire::HostReport failed = makeReport("host-1", 1, 200);
        for (int n = 0; n < jobs; ++n)
            failed.ended.push_back(
                makeEndedTask(n + 1, harness.startOrders[static_cast<std::size_t>(n)].task, 1, Wire::RunEnd::Failed));
        harness.announceAndReport(200, failed);
        for (int now = 300; now < 12'000; now += 100) {
            Wire::HostReport running = makeReport("host-1", 1, now);
            for (std::size_t n = jobs; n < harness.startOrders.size(); ++n)
                running.running.push_back(makeRunningTask(harness.startOrders[n].task, harness.startOrders[n].run));
            harness.announceAndReport(now, running);
            harness.settle(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2 * jobs), harness.startOrders.size());
    }

    // Guards against attempts that are used up on a host that fails every task: a run that was placed before the
    // quarantine is no evidence that the host is sound.
    void aRunFromBeforeTheQuarantineDoesNotEndProbation()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        Wire::StepDefinition step = makeStep(1, 500, 1000);
        step.longRunning = true;
        for (int n = 0; n < 4; ++n)
            harness.submit(60 + n, makeJob("a" + std::to_string(n), { step }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        const std::vector<Wire::StartOrder> first = harness.startOrders;
        Wire::HostReport failed = makeReport("host-1", 1, 1500);
        failed.running.push_back(makeRunningTask(first[0].task, 1));
        harness.announceAndReport(200, failed);
        for (std::size_t n = 1; n < 4; ++n)
            failed.ended.push_back(makeEndedTask(static_cast<std::int64_t>(n), first[n].task, 1, Wire::RunEnd::Failed));
        harness.announceAndReport(1500, failed);
        CPPUNIT_ASSERT(harness.owner.state().hosts.hosts().at("host-1").health.onProbation);
        harness.announceAndReport(1600, failed);
        CPPUNIT_ASSERT(harness.owner.state().hosts.hosts().at("host-1").health.onProbation);
    }

    /// Lists host-1 unchanged every 100 ms, from the first time to the last.
    static void listRepeatedly(OwnerHarness& harness, Wire::HostReport& listed, int first, int last)
    {
        for (int now = first; now <= last; now += 100) {
            listed.clockMilliseconds = now;
            harness.announceAndReport(now, listed);
            harness.settle(now);
        }
    }

    /// Starts a long-running task on host-1, lets tasks of three other jobs fail there, and returns at the end of the
    /// quarantine. The list of host-1 that shows the long-running task is left in `listed`.
    static int quarantineWithALongRunningTask(OwnerHarness& harness, Wire::HostReport& listed)
    {
        Wire::StepDefinition lasting = makeStep(1, 500, 1000);
        lasting.longRunning = true;
        acceptJobWithOneHost(harness, makeJob("lasting", { lasting }));
        for (int n = 0; n < 3; ++n)
            harness.submit(120 + n, makeJob("a" + std::to_string(n), { makeStep(1, 500, 300) }));
        harness.settle(130);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        for (int n = 0; n < 3; ++n)
            harness.sendCall(200, Wire::JobCallKind::Cancel, makeJob("a" + std::to_string(n), {}));
        listed = listing(300, { makeRunningTask(harness.startOrders[0].task, 1) });
        Wire::HostReport failed = listed;
        for (std::size_t n = 1; n < 4; ++n)
            failed.ended.push_back(
                makeEndedTask(static_cast<std::int64_t>(n), harness.startOrders[n].task, 1, Wire::RunEnd::Failed));
        harness.announceAndReport(300, failed);
        CPPUNIT_ASSERT(harness.owner.state().hosts.hosts().at("host-1").health.onProbation);
        listRepeatedly(harness, listed, 400, 2300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        return 2400;
    }

    // Guards against jobs that never start: a long-running task from before the quarantine keeps its host on probation,
    // and a host with a run gets no task to end the probation with.
    void probationWithALongRunningTaskFromBeforeAllowsATrial()
    {
        OwnerHarness harness;
        Wire::HostReport listed;
        const int now = quarantineWithALongRunningTask(harness, listed);
        for (int n = 0; n < 3; ++n)
            harness.submit(now + n, makeJob("b" + std::to_string(n), { makeStep(1, 500, 300) }));
        harness.settle(now + 10);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one trial at a time", std::size_t(5), harness.startOrders.size());
        listed.clockMilliseconds = now + 300;
        listed.ended.push_back(makeEndedTask(4, harness.startOrders[4].task, 1, Wire::RunEnd::Completed));
        harness.announceAndReport(now + 300, listed);
        harness.settle(now + 310);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the trial has ended the probation", std::size_t(7), harness.startOrders.size());
    }

    // Guards against attempts that are used up on a host that fails every task: the members of a gang are placed in one
    // pass, before any of them is a run of the host.
    void aHostOnProbationGetsOneTaskOfAGang()
    {
        OwnerHarness harness;
        Wire::HostReport listed;
        const int now = quarantineWithALongRunningTask(harness, listed);
        Wire::StepDefinition gang = makeStep(2, 500, 300);
        gang.gang = true;
        harness.submit(now, makeJob("b0", { gang }));
        harness.settle(now + 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        harness.announceAndReport(now + 100, makeReport("host-2", 1, 100), testLink + 1);
        harness.settle(now + 110);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), harness.startOrders.size());
    }

    // Guards against jobs that never start: the trial on a host is a filler that is paused for the tasks beside it, so
    // it does not complete.
    void aTrialThatOutlastsItsEstimateAllowsTheNext()
    {
        OwnerHarness harness;
        Wire::HostReport listed;
        const int now = quarantineWithALongRunningTask(harness, listed);
        for (int n = 0; n < 2; ++n)
            harness.submit(now + n, makeJob("b" + std::to_string(n), { makeStep(1, 500, 1000) }));
        harness.settle(now + 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), harness.startOrders.size());
        listed.running.push_back(makeRunningTask(harness.startOrders[4].task, 1));
        listRepeatedly(harness, listed, now + 100, now + 1900);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), harness.startOrders.size());
        listRepeatedly(harness, listed, now + 2000, now + 2200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), harness.startOrders.size());
    }

    // Guards against two concurrent runs of a task: a lease extension that was sent to an earlier incarnation reaches
    // the current one.
    void waitsForTheLongestLeaseOfANewIncarnation()
    {
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        Wire::HostReport departed = makeReport("host-1", 1, 0);
        departed.listed = false;
        departed.state = Wire::HostState::Gone;
        harness.deliverReport(5, departed);
        harness.announceAndReport(10, makeReport("host-1", 2, 100));
        harness.settle(10);
        harness.submit(60, makeJob("aa", { makeStep(1, 1000, 1000) }));
        harness.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        harness.announceAndReport(150, makeReport("host-2", 1, 100), testLink + 1);
        harness.owner.onLinkDown(at(200), testLink);
        for (int now = 300; now < 9800; now += 100) {
            harness.announceAndReport(now, makeReport("host-2", 1, now), testLink + 1);
            harness.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
        for (int now = 9800; now < 11'000; now += 100) {
            harness.announceAndReport(now, makeReport("host-2", 1, now), testLink + 1);
            harness.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
    }

    // Guards against a task that is never placed again: the host has confirmed its start and has forgotten its end, and
    // no list has ever shown the run.
    void aRunThatEndedBeforeItsFirstListIsPlacedAgain()
    {
        for (const bool changesOnly : { false, true }) {
            OwnerHarness harness;
            harness.announceAndReport(0, makeReport("host-1", 1, 100));
            harness.settle(10);
            Wire::StepDefinition step = makeStep(1, 1000, 1000);
            step.longRunning = true;
            harness.submit(60, makeJob("aa", { step }));
            harness.settle(70);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.startOrders.size());
            Wire::HostReport started = makeReport("host-1", 1, 100);
            started.listed = false;
            Wire::OrderResult result;
            result.task = harness.startOrders[0].task;
            result.run = 1;
            result.outcome = Wire::OrderOutcome::Started;
            started.results.push_back(result);
            harness.deliverReport(130, started);
            Wire::HostReport list = makeReport("host-1", 1, 200);
            list.listFence = harness.owner.state().hosts.hosts().at("host-1").fence;
            list.changesOnly = changesOnly;
            harness.deliverReport(140, list);
            harness.settle(150);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "the list may be older than the start", std::size_t(1), harness.startOrders.size());
            harness.deliverReport(200, list);
            harness.settle(210);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.startOrders.size());
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobOwnerTest);
