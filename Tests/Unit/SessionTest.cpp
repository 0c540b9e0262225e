/// Compares all log lines of the real decision cores in simulated sessions with golden files.
#include "Support/VirtualSystem.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace Plantainpier;

class SessionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SessionTest);
    CPPUNIT_TEST(aRequestItsResendAndDroppedTraffic);
    CPPUNIT_TEST(aRollOutARaceAndARollBack);
    CPPUNIT_TEST_SUITE_END();

    /// Compares the log lines with Tests/Golden/NAME.txt; PLANTAINPIER_UPDATE_GOLDEN=1 rewrites the file instead.
    static void compareWithGoldenFile(const std::string& name, const VirtualSystem& system)
    {
        std::ostringstream text;
        for (const std::string& line : system.lines())
            text << line << "\n";
        const std::string path = std::string(PROJECT_DIRECTORY) + "/Tests/Golden/" + name + ".txt";
        if (std::getenv("PLANTAINPIER_UPDATE_GOLDEN")) {
            std::ofstream(path) << text.str();
            return;
        }
        std::ostringstream expected;
        expected << std::ifstream(path).rdbuf();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("Tests/Golden/" + name + ".txt", expected.str(), text.str());
    }

    static CallerRequest makeRequest(const std::string& key, bool resend)
    {
        CallerRequest request;
        request.key = key;
        request.caller = "tower";
        request.className = "checks";
        request.deadline = milliseconds(800);
        request.body = key;
        request.resend = resend;
        return request;
    }

    void aRequestItsResendAndDroppedTraffic()
    {
        VirtualOptions options;
        options.recordLog = true;
        options.service = milliseconds(200);
        VirtualSystem system(options);
        system.runFor(seconds(2));
        const CallerToken first = system.request(0, makeRequest("pad-7", false));
        system.runFor(milliseconds(20));
        for (int n = 0; n < options.sides; ++n)
            system.silence(system.side(n));
        system.runFor(milliseconds(10));
        const CallerToken second = system.request(1, makeRequest("pad-7", true));
        system.runFor(seconds(2));
        CPPUNIT_ASSERT(system.answerTo(first) && system.answerTo(second));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), system.answerTo(first)->body.value("outcome", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), system.answerTo(second)->body.value("outcome", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), system.runs().size());
        compareWithGoldenFile("request-resend-silence", system);
    }

    void aRollOutARaceAndARollBack()
    {
        VirtualOptions options;
        options.recordLog = true;
        options.bundleVersion = 0;
        VirtualSystem system(options);
        system.runFor(seconds(2));
        const CallerToken first = system.rollOut(0, signedBundle(testBundleContent(1)));
        system.runFor(seconds(1));
        // Two operators roll out different bundles as version 2 at the same time, through two entries.
        Json other = testBundleContent(2);
        other["retry_percent"] = 20;
        const CallerToken firstRival = system.rollOut(0, signedBundle(testBundleContent(2)));
        const CallerToken secondRival = system.rollOut(1, signedBundle(other));
        system.runFor(seconds(1));
        const bool firstRivalWon = system.answerTo(firstRival)->code == ErrorCode::Ok;
        const bool secondRivalWon = system.answerTo(secondRival)->code == ErrorCode::Ok;
        CPPUNIT_ASSERT_MESSAGE("exactly one of two concurrent roll-outs succeeds", firstRivalWon != secondRivalWon);
        CPPUNIT_ASSERT(system.answerTo(firstRivalWon ? secondRival : firstRival)->code == ErrorCode::RollOutLost);
        // A roll-back is a new version with the old content; restarts do not revert the version.
        const CallerToken rollBack = system.rollOut(1, signedBundle(testBundleContent(3)));
        system.runFor(seconds(1));
        CPPUNIT_ASSERT(system.answerTo(first)->code == ErrorCode::Ok);
        CPPUNIT_ASSERT(system.answerTo(rollBack)->code == ErrorCode::Ok);
        for (int n = 0; n < options.entries + options.sides; ++n)
            system.crash(n, milliseconds(100));
        system.runFor(seconds(3));
        for (int n = 0; n < options.entries; ++n)
            CPPUNIT_ASSERT_EQUAL(std::int64_t(3), system.entryCore(n).bundles().version());
        for (int n = 0; n < options.sides; ++n)
            CPPUNIT_ASSERT_EQUAL(std::int64_t(3), system.sideCore(n).bundles().version());
        compareWithGoldenFile("roll-out-race-roll-back", system);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);
