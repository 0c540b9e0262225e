/// Tests the count of failed attempts of a task: each failure counts once, whenever a host reports it and to whichever
/// owner.
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AttemptBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptBudgetTest);
    CPPUNIT_TEST(countsAFailureListedAfterALaterRunWasAdopted);
    CPPUNIT_TEST(aFailedMemberCountsForTheWholeGang);
    CPPUNIT_TEST(anOccurrenceThatWasDueForAnEarlierOwnerIsKept);
    CPPUNIT_TEST(aRunNumberThatFailedIsNotReused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* jobId = "00000000000000aa";

    /// The records that an owner of term 1 stored for a job of one task and its host.
    static std::vector<StoreRecord> storedByFirstOwner()
    {
        OwnerHarness first;
        first.announceAndReport(0, makeReport("host-1", 1, 100));
        first.settle(10);
        first.submit(60, makeJob(jobId, { makeStep(1, 1000, 300) }));
        first.settle(70);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.startOrders.size());
        return first.storedRecords;
    }

    // Guards against a third start where two are permitted: a new owner adopts run 2 before it counts the failure of
    // run 1.
    void countsAFailureListedAfterALaterRunWasAdopted()
    {
        OwnerHarness next(2);
        next.owner.loadRecords(storedByFirstOwner());
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(10'000), actions);
        const Wire::TaskName task = makeTask(jobId, 0, 0);
        const Wire::EndedTask first = makeEndedTask(1, task, 1, Wire::RunEnd::Failed);
        Wire::HostReport report = makeReport("host-1", 1, 1100);
        report.running = { makeRunningTask(task, 2) };
        report.ended = { first };
        next.announceAndReport(1010, report);
        next.settle(1020);
        report = makeReport("host-1", 1, 1200);
        report.ended = { first, makeEndedTask(2, task, 2, Wire::RunEnd::Failed) };
        next.announceAndReport(1100, report);
        next.settle(1110);
        next.settle(1300);
        CPPUNIT_ASSERT_MESSAGE("both attempts have failed", next.startOrders.empty());
        const Wire::JobReply status = next.sendCall(1400, Wire::JobCallKind::Status, makeJob(jobId, {}));
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Failed, status.phase);
    }

    // Guards against a third start of a gang where two are permitted: a different member fails each time.
    void aFailedMemberCountsForTheWholeGang()
    {
        Wire::StepDefinition gang = makeStep(2, 1000, 300);
        gang.gang = true;
        const Wire::JobDefinition job = makeJob(jobId, { gang });
        OwnerHarness harness;
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(10);
        harness.submit(60, job);
        harness.settle(70);
        std::vector<Wire::EndedTask> ended;
        for (int run = 1; run <= 2; ++run) {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(run) * 2, harness.startOrders.size());
            const int failing = run - 1;
            const std::int64_t last = std::int64_t(run) * 2;
            ended.push_back(makeEndedTask(last - 1, makeTask(jobId, 0, failing), run, Wire::RunEnd::Failed));
            ended.push_back(makeEndedTask(last, makeTask(jobId, 0, 1 - failing), run, Wire::RunEnd::GangBroken));
            const int now = 300 * run;
            Wire::HostReport report = makeReport("host-1", 1, now);
            report.ended = ended;
            harness.announceAndReport(now, report);
            harness.settle(now + 10);
            harness.settle(now + 150);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(Wire::JobPhase::Failed, harness.sendCall(1000, Wire::JobCallKind::Status, job).phase);
    }

    // Guards against a second start of a completed occurrence: the clock of the next owner lags behind.
    void anOccurrenceThatWasDueForAnEarlierOwnerIsKept()
    {
        checkOccurrenceIsKept(true);
        checkOccurrenceIsKept(false);
    }

    /// The first owner stores the end of the second occurrence if endIsStored; otherwise only the host lists it.
    static void checkOccurrenceIsKept(bool endIsStored)
    {
        Wire::JobDefinition job = makeJob(jobId, { makeStep(1, 1000, 300) });
        job.occurrences = 3;
        job.firstDueUnixMilliseconds = 200;
        job.intervalMilliseconds = 300;
        OwnerHarness first;
        first.announceAndReport(0, makeReport("host-1", 1, 100));
        first.settle(10);
        first.submit(60, job);
        first.settle(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.startOrders.size());
        Wire::TaskName second = makeTask(jobId, 0, 0);
        second.occurrence = 1;
        Wire::HostReport report = makeReport("host-1", 1, 520);
        const Wire::EndedTask firstEnd = makeEndedTask(1, makeTask(jobId, 0, 0), 1, Wire::RunEnd::Completed);
        report.ended = { firstEnd };
        first.announceAndReport(520, report);
        first.settle(530);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.startOrders.size());
        first.storeUnavailable = !endIsStored;
        report = makeReport("host-1", 1, 600);
        report.ended = { firstEnd, makeEndedTask(2, second, 1, Wire::RunEnd::Completed) };
        first.announceAndReport(600, report);
        first.settle(610);

        OwnerHarness next(2);
        next.owner.loadRecords(first.storedRecords);
        Actions actions;
        constexpr int clockLagMilliseconds = 300;
        next.owner.finishLoad(at(700), 700 - clockLagMilliseconds, at(700), actions);
        report.clockMilliseconds = 700;
        next.announceAndReport(700, report);
        next.settle(710);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both occurrences are completed", std::size_t(0), next.startOrders.size());
        next.settle(810);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the third one is due", std::size_t(1), next.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(2, next.startOrders[0].task.occurrence);
    }

    // Guards against a failure that is taken for one that is already counted: the run numbers of an earlier term extend
    // into those of the next.
    void aRunNumberThatFailedIsNotReused()
    {
        std::vector<StoreRecord> stored = storedByFirstOwner();
        const int failedRun = runNumbersPerTerm + 1;
        Wire::TaskMark mark;
        mark.failedRuns = { failedRun };
        Wire::JobProgress progress;
        progress.marks = { mark };
        progress.outcome = Wire::JobOutcome::Open;
        stored.push_back(StoreRecord { StoreKey::progress(jobId), Wire::encode(progress) });
        OwnerHarness next(2);
        next.owner.loadRecords(stored);
        Actions actions;
        next.owner.finishLoad(at(1000), 1000, at(1000), actions);
        next.announceAndReport(1010, makeReport("host-1", 1, 1100));
        next.settle(1020);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.startOrders.size());
        CPPUNIT_ASSERT_EQUAL(failedRun + 1, next.startOrders[0].run);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptBudgetTest);
