/// Guards against an entry that reads the log from its beginning and applies bundles that later ones have replaced.
#include "Decision/Process/EntryCore.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class EntryCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryCoreTest);
    CPPUNIT_TEST(doesNotActivateReplacedBundles);
    CPPUNIT_TEST(activatesTheFirstBundleOfAVersionInTheLog);
    CPPUNIT_TEST_SUITE_END();

    static EntryCore makeEntry()
    {
        return EntryCore(
            EntryIdentity { "entry", 1, "zone", "cell" }, makeTestRegistry(0),
            [](std::size_t) { return std::size_t(0); }, at(0));
    }

    static void read(EntryCore& entry, const std::vector<std::string>& envelopes, bool reachedEnd)
    {
        LogRead read;
        read.startedAt = at(0);
        read.reachedEnd = reachedEnd;
        for (const std::string& envelope : envelopes)
            read.texts.push_back(encodeRecord(BundleRecord { envelope }));
        Actions actions;
        entry.onLogRead(at(1), read, actions);
    }

    void doesNotActivateReplacedBundles()
    {
        EntryCore entry = makeEntry();
        read(entry, { makeSignedBundle(makeTestBundleContent(1)) }, false);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), entry.bundles().version());
        read(entry, { makeSignedBundle(makeTestBundleContent(2)), makeSignedBundle(makeTestBundleContent(3)) }, true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), entry.bundles().version());
    }

    void activatesTheFirstBundleOfAVersionInTheLog()
    {
        Json other = makeTestBundleContent(2);
        other["retry_percent"] = 20;
        EntryCore entry = makeEntry();
        read(entry, { makeSignedBundle(other), makeSignedBundle(makeTestBundleContent(2)) }, true);
        CPPUNIT_ASSERT_EQUAL(20, entry.bundles().current()->retryPercent());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryCoreTest);
