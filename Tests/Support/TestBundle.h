/// A signed bundle for tests.
#pragma once

#include "Decision/Version/BundleRegistry.h"
#include "Decision/Version/Signature.h"

#include <cppunit/TestAssert.h>

namespace Plantainpier {

/// Three classes: urgent (guaranteed 25%), checks (50%), watchers (10%).
inline Json testBundleContent(std::int64_t version)
{
    return Json {
        { "version", version },
        { "classes",
            { { { "name", "urgent" }, { "priority", 0 }, { "guaranteed_percent", 25 }, { "queue_limit", 64 } },
                { { "name", "checks" }, { "priority", 2 }, { "guaranteed_percent", 50 }, { "queue_limit", 64 } },
                { { "name", "watchers" }, { "priority", 7 }, { "guaranteed_percent", 10 }, { "queue_limit", 64 } } } }
    };
}

/// One signing key for the whole test run.
inline const SigningKey& testKey()
{
    static const SigningKey key = takeValue(SigningKey::generate());
    return key;
}

inline std::string signedBundle(const Json& content, const SigningKey& key = testKey())
{
    return makeEnvelope(content, key.keyId(), key.sign(canonicalText(content)));
}

/// A registry that trusts the test key; with a bundle in force unless the version is zero.
inline BundleRegistry testRegistry(std::int64_t version)
{
    BundleRegistry registry = takeValue(BundleRegistry::create({ testKey().publicHex() }));
    if (version > 0)
        CPPUNIT_ASSERT(isOk(registry.offer(signedBundle(testBundleContent(version)))));
    return registry;
}

} // namespace Plantainpier
