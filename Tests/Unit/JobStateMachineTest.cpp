/// Tests JobStateMachine: the first valid record in the log wins, records of earlier terms have no effect, and repeated
/// records change nothing.
#include "Decision/Job/JobStateMachine.h"
#include "Decision/Job/ResourceMath.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class JobStateMachineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobStateMachineTest);
    CPPUNIT_TEST(aRepeatedJobIsNotQueuedAgain);
    CPPUNIT_TEST(theFirstClaimOfATermWins);
    CPPUNIT_TEST(recordsOfAnEarlierTermHaveNoEffect);
    CPPUNIT_TEST(aTaskRunsOneAttemptAtATime);
    CPPUNIT_TEST(completionCountsOnce);
    CPPUNIT_TEST(aJobThatAlwaysFailsStops);
    CPPUNIT_TEST(everyRecordTypeCanBeEncodedAndDecoded);
    CPPUNIT_TEST_SUITE_END();

    JobStateMachine m_stateMachine { "cell" };

public:
    void setUp() override
    {
        m_stateMachine = JobStateMachine("cell");
        m_stateMachine.apply(LeaderRecord { "cell", 1, "entry-1", 10 });
        m_stateMachine.apply(makeJobRecord("a"));
    }

private:
    static JobRecord makeJobRecord(const std::string& id)
    {
        JobRecord record;
        record.jobId = id;
        record.cell = "cell";
        record.team = "team";
        record.demand = makeResources(1000, 512, 1);
        record.payload = "{\"run_ms\": 5}";
        return record;
    }
    static AttemptRecord makeAttemptRecord(int number, std::int64_t term = 1)
    {
        return AttemptRecord { "cell", term, "a", number, "side-1" };
    }
    static EndedRecord makeEndedRecord(int number, AttemptEnd end, std::int64_t term = 1)
    {
        return EndedRecord { "cell", term, "a", number, end, "result", "" };
    }

    void aRepeatedJobIsNotQueuedAgain()
    {
        CPPUNIT_ASSERT(m_stateMachine.apply(makeJobRecord("a")) == RecordEffect::JobRepeated);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_stateMachine.queue().size());
    }

    void theFirstClaimOfATermWins()
    {
        CPPUNIT_ASSERT(m_stateMachine.apply(LeaderRecord { "cell", 1, "entry-2", 20 }) == RecordEffect::None);
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), m_stateMachine.leader().entryId);
        CPPUNIT_ASSERT(m_stateMachine.apply(LeaderRecord { "cell", 2, "entry-2", 20 }) == RecordEffect::LeaderChanged);
    }

    void recordsOfAnEarlierTermHaveNoEffect()
    {
        m_stateMachine.apply(LeaderRecord { "cell", 2, "entry-2", 20 });
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(1, 1)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(1, 2)) == RecordEffect::AttemptRecorded);
        CPPUNIT_ASSERT(m_stateMachine.apply(makeEndedRecord(1, AttemptEnd::Lost, 1)) == RecordEffect::None);
    }

    void aTaskRunsOneAttemptAtATime()
    {
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(1)) == RecordEffect::AttemptRecorded);
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(2)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_stateMachine.usageOf("team") == makeResources(1000, 512, 1));
        m_stateMachine.apply(makeEndedRecord(1, AttemptEnd::Evicted));
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(1)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(2)) == RecordEffect::AttemptRecorded);
    }

    void completionCountsOnce()
    {
        m_stateMachine.apply(makeAttemptRecord(1));
        CPPUNIT_ASSERT(m_stateMachine.apply(makeEndedRecord(1, AttemptEnd::Completed)) == RecordEffect::AttemptOver);
        CPPUNIT_ASSERT(m_stateMachine.apply(makeEndedRecord(1, AttemptEnd::Completed)) == RecordEffect::None);
        CPPUNIT_ASSERT(m_stateMachine.find("a")->status == JobStatus::Completed);
        CPPUNIT_ASSERT(m_stateMachine.usageOf("team") == Wire::Resources());
    }

    void aJobThatAlwaysFailsStops()
    {
        for (int n = 1; n <= 3; ++n) {
            CPPUNIT_ASSERT(m_stateMachine.apply(makeAttemptRecord(n)) == RecordEffect::AttemptRecorded);
            m_stateMachine.apply(makeEndedRecord(n, AttemptEnd::Failed));
        }
        CPPUNIT_ASSERT(m_stateMachine.find("a")->status == JobStatus::Failed);
    }

    void everyRecordTypeCanBeEncodedAndDecoded()
    {
        const std::vector<LogRecord> records { makeJobRecord("b"), LeaderRecord { "cell", 3, "entry", 9 },
            LeaderHeartbeatRecord { "cell", 3, 4 }, EntryStartedRecord { "entry", 9 }, makeAttemptRecord(1),
            makeEndedRecord(1, AttemptEnd::Evicted), CancelRecord { "cell", "b" },
            BundleRecord { "{\"content\":{}}" } };
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
