/// Tests which availability zones count as closed, from records and complete reads of the operators' topic.
#include "Decision/Zone/ZoneClosures.h"
#include "Support/HistorySeeds.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace Plantainpier;

class ZoneClosuresTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneClosuresTest);
    CPPUNIT_TEST(aRequestHoldsUntilItIsRemoved);
    CPPUNIT_TEST(repeatedAndOverlappingRequestsChangeNothing);
    CPPUNIT_TEST(anOldAnswerDoesNotCloseAReopenedZone);
    CPPUNIT_TEST(anOldAnswerDoesNotReopenAClosedZone);
    CPPUNIT_TEST(aZoneThatIsGoneFromTheTopicIsReopened);
    CPPUNIT_TEST(answersThatShowARemovedRequestAgainDoNotDelayTheReopening);
    CPPUNIT_TEST(aReadThatShowsTheRequestReopensNothing);
    CPPUNIT_TEST(aReadThatMayBeOlderThanTheRequestReopensNothing);
    CPPUNIT_TEST(endsWithTheNewestRequestsForAnyOrderOfAnswers);
    CPPUNIT_TEST_SUITE_END();

    /// Answers may be this old while the store drops its history.
    static constexpr int answerAgeMilliseconds = 10'000;

    // Guards against a closure that ends by itself, or that a removal does not end.
    void aRequestHoldsUntilItIsRemoved()
    {
        ZoneClosures closures;
        CPPUNIT_ASSERT(!closures.isClosed("north"));
        const std::optional<ZoneChange> change = closures.applyRecord(at(0), "north", true, 4);
        CPPUNIT_ASSERT(change && change->closed && change->zone == "north" && change->offset == 4);
        CPPUNIT_ASSERT(closures.isClosed("north"));
        CPPUNIT_ASSERT(!closures.isClosed("south"));
        CPPUNIT_ASSERT(closures.applyRecord(at(1), "north", false, 9));
        CPPUNIT_ASSERT(!closures.isClosed("north"));
        CPPUNIT_ASSERT(closures.closedZones().empty());
    }

    // Guards against a repeated request that counts as a change, and against requests that replace each other.
    void repeatedAndOverlappingRequestsChangeNothing()
    {
        ZoneClosures closures;
        CPPUNIT_ASSERT(closures.applyRecord(at(0), "north", true, 4));
        CPPUNIT_ASSERT(!closures.applyRecord(at(1), "north", true, 5));
        CPPUNIT_ASSERT(closures.applyRecord(at(2), "south", true, 6));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), closures.closedZones().size());
        CPPUNIT_ASSERT(closures.applyRecord(at(3), "north", false, 7));
        CPPUNIT_ASSERT(closures.isClosed("south"));
        CPPUNIT_ASSERT(!closures.applyRecord(at(4), "north", false, 8));
    }

    // Guards against a request that an old page of newest records shows again after its removal.
    void anOldAnswerDoesNotCloseAReopenedZone()
    {
        ZoneClosures closures;
        closures.applyRecord(at(0), "north", true, 4);
        closures.applyRecord(at(100), "north", false, 7);
        CPPUNIT_ASSERT(!closures.applyRecord(at(200), "north", true, 4));
        CPPUNIT_ASSERT(!closures.isClosed("north"));
    }

    // Guards against a removal that is shown after a later request for the same zone.
    void anOldAnswerDoesNotReopenAClosedZone()
    {
        ZoneClosures closures;
        closures.applyRecord(at(0), "north", false, 7);
        closures.applyRecord(at(100), "north", true, 8);
        CPPUNIT_ASSERT(!closures.applyRecord(at(200), "north", false, 7));
        CPPUNIT_ASSERT(closures.isClosed("north"));
    }

    // Guards against a zone that stays closed because the store has dropped the record of the removal.
    void aZoneThatIsGoneFromTheTopicIsReopened()
    {
        ZoneClosures closures;
        closures.applyRecord(at(0), "north", true, 4);
        closures.applyRecord(at(answerAgeMilliseconds + 50), "south", true, 12);
        const std::vector<ZoneChange> reopened = closures.applyCompleteRead(at(answerAgeMilliseconds));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reopened.size());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), reopened.front().zone);
        CPPUNIT_ASSERT(closures.isClosed("south"));
    }

    // Guards against a zone that stays closed because old answers show the removed request until complete reads end.
    void answersThatShowARemovedRequestAgainDoNotDelayTheReopening()
    {
        ZoneClosures closures;
        closures.applyRecord(at(0), "north", true, 4);
        closures.applyRecord(at(answerAgeMilliseconds - 1), "north", true, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), closures.applyCompleteRead(at(answerAgeMilliseconds)).size());
        CPPUNIT_ASSERT(!closures.isClosed("north"));
    }

    // Guards against a zone that a complete read reopens although it contains the request.
    void aReadThatShowsTheRequestReopensNothing()
    {
        ZoneClosures closures;
        closures.applyRecord(at(0), "north", true, 4);
        closures.applyRecord(at(answerAgeMilliseconds + 5), "north", true, 4);
        CPPUNIT_ASSERT(closures.applyCompleteRead(at(answerAgeMilliseconds)).empty());
        CPPUNIT_ASSERT(closures.isClosed("north"));
    }

    // Guards against a request that is lost because the store answered a complete read from before it.
    void aReadThatMayBeOlderThanTheRequestReopensNothing()
    {
        ZoneClosures closures;
        closures.applyRecord(at(1000), "north", true, 4);
        CPPUNIT_ASSERT(closures.applyCompleteRead(at(answerAgeMilliseconds + 999)).empty());
        CPPUNIT_ASSERT(closures.isClosed("north"));
    }

    // Guards against a result that depends on the order in which answers arrive.
    void endsWithTheNewestRequestsForAnyOrderOfAnswers()
    {
        const HistorySeeds seeds = historySeeds(200);
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            std::mt19937_64 random(seed);
            const std::vector<std::string> zones { "north", "south", "east" };
            std::vector<std::pair<std::string, bool>> records;
            std::map<std::string, bool> newest;
            for (int n = 0; n < 30; ++n) {
                records.emplace_back(zones[random() % zones.size()], random() % 2 == 0);
                newest[records.back().first] = records.back().second;
            }
            std::vector<std::size_t> shown;
            for (std::size_t n = 0; n < records.size(); ++n)
                shown.insert(shown.end(), 1 + random() % 3, n);
            std::shuffle(shown.begin(), shown.end(), random);
            ZoneClosures closures;
            int now = 0;
            for (const std::size_t n : shown)
                closures.applyRecord(at(++now), records[n].first, records[n].second, static_cast<std::int64_t>(n));
            for (const std::pair<const std::string, bool>& zone : newest)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    "seed " + std::to_string(seed), zone.second, closures.isClosed(zone.first));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneClosuresTest);
