/// A task runs on one host at a time: leases never outlive holds, late messages extend nothing, and hosts are never
/// overcommitted.
#include "Decision/Job/AttemptManager.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AttemptManagerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptManagerTest);
    CPPUNIT_TEST(neverCommitsBeyondTheHost);
    CPPUNIT_TEST(reservesNothingBeforeTheWorkersFirstListing);
    CPPUNIT_TEST(aLateHoldExtendsNothing);
    CPPUNIT_TEST(aLateStartStartsNothing);
    CPPUNIT_TEST(anUnknownAttemptIsFencedByAHold);
    CPPUNIT_TEST(theLeaseEndsWithTheHold);
    CPPUNIT_TEST(aLeaderOfAnOldTermIsRefused);
    CPPUNIT_TEST(aNewSideAdoptsRunningAttempts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr LinkId link = 1;
    static constexpr std::int64_t holdMicroseconds = 30'000'000;
    std::optional<AttemptManager> m_attemptManager;

public:
    void setUp() override
    {
        m_attemptManager.emplace("side-1", 7, LeaseTiming {});
        m_attemptManager->setLimit(makeResources(8000, 8000, 1));
    }

private:
    Actions list(long long now, std::vector<WorkerTask> tasks = {})
    {
        Actions actions;
        // The worker's clock is one hour ahead, so that a confusion of the two clocks shows.
        m_attemptManager->onListing(at(now), WorkerListing { 3'600'000 + now, std::move(tasks) }, actions);
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
        m_attemptManager->onReserve(at(now), link, request, actions);
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
        m_attemptManager->onStart(at(now), link, request, actions);
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
        m_attemptManager->onHold(at(now), link, request, actions);
        return actions;
    }
    static WorkerTask running(const std::string& job)
    {
        WorkerTask task;
        task.id = AttemptId { job, 1 };
        task.state = Wire::AttemptState::Running;
        task.demand = makeResources(6000, 100, 0);
        return task;
    }
    /// The last lease end that was requested up to the given time, on the worker's clock less its offset; 0 if none.
    long long lastLease(long long from, long long until)
    {
        long long last = 0;
        for (long long n = from; n <= until; n += 100) {
            list(n, { running("a") });
            Actions actions;
            m_attemptManager->tick(at(n), actions);
            for (const RenewTask& renew : actionsOf<RenewTask>(actions))
                last = renew.leaseUntilMilliseconds - 3'600'000;
        }
        return last;
    }

    void neverCommitsBeyondTheHost()
    {
        list(0);
        CPPUNIT_ASSERT(reserve(0, "a", 5000));
        CPPUNIT_ASSERT(!reserve(0, "b", 4000));
        CPPUNIT_ASSERT(reserve(0, "c", 3000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), m_attemptManager->freeResources().milliProcessors);
        Actions actions;
        m_attemptManager->tick(at(20'000), actions);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("expired reservations must free their resources", std::int64_t(8000),
            m_attemptManager->freeResources().milliProcessors);
    }

    void reservesNothingBeforeTheWorkersFirstListing() { CPPUNIT_ASSERT(!reserve(0, "a", 1000)); }

    void aLateHoldExtendsNothing()
    {
        list(0);
        reserve(0, "a", 6000);
        start(0, "a", 0);
        // The hold is sent at 1 s and delayed in a silent connection until 29 s: it still ends at 31 s.
        lastLease(0, 29'000);
        hold(29'000, "a", 1'000);
        CPPUNIT_ASSERT(lastLease(29'000, 60'000) <= 31'000);
    }

    void aLateStartStartsNothing()
    {
        list(0);
        reserve(0, "a", 6000);
        Actions actions;
        m_attemptManager->tick(at(11'000), actions);
        const Actions late = start(11'000, "a", 0);
        CPPUNIT_ASSERT(actionsOf<StartTask>(late).empty());
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(late).front().state == Wire::AttemptState::Absent);
    }

    void anUnknownAttemptIsFencedByAHold()
    {
        list(0);
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(hold(0, "a", 0)).front().state == Wire::AttemptState::Absent);
        CPPUNIT_ASSERT_MESSAGE("a fenced attempt must not run here later", !reserve(1, "a", 1000));
        CPPUNIT_ASSERT(actionsOf<StartTask>(start(1, "a", 1)).empty());
    }

    void theLeaseEndsWithTheHold()
    {
        list(0);
        reserve(0, "a", 6000);
        const Actions started = start(0, "a", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOf<StartTask>(started).size());
        const long long last = lastLease(100, 60'000);
        CPPUNIT_ASSERT(last > 25'000);
        CPPUNIT_ASSERT_MESSAGE("the worker must stop the attempt before the leader considers it ended", last <= 30'000);
    }

    void aLeaderOfAnOldTermIsRefused()
    {
        list(0);
        CPPUNIT_ASSERT(reserve(0, "a", 1000, 5));
        CPPUNIT_ASSERT(!reserve(1, "b", 1000, 4));
    }

    void aNewSideAdoptsRunningAttempts()
    {
        list(0, { running("a") });
        CPPUNIT_ASSERT(!reserve(1, "b", 4000));
        CPPUNIT_ASSERT(reserve(1, "c", 2000));
        CPPUNIT_ASSERT(messagesOf<Wire::AttemptReport>(hold(2, "a", 2)).front().state == Wire::AttemptState::Running);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptManagerTest);
