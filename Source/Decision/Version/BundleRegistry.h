/// The bundle in force at one process: verifies what it is offered and never goes back.
#pragma once

#include "Decision/Version/Bundle.h"

#include <memory>

namespace Plantainpier {

/// A signed bundle as text: what the log holds and what processes pass on.
/// Shape: {"content": {…}, "signer": KEY_ID, "signature": HEX} where the signature covers content in canonical form
/// (sorted keys, no blanks).
std::string makeEnvelope(const Json& content, const std::string& signer, const std::string& signature);

/// The text of a content that signatures cover.
std::string canonicalText(const Json& content);

/// Holds the newest bundle that a trusted key signed. Used by entries and sides alike.
class BundleRegistry {
public:
    /// Trusted public keys in hexadecimal; an error names the one that is not a key.
    static Result<BundleRegistry> create(const std::vector<std::string>& trustedKeys);

    /// Activates the bundle if it is valid and newer. Offering the one in force again is not an error.
    Result<Success> offer(const std::string& envelope);

    /// Null while the process knows no bundle.
    const std::shared_ptr<const Bundle>& current() const { return m_current; }
    /// Zero while the process knows no bundle.
    std::int64_t version() const { return m_current ? m_current->version() : 0; }
    const std::string& envelope() const { return m_envelope; }

private:
    BundleRegistry() = default;
    Result<Bundle> verify(const std::string& envelope) const;

    std::map<std::string, std::string> m_trustedKeys;
    std::shared_ptr<const Bundle> m_current;
    std::string m_envelope;
};

} // namespace Plantainpier
