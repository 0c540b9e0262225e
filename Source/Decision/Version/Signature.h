/// Ed25519 signatures, implemented with libsodium. Keys and signatures are lower-case hexadecimal text.
#pragma once

#include "Base/Result.h"

#include <string>

namespace Plantainpier {

/// A signing key pair. The destructor overwrites the secret key in memory.
class SigningKey {
public:
    /// Generates a random key pair.
    static Result<SigningKey> generate();
    /// Restores a key pair from the hexadecimal secret key of a key file.
    static Result<SigningKey> fromSecret(const std::string& secretHex);

    SigningKey(SigningKey&& other) noexcept;
    SigningKey& operator=(SigningKey&& other) noexcept;
    SigningKey(const SigningKey&) = delete;
    SigningKey& operator=(const SigningKey&) = delete;
    ~SigningKey();

    std::string sign(const std::string& text) const;
    /// The identifier of the key pair: the first 8 bytes of the hash of the public key, in hexadecimal.
    std::string keyId() const;
    std::string publicHex() const;
    std::string secretHex() const;

private:
    SigningKey() = default;

    std::string m_secret;
    std::string m_public;
};

/// Returns the key id of a public key, or an error if the text is not a public key.
Result<std::string> keyIdOfPublicKey(const std::string& publicHex);

/// Whether the signature of the text was made with the secret key that belongs to the public key.
bool isSignatureValid(const std::string& text, const std::string& signatureHex, const std::string& publicHex);

} // namespace Plantainpier
