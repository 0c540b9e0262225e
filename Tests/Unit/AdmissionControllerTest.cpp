/// Tests the measurements behind admission, and the decision for single jobs.
#include "Decision/Admission/OverloadControl.h"
#include "Support/JobFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class AdmissionControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionControllerTest);
    CPPUNIT_TEST(workDoneWithoutSaturationShowsNoRate);
    CPPUNIT_TEST(aDipDoesNotLowerTheHighestRate);
    CPPUNIT_TEST(lostWorkCountsAgainstTheRate);
    CPPUNIT_TEST(anOldRateIsNotCertain);
    CPPUNIT_TEST(aNewOwnerAcceptsAllJobs);
    CPPUNIT_TEST(rejectsAJobBehindTooMuchWork);
    CPPUNIT_TEST(countsMoreUrgentWork);
    CPPUNIT_TEST(passesOverLessUrgentAndOverdueWork);
    CPPUNIT_TEST(workOfOtherServicesDoesNotCount);
    CPPUNIT_TEST(repeatedAndLongRunningJobsAreAccepted);
    CPPUNIT_TEST(placedRunsCountWithTheWorkThatIsLeft);
    CPPUNIT_TEST(heldBackStartsShowNoRate);
    CPPUNIT_TEST(theStoreIsNamedWhileItIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int interval = 250;
    static constexpr double tolerance = 1e-6;

    /// Jobs whose tasks are completed at a steady rate while more of them wait.
    class SaturatedService {
    public:
        explicit SaturatedService(int priority = 1)
            : state("entry-1", 1, OwnerRules {}, at(0))
        {
            Wire::JobDefinition definition = makeJob("worker-job", { makeStep(100'000, 1000, 1000) });
            definition.priority = priority;
            // Its tasks are done first; their number is without effect on jobs that come before it.
            definition.objectiveMilliseconds = 0;
            worker = &add(0, definition);
        }

        JobState& add(int now, const Wire::JobDefinition& definition)
        {
            std::unique_ptr<JobState>& job = state.jobs[definition.jobId];
            job = std::make_unique<JobState>(definition, at(now), now);
            job->setOutcome(Wire::JobOutcome::Open);
            job->addDueOccurrences(at(now), now);
            state.openJobs[definition.jobId] = job.get();
            return *job;
        }

        /// Completes so many tasks of one core-second in each quarter of a second.
        void run(int from, int until, int tasks, bool startsAllowed = true)
        {
            for (int now = from; now <= until; now += interval) {
                for (int n = 0; n < tasks; ++n)
                    worker->completeTask(at(now), worker->steps()[0], m_nextTask++);
                monitor.measureIfDue(at(now), state, startsAllowed);
            }
        }

        OwnerState state;
        WorkMonitor monitor;
        JobState* worker;

    private:
        std::size_t m_nextTask = 0;
    };

    static Wire::JobDefinition makeOwnJob(const std::string& jobId, int tasks, int priority = 1)
    {
        Wire::JobDefinition definition = makeJob(jobId, { makeStep(tasks, 1000, 1000) });
        definition.priority = priority;
        return definition;
    }

    static AdmissionDecision decide(AdmissionController& admission, int now, const Wire::JobDefinition& definition)
    {
        return admission.decide(at(now), JobState(definition, at(now), now));
    }

    static void record(ServiceRate& rate, int from, int until, double cores, bool saturated)
    {
        for (int now = from; now < until; now += interval)
            rate.record(at(now), at(now + interval), cores * interval / 1000, saturated);
    }

    // Guards against rejections in a burst after a calm time, in which hosts showed only what they were asked for.
    void workDoneWithoutSaturationShowsNoRate()
    {
        ServiceRate rate;
        record(rate, 0, 10'000, 5, false);
        CPPUNIT_ASSERT(!rate.estimate(at(10'000)).certain);
        record(rate, 10'000, 13'000, 50, true);
        CPPUNIT_ASSERT_MESSAGE("saturated for too short a time", !rate.estimate(at(13'000)).certain);
        record(rate, 13'000, 14'000, 50, true);
        const RateEstimate estimate = rate.estimate(at(14'000));
        CPPUNIT_ASSERT(estimate.certain);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, estimate.highest, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, estimate.usual, tolerance);
    }

    // Guards against rejections because of three seconds in which a more urgent class takes the processors.
    void aDipDoesNotLowerTheHighestRate()
    {
        ServiceRate rate;
        record(rate, 0, 6'000, 50, true);
        record(rate, 6'000, 9'000, 10, true);
        const RateEstimate estimate = rate.estimate(at(9'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, estimate.highest, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, estimate.usual, tolerance);
    }

    // Guards against a rate that counts work which has to be repeated.
    void lostWorkCountsAgainstTheRate()
    {
        ServiceRate rate;
        for (int now = 0; now < 8'000; now += 2 * interval) {
            record(rate, now, now + interval, 40, true);
            record(rate, now + interval, now + 2 * interval, -20, true);
        }
        const RateEstimate estimate = rate.estimate(at(8'000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, estimate.usual, tolerance);
        CPPUNIT_ASSERT(estimate.highest < 20);
    }

    // Guards against decisions by figures from before a time without measurements.
    void anOldRateIsNotCertain()
    {
        ServiceRate rate;
        record(rate, 0, 6'000, 50, true);
        CPPUNIT_ASSERT(rate.estimate(at(6'500)).certain);
        CPPUNIT_ASSERT(!rate.estimate(at(7'500)).certain);
        record(rate, 6'000, 6'250, 50, false);
        CPPUNIT_ASSERT_MESSAGE("no longer saturated", !rate.estimate(at(6'250)).certain);
    }

    // Guards against an owner that judges by the work it has inherited before it knows a rate.
    void aNewOwnerAcceptsAllJobs()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.add(0, makeOwnJob("early-job", 10'000));
        service.run(0, 3'500, 5);
        CPPUNIT_ASSERT(decide(admission, 3'500, makeOwnJob("next-job", 10'001)).accepted);
        service.run(3'750, 5'000, 5);
        CPPUNIT_ASSERT(!decide(admission, 5'000, makeOwnJob("next-job", 10'001)).accepted);
    }

    // Guards against a wrong sum: 20 cores, of which a quarter more is credited, and a limit of three times 2.5 s
    // and one more.
    void rejectsAJobBehindTooMuchWork()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.run(0, 6'000, 5);
        service.add(6'000, makeOwnJob("early-job", 100));
        service.monitor.measureIfDue(at(6'250), service.state, true);
        CPPUNIT_ASSERT(decide(admission, 6'250, makeOwnJob("next-job", 110)).accepted);
        service.add(6'250, makeOwnJob("second-job", 10));
        service.monitor.measureIfDue(at(6'500), service.state, true);
        const AdmissionDecision decision = decide(admission, 6'500, makeOwnJob("next-job", 110));
        CPPUNIT_ASSERT(!decision.accepted);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(220, decision.backlog, tolerance);
        CPPUNIT_ASSERT_EQUAL(7'500LL, toMilliseconds(decision.limit));
        CPPUNIT_ASSERT(decision.expected > decision.limit);
        CPPUNIT_ASSERT_EQUAL(0LL, toMilliseconds(decision.retryAfter) % 1000);
        CPPUNIT_ASSERT(decision.retryAfter >= seconds(1));
        AdmissionController off(AdmissionMode::Off, service.monitor);
        CPPUNIT_ASSERT(decide(off, 6'500, makeOwnJob("next-job", 100)).accepted);
    }

    // Guards against a backlog without the work that takes the hosts first.
    void countsMoreUrgentWork()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.run(0, 6'000, 5);
        service.add(6'000, makeOwnJob("urgent-job", 2'000, 0));
        service.monitor.measureIfDue(at(6'250), service.state, true);
        CPPUNIT_ASSERT(!decide(admission, 6'250, makeOwnJob("next-job", 1)).accepted);
    }

    // Guards against rejections because of work that comes after the job.
    void passesOverLessUrgentAndOverdueWork()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.add(0, makeOwnJob("overdue-job", 10));
        service.run(0, 12'000, 5);
        service.add(12'000, makeOwnJob("later-job", 9'000, 3));
        service.monitor.measureIfDue(at(12'250), service.state, true);
        const AdmissionDecision decision = decide(admission, 12'250, makeOwnJob("next-job", 100));
        CPPUNIT_ASSERT(decision.accepted);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, decision.backlog, tolerance);
    }

    // Guards against a backlog of hosts that the job cannot use.
    void workOfOtherServicesDoesNotCount()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.run(0, 6'000, 5);
        Wire::JobDefinition other = makeOwnJob("other-job", 9'000, 0);
        other.serviceName = "counter";
        service.add(6'000, other);
        service.monitor.measureIfDue(at(6'250), service.state, true);
        CPPUNIT_ASSERT(decide(admission, 6'250, makeOwnJob("next-job", 1)).accepted);
    }

    // Guards against rejections of jobs that the estimate does not cover.
    void repeatedAndLongRunningJobsAreAccepted()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.run(0, 6'000, 5);
        service.add(6'000, makeOwnJob("early-job", 9'000));
        service.monitor.measureIfDue(at(6'250), service.state, true);
        Wire::JobDefinition next = makeOwnJob("next-job", 9'001);
        CPPUNIT_ASSERT(!decide(admission, 6'250, next).accepted);
        next.occurrences = 3;
        CPPUNIT_ASSERT(decide(admission, 6'250, next).accepted);
        next.occurrences = 0;
        next.steps[0].longRunning = true;
        CPPUNIT_ASSERT(decide(admission, 6'250, next).accepted);
    }

    // Guards against a backlog of waiting tasks alone: nearly all fillers have a host, where they advance slowly.
    void placedRunsCountWithTheWorkThatIsLeft()
    {
        SaturatedService service;
        JobState& job = service.add(0, makeOwnJob("placed-job", 4));
        Host host;
        for (int n = 0; n < 4; ++n) {
            HostRun run;
            run.task = makeTask("placed-job", 0, n);
            run.run = 1;
            run.demand.milliProcessors = 1000;
            run.estimateMilliseconds = 1000;
            run.filler = true;
            run.recentPace = 0.25;
            run.progressPercent = n == 0 ? 50 : 0;
            HostRegistry::addRun(host, run);
        }
        job.steps()[0].waitingTasks = 0;
        service.state.hosts.hosts()["host-1"] = host;
        service.monitor.measureIfDue(at(250), service.state, true);
        const JobWork& work = service.monitor.jobsOf("desk")->at("placed-job");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, work.remaining, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, work.placed, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, work.waitingCores, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, work.pacedDownCores, tolerance);
    }

    // Guards against rejections after a time in which nothing could be started.
    void heldBackStartsShowNoRate()
    {
        SaturatedService service;
        AdmissionController admission(AdmissionMode::RejectUnservable, service.monitor);
        service.run(0, 6'000, 0, false);
        service.add(6'000, makeOwnJob("early-job", 9'000));
        service.run(6'250, 8'000, 1);
        CPPUNIT_ASSERT(decide(admission, 8'000, makeOwnJob("next-job", 9'001)).accepted);
    }

    // Guards against another reason or retry time than before while the store is unavailable.
    void theStoreIsNamedWhileItIsUnavailable()
    {
        OwnerRules rules;
        rules.admission = AdmissionMode::RejectUnservable;
        OwnerHarness harness(1, rules);
        harness.announceAndReport(0, makeReport("host-1", 1, 100));
        harness.settle(0);
        harness.storeUnavailable = true;
        harness.submit(100, makeOwnJob("first-job", 1));
        harness.settle(100);
        // Taken out and not answered.
        CPPUNIT_ASSERT(harness.owner.nextAppend(at(200)));
        harness.settle(2'000);
        harness.submit(2'100, makeOwnJob("next-job", 1));
        CPPUNIT_ASSERT_EQUAL(std::string("store_away"), harness.replies.back().reason);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'000), harness.replies.back().retryAfterMilliseconds);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);
