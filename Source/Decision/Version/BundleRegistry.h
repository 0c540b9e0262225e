/// The bundle in force at one process. A signed bundle replaces the current one only if its version is newer.
#pragma once

#include "Decision/Version/Bundle.h"

#include <memory>

namespace Plantainpier {

/// Returns the text of a signed bundle, as it is stored in the log and sent between processes:
/// {"content": {…}, "signer": KEY_ID, "signature": HEX}, where the signature covers the canonical text of the content.
std::string makeEnvelope(const Json& content, const std::string& signer, const std::string& signature);

/// Returns the canonical JSON text of the content (sorted keys, no white space), which the signature covers.
std::string canonicalText(const Json& content);

/// Holds the newest bundle that is signed with a trusted key. Used by entries and sides.
class BundleRegistry {
public:
    /// Takes the trusted public keys in hexadecimal. Returns an error if one of them is not a public key.
    static Result<BundleRegistry> create(const std::vector<std::string>& trustedKeys);

    /// Puts the bundle in force if its signature and content are valid and its version is newer. The envelope of the
    /// bundle that is already in force is accepted without effect.
    Result<Success> activate(const std::string& envelope);

    /// Null until the first bundle is in force.
    const std::shared_ptr<const Bundle>& current() const { return m_current; }
    /// Zero until the first bundle is in force.
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
