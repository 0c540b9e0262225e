/// Slots are never overcommitted, guaranteed shares hold in a flood, and late work is refused early.
#include "Decision/Request/AdmissionQueue.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace Plantainpier;

class AdmissionQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(neverRunsMoreThanItsSlots);
    CPPUNIT_TEST(keepsTheShareOfTheLeastUrgentInAFlood);
    CPPUNIT_TEST(refusesWhatCannotFinishInTime);
    CPPUNIT_TEST(dropsWhatBecameLate);
    CPPUNIT_TEST(admitsAgainAfterAStaleServiceTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int urgent = 0;
    static constexpr int watchers = 2;
    static constexpr int slots = 8;

    AdmissionQueue m_queue;

public:
    void setUp() override
    {
        const Result<Bundle> bundle = Bundle::parse(testBundleContent(1));
        m_queue = AdmissionQueue();
        m_queue.setBundle(std::make_shared<const Bundle>(valueOf(bundle)));
        m_queue.setSlots(slots);
    }

private:
    AdmissionAnswer::Kind offer(long long now, int id, int classIndex, long long deadline = 1'000'000)
    {
        return m_queue.offer(at(now), std::to_string(id), classIndex, at(deadline)).kind;
    }

    void neverRunsMoreThanItsSlots()
    {
        for (int n = 0; n < 20; ++n)
            offer(0, n, n % 3);
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.running());
        m_queue.onFinished(urgent, milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_queue.advance(at(10)).size());
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.running());
    }

    void keepsTheShareOfTheLeastUrgentInAFlood()
    {
        std::set<std::string> watcherIds;
        int id = 0;
        int watcherStarts = 0;
        constexpr int rounds = 1000;
        for (int n = 0; n < slots; ++n)
            offer(0, ++id, urgent);
        for (int n = 0; n < rounds; ++n) {
            // The flood: both classes always have work waiting.
            offer(n, ++id, urgent);
            offer(n, ++id, watchers);
            watcherIds.insert(std::to_string(id));
            m_queue.onFinished(urgent, milliseconds(10));
            for (const QueueExit& exit : m_queue.advance(at(n)))
                watcherStarts += watcherIds.contains(exit.dispatchId) ? 1 : 0;
        }
        // Guaranteed 10% of the slots; the target is 95% of that.
        CPPUNIT_ASSERT(watcherStarts >= rounds * 10 * 95 / 10'000);
        CPPUNIT_ASSERT(watcherStarts <= rounds * 12 / 100);
    }

    void refusesWhatCannotFinishInTime()
    {
        offer(0, 1, urgent);
        m_queue.onFinished(urgent, milliseconds(100));
        for (int n = 0; n < slots; ++n)
            offer(0, 10 + n, urgent);
        const AdmissionAnswer answer = m_queue.offer(at(0), "late", watchers, at(50));
        CPPUNIT_ASSERT(answer.kind == AdmissionAnswer::Kind::Refuse);
        CPPUNIT_ASSERT(answer.code == ErrorCode::DeadlineTooShort);
        CPPUNIT_ASSERT(answer.retryAfter > Duration::zero());
    }

    void dropsWhatBecameLate()
    {
        for (int n = 0; n < slots; ++n)
            offer(0, n, urgent);
        CPPUNIT_ASSERT(offer(0, 100, urgent, 20) == AdmissionAnswer::Kind::Wait);
        const std::vector<QueueExit> exits = m_queue.advance(at(21));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exits.size());
        CPPUNIT_ASSERT(!exits.front().start);
    }

    void admitsAgainAfterAStaleServiceTime()
    {
        offer(0, 1, urgent);
        m_queue.onFinished(urgent, seconds(10));
        CPPUNIT_ASSERT(offer(0, 2, urgent, 100) == AdmissionAnswer::Kind::Start);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
