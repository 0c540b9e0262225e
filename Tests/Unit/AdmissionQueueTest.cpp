/// Tests AdmissionQueue: slots are never overcommitted, guaranteed shares hold under overload, and requests that cannot
/// meet their deadline are refused early.
#include "Decision/Request/AdmissionQueue.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace Plantainpier;

class AdmissionQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(neverRunsMoreRequestsThanSlots);
    CPPUNIT_TEST(keepsTheGuaranteedShareUnderOverload);
    CPPUNIT_TEST(refusesRequestsThatCannotMeetTheirDeadline);
    CPPUNIT_TEST(dropsWaitingRequestsPastTheirDeadline);
    CPPUNIT_TEST(admitsRequestsAfterAnOutdatedServiceTime);
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

    void neverRunsMoreRequestsThanSlots()
    {
        for (int n = 0; n < 20; ++n)
            offer(0, n, n % 3);
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.running());
        m_queue.onFinished(urgent, milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_queue.advance(at(10)).size());
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.running());
    }

    void keepsTheGuaranteedShareUnderOverload()
    {
        std::set<std::string> watcherIds;
        int id = 0;
        int watcherStarts = 0;
        constexpr int rounds = 1000;
        for (int n = 0; n < slots; ++n)
            offer(0, ++id, urgent);
        for (int n = 0; n < rounds; ++n) {
            // Overload: both classes always have waiting requests.
            offer(n, ++id, urgent);
            offer(n, ++id, watchers);
            watcherIds.insert(std::to_string(id));
            m_queue.onFinished(urgent, milliseconds(10));
            for (const QueueExit& dequeuedRequest : m_queue.advance(at(n)))
                watcherStarts += watcherIds.contains(dequeuedRequest.dispatchId) ? 1 : 0;
        }
        // The class is guaranteed 10% of the slots and must get at least 95% of that.
        CPPUNIT_ASSERT(watcherStarts >= rounds * 10 * 95 / 10'000);
        CPPUNIT_ASSERT(watcherStarts <= rounds * 12 / 100);
    }

    void refusesRequestsThatCannotMeetTheirDeadline()
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

    void dropsWaitingRequestsPastTheirDeadline()
    {
        for (int n = 0; n < slots; ++n)
            offer(0, n, urgent);
        CPPUNIT_ASSERT(offer(0, 100, urgent, 20) == AdmissionAnswer::Kind::Wait);
        const std::vector<QueueExit> dequeued = m_queue.advance(at(21));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dequeued.size());
        CPPUNIT_ASSERT(!dequeued.front().start);
    }

    void admitsRequestsAfterAnOutdatedServiceTime()
    {
        offer(0, 1, urgent);
        m_queue.onFinished(urgent, seconds(10));
        CPPUNIT_ASSERT(offer(0, 2, urgent, 100) == AdmissionAnswer::Kind::Start);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
