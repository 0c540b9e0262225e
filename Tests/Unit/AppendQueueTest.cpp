/// Tests AppendQueue: many records go into one append, and an append without a response is repeated only after reading
/// the log has shown that it was not stored.
#include "Decision/Job/AppendQueue.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AppendQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AppendQueueTest);
    CPPUNIT_TEST(batchesManyRecordsInOneAppend);
    CPPUNIT_TEST(doesNotRepeatRecordsThatWereReadBack);
    CPPUNIT_TEST(repeatsAnUncertainAppendOnlyAfterReadingTheLog);
    CPPUNIT_TEST(repeatsARefusedAppend);
    CPPUNIT_TEST_SUITE_END();

    static LogRecord record(int n) { return CancelRecord { "cell", "job-" + std::to_string(n) }; }

    void batchesManyRecordsInOneAppend()
    {
        AppendQueue queue(AppendLimits {});
        for (int n = 0; n < 320; ++n)
            queue.add({ record(n) });
        const std::optional<std::vector<std::string>> batch = queue.nextBatch(at(0));
        CPPUNIT_ASSERT(batch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(320), batch->size());
        CPPUNIT_ASSERT(!queue.nextBatch(at(1000)));
        queue.onResult(at(1001), AppendResult::Stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }

    void doesNotRepeatRecordsThatWereReadBack()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        const std::vector<std::string> batch = *queue.nextBatch(at(0));
        queue.onResult(at(2000), AppendResult::Uncertain);
        CPPUNIT_ASSERT(!queue.nextBatch(at(2100)));
        queue.onRead(batch.front());
        queue.onReadToEnd(at(9000));
        CPPUNIT_ASSERT(!queue.nextBatch(at(9000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }

    void repeatsAnUncertainAppendOnlyAfterReadingTheLog()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        queue.nextBatch(at(0));
        queue.onResult(at(2000), AppendResult::Uncertain);
        queue.onReadToEnd(at(2001));
        CPPUNIT_ASSERT_MESSAGE("the append may still take effect after the first read", !queue.nextBatch(at(2100)));
        queue.onReadToEnd(at(4001));
        CPPUNIT_ASSERT(queue.nextBatch(at(4100)));
    }

    void repeatsARefusedAppend()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        queue.nextBatch(at(0));
        queue.onResult(at(10), AppendResult::Refused);
        CPPUNIT_ASSERT(!queue.nextBatch(at(20)));
        CPPUNIT_ASSERT(queue.nextBatch(at(100)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AppendQueueTest);
