/// Tests that the owner writes no record that the store refuses for its size: the store would refuse it each time, and
/// everything that waits behind it.
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class RecordBoundsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordBoundsTest);
    CPPUNIT_TEST(aJobThatTheStoreCannotTakeIsRejectedAtOnce);
    CPPUNIT_TEST(theProgressOfAWideJobFitsTheStore);
    CPPUNIT_TEST(theNextOwnerLoadsAllPartsOfTheProgress);
    CPPUNIT_TEST(progressOfAnEarlierVersionIsKept);
    CPPUNIT_TEST(allPartsAreRemovedWithTheJob);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int wideJobTasks = 25'000;

    static Wire::JobDefinition makeWideJob()
    {
        Wire::JobDefinition job = makeJob("00000000000000d1", { makeStep(wideJobTasks, 1, 500) });
        job.steps[0].demand.memoryMegabytes = 1;
        return job;
    }

    static Wire::HostReport makeLargeHost(int now)
    {
        Wire::HostReport report = makeReport("host-0", 1, now);
        report.capacity.milliProcessors = 1'000'000;
        report.capacity.memoryMegabytes = 1'000'000;
        return report;
    }

    /// Runs the wide job, up to the given number of completed tasks.
    static void completeTasks(OwnerHarness& harness, int tasks)
    {
        harness.announceAndReport(10, makeLargeHost(10));
        harness.settle(20);
        harness.submit(100, makeWideJob());
        std::int64_t ends = 0;
        for (int now = 110; now < 60'000 && ends < tasks; now += 10) {
            harness.tick(now);
            const std::vector<Wire::HostOrders> sent = std::move(harness.sentOrders);
            harness.sentOrders.clear();
            Wire::HostReport report = makeLargeHost(now);
            for (const Wire::HostOrders& orders : sent) {
                for (const Wire::StartOrder& start : orders.starts) {
                    if (ends < tasks)
                        report.ended.push_back(makeEndedTask(++ends, start.task, start.run, Wire::RunEnd::Completed));
                }
            }
            if (!report.ended.empty())
                harness.announceAndReport(now, report);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(tasks), ends);
        harness.settle(60'000);
        harness.settle(60'100);
    }

    static std::size_t largestRecord(const OwnerHarness& harness)
    {
        std::size_t largest = 0;
        for (const StoreRecord& record : harness.storedRecords)
            largest = std::max(largest, 1 + record.key.size() + record.value.size());
        return largest;
    }

    /// The newest record of each key, without removed ones.
    static std::vector<StoreRecord> newestRecords(const OwnerHarness& harness)
    {
        std::map<std::string, StoreRecord> newest;
        for (const StoreRecord& record : harness.storedRecords)
            newest[record.key] = record;
        std::vector<StoreRecord> records;
        for (const std::pair<const std::string, StoreRecord>& entry : newest) {
            if (!entry.second.value.empty())
                records.push_back(entry.second);
        }
        return records;
    }

    /// Completed tasks of the wide job after the next owner has loaded these records.
    static int countLoadedCompletions(const std::vector<StoreRecord>& records)
    {
        JobOwner next("entry-2", 2, OwnerRules {}, at(0));
        next.loadRecords(records);
        Actions actions;
        next.finishLoad(at(0), 70'000, at(9000), actions);
        return next.state().jobs.at(makeWideJob().jobId)->steps().at(0).completedTasks;
    }

    // Guards against a job whose definition the store refuses for ever, so that nothing is accepted any more.
    void aJobThatTheStoreCannotTakeIsRejectedAtOnce()
    {
        OwnerHarness harness;
        harness.announceAndReport(10, makeLargeHost(10));
        harness.settle(20);
        Wire::JobDefinition job = makeWideJob();
        job.steps[0].image = std::string(OwnerRules {}.maximumRecordBytes, 'x');
        harness.submit(100, job);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.replies.size());
        CPPUNIT_ASSERT(harness.replies[0].kind == Wire::JobReplyKind::Invalid);
        harness.submit(200, makeJob("00000000000000d2", { makeStep(1, 1000, 300) }));
        harness.settle(210);
        CPPUNIT_ASSERT(harness.replies.back().kind == Wire::JobReplyKind::Accepted);
        CPPUNIT_ASSERT(largestRecord(harness) <= OwnerRules {}.maximumRecordBytes);
    }

    // Guards against the progress of a job with many tasks that outgrows a record.
    void theProgressOfAWideJobFitsTheStore()
    {
        OwnerHarness harness;
        completeTasks(harness, wideJobTasks);
        const std::size_t largest = largestRecord(harness);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(largest) + " bytes", largest <= OwnerRules {}.maximumRecordBytes);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), harness.owner.state().counters.completedJobs);
    }

    // Guards against completed tasks that the next owner starts again because it has read one part only.
    void theNextOwnerLoadsAllPartsOfTheProgress()
    {
        constexpr int completed = 20'000;
        OwnerHarness harness;
        completeTasks(harness, completed);
        CPPUNIT_ASSERT_EQUAL(completed, countLoadedCompletions(newestRecords(harness)));
    }

    // Guards against marks that get lost when an owner of this version continues a job whose whole progress is in one
    // record.
    void progressOfAnEarlierVersionIsKept()
    {
        constexpr int completed = 2000;
        Wire::JobDefinition job = makeWideJob();
        job.acceptedTerm = 1;
        Wire::JobProgress progress;
        progress.outcome = Wire::JobOutcome::Open;
        for (int n = 0; n < completed; ++n) {
            Wire::TaskMark mark;
            mark.index = n;
            mark.completed = true;
            progress.marks.push_back(mark);
        }
        const std::vector<StoreRecord> records { StoreRecord { StoreKey::job(job.jobId), Wire::encode(job) },
            StoreRecord { StoreKey::progress(job.jobId), Wire::encode(progress) } };
        CPPUNIT_ASSERT_EQUAL(completed, countLoadedCompletions(records));
        OwnerHarness harness(2);
        harness.storedRecords = records;
        harness.owner.loadRecords(records);
        Actions actions;
        harness.owner.finishLoad(at(0), 70'000, at(0), actions);
        Wire::HostReport report = makeLargeHost(10);
        report.ended.push_back(makeEndedTask(1, makeTask(job.jobId, 0, completed), 1, Wire::RunEnd::Completed));
        harness.announceAndReport(10, report);
        harness.settle(20);
        harness.settle(120);
        CPPUNIT_ASSERT_EQUAL(completed + 1, countLoadedCompletions(newestRecords(harness)));
    }

    // Guards against parts that stay in the store for good.
    void allPartsAreRemovedWithTheJob()
    {
        OwnerHarness harness;
        completeTasks(harness, wideJobTasks);
        const int removed = 60'000 + static_cast<int>(toMilliseconds(OwnerRules {}.finishedJobRetention)) + 20'000;
        harness.settle(removed);
        harness.settle(removed + 200);
        for (const StoreRecord& record : newestRecords(harness))
            CPPUNIT_ASSERT_MESSAGE(record.key, record.key.find(makeWideJob().jobId) == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordBoundsTest);
