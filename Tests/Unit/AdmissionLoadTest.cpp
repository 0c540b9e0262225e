/// Tests admission under load in virtual time. The load pattern: hosts are asked for 2.5 times what they can do, for
/// some seconds or for a minute.
#include "Support/HistorySeeds.h"
#include "Support/OverloadedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace Plantainpier;

class AdmissionLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionLoadTest);
    CPPUNIT_TEST(aSustainedOverloadIsRejectedAtOnce);
    CPPUNIT_TEST(aBurstOfSixSecondsIsNotCut);
    CPPUNIT_TEST(nothingIsRejectedWithoutTheSetting);
    CPPUNIT_TEST(rejectedJobsRunOnlyIfTheyReturn);
    CPPUNIT_TEST(acceptedJobsAreCompleted);
    CPPUNIT_TEST(retryTimesFollowTheOrderOfRejections);
    CPPUNIT_TEST(rejectionsAreTrue);
    CPPUNIT_TEST_SUITE_END();

    static OverloadScenario makeScenario(unsigned seed)
    {
        OverloadScenario scenario;
        scenario.seed = seed;
        scenario.rules.admission = AdmissionMode::RejectUnservable;
        return scenario;
    }

    static std::vector<std::string> rejectionLines(const OverloadedFleet& fleet)
    {
        std::vector<std::string> lines = fleet.harness().linesOf("submit");
        std::erase_if(lines, [](const std::string& line) {
            return line.find("outcome=refused why=cannot_be_completed_in_time expected_ms=") == std::string::npos;
        });
        return lines;
    }

    // Guards against requests that are held until they are of no use.
    void aSustainedOverloadIsRejectedAtOnce()
    {
        OverloadScenario scenario = makeScenario(1);
        scenario.burstUntil = 120'000;
        scenario.arrivalsUntil = 120'000;
        OverloadedFleet fleet(scenario);
        fleet.run();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.rejections()), fleet.rejections() > 20);
        CPPUNIT_ASSERT_EQUAL(fleet.rejections(), rejectionLines(fleet).size());
        for (const JobHistory& job : fleet.jobs())
            CPPUNIT_ASSERT_MESSAGE("each attempt is answered", job.nextAttemptAt < 0);
    }

    /// Plays the scenario again with one job that is accepted without an estimate, and returns what becomes of that
    /// job.
    static JobHistory playAccepted(OverloadScenario scenario, const std::string& jobId)
    {
        scenario.exempt.insert(jobId);
        OverloadedFleet fleet(scenario);
        fleet.run();
        return *std::find_if(fleet.jobs().begin(), fleet.jobs().end(),
            [&jobId](const JobHistory& job) { return job.definition.jobId == jobId; });
    }

    // Guards against rejections during a burst that can still be served late.
    void aBurstOfSixSecondsIsNotCut()
    {
        std::ostringstream text;
        std::size_t jobs = 0;
        std::size_t rejected = 0;
        for (unsigned seed = 1; seed <= 6; ++seed) {
            OverloadScenario scenario = makeScenario(seed);
            scenario.fillers = seed % 2 == 0;
            scenario.burstLoad = 2.5 * scenario.usualLoad;
            scenario.burstUntil = scenario.burstFrom + 6'000;
            scenario.arrivalsUntil = 30'000;
            scenario.endAt = 60'000;
            OverloadedFleet fleet(scenario);
            fleet.run();
            jobs += fleet.jobs().size();
            for (const JobHistory& job : fleet.jobs()) {
                if (job.rejectedAt.empty())
                    continue;
                ++rejected;
                const JobHistory accepted = playAccepted(scenario, job.definition.jobId);
                if (accepted.isUseful())
                    text << "seed " << seed << " job " << job.definition.jobId << " could have been served\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), text.str());
        // Jobs with a very short allowed time cannot be served even late.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rejected), 100 * rejected <= jobs);
    }

    // Guards against changed decisions of deployments without the setting.
    void nothingIsRejectedWithoutTheSetting()
    {
        OverloadScenario scenario = makeScenario(1);
        scenario.rules.admission = AdmissionMode::Off;
        OverloadedFleet fleet(scenario);
        fleet.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.rejections());
    }

    // Guards against a rejected job that runs all the same.
    void rejectedJobsRunOnlyIfTheyReturn()
    {
        OverloadedFleet fleet(makeScenario(3));
        fleet.run();
        std::size_t neverAccepted = 0;
        for (const JobHistory& job : fleet.jobs()) {
            neverAccepted += job.acceptedAt < 0 ? 1 : 0;
            CPPUNIT_ASSERT(job.acceptedAt >= 0 || !job.hasStarted);
        }
        CPPUNIT_ASSERT(neverAccepted > 0);
    }

    // Guards against accepted work that is given up.
    void acceptedJobsAreCompleted()
    {
        OverloadScenario scenario = makeScenario(4);
        scenario.endAt = 300'000;
        OverloadedFleet fleet(scenario);
        fleet.run();
        for (const JobHistory& job : fleet.jobs())
            CPPUNIT_ASSERT_MESSAGE(job.definition.jobId, job.acceptedAt < 0 || job.endedAt >= 0);
    }

    // Guards against clients that return all at once, and against those rejected later that are asked back earlier.
    void retryTimesFollowTheOrderOfRejections()
    {
        // Retry-After has whole seconds.
        constexpr int resolution = 1'000;
        OverloadedFleet fleet(makeScenario(5));
        fleet.run();
        std::vector<std::pair<int, int>> rejections;
        for (const JobHistory& job : fleet.jobs()) {
            for (std::size_t n = 0; n < job.rejectedAt.size(); ++n)
                rejections.emplace_back(job.rejectedAt[n], job.retryAt[n]);
        }
        std::sort(rejections.begin(), rejections.end());
        std::map<int, int> returnsBySecond;
        int latest = 0;
        for (const std::pair<int, int>& rejection : rejections) {
            CPPUNIT_ASSERT(rejection.second > latest - resolution);
            latest = std::max(latest, rejection.second);
            ++returnsBySecond[rejection.second / resolution];
        }
        int most = 0;
        for (const std::pair<const int, int>& second : returnsBySecond)
            most = std::max(most, second.second);
        // Arrivals at this load: some 12 a second.
        CPPUNIT_ASSERT_MESSAGE("most returns in a second: " + std::to_string(most), most <= 12);
    }

    static OverloadScenario makeRandomScenario(unsigned seed)
    {
        OverloadScenario scenario = makeScenario(seed);
        std::mt19937 random(7919UL * seed);
        const auto draw
            = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
        scenario.usualLoad = draw(0.5, 1.1);
        scenario.burstLoad = draw(1.4, 3);
        scenario.burstFrom = static_cast<int>(draw(3'000, 12'000));
        scenario.burstUntil = scenario.burstFrom + static_cast<int>(draw(15'000, 40'000));
        scenario.arrivalsUntil = scenario.burstUntil + 5'000;
        scenario.endAt = scenario.arrivalsUntil + 40'000;
        scenario.urgentLoad = draw(0, 1) < 0.5 ? draw(0.1, 0.5) : 0;
        scenario.fillers = draw(0, 1) < 0.5;
        scenario.slowdown = draw(0, 1) < 0.5 ? draw(0.1, 0.5) : 0;
        scenario.estimateError = draw(0.1, 0.9);
        if (draw(0, 1) < 0.5)
            scenario.rules.overloadOrder = OverloadOrder::FeasibleSet;
        return scenario;
    }

    // Guards against rejections of jobs that could have been completed, if only late. Each judged job is played again
    // and accepted there; all others are treated as before.
    void rejectionsAreTrue()
    {
        constexpr std::size_t judgedInPlay = 6;
        constexpr double mostWrongShare = 0.02;
        const HistorySeeds seeds = historySeeds(24);
        std::size_t judged = 0;
        std::size_t wrong = 0;
        std::ostringstream failures;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            const OverloadScenario scenario = makeRandomScenario(seed);
            OverloadedFleet fleet(scenario);
            fleet.run();
            std::vector<const JobHistory*> rejected;
            for (const JobHistory& job : fleet.jobs()) {
                if (!job.rejectedAt.empty())
                    rejected.push_back(&job);
            }
            const std::size_t stride = std::max<std::size_t>(1, rejected.size() / judgedInPlay);
            for (std::size_t n = 0; n < rejected.size(); n += stride) {
                const JobHistory job = playAccepted(scenario, rejected[n]->definition.jobId);
                ++judged;
                if (!job.isUseful())
                    continue;
                ++wrong;
                failures << "seed " << seed << " job " << job.definition.jobId << ": ended after "
                         << job.endedAt - job.firstAttemptAt << " ms, limit " << 3 * job.allowed << "\n";
            }
        }
        failures << "wrong " << wrong << " of " << judged << "\n";
        CPPUNIT_ASSERT_MESSAGE("the load makes rejections necessary", judged > 2 * seeds.count());
        CPPUNIT_ASSERT_MESSAGE(
            failures.str(), static_cast<double>(wrong) <= mostWrongShare * static_cast<double>(judged));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionLoadTest);
