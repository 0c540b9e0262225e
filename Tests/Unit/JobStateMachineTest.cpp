/// The state of jobs follows from the log: the first valid record takes effect, records of old terms are void, and
/// repeated records change nothing.
#include "Decision/Job/JobStateMachine.h"
#include "Decision/Job/ResourceMath.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class JobStateMachineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobStateMachineTest);
    CPPUNIT_TEST(aRepeatedJobIsTheSameJob);
    CPPUNIT_TEST(theFirstLeaderRecordOfATermWins);
    CPPUNIT_TEST(recordsOfAnOldTermAreVoid);
    CPPUNIT_TEST(aTaskRunsOneAttemptAtATime);
    CPPUNIT_TEST(completionCountsOnce);
    CPPUNIT_TEST(aJobFailsAfterItsLastAttempt);
    CPPUNIT_TEST(everyRecordDecodesAsEncoded);
    CPPUNIT_TEST_SUITE_END();

    JobStateMachine m_jobStateMachine { "cell" };

public:
    void setUp() override
    {
        m_jobStateMachine = JobStateMachine("cell");
        m_jobStateMachine.apply(LeaderRecord { "cell", 1, "entry-1", 10 });
        m_jobStateMachine.apply(job("a"));
    }

private:
    static JobRecord job(const std::string& id)
    {
        JobRecord record;
        record.jobId = id;
        record.cell = "cell";
        record.team = "team";
        record.demand = makeResources(1000, 512, 1);
        record.payload = "{\"run_ms\": 5}";
        return record;
    }
    static AttemptRecord attempt(int number, std::int64_t term = 1)
    {
        return AttemptRecord { "cell", term, "a", number, "side-1" };
    }
    static EndedRecord ended(int number, AttemptEnd end, std::int64_t term = 1)
    {
        return EndedRecord { "cell", term, "a", number, end, "result", "" };
    }

    void aRepeatedJobIsTheSameJob()
    {
        CPPUNIT_ASSERT(m_jobStateMachine.apply(job("a")) == RecordEffect::JobRepeated);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_jobStateMachine.queuedJobs().size());
    }

    void theFirstLeaderRecordOfATermWins()
    {
        CPPUNIT_ASSERT(m_jobStateMachine.apply(LeaderRecord { "cell", 1, "entry-2", 20 }) == RecordEffect::None);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), m_jobStateMachine.leader().entryId);
        CPPUNIT_ASSERT(
            m_jobStateMachine.apply(LeaderRecord { "cell", 2, "entry-2", 20 }) == RecordEffect::LeaderChanged);
    }

    void recordsOfAnOldTermAreVoid()
    {
        m_jobStateMachine.apply(LeaderRecord { "cell", 2, "entry-2", 20 });
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(1, 1)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(1, 2)) == RecordEffect::AttemptRecorded);
        CPPUNIT_ASSERT(m_jobStateMachine.apply(ended(1, AttemptEnd::Lost, 1)) == RecordEffect::None);
    }

    void aTaskRunsOneAttemptAtATime()
    {
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(1)) == RecordEffect::AttemptRecorded);
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(2)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_jobStateMachine.usageOf("team") == makeResources(1000, 512, 1));
        m_jobStateMachine.apply(ended(1, AttemptEnd::Evicted));
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(1)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(2)) == RecordEffect::AttemptRecorded);
    }

    void completionCountsOnce()
    {
        m_jobStateMachine.apply(attempt(1));
        CPPUNIT_ASSERT(m_jobStateMachine.apply(ended(1, AttemptEnd::Completed)) == RecordEffect::AttemptEnded);
        CPPUNIT_ASSERT(m_jobStateMachine.apply(ended(1, AttemptEnd::Completed)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_jobStateMachine.find("a")->status == JobStatus::Completed);
        CPPUNIT_ASSERT(m_jobStateMachine.usageOf("team") == Wire::Resources());
    }

    void aJobFailsAfterItsLastAttempt()
    {
        for (int n = 1; n <= 3; ++n) {
            CPPUNIT_ASSERT(m_jobStateMachine.apply(attempt(n)) == RecordEffect::AttemptRecorded);
            m_jobStateMachine.apply(ended(n, AttemptEnd::Failed));
        }
        CPPUNIT_ASSERT(m_jobStateMachine.find("a")->status == JobStatus::Failed);
    }

    void everyRecordDecodesAsEncoded()
    {
        const std::vector<LogRecord> records { job("b"), LeaderRecord { "cell", 3, "entry", 9 },
            LeaderHeartbeatRecord { "cell", 3, 4 }, EntryStartedRecord { "entry", 9 }, attempt(1),
            ended(1, AttemptEnd::Evicted), CancelRecord { "cell", "b" }, BundleRecord { "{\"content\":{}}" } };
        for (const LogRecord& record : records) {
            const std::string text = encodeRecord(record);
            const Result<LogRecord> decoded = decodeRecord(text);
            CPPUNIT_ASSERT_MESSAGE(text, isOk(decoded));
            CPPUNIT_ASSERT_EQUAL(record.index(), valueOf(decoded).index());
            CPPUNIT_ASSERT_EQUAL(text, encodeRecord(valueOf(decoded)));
        }
        CPPUNIT_ASSERT(!isOk(decodeRecord("{\"type\":\"surprise\"}")));
        CPPUNIT_ASSERT(!isOk(decodeRecord("no json")));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JobStateMachineTest);
