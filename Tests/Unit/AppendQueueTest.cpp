/// The append queue of an entry: many records share one append, and an append with a lost answer is resolved by reading
/// the log before it is repeated.
#include "Decision/Job/AppendQueue.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AppendQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AppendQueueTest);
    CPPUNIT_TEST(putsManyRecordsInOneAppend);
    CPPUNIT_TEST(doesNotRepeatRecordsThatWereReadBack);
    CPPUNIT_TEST(repeatsAnAppendOnlyAfterTheLogWasReadWithoutIt);
    CPPUNIT_TEST(repeatsARefusedAppend);
    CPPUNIT_TEST_SUITE_END();

    static LogRecord record(int n) { return CancelRecord { "cell", "job-" + std::to_string(n) }; }

    void putsManyRecordsInOneAppend()
    {
        AppendQueue queue(AppendLimits {});
        for (int n = 0; n < 320; ++n)
            queue.add({ record(n) });
        const std::optional<std::vector<std::string>> batch = queue.nextBatch(at(0));
        CPPUNIT_ASSERT(batch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(320), batch->size());
        CPPUNIT_ASSERT(!queue.nextBatch(at(1000)));
        queue.onAppendResult(at(1001), AppendResult::Stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }

    void doesNotRepeatRecordsThatWereReadBack()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        const std::vector<std::string> batch = *queue.nextBatch(at(0));
        queue.onAppendResult(at(2000), AppendResult::Uncertain);
        CPPUNIT_ASSERT(!queue.nextBatch(at(2100)));
        queue.onRecordRead(batch.front());
        queue.onLogReadToEnd(at(9000));
        CPPUNIT_ASSERT(!queue.nextBatch(at(9000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }

    void repeatsAnAppendOnlyAfterTheLogWasReadWithoutIt()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        queue.nextBatch(at(0));
        queue.onAppendResult(at(2000), AppendResult::Uncertain);
        queue.onLogReadToEnd(at(2001));
        CPPUNIT_ASSERT_MESSAGE(
            "the append may still take effect and must not be repeated yet", !queue.nextBatch(at(2100)));
        queue.onLogReadToEnd(at(4001));
        CPPUNIT_ASSERT(queue.nextBatch(at(4100)));
    }

    void repeatsARefusedAppend()
    {
        AppendQueue queue(AppendLimits {});
        queue.add({ record(1) });
        queue.nextBatch(at(0));
        queue.onAppendResult(at(10), AppendResult::Refused);
        CPPUNIT_ASSERT(!queue.nextBatch(at(20)));
        CPPUNIT_ASSERT(queue.nextBatch(at(100)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AppendQueueTest);
