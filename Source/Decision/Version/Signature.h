/// Ed25519 signatures by libsodium, with keys and signatures as lower-case hexadecimal text.
#pragma once

#include "Base/Result.h"

#include <string>

namespace Plantainpier {

/// A signing key pair. The secret is wiped when the object goes.
class SigningKey {
public:
    /// A fresh random key.
    static Result<SigningKey> generate();
    /// From the hexadecimal secret of a key file.
    static Result<SigningKey> fromSecret(const std::string& secretHex);

    SigningKey(SigningKey&& other) noexcept;
    SigningKey& operator=(SigningKey&& other) noexcept;
    SigningKey(const SigningKey&) = delete;
    SigningKey& operator=(const SigningKey&) = delete;
    ~SigningKey();

    std::string sign(const std::string& text) const;
    /// The name of the key: the first bytes of the hash of its public half.
    std::string keyId() const;
    std::string publicHex() const;
    std::string secretHex() const;

private:
    SigningKey() = default;

    std::string m_secret;
    std::string m_public;
};

/// The key id of a public key; an error when the text is not a public key.
Result<std::string> keyIdOfPublicKey(const std::string& publicHex);

/// Whether the signature fits the text under the public key.
bool isSignatureValid(const std::string& text, const std::string& signatureHex, const std::string& publicHex);

} // namespace Plantainpier
