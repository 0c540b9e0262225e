/// The cell scheduler: an attempt is reserved, recorded and then started; it is recorded as lost only when it must have
/// ended; the log decides which entry is the leader.
#include "Decision/Job/CellScheduler.h"
#include "Decision/Job/AttemptManager.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class CellSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CellSchedulerTest);
    CPPUNIT_TEST(startsOnlyRecordedAttempts);
    CPPUNIT_TEST(waitsForTheHoldOfASilentSideToExpire);
    CPPUNIT_TEST(waitsLongerWhileThePreviousLeaderMayBeRunning);
    CPPUNIT_TEST(staysAStandbyWhileTheLeaderSendsHeartbeats);
    CPPUNIT_TEST(startsAnAttemptWhoseStartWasLost);
    CPPUNIT_TEST(startsAnAttemptRecordedWithoutAConnection);
    CPPUNIT_TEST(startsAnAttemptThatThePreviousLeaderRecorded);
    CPPUNIT_TEST(stopsACancelledAttemptWhoseStartWasLost);
    CPPUNIT_TEST_SUITE_END();

    static constexpr LinkId link = 9;
    Membership m_membership { MembershipTiming {}, at(0) };
    BundleRegistry m_bundles = makeTestRegistry(1);
    JobStateMachine m_jobStateMachine { "cell" };
    std::optional<CellScheduler> m_scheduler;
    /// Starts do not reach the side.
    bool m_losesStarts = false;

public:
    void setUp() override
    {
        m_membership = Membership(MembershipTiming {}, at(0));
        m_jobStateMachine = JobStateMachine("cell");
        m_scheduler.emplace("cell", "entry-1", 10, m_membership, m_bundles, SchedulerTiming {});
    }

private:
    Actions apply(long long now, const LogRecord& record)
    {
        Actions actions;
        const RecordEffect effect = m_jobStateMachine.apply(record);
        m_scheduler->onRecord(at(now), record, effect, m_jobStateMachine, actions);
        return actions;
    }
    Actions tick(long long now, bool sideAnnounces = true)
    {
        m_scheduler->onLogReadToEnd(at(now));
        if (sideAnnounces)
            announceSide(now);
        Actions actions;
        m_scheduler->tick(at(now), m_jobStateMachine, actions);
        return actions;
    }
    void announceSide(long long now)
    {
        Wire::Announcement message;
        message.sideId = "side-1";
        message.incarnation = 1;
        message.capacity = makeResources(8000, 8000, 0);
        message.free = message.capacity;
        m_membership.onAnnouncement(at(now), 1, message);
        SideView& side = *m_membership.find("side-1");
        side.dataLink = link;
        side.dataLinkMonitor.emplace(LinkTiming {}, at(now));
        side.dataLinkMonitor->onUp(at(now));
    }
    static JobRecord job()
    {
        JobRecord record;
        record.jobId = "a";
        record.cell = "cell";
        record.team = "team";
        record.demand = makeResources(1000, 100, 0);
        return record;
    }
    static std::vector<LogRecord> recordsOf(const Actions& actions)
    {
        std::vector<LogRecord> records;
        for (const AppendRecords& append : actionsOf<AppendRecords>(actions))
            records.insert(records.end(), append.records.begin(), append.records.end());
        return records;
    }
    static const EndedRecord* endOf(const std::vector<LogRecord>& records)
    {
        for (const LogRecord& record : records) {
            if (const EndedRecord* ended = std::get_if<EndedRecord>(&record))
                return ended;
        }
        return nullptr;
    }
    /// Ticks without contact to the side until an end is recorded; returns the time, or -1.
    long long lostAt(long long from, long long until)
    {
        for (long long n = from; n <= until; n += 500) {
            const std::vector<LogRecord> records = recordsOf(tick(n, false));
            if (endOf(records))
                return n;
        }
        return -1;
    }

    /// A side whose worker has listed no task.
    static AttemptManager makeSide()
    {
        AttemptManager side("side-1", 1, LeaseTiming {});
        side.setLimit(makeResources(8000, 8000, 0));
        Actions actions;
        side.onListing(at(0), WorkerListing {}, actions);
        return side;
    }
    /// Hands the scheduler's messages to the side and the side's answers to the scheduler, and applies the records of
    /// both. Returns the starts that the side sends to its worker.
    std::size_t exchange(long long now, AttemptManager& side, Actions actions)
    {
        std::size_t starts = 0;
        while (!actions.empty()) {
            Actions answers;
            for (const Wire::ReserveRequest& request : messagesOf<Wire::ReserveRequest>(actions))
                side.onReserve(at(now), link, request, answers);
            for (const Wire::StartRequest& request : messagesOf<Wire::StartRequest>(actions)) {
                if (!m_losesStarts)
                    side.onStart(at(now), link, request, answers);
            }
            for (const Wire::HoldRequest& request : messagesOf<Wire::HoldRequest>(actions))
                side.onHold(at(now), link, request, answers);
            for (const Wire::StopRequest& request : messagesOf<Wire::StopRequest>(actions))
                side.onStop(at(now), link, request, answers);
            starts += actionsOf<StartTask>(answers).size();
            const std::vector<LogRecord> records = recordsOf(actions);
            actions.clear();
            for (const Wire::ReserveAnswer& answer : messagesOf<Wire::ReserveAnswer>(answers))
                m_scheduler->onReserveAnswer(at(now), "side-1", answer, m_jobStateMachine, actions);
            for (const Wire::AttemptReport& report : messagesOf<Wire::AttemptReport>(answers))
                m_scheduler->onReport(at(now), report, m_jobStateMachine, actions);
            for (const LogRecord& record : records) {
                const Actions more = apply(now, record);
                actions.insert(actions.end(), more.begin(), more.end());
            }
        }
        return starts;
    }
    /// Ticks the scheduler and the side, which lists what it has started, and returns the number of starts.
    std::size_t runBoth(long long from, long long until, AttemptManager& side)
    {
        std::size_t starts = 0;
        for (long long n = from; n < until; n += 100) {
            starts += exchange(n, side, tick(n));
            Actions actions;
            side.tick(at(n), actions);
            for (const Wire::AttemptReport& report : messagesOf<Wire::AttemptReport>(actions)) {
                Actions more;
                m_scheduler->onReport(at(n), report, m_jobStateMachine, more);
                starts += exchange(n, side, more);
            }
        }
        return starts;
    }

    // Guards against a job that is shown as running for good: the start of its recorded attempt was lost, and each hold
    // keeps the reservation at the side.
    void startsAnAttemptWhoseStartWasLost()
    {
        AttemptManager side = makeSide();
        apply(0, LeaderRecord { "cell", 1, "entry-1", 10 });
        apply(0, job());
        m_losesStarts = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runBoth(0, 500, side));
        CPPUNIT_ASSERT(m_jobStateMachine.find("a")->status == JobStatus::Running);
        m_losesStarts = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runBoth(500, 6000, side));
        CPPUNIT_ASSERT_EQUAL(1, m_jobStateMachine.find("a")->attempt);
    }

    // Guards against the same when the connection to the side is down while the attempt is recorded.
    void startsAnAttemptRecordedWithoutAConnection()
    {
        AttemptManager side = makeSide();
        apply(0, LeaderRecord { "cell", 1, "entry-1", 10 });
        apply(0, job());
        Actions granted;
        for (const Wire::ReserveRequest& request : messagesOf<Wire::ReserveRequest>(tick(0))) {
            Actions answers;
            side.onReserve(at(0), link, request, answers);
            for (const Wire::ReserveAnswer& answer : messagesOf<Wire::ReserveAnswer>(answers))
                m_scheduler->onReserveAnswer(at(0), "side-1", answer, m_jobStateMachine, granted);
        }
        m_membership.find("side-1")->dataLink = noLink;
        m_membership.find("side-1")->dataLinkMonitor.reset();
        for (const LogRecord& record : recordsOf(granted))
            apply(10, record);
        CPPUNIT_ASSERT(m_jobStateMachine.find("a")->status == JobStatus::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runBoth(500, 1000, side));
    }

    // Guards against the same when a leader ends between the record of an attempt and its start.
    void startsAnAttemptThatThePreviousLeaderRecorded()
    {
        AttemptManager side = makeSide();
        apply(0, LeaderRecord { "cell", 1, "entry-2", 5 });
        apply(0, job());
        Wire::ReserveRequest request;
        request.taskId = "a";
        request.attempt = 1;
        request.term = 1;
        request.demand = job().demand;
        request.validMicroseconds = SchedulerTiming {}.reservationTimeout.count();
        Actions answers;
        side.onReserve(at(0), link, request, answers);
        apply(0, AttemptRecord { "cell", 1, "a", 1, "side-1" });
        apply(7000, LeaderRecord { "cell", 2, "entry-1", 10 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runBoth(7000, 8000, side));
    }

    // Guards against a start after a cancellation: the side still waits for the first one.
    void stopsACancelledAttemptWhoseStartWasLost()
    {
        AttemptManager side = makeSide();
        apply(0, LeaderRecord { "cell", 1, "entry-1", 10 });
        apply(0, job());
        m_losesStarts = true;
        runBoth(0, 500, side);
        m_losesStarts = false;
        apply(500, CancelRecord { "cell", "a" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runBoth(500, 6000, side));
        CPPUNIT_ASSERT(m_jobStateMachine.find("a")->status == JobStatus::Cancelled);
    }

    void startsOnlyRecordedAttempts()
    {
        apply(0, LeaderRecord { "cell", 1, "entry-1", 10 });
        apply(0, job());
        const Actions placed = tick(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), messagesOf<Wire::ReserveRequest>(placed).size());
        Wire::ReserveAnswer answer;
        answer.taskId = "a";
        answer.attempt = 1;
        answer.granted = true;
        Actions granted;
        m_scheduler->onReserveAnswer(at(20), "side-1", answer, m_jobStateMachine, granted);
        CPPUNIT_ASSERT(messagesOf<Wire::StartRequest>(granted).empty());
        const std::vector<LogRecord> records = recordsOf(granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), messagesOf<Wire::StartRequest>(apply(30, records.front())).size());
    }

    void waitsForTheHoldOfASilentSideToExpire()
    {
        apply(0, LeaderRecord { "cell", 1, "entry-1", 10 });
        apply(0, job());
        tick(0);
        apply(0, AttemptRecord { "cell", 1, "a", 1, "side-1" });
        const long long lost = lostAt(0, 60'000);
        CPPUNIT_ASSERT(lost > 30'000);
        CPPUNIT_ASSERT(lost <= 31'000);
    }

    void waitsLongerWhileThePreviousLeaderMayBeRunning()
    {
        apply(0, LeaderRecord { "cell", 1, "entry-2", 5 });
        apply(0, job());
        apply(0, AttemptRecord { "cell", 1, "a", 1, "side-1" });
        apply(1000, LeaderRecord { "cell", 2, "entry-1", 10 });
        CPPUNIT_ASSERT_EQUAL(-1LL, lostAt(1000, 120'000));
        // The previous leader's entry has restarted, so the previous leader is no longer running.
        apply(120'000, EntryStartedRecord { "entry-2", 6 });
        const long long lost = lostAt(120'000, 200'000);
        CPPUNIT_ASSERT(lost > 150'000);
        CPPUNIT_ASSERT(lost <= 151'000);
    }

    void staysAStandbyWhileTheLeaderSendsHeartbeats()
    {
        apply(0, LeaderRecord { "cell", 1, "entry-2", 5 });
        for (long long n = 0; n < 20'000; n += 500) {
            if (n % 2000 == 0)
                apply(n, LeaderHeartbeatRecord { "cell", 1, n });
            CPPUNIT_ASSERT(recordsOf(tick(n)).empty());
        }
        std::vector<LogRecord> records;
        for (long long n = 20'000; records.empty() && n < 30'000; n += 500)
            records = recordsOf(tick(n));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), std::get<LeaderRecord>(records.front()).term);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CellSchedulerTest);
