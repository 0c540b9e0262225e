/// Signed bundles and a registry with a test key. Used by the tests of bundles and of simulated systems.
#pragma once

#include "Decision/Version/BundleRegistry.h"
#include "Decision/Version/Signature.h"

#include <cppunit/TestAssert.h>

namespace Plantainpier {

/// The content of a bundle with three classes: urgent (guaranteed 25%), checks (50%) and watchers (10%).
inline Json makeTestBundleContent(std::int64_t version)
{
    return Json {
        { "version", version },
        { "classes",
            { { { "name", "urgent" }, { "priority", 0 }, { "guaranteed_percent", 25 }, { "queue_limit", 64 } },
                { { "name", "checks" }, { "priority", 2 }, { "guaranteed_percent", 50 }, { "queue_limit", 64 } },
                { { "name", "watchers" }, { "priority", 7 }, { "guaranteed_percent", 10 }, { "queue_limit", 64 } } } }
    };
}

/// The signing key of the whole test run.
inline const SigningKey& testKey()
{
    static const SigningKey key = takeValue(SigningKey::generate());
    return key;
}

inline std::string makeSignedBundle(const Json& content, const SigningKey& key = testKey())
{
    return makeEnvelope(content, key.keyId(), key.sign(canonicalText(content)));
}

/// A registry that trusts the test key. A test bundle of the given version is active unless the version is zero.
inline BundleRegistry makeTestRegistry(std::int64_t version)
{
    BundleRegistry registry = takeValue(BundleRegistry::create({ testKey().publicHex() }));
    if (version > 0)
        CPPUNIT_ASSERT(isOk(registry.activate(makeSignedBundle(makeTestBundleContent(version)))));
    return registry;
}

} // namespace Plantainpier
