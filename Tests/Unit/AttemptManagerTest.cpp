/// Tests AttemptManager: an attempt runs in one place at a time. Leases never outlive holds, late messages extend
/// nothing, and hosts are never overcommitted.
#include "Decision/Job/AttemptManager.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AttemptManagerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptManagerTest);
    CPPUNIT_TEST(neverCommitsBeyondTheCapacityOfTheHost);
    CPPUNIT_TEST(reservesNothingBeforeTheFirstListing);
    CPPUNIT_TEST(aLateHoldExtendsNothing);
    CPPUNIT_TEST(aLateStartStartsNothing);
    CPPUNIT_TEST(anUnknownAttemptIsFencedByAHold);
    CPPUNIT_TEST(theLeaseEndsWithTheHold);
    CPPUNIT_TEST(anOldLeaderIsRefused);
    CPPUNIT_TEST(aNewSideAdoptsRunningAttempts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr LinkId link = 1;
    static constexpr std::int64_t holdMicroseconds = 30'000'000;
    std::optional<AttemptManager> m_manager;

public:
    void setUp() override
    {
        m_manager.emplace("side-1", 7, LeaseTiming {});
        m_manager->setLimit(makeResources(8000, 8000, 1));
    }

private:
    Actions reportListing(long long now, std::vector<WorkerTask> tasks = {})
    {
        Actions actions;
        // The worker's clock is one hour ahead, so that a lease on the wrong clock is noticed.
        m_manager->onListing(at(now), WorkerListing { 3'600'000 + now, std::move(tasks) }, actions);
        return actions;
    }
    bool reserve(long long now, const std::string& job, std::int64_t milliProcessors, std::int64_t term = 1)
    {
        Wire::ReserveRequest request;
        request.taskId = job;
        request.attempt = 1;
        request.term = term;
        request.demand = makeResources(milliProcessors, 100, 0);
        request.validMicroseconds = 10'000'000;
        Actions actions;
        m_manager->onReserve(at(now), link, request, actions);
        return messagesOf<Wire::ReserveAnswer>(actions).front().granted;
    }
    Actions start(long long now, const std::string& job, long long basis)
    {
        Wire::StartRequest request;
        request.taskId = job;
        request.attempt = 1;
        request.term = 1;
        request.holdMicroseconds = holdMicroseconds;
        request.basisMicroseconds = at(basis).time_since_epoch().count();
        Actions actions;
        m_manager->onStart(at(now), link, request, actions);
        return actions;
    }
    Actions hold(long long now, const std::string& job, long long basis)
    {
        Wire::HoldRequest request;
        request.taskId = job;
        request.attempt = 1;
        request.term = 1;
        request.holdMicroseconds = holdMicroseconds;
        request.basisMicroseconds = at(basis).time_since_epoch().count();
        Actions actions;
        m_manager->onHold(at(now), link, request, actions);
        return actions;
    }
    static WorkerTask makeRunningTask(const std::string& job)
    {
        WorkerTask task;
        task.id = AttemptId { job, 1 };
        task.state = Wire::AttemptState::Running;
        task.demand = makeResources(6000, 100, 0);
        return task;
    }
    /// Ticks while attempt "a" runs; returns the last requested end of its lease, on the worker's clock less its
    /// offset, or 0 without a request.
    long long lastLeaseEnd(long long from, long long until)
    {
        long long lastLeaseEndMilliseconds = 0;
        for (long long n = from; n <= until; n += 100) {
            reportListing(n, { makeRunningTask("a") });
            Actions actions;
            m_manager->tick(at(n), actions);
            for (const RenewTask& renew : actionsOf<RenewTask>(actions))
                lastLeaseEndMilliseconds = renew.leaseUntilMilliseconds - 3'600'000;
        }
        return lastLeaseEndMilliseconds;
    }

    void neverCommitsBeyondTheCapacityOfTheHost()
    {
        reportListing(0);
        CPPUNIT_ASSERT(reserve(0, "a", 5000));
        CPPUNIT_ASSERT(!reserve(0, "b", 4000));
        CPPUNIT_ASSERT(reserve(0, "c", 3000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), m_manager->free().milliProcessors);
        Actions actions;
        m_manager->tick(at(20'000), actions);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "expired reservations free their resources", std::int64_t(8000), m_manager->free().milliProcessors);
    }

    void reservesNothingBeforeTheFirstListing() { CPPUNIT_ASSERT(!reserve(0, "a", 1000)); }

    void aLateHoldExtendsNothing()
    {
        reportListing(0);
        reserve(0, "a", 6000);
        start(0, "a", 0);
        // The hold was sent at 1 s and delivered at 29 s over a stalled connection: it still ends at 31 s.
        lastLeaseEnd(0, 29'000);
        hold(29'000, "a", 1'000);
        CPPUNIT_ASSERT(lastLeaseEnd(29'000, 60'000) <= 31'000);
    }

    void aLateStartStartsNothing()
    {
        reportListing(0);
        reserve(0, "a", 6000);
        Actions actions;
        m_manager->tick(at(11'000), actions);
        const Actions late = start(11'000, "a", 0);
        CPPUNIT_ASSERT(actionsOf<StartTask>(late).empty());
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(late).front().state == Wire::AttemptState::Absent);
    }

    void anUnknownAttemptIsFencedByAHold()
    {
        reportListing(0);
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(hold(0, "a", 0)).front().state == Wire::AttemptState::Absent);
        CPPUNIT_ASSERT_MESSAGE("the attempt is fenced and must not run here later", !reserve(1, "a", 1000));
        CPPUNIT_ASSERT(actionsOf<StartTask>(start(1, "a", 1)).empty());
    }

    void theLeaseEndsWithTheHold()
    {
        reportListing(0);
        reserve(0, "a", 6000);
        const Actions started = start(0, "a", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<StartTask>(started).size());
        const long long lastLeaseEndMilliseconds = lastLeaseEnd(100, 60'000);
        CPPUNIT_ASSERT(lastLeaseEndMilliseconds > 25'000);
        CPPUNIT_ASSERT_MESSAGE("the worker must stop the attempt before the leader considers it ended",
            lastLeaseEndMilliseconds <= 30'000);
    }

    void anOldLeaderIsRefused()
    {
        reportListing(0);
        CPPUNIT_ASSERT(reserve(0, "a", 1000, 5));
        CPPUNIT_ASSERT(!reserve(1, "b", 1000, 4));
    }

    void aNewSideAdoptsRunningAttempts()
    {
        reportListing(0, { makeRunningTask("a") });
        CPPUNIT_ASSERT(!reserve(1, "b", 4000));
        CPPUNIT_ASSERT(reserve(1, "c", 2000));
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(hold(2, "a", 2)).front().state == Wire::AttemptState::Running);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptManagerTest);
