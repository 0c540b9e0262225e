/// Golden sessions: the complete event output of the real decision cores in virtual time, compared with files.
#include "Support/VirtualSystem.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace Plantainpier;

class SessionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SessionTest);
    CPPUNIT_TEST(aRequestItsResendAndASilentConnection);
    CPPUNIT_TEST(aRollOutTwoConcurrentRollOutsAndARollBack);
    CPPUNIT_TEST_SUITE_END();

    /// Compares with Tests/Golden/NAME.txt; with PLANTAINPIER_UPDATE_GOLDEN=1 it rewrites the file instead.
    static void compare(const std::string& name, const VirtualSystem& system)
    {
        std::ostringstream text;
        for (const std::string& line : system.logLines())
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

    static CallerRequest request(const std::string& key, bool resend)
    {
        CallerRequest callerRequest;
        callerRequest.key = key;
        callerRequest.caller = "tower";
        callerRequest.className = "checks";
        callerRequest.deadline = milliseconds(800);
        callerRequest.body = key;
        callerRequest.resend = resend;
        return callerRequest;
    }

    void aRequestItsResendAndASilentConnection()
    {
        VirtualOptions options;
        options.recordLogLines = true;
        options.serviceTime = milliseconds(200);
        VirtualSystem system(options);
        system.runFor(seconds(2));
        const CallerToken first = system.request(0, request("pad-7", false));
        system.runFor(milliseconds(20));
        for (int n = 0; n < options.sides; ++n)
            system.dropTraffic(system.side(n));
        system.runFor(milliseconds(10));
        const CallerToken second = system.request(1, request("pad-7", true));
        system.runFor(seconds(2));
        CPPUNIT_ASSERT(system.answerTo(first) && system.answerTo(second));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), system.answerTo(first)->body.value("outcome", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), system.answerTo(second)->body.value("outcome", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), system.executedBodies().size());
        compare("request-resend-silence", system);
    }

    void aRollOutTwoConcurrentRollOutsAndARollBack()
    {
        VirtualOptions options;
        options.recordLogLines = true;
        options.bundleVersion = 0;
        VirtualSystem system(options);
        system.runFor(seconds(2));
        const CallerToken first = system.rollOut(0, makeSignedBundle(makeTestBundleContent(1)));
        system.runFor(seconds(1));
        // Two operators roll out different bundles as version 2 at the same time through two entries.
        Json other = makeTestBundleContent(2);
        other["retry_percent"] = 20;
        const CallerToken firstRace = system.rollOut(0, makeSignedBundle(makeTestBundleContent(2)));
        const CallerToken secondRace = system.rollOut(1, makeSignedBundle(other));
        system.runFor(seconds(1));
        const bool firstWon = system.answerTo(firstRace)->code == ErrorCode::Ok;
        const bool secondWon = system.answerTo(secondRace)->code == ErrorCode::Ok;
        CPPUNIT_ASSERT_MESSAGE("exactly one of two concurrent roll-outs must succeed", firstWon != secondWon);
        CPPUNIT_ASSERT(system.answerTo(firstWon ? secondRace : firstRace)->code == ErrorCode::RollOutLost);
        // A roll-back is a new version with the old content; restarts of processes never revert it.
        const CallerToken rollBack = system.rollOut(1, makeSignedBundle(makeTestBundleContent(3)));
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
        compare("roll-out-race-roll-back", system);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);
