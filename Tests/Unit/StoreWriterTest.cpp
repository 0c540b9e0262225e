/// Tests StoreWriter: appends carry sequence numbers, an append without a response is repeated under its number, and a
/// fenced writer reports that its term has ended.
#include "Decision/Job/StoreWriter.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class StoreWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreWriterTest);
    CPPUNIT_TEST(batchesWaitingRecordsInOneAppend);
    CPPUNIT_TEST(repeatsAnUnansweredAppendWithItsSequenceNumber);
    CPPUNIT_TEST(delaysLazyRecords);
    CPPUNIT_TEST(reportsWhenItIsFenced);
    CPPUNIT_TEST_SUITE_END();

    static AppendResponse response(AppendOutcome outcome)
    {
        AppendResponse response;
        response.outcome = outcome;
        return response;
    }

    void batchesWaitingRecordsInOneAppend()
    {
        StoreWriter writer(StoreTopic::Jobs, 3, StoreWriterTiming {});
        for (int n = 0; n < 100; ++n)
            writer.enqueue(at(100), StoreRecord { "k" + std::to_string(n), "v" }, Urgency::Immediate);
        const std::optional<AppendToStore> append = writer.nextAppend(at(100));
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), append->records.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), append->epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), append->appendNumber);
        CPPUNIT_ASSERT(!writer.nextAppend(at(200)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), writer.storedSequenceNumber());
        CPPUNIT_ASSERT(writer.onResponse(at(201), response(AppendOutcome::Stored)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), writer.storedSequenceNumber());
    }

    void repeatsAnUnansweredAppendWithItsSequenceNumber()
    {
        StoreWriter writer(StoreTopic::Jobs, 3, StoreWriterTiming {});
        writer.enqueue(at(100), StoreRecord { "a", "1" }, Urgency::Immediate);
        const std::optional<AppendToStore> first = writer.nextAppend(at(100));
        CPPUNIT_ASSERT(writer.onResponse(at(1300), response(AppendOutcome::Uncertain)));
        writer.enqueue(at(1300), StoreRecord { "b", "2" }, Urgency::Immediate);
        const std::optional<AppendToStore> repeated = writer.nextAppend(at(1400));
        CPPUNIT_ASSERT(repeated);
        CPPUNIT_ASSERT_EQUAL(first->appendNumber, repeated->appendNumber);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the repeated append holds the same records and no others", std::size_t(1), repeated->records.size());
        CPPUNIT_ASSERT(writer.stalledFor(at(1400)) >= milliseconds(1300));
    }

    void delaysLazyRecords()
    {
        StoreWriter writer(StoreTopic::Jobs, 3, StoreWriterTiming {});
        writer.enqueue(at(100), StoreRecord { "a", "" }, Urgency::Lazy);
        CPPUNIT_ASSERT(!writer.nextAppend(at(110)));
        CPPUNIT_ASSERT(writer.nextAppend(at(100) + StoreWriterTiming {}.maximumLazyDelay));
    }

    void reportsWhenItIsFenced()
    {
        StoreWriter writer(StoreTopic::Jobs, 3, StoreWriterTiming {});
        writer.enqueue(at(100), StoreRecord { "a", "1" }, Urgency::Immediate);
        writer.nextAppend(at(100));
        CPPUNIT_ASSERT(!writer.onResponse(at(101), response(AppendOutcome::Fenced)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoreWriterTest);
