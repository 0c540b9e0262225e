/// Tests RunAudit, the soak's judge: what it reports as lost, that it does not ask for what the hosts have no room for,
/// and which counts and states of jobs it takes for wrong.
#include "Soak/RunAudit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class RunAuditTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunAuditTest);
    CPPUNIT_TEST(aLongRunningTaskThatStandsStillIsReported);
    CPPUNIT_TEST(aLongRunningTaskWithoutRoomIsNotJudged);
    CPPUNIT_TEST(roomMustLast);
    CPPUNIT_TEST(hostsThatAreDownGiveNoRoom);
    CPPUNIT_TEST(nothingIsMissedAmongFaults);
    CPPUNIT_TEST(aRestartInTimeIsNoLoss);
    CPPUNIT_TEST(longRunningJobsLeaveRoomTwiceOver);
    CPPUNIT_TEST(aJobThatStandsStillIsReported);
    CPPUNIT_TEST(aJobOnBusyHostsIsNotJudged);
    CPPUNIT_TEST(aJobThatFailsWithoutCauseIsReported);
    CPPUNIT_TEST(aCountMustHoldJobsWithoutStart);
    CPPUNIT_TEST(aCountNeedNotHoldNewOrEndedJobs);
    CPPUNIT_TEST(aCountMustNotHoldStartedJobsAfterTheFaults);
    CPPUNIT_TEST(aCountMayHoldJobsWhoseStartIsNotKnown);
    CPPUNIT_TEST(aJobWithoutStartMustNotBeReportedAsRunning);
    CPPUNIT_TEST(aStartInAClosedZoneIsReported);
    CPPUNIT_TEST(startsInAClosedZoneThatNothingCouldPreventAreAllowed);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_longRunning = "long-running";
    const std::string m_ordinary = "ordinary";
    const std::string m_host = "host-1";
    const std::chrono::steady_clock::time_point m_startedAt { std::chrono::hours(1) };
    std::chrono::steady_clock::time_point m_now = m_startedAt;
    RunAudit m_audit { [this] { return m_now; } };

    void wait(std::chrono::milliseconds time) { m_now += time; }
    void waitAndCheck(std::chrono::seconds time, bool isCalm = true)
    {
        for (const std::chrono::steady_clock::time_point end = m_now + time; m_now < end;) {
            wait(std::chrono::milliseconds(100));
            m_audit.checkLongRunningTasks(isCalm);
            m_audit.checkStandingJobs();
        }
    }
    void accept(const std::string& jobId, std::vector<int> widths = { 1 })
    {
        m_audit.onSubmit(jobId, SoakJob { std::move(widths), jobId, jobId == m_longRunning });
        m_audit.onAccepted(jobId);
    }
    void start(const std::string& jobId, int run = 1, int step = 0, int index = 0)
    {
        m_audit.onStart(m_host, SoakTask { jobId, step, index }, run, jobId, {});
    }
    void end(const std::string& jobId, const std::string& outcome, int run = 1, int step = 0, int index = 0)
    {
        m_audit.onEnd(m_host, SoakTask { jobId, step, index }, run, outcome);
    }
    /// Uses the given number of places of the host.
    void fill(int places)
    {
        accept("other", { places });
        for (int n = 0; n < places; ++n)
            start("other", 1, 0, n);
    }
    std::size_t violations(const std::string& rule) const
    {
        std::size_t count = 0;
        for (const std::string& violation : m_audit.violations())
            count += violation.starts_with(rule + ":") ? 1 : 0;
        return count;
    }
    void assertCounts(std::size_t lost, std::size_t judged, std::size_t notJudged) const
    {
        CPPUNIT_ASSERT_EQUAL(lost, m_audit.violations().size());
        CPPUNIT_ASSERT_EQUAL(lost, violations("LOST"));
        CPPUNIT_ASSERT_EQUAL(judged, m_audit.judgedLongRunningTasks(m_startedAt).first);
        CPPUNIT_ASSERT_EQUAL(notJudged, m_audit.judgedLongRunningTasks(m_startedAt).second);
    }

    // Guards against a check that no loss can fail: a task that has never run, and one that is not restarted.
    void aLongRunningTaskThatStandsStillIsReported()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_longRunning, { 2 });
        start(m_longRunning);
        waitAndCheck(std::chrono::seconds(8));
        assertCounts(0, 1, 0);
        waitAndCheck(std::chrono::seconds(2));
        assertCounts(1, 2, 0);
        end(m_longRunning, "done");
        waitAndCheck(std::chrono::seconds(8));
        assertCounts(1, 2, 0);
        waitAndCheck(std::chrono::seconds(20));
        assertCounts(2, 2, 0);
    }

    // Guards against reports of tasks that the hosts have no room for, and against their passing for tasks that run.
    void aLongRunningTaskWithoutRoomIsNotJudged()
    {
        m_audit.onIncarnationStarted(m_host);
        fill(RunAudit::placesPerHost - 1);
        accept(m_longRunning);
        waitAndCheck(std::chrono::seconds(30));
        assertCounts(0, 0, 1);
        end("other", "done");
        waitAndCheck(std::chrono::seconds(4));
        assertCounts(1, 1, 0);
    }

    // Guards against reports of tasks that had room between two runs of others only.
    void roomMustLast()
    {
        m_audit.onIncarnationStarted(m_host);
        fill(RunAudit::placesPerHost);
        accept(m_longRunning);
        for (int run = 1; run < 6; ++run) {
            waitAndCheck(std::chrono::seconds(3));
            end("other", "stopped", run, 0, 0);
            end("other", "stopped", run, 0, 1);
            waitAndCheck(std::chrono::seconds(2));
            start("other", run + 1, 0, 0);
            start("other", run + 1, 0, 1);
        }
        assertCounts(0, 0, 1);
    }

    // Guards against counting the room of hosts that faults have taken away.
    void hostsThatAreDownGiveNoRoom()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_longRunning);
        start(m_longRunning);
        m_audit.onIncarnationEnded(m_host);
        waitAndCheck(std::chrono::seconds(30));
        assertCounts(0, 0, 1);
        m_audit.onIncarnationStarted(m_host);
        waitAndCheck(std::chrono::seconds(4));
        assertCounts(1, 1, 0);
    }

    // Guards against reports of tasks that faults keep from running, and against taking them for judged.
    void nothingIsMissedAmongFaults()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_longRunning);
        waitAndCheck(std::chrono::seconds(30), false);
        assertCounts(0, 0, 1);
        waitAndCheck(std::chrono::seconds(1));
        assertCounts(1, 1, 0);
    }

    // Guards against reports of tasks that are restarted within the time that the platform allows.
    void aRestartInTimeIsNoLoss()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_longRunning);
        for (int run = 1; run < 4; ++run) {
            waitAndCheck(std::chrono::seconds(8));
            start(m_longRunning, run);
            waitAndCheck(std::chrono::seconds(1));
            end(m_longRunning, "failed", run);
        }
        assertCounts(0, 1, 0);
    }

    // Guards against more long-running tasks than can be judged, with jobs whose acceptance is unknown among them.
    void longRunningJobsLeaveRoomTwiceOver()
    {
        const std::size_t places = 8;
        CPPUNIT_ASSERT(m_audit.admitLongRunning("a", places));
        accept("a");
        m_audit.onSubmit("a", SoakJob { { 1 }, "a", true });
        CPPUNIT_ASSERT(m_audit.admitLongRunning("b", places));
        CPPUNIT_ASSERT(m_audit.admitLongRunning("c", places));
        CPPUNIT_ASSERT_MESSAGE("half of the places", !m_audit.admitLongRunning("d", places));
        m_audit.onCancelRequested("a");
        CPPUNIT_ASSERT_MESSAGE("not cancelled yet", !m_audit.admitLongRunning("d", places));
        m_audit.onCancelAcknowledged("a");
        CPPUNIT_ASSERT(m_audit.admitLongRunning("d", places));
        m_audit.onRefused("b");
        CPPUNIT_ASSERT(m_audit.admitLongRunning("e", places));
    }

    // Guards against jobs that stand still unseen: between two steps, and while a task waits for its next attempt.
    void aJobThatStandsStillIsReported()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_ordinary, { 1, 1 });
        accept("failing");
        accept("complete");
        start(m_ordinary);
        end(m_ordinary, "done");
        start("failing");
        end("failing", "failed");
        start("complete");
        end("complete", "done");
        waitAndCheck(RunAudit::finishTime);
        assertCounts(0, 0, 0);
        waitAndCheck(std::chrono::seconds(20));
        assertCounts(2, 0, 0);
    }

    // Guards against reports of jobs that wait while the hosts are at least half used, or for their last end to be
    // seen.
    void aJobOnBusyHostsIsNotJudged()
    {
        m_audit.onIncarnationStarted(m_host);
        fill(RunAudit::placesPerHost / 2);
        accept(m_ordinary);
        waitAndCheck(std::chrono::seconds(40));
        assertCounts(0, 0, 0);
        start(m_ordinary);
        end("other", "done", 1, 0, 0);
        end("other", "done", 1, 0, 1);
        waitAndCheck(std::chrono::seconds(10));
        end(m_ordinary, "failed");
        waitAndCheck(std::chrono::seconds(2));
        assertCounts(0, 0, 0);
        waitAndCheck(std::chrono::seconds(2));
        assertCounts(1, 0, 0);
    }

    // Guards against jobs that are given up before their attempts are used up, and against taking lapses for attempts.
    void aJobThatFailsWithoutCauseIsReported()
    {
        m_audit.onIncarnationStarted(m_host);
        for (const std::string& outcome : { std::string("failed"), std::string("lapsed") }) {
            accept(outcome);
            for (int run = 1; run <= RunAudit::maximumAttempts; ++run) {
                start(outcome, run);
                end(outcome, outcome, run);
            }
            m_audit.onReportedFailed(outcome);
        }
        assertCounts(1, 0, 0);
    }

    /// An entry answers at once that this number of jobs waits.
    void answerWaiting(std::int64_t waiting) { m_audit.onWaitingCount("entry-0", m_now, waiting); }
    void assertMixed(std::size_t mixed) const
    {
        CPPUNIT_ASSERT_EQUAL(mixed, violations("MIXED"));
        CPPUNIT_ASSERT_EQUAL(mixed, m_audit.violations().size());
    }
    static constexpr std::chrono::milliseconds lowerBoundTime = RunAudit::visibleTime + RunAudit::waitingCountAge;
    static constexpr std::chrono::milliseconds upperBoundTime = RunAudit::waitingCountAge + RunAudit::reportTime;
    static constexpr std::chrono::milliseconds moment { 1 };

    // Guards against counts without jobs whose start was ordered and not carried out.
    void aCountMustHoldJobsWithoutStart()
    {
        m_audit.onIncarnationStarted(m_host);
        for (const std::string& jobId : { std::string("a"), std::string("b"), std::string("c") })
            accept(jobId);
        start("c");
        wait(lowerBoundTime + moment);
        answerWaiting(2);
        answerWaiting(3);
        assertMixed(0);
        answerWaiting(1);
        assertMixed(1);
        start("a");
        answerWaiting(1);
        assertMixed(1);
        answerWaiting(0);
        assertMixed(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_audit.waitingCounts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_audit.waitingCountsAfterFaults());
    }

    // Guards against reports of counts that are as old as they may be, or without jobs that have ended or were refused.
    void aCountNeedNotHoldNewOrEndedJobs()
    {
        for (const std::string& jobId :
            { std::string("cancelled"), std::string("being cancelled"), std::string("shown as cancelled") })
            accept(jobId);
        m_audit.onSubmit("unanswered", SoakJob { { 1 }, "unanswered" });
        m_audit.onSubmit("refused", SoakJob { { 1 }, "refused" });
        m_audit.onRefused("refused");
        wait(std::chrono::seconds(1));
        m_audit.onCancelRequested("cancelled");
        m_audit.onCancelAcknowledged("cancelled");
        m_audit.onCancelRequested("being cancelled");
        m_audit.onCancelRequested("shown as cancelled");
        m_audit.onReportedCancelled("shown as cancelled");
        accept("new");
        wait(lowerBoundTime);
        answerWaiting(0);
        assertMixed(0);
        wait(moment);
        answerWaiting(0);
        assertMixed(1);
    }

    // Guards against counts that hold jobs after their first task has been started, and jobs that have ended.
    void aCountMustNotHoldStartedJobsAfterTheFaults()
    {
        m_audit.onIncarnationStarted(m_host);
        for (const std::string& jobId : { std::string("before"), std::string("after"), std::string("cancelled") })
            accept(jobId);
        start("before");
        m_audit.onHostsListed();
        start("after");
        m_audit.onCancelRequested("cancelled");
        m_audit.onCancelAcknowledged("cancelled");
        accept("waiting");
        m_audit.onSubmit("unanswered", SoakJob { { 1 }, "unanswered" });
        wait(upperBoundTime);
        answerWaiting(5);
        assertMixed(0);
        wait(moment);
        answerWaiting(2);
        assertMixed(0);
        answerWaiting(3);
        assertMixed(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_audit.waitingCounts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_audit.waitingCountsAfterFaults());
    }

    // Guards against reports of jobs whose host ended before it could list their runs, and of counts among faults.
    void aCountMayHoldJobsWhoseStartIsNotKnown()
    {
        m_audit.onIncarnationStarted(m_host);
        accept(m_ordinary);
        start(m_ordinary);
        wait(upperBoundTime + moment);
        answerWaiting(1);
        m_audit.onIncarnationEnded(m_host);
        m_audit.onHostsListed();
        wait(upperBoundTime + moment);
        answerWaiting(1);
        assertMixed(0);
        m_audit.onIncarnationStarted(m_host);
        start(m_ordinary, 2);
        wait(upperBoundTime + moment);
        answerWaiting(1);
        assertMixed(1);
    }

    // Guards against states of jobs whose start was ordered and not carried out.
    void aJobWithoutStartMustNotBeReportedAsRunning()
    {
        m_audit.onIncarnationStarted(m_host);
        accept("started");
        start("started");
        m_audit.onReportedRunning("started");
        end("started", "done");
        m_audit.onReportedRunning("started");
        assertMixed(0);
        accept(m_ordinary);
        m_audit.onReportedRunning(m_ordinary);
        m_audit.onReportedRunning(m_ordinary);
        assertMixed(1);
    }

    // Guards against an audit that does not see starts in closed zones, or that takes those within the bound or in
    // other zones for violations.
    void aStartInAClosedZoneIsReported()
    {
        const std::string other = "host-2";
        m_audit.onIncarnationStarted(m_host, "zone-a");
        m_audit.onIncarnationStarted(other, "zone-b");
        m_audit.onZoneClosed("zone-a");
        wait(RunAudit::zoneClosureBound);
        accept("first");
        start("first");
        accept("second");
        wait(std::chrono::milliseconds(1));
        m_audit.onStart(other, SoakTask { "second", 0, 0 }, 1, "second", {});
        CPPUNIT_ASSERT(m_audit.violations().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_audit.startsInClosingZones());
        m_audit.onZoneClosed("zone-a");
        accept("third");
        start("third");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_audit.violations().size());
        CPPUNIT_ASSERT(m_audit.violations().front().starts_with("ZONE"));
    }

    // Guards against an audit that blames an owner for orders that were delivered late, or for a zone that is open.
    void startsInAClosedZoneThatNothingCouldPreventAreAllowed()
    {
        m_audit.onIncarnationStarted(m_host, "zone-a");
        m_audit.onZoneClosed("zone-a");
        wait(2 * RunAudit::zoneClosureBound);
        accept("first", { 3 });
        m_audit.onStart(m_host, SoakTask { "first", 0, 0 }, 1, "first", "a late order");
        m_audit.onProcessResumed();
        start("first", 1, 0, 1);
        wait(2 * RunAudit::deliveryMargin);
        m_audit.onZoneReopened("zone-a");
        start("first", 1, 0, 2);
        CPPUNIT_ASSERT(m_audit.violations().empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunAuditTest);
