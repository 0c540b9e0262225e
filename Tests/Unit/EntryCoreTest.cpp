/// Tests EntryCore: an entry that reads the log from the beginning never uses a bundle version that has been replaced.
#include "Decision/Process/EntryCore.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class EntryCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryCoreTest);
    CPPUNIT_TEST(doesNotActivateOlderBundlesWhileReadingTheLog);
    CPPUNIT_TEST(theFirstBundleOfAVersionInTheLogWins);
    CPPUNIT_TEST_SUITE_END();

    static EntryCore makeEntry()
    {
        return EntryCore(
            EntryIdentity { "entry", 1, "zone", "cell" }, testRegistry(0), [](std::size_t) { return std::size_t(0); },
            at(0));
    }

    static void deliverLog(EntryCore& entry, const std::vector<std::string>& envelopes, bool reachedEnd)
    {
        LogRead logRead;
        logRead.began = at(0);
        logRead.reachedEnd = reachedEnd;
        for (const std::string& envelope : envelopes)
            logRead.texts.push_back(encodeRecord(BundleRecord { envelope }));
        Actions actions;
        entry.onLogRead(at(1), logRead, actions);
    }

    void doesNotActivateOlderBundlesWhileReadingTheLog()
    {
        EntryCore entry = makeEntry();
        deliverLog(entry, { signedBundle(testBundleContent(1)) }, false);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), entry.bundles().version());
        deliverLog(entry, { signedBundle(testBundleContent(2)), signedBundle(testBundleContent(3)) }, true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), entry.bundles().version());
    }

    void theFirstBundleOfAVersionInTheLogWins()
    {
        Json other = testBundleContent(2);
        other["retry_percent"] = 20;
        EntryCore entry = makeEntry();
        deliverLog(entry, { signedBundle(other), signedBundle(testBundleContent(2)) }, true);
        CPPUNIT_ASSERT_EQUAL(20, entry.bundles().current()->retryPercent());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryCoreTest);
