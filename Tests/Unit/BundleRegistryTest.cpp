/// Only signed, newer and valid bundles are activated, and each refusal states its reason.
#include "Support/TestBundle.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class BundleRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BundleRegistryTest);
    CPPUNIT_TEST(activatesASignedBundle);
    CPPUNIT_TEST(refusesOlderVersions);
    CPPUNIT_TEST(keepsTheFirstOfTwoBundlesWithTheSameVersion);
    CPPUNIT_TEST(refusesForgedBundles);
    CPPUNIT_TEST(reportsEveryErrorWithItsPath);
    CPPUNIT_TEST(refusesEveryTruncatedOrAlteredBundle);
    CPPUNIT_TEST_SUITE_END();

    static ErrorCode refusal(BundleRegistry& registry, const std::string& envelope)
    {
        const Result<Success> activated = registry.activate(envelope);
        return isOk(activated) ? ErrorCode::Ok : errorOf(activated).code;
    }

    void activatesASignedBundle()
    {
        const BundleRegistry registry = makeTestRegistry(7);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), registry.version());
        CPPUNIT_ASSERT(registry.current()->findClass("urgent") != nullptr);
    }

    void refusesOlderVersions()
    {
        BundleRegistry registry = makeTestRegistry(7);
        CPPUNIT_ASSERT(refusal(registry, makeSignedBundle(makeTestBundleContent(6))) == ErrorCode::VersionNotNewer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), registry.version());
        CPPUNIT_ASSERT(refusal(registry, makeSignedBundle(makeTestBundleContent(8))) == ErrorCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), registry.version());
    }

    void keepsTheFirstOfTwoBundlesWithTheSameVersion()
    {
        BundleRegistry registry = makeTestRegistry(7);
        Json other = makeTestBundleContent(7);
        other["retry_percent"] = 50;
        CPPUNIT_ASSERT(refusal(registry, makeSignedBundle(other)) == ErrorCode::VersionNotNewer);
        CPPUNIT_ASSERT(refusal(registry, makeSignedBundle(makeTestBundleContent(7))) == ErrorCode::Ok);
        CPPUNIT_ASSERT_EQUAL(10, registry.current()->retryPercent());
    }

    void refusesForgedBundles()
    {
        BundleRegistry registry = makeTestRegistry(1);
        const SigningKey unknownKey = takeValue(SigningKey::generate());
        CPPUNIT_ASSERT(
            refusal(registry, makeSignedBundle(makeTestBundleContent(2), unknownKey)) == ErrorCode::SignerUnknown);
        const std::string mismatchedEnvelope = makeEnvelope(
            makeTestBundleContent(2), testKey().keyId(), testKey().sign(canonicalText(makeTestBundleContent(3))));
        CPPUNIT_ASSERT(refusal(registry, mismatchedEnvelope) == ErrorCode::SignatureInvalid);
        CPPUNIT_ASSERT(refusal(registry, "[]") == ErrorCode::BundleInvalid);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), registry.version());
    }

    void reportsEveryErrorWithItsPath()
    {
        Json content = makeTestBundleContent(1);
        content["classes"][0]["guaranteed_percent"] = 60;
        content["classes"][1]["colour"] = "red";
        content["retry_percent"] = 1000;
        const Result<Bundle> bundle = Bundle::parse(content);
        CPPUNIT_ASSERT(!isOk(bundle));
        const std::string text = errorOf(bundle).message;
        CPPUNIT_ASSERT(text.find("/classes: guarantees 120%") != std::string::npos);
        CPPUNIT_ASSERT(text.find("/classes/1/colour") != std::string::npos);
        CPPUNIT_ASSERT(text.find("/retry_percent") != std::string::npos);
    }

    void refusesEveryTruncatedOrAlteredBundle()
    {
        BundleRegistry registry = makeTestRegistry(1);
        const std::string envelope = makeSignedBundle(makeTestBundleContent(2));
        for (std::size_t n = 0; n < envelope.size(); ++n)
            CPPUNIT_ASSERT(refusal(registry, envelope.substr(0, n)) != ErrorCode::Ok);
        for (std::size_t n = 0; n < envelope.size(); ++n) {
            std::string altered = envelope;
            altered[n] = static_cast<char>(altered[n] ^ 1);
            CPPUNIT_ASSERT(refusal(registry, altered) != ErrorCode::Ok);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), registry.version());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BundleRegistryTest);
