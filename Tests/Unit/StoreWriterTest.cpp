/// Appends of the owner are numbered: one whose answer was lost is repeated under its number, and a fence ends it all.
#include "Decision/Job/StoreWriter.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class StoreWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreWriterTest);
    CPPUNIT_TEST(putsWaitingRecordsInOneAppend);
    CPPUNIT_TEST(repeatsALostAppendUnderItsNumber);
    CPPUNIT_TEST(letsLazyRecordsLie);
    CPPUNIT_TEST(endsWhenItIsFenced);
    CPPUNIT_TEST_SUITE_END();

    static AppendResponse response(AppendOutcome outcome)
    {
        AppendResponse response;
        response.outcome = outcome;
        return response;
    }

    void putsWaitingRecordsInOneAppend()
    {
        StoreWriter journal(StoreTopic::Jobs, 3, StoreWriterTiming {});
        for (int n = 0; n < 100; ++n)
            journal.add(at(100), StoreRecord { "k" + std::to_string(n), "v" }, Urgency::Waited);
        const std::optional<AppendToStore> append = journal.next(at(100));
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), append->records.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), append->epoch);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), append->number);
        CPPUNIT_ASSERT(!journal.next(at(200)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), journal.stored());
        CPPUNIT_ASSERT(journal.onResponse(at(201), response(AppendOutcome::Stored)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), journal.stored());
    }

    void repeatsALostAppendUnderItsNumber()
    {
        StoreWriter journal(StoreTopic::Jobs, 3, StoreWriterTiming {});
        journal.add(at(100), StoreRecord { "a", "1" }, Urgency::Waited);
        const std::optional<AppendToStore> first = journal.next(at(100));
        CPPUNIT_ASSERT(journal.onResponse(at(1300), response(AppendOutcome::Uncertain)));
        journal.add(at(1300), StoreRecord { "b", "2" }, Urgency::Waited);
        const std::optional<AppendToStore> again = journal.next(at(1400));
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT_EQUAL(first->number, again->number);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the same records and no others", std::size_t(1), again->records.size());
        CPPUNIT_ASSERT(journal.stalledFor(at(1400)) >= milliseconds(1300));
    }

    void letsLazyRecordsLie()
    {
        StoreWriter journal(StoreTopic::Jobs, 3, StoreWriterTiming {});
        journal.add(at(100), StoreRecord { "a", "" }, Urgency::Lazy);
        CPPUNIT_ASSERT(!journal.next(at(110)));
        CPPUNIT_ASSERT(journal.next(at(100) + StoreWriterTiming {}.lazyInterval));
    }

    void endsWhenItIsFenced()
    {
        StoreWriter journal(StoreTopic::Jobs, 3, StoreWriterTiming {});
        journal.add(at(100), StoreRecord { "a", "1" }, Urgency::Waited);
        journal.next(at(100));
        CPPUNIT_ASSERT(!journal.onResponse(at(101), response(AppendOutcome::Fenced)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoreWriterTest);
