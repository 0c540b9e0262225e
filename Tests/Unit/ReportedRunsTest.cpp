/// Tests ReportedRuns: what the owner is told of a host's runs adds up to what the host lists, with few rows. The load
/// pattern: each end of a run makes the host list all its runs, several times until the end is acknowledged.
#include "Decision/Process/ReportedRuns.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class ReportedRunsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReportedRunsTest);
    CPPUNIT_TEST(theFirstListIsReportedCompletely);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST(reportsFiguresAtIntervals);
    CPPUNIT_TEST(aListWithoutAllEndsIsNoBase);
    CPPUNIT_TEST(resultsAreNeverHeldBack);
    CPPUNIT_TEST(anEndIsReportedOnceUntilItIsAcknowledged);
    CPPUNIT_TEST_SUITE_END();

    static Wire::HostReport list(
        int runs, const std::vector<Wire::EndedTask>& ended = {}, std::int64_t usage = 100, int firstRun = 0)
    {
        Wire::HostReport report = makeReport("host-1", 1, 100);
        for (int n = firstRun; n < firstRun + runs; ++n) {
            Wire::RunningTask row = makeRunningTask(makeTask("00000000000000aa", 0, n), 1);
            row.usage = usage;
            report.running.push_back(row);
        }
        report.ended = ended;
        return report;
    }

    void theFirstListIsReportedCompletely()
    {
        ReportedRuns reported;
        for (int n = 0; n < 2; ++n) {
            Wire::HostReport report = list(3);
            const Wire::HostReport complete = report;
            CPPUNIT_ASSERT(reported.reduce(at(0), report));
            CPPUNIT_ASSERT(report == complete);
            reported.reset();
        }
    }

    void reportsEachChangeOnce()
    {
        ReportedRuns reported;
        Wire::HostReport report = list(3);
        reported.reduce(at(0), report);
        report = list(3);
        CPPUNIT_ASSERT_MESSAGE("nothing has changed", !reported.reduce(at(40), report));
        // Run 0 has ended, and run 3 has started.
        const Wire::EndedTask end = makeEndedTask(1, makeTask("00000000000000aa", 0, 0), 1, Wire::RunEnd::Completed);
        report = list(3, { end }, 100, 1);
        CPPUNIT_ASSERT(reported.reduce(at(80), report));
        CPPUNIT_ASSERT(report.changesOnly);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
        CPPUNIT_ASSERT_EQUAL(3, report.running[0].task.index);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.removed.size());
        CPPUNIT_ASSERT_EQUAL(0, report.removed[0].task.index);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.ended.size());
        CPPUNIT_ASSERT_MESSAGE("the description is known", report.serviceName.empty() && report.rack.empty());
        report = list(3, { end }, 100, 1);
        CPPUNIT_ASSERT(!reported.reduce(at(120), report));
    }

    void reportsFiguresAtIntervals()
    {
        ReportedRuns reported;
        Wire::HostReport report = list(3);
        reported.reduce(at(0), report);
        report = list(3, {}, 80);
        CPPUNIT_ASSERT_MESSAGE("too soon", !reported.reduce(at(100), report));
        report = list(3, {}, 80);
        CPPUNIT_ASSERT(reported.reduce(at(300), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), report.running.size());
        report = list(3, {}, 200);
        CPPUNIT_ASSERT_MESSAGE("a rising tail is reported at once", reported.reduce(at(310), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), report.running.size());
        report = list(3, {}, 201);
        CPPUNIT_ASSERT_MESSAGE("a report shows that the host is alive", reported.reduce(at(900), report));
        CPPUNIT_ASSERT_MESSAGE("the figures are nearly the same", report.running.empty());
        report = list(3, {}, 201);
        report.running[1].progressPercent = 100;
        CPPUNIT_ASSERT(reported.reduce(at(1350), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
        report = list(3, {}, 201);
        report.running[1].progressPercent = 100;
        report.running[2].checkpoint = "saved";
        CPPUNIT_ASSERT(reported.reduce(at(1800), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), report.running[0].checkpoint);
    }

    // Guards against runs that are given up, or kept for good, because a list with part of the ends counted as
    // complete.
    void aListWithoutAllEndsIsNoBase()
    {
        ReportedRuns reported;
        for (int n = 0; n < 2; ++n) {
            Wire::HostReport report = list(3);
            report.endsOmitted = true;
            CPPUNIT_ASSERT(reported.reduce(at(0) + n * milliseconds(40), report));
            CPPUNIT_ASSERT(!report.changesOnly);
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), report.running.size());
        }
        Wire::HostReport report = list(3);
        CPPUNIT_ASSERT(reported.reduce(at(80), report));
        CPPUNIT_ASSERT(!report.changesOnly);
        report = list(3);
        CPPUNIT_ASSERT(!reported.reduce(at(120), report));
    }

    void resultsAreNeverHeldBack()
    {
        ReportedRuns reported;
        Wire::HostReport report = list(1);
        reported.reduce(at(0), report);
        report = list(1);
        report.results.emplace_back();
        CPPUNIT_ASSERT(reported.reduce(at(10), report));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.results.size());
    }

    // Guards against a link full of repeated lists: 40 runs, an end every 100 ms that is acknowledged after 100 ms, and
    // a list every 40 ms.
    void anEndIsReportedOnceUntilItIsAcknowledged()
    {
        constexpr int runs = 40;
        ReportedRuns reported;
        std::size_t rows = 0;
        std::size_t ends = 0;
        for (int now = 0; now < 10'000; now += 40) {
            const int ended = now / 100;
            std::vector<Wire::EndedTask> unacknowledged;
            if (ended > 0)
                unacknowledged.push_back(
                    makeEndedTask(ended, makeTask("00000000000000aa", 0, ended - 1), 1, Wire::RunEnd::Completed));
            Wire::HostReport report = list(runs, unacknowledged, 100, ended);
            if (!reported.reduce(at(now), report))
                continue;
            rows += report.running.size();
            ends += report.ended.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(99), ends);
        CPPUNIT_ASSERT_EQUAL(std::size_t(runs + 99), rows);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportedRunsTest);
