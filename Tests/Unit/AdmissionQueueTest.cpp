/// The admission queue of a side: slots are never overcommitted, guaranteed shares hold under overload, and requests
/// that cannot meet their deadline are refused early.
#include "Decision/Request/AdmissionQueue.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace Plantainpier;

class AdmissionQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(neverRunsMoreRequestsThanSlots);
    CPPUNIT_TEST(keepsTheGuaranteedShareOfTheLeastUrgentClassUnderOverload);
    CPPUNIT_TEST(refusesRequestsThatCannotMeetTheirDeadline);
    CPPUNIT_TEST(dropsWaitingRequestsAfterTheirDeadline);
    CPPUNIT_TEST(admitsARequestAfterAnOutdatedServiceTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int urgentClass = 0;
    static constexpr int watcherClass = 2;
    static constexpr int slots = 8;

    AdmissionQueue m_queue;

public:
    void setUp() override
    {
        const Result<Bundle> bundle = Bundle::parse(makeTestBundleContent(1));
        m_queue = AdmissionQueue();
        m_queue.setBundle(std::make_shared<const Bundle>(valueOf(bundle)));
        m_queue.setSlots(slots);
    }

private:
    AdmissionDecision::Kind offer(long long now, int id, int classIndex, long long deadline = 1'000'000)
    {
        return m_queue.offer(at(now), std::to_string(id), classIndex, at(deadline)).kind;
    }

    void neverRunsMoreRequestsThanSlots()
    {
        for (int n = 0; n < 20; ++n)
            offer(0, n, n % 3);
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.runningCount());
        m_queue.onFinished(urgentClass, milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_queue.fillFreeSlots(at(10)).size());
        CPPUNIT_ASSERT_EQUAL(slots, m_queue.runningCount());
    }

    void keepsTheGuaranteedShareOfTheLeastUrgentClassUnderOverload()
    {
        std::set<std::string> watcherIds;
        int id = 0;
        int watcherStarts = 0;
        constexpr int rounds = 1000;
        for (int n = 0; n < slots; ++n)
            offer(0, ++id, urgentClass);
        for (int n = 0; n < rounds; ++n) {
            // Overload: requests of both classes are waiting at all times.
            offer(n, ++id, urgentClass);
            offer(n, ++id, watcherClass);
            watcherIds.insert(std::to_string(id));
            m_queue.onFinished(urgentClass, milliseconds(10));
            for (const DequeuedRequest& request : m_queue.fillFreeSlots(at(n)))
                watcherStarts += watcherIds.contains(request.dispatchId) ? 1 : 0;
        }
        // The class is guaranteed 10% of the slots; at least 95% of that must be reached.
        CPPUNIT_ASSERT(watcherStarts >= rounds * 10 * 95 / 10'000);
        CPPUNIT_ASSERT(watcherStarts <= rounds * 12 / 100);
    }

    void refusesRequestsThatCannotMeetTheirDeadline()
    {
        offer(0, 1, urgentClass);
        m_queue.onFinished(urgentClass, milliseconds(100));
        for (int n = 0; n < slots; ++n)
            offer(0, 10 + n, urgentClass);
        const AdmissionDecision answer = m_queue.offer(at(0), "late", watcherClass, at(50));
        CPPUNIT_ASSERT(answer.kind == AdmissionDecision::Kind::Refuse);
        CPPUNIT_ASSERT(answer.code == ErrorCode::DeadlineTooShort);
        CPPUNIT_ASSERT(answer.retryAfter > Duration::zero());
    }

    void dropsWaitingRequestsAfterTheirDeadline()
    {
        for (int n = 0; n < slots; ++n)
            offer(0, n, urgentClass);
        CPPUNIT_ASSERT(offer(0, 100, urgentClass, 20) == AdmissionDecision::Kind::Wait);
        const std::vector<DequeuedRequest> dequeued = m_queue.fillFreeSlots(at(21));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dequeued.size());
        CPPUNIT_ASSERT(!dequeued.front().shouldStart);
    }

    void admitsARequestAfterAnOutdatedServiceTime()
    {
        offer(0, 1, urgentClass);
        m_queue.onFinished(urgentClass, seconds(10));
        CPPUNIT_ASSERT(offer(0, 2, urgentClass, 100) == AdmissionDecision::Kind::Start);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
