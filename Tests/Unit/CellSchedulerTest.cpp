/// The cell scheduler: an attempt is reserved, recorded and then started; it is recorded as lost only when it must have
/// ended; the log decides which entry is the leader.
#include "Decision/Job/CellScheduler.h"
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
    CPPUNIT_TEST_SUITE_END();

    static constexpr LinkId link = 9;
    Membership m_membership { MembershipTiming {}, at(0) };
    BundleRegistry m_bundles = makeTestRegistry(1);
    JobStateMachine m_jobStateMachine { "cell" };
    std::optional<CellScheduler> m_scheduler;

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
