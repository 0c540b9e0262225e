/// Tests what the owner's messages and records do at their bounds: many starts at once, specs of the longest length,
/// and hosts that confirm nothing.
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace Plantainpier;

class MessageBoundsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageBoundsTest);
    CPPUNIT_TEST(startsWithTheLongestSpecsFitIntoAFrame);
    CPPUNIT_TEST(aWideGangIsStartedWholeInMessagesThatFit);
    CPPUNIT_TEST(aHostThatConfirmsNothingHoldsBackFewTasks);
    CPPUNIT_TEST(startsThatWaitForConfirmationsStopNoOtherWork);
    CPPUNIT_TEST_SUITE_END();

    /// maximumFrameBytes of Link.cpp: the receiver closes a link on which a larger message arrives.
    static constexpr std::size_t frameBytes = 8 << 20;
    /// The longest spec of a job that the platform allows.
    static constexpr std::size_t longestSpec = 4000;

    static Wire::JobDefinition makeWideJob(const std::string& jobId, int tasks)
    {
        Wire::JobDefinition job = makeJob(jobId, { makeStep(tasks, 4, 500) });
        job.steps[0].demand.memoryMegabytes = 1;
        job.payload = std::string(longestSpec, 'x');
        return job;
    }

    static Wire::HostReport makeLargeHost(const std::string& hostId, int now)
    {
        Wire::HostReport report = makeReport(hostId, 1, now);
        report.capacity.milliProcessors = 64'000;
        report.capacity.memoryMegabytes = 250'000;
        return report;
    }

    static LinkId linkOf(int host) { return testLink + static_cast<LinkId>(host); }
    static std::string hostName(int host) { return "host-" + std::to_string(host); }

    /// Reports each start that was ordered since the last call as started.
    static void confirmStarts(OwnerHarness& harness, int now, const std::set<std::string>& deafHosts = {})
    {
        const std::vector<Wire::HostOrders> sent = std::move(harness.sentOrders);
        harness.sentOrders.clear();
        for (const Wire::HostOrders& orders : sent) {
            if (deafHosts.contains(orders.hostId))
                continue;
            Wire::HostReport report = makeLargeHost(orders.hostId, now);
            report.listed = false;
            for (const Wire::StartOrder& start : orders.starts) {
                Wire::OrderResult result;
                result.task = start.task;
                result.run = start.run;
                result.outcome = Wire::OrderOutcome::Started;
                report.results.push_back(result);
            }
            const int host = std::stoi(orders.hostId.substr(orders.hostId.find('-') + 1));
            harness.deliverReport(now, report, linkOf(host));
        }
    }

    static std::size_t largestMessage(const OwnerHarness& harness)
    {
        std::size_t largest = 0;
        for (const Wire::HostOrders& orders : harness.sentOrders)
            largest = std::max(largest, Wire::encode(orders).size());
        return largest;
    }

    static int countOrdered(const OwnerHarness& harness, const std::string& hostId)
    {
        int count = 0;
        for (const Wire::HostOrders& orders : harness.sentOrders)
            count += orders.hostId == hostId ? static_cast<int>(orders.starts.size()) : 0;
        return count;
    }

    // Guards against a pass whose starts for one host exceed a frame: the link closes, and the same is sent again for
    // ever.
    void startsWithTheLongestSpecsFitIntoAFrame()
    {
        constexpr int hosts = 3;
        constexpr int tasks = 7000;
        constexpr std::size_t allTasks = std::size_t(2) * tasks;
        OwnerHarness harness;
        for (int n = 0; n < hosts; ++n)
            harness.announceAndReport(10, makeLargeHost(hostName(n), 10), linkOf(n));
        harness.settle(20);
        harness.submit(100, makeWideJob("00000000000000c1", tasks));
        harness.submit(100, makeWideJob("00000000000000c2", tasks));
        std::size_t largest = 0;
        for (int now = 110; now < 10'000 && harness.startOrders.size() < allTasks; now += 10) {
            harness.tick(now);
            largest = std::max(largest, largestMessage(harness));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(largest) + " bytes", largest < frameBytes);
            confirmStarts(harness, now);
        }
        CPPUNIT_ASSERT_EQUAL(allTasks, harness.startOrders.size());
    }

    // Guards against a bound on starts that keeps a gang, which starts as a whole, waiting for good.
    void aWideGangIsStartedWholeInMessagesThatFit()
    {
        constexpr int members = 6000;
        OwnerHarness harness;
        harness.announceAndReport(10, makeLargeHost(hostName(0), 10), linkOf(0));
        harness.settle(20);
        Wire::JobDefinition job = makeWideJob("00000000000000c3", members);
        job.steps[0].gang = true;
        harness.submit(100, job);
        harness.settle(110);
        CPPUNIT_ASSERT_EQUAL(std::size_t(members), harness.startOrders.size());
        const std::size_t largest = largestMessage(harness);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(largest) + " bytes", largest < frameBytes);
    }

    // Guards against a host that answers no order and holds the tasks which other hosts could run.
    void aHostThatConfirmsNothingHoldsBackFewTasks()
    {
        constexpr int tasks = 2000;
        OwnerHarness harness;
        for (int n = 0; n < 2; ++n)
            harness.announceAndReport(10, makeLargeHost(hostName(n), 10), linkOf(n));
        harness.settle(20);
        harness.submit(100, makeWideJob("00000000000000c4", tasks));
        int onDeafHost = 0;
        for (int now = 110; now < 1400; now += 10) {
            harness.tick(now);
            onDeafHost += countOrdered(harness, hostName(1));
            confirmStarts(harness, now, { hostName(1) });
        }
        CPPUNIT_ASSERT(onDeafHost <= static_cast<int>(PlacementRules {}.maximumUnconfirmedStarts));
        CPPUNIT_ASSERT_EQUAL(std::size_t(tasks), harness.startOrders.size());
    }

    // Guards against less urgent runs that are stopped for tasks which only wait for confirmations.
    void startsThatWaitForConfirmationsStopNoOtherWork()
    {
        OwnerHarness harness;
        harness.announceAndReport(10, makeLargeHost(hostName(0), 10), linkOf(0));
        harness.settle(20);
        Wire::JobDefinition background = makeWideJob("00000000000000c5", 50);
        background.priority = 3;
        harness.submit(100, background);
        harness.settle(110);
        confirmStarts(harness, 160);
        harness.submit(200, makeWideJob("00000000000000c6", 500));
        harness.settle(210);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.haltOrders.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageBoundsTest);
