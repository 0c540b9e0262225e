#include "Decision/Version/Signature.h"

#include <sodium.h>

namespace Plantainpier {

namespace {

    constexpr std::size_t keyIdBytes = 8;

    std::string toHex(const std::string& bytes)
    {
        std::string hex(bytes.size() * 2 + 1, '\0');
        sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
        hex.pop_back();
        return hex;
    }

    /// Decodes hexadecimal text. Returns an empty string unless the text encodes exactly the given number of bytes.
    std::string fromHex(const std::string& hex, std::size_t byteCount)
    {
        if (hex.size() != byteCount * 2)
            return {};
        std::string bytes(byteCount, '\0');
        std::size_t decodedBytes = 0;
        const int status = sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), byteCount, hex.data(),
            hex.size(), nullptr, &decodedBytes, nullptr);
        return status == 0 && decodedBytes == byteCount ? bytes : std::string();
    }

    const unsigned char* data(const std::string& text) { return reinterpret_cast<const unsigned char*>(text.data()); }
    unsigned char* data(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

    std::string keyIdOf(const std::string& publicBytes)
    {
        std::string hash(crypto_generichash_BYTES, '\0');
        crypto_generichash(data(hash), hash.size(), data(publicBytes), publicBytes.size(), nullptr, 0);
        return toHex(hash.substr(0, keyIdBytes));
    }

} // namespace

Result<SigningKey> SigningKey::generate()
{
    if (sodium_init() < 0)
        return Error { ErrorCode::Internal, "libsodium cannot be initialized" };
    SigningKey key;
    key.m_secret.resize(crypto_sign_SECRETKEYBYTES);
    key.m_public.resize(crypto_sign_PUBLICKEYBYTES);
    crypto_sign_keypair(data(key.m_public), data(key.m_secret));
    return key;
}

Result<SigningKey> SigningKey::fromSecret(const std::string& secretHex)
{
    SigningKey key;
    key.m_secret = fromHex(secretHex, crypto_sign_SECRETKEYBYTES);
    if (key.m_secret.empty())
        return Error { ErrorCode::KeyFileInvalid, "the secret is not a hexadecimal Ed25519 secret key" };
    key.m_public.resize(crypto_sign_PUBLICKEYBYTES);
    crypto_sign_ed25519_sk_to_pk(data(key.m_public), data(key.m_secret));
    return key;
}

SigningKey::SigningKey(SigningKey&& other) noexcept { *this = std::move(other); }

SigningKey& SigningKey::operator=(SigningKey&& other) noexcept
{
    std::swap(m_secret, other.m_secret);
    std::swap(m_public, other.m_public);
    return *this;
}

SigningKey::~SigningKey() { sodium_memzero(m_secret.data(), m_secret.size()); }

std::string SigningKey::sign(const std::string& text) const
{
    std::string signature(crypto_sign_BYTES, '\0');
    crypto_sign_detached(data(signature), nullptr, data(text), text.size(), data(m_secret));
    return toHex(signature);
}

std::string SigningKey::keyId() const { return keyIdOf(m_public); }
std::string SigningKey::publicHex() const { return toHex(m_public); }
std::string SigningKey::secretHex() const { return toHex(m_secret); }

Result<std::string> keyIdOfPublicKey(const std::string& publicHex)
{
    const std::string bytes = fromHex(publicHex, crypto_sign_PUBLICKEYBYTES);
    if (bytes.empty())
        return Error { ErrorCode::KeyFileInvalid, "not a hexadecimal Ed25519 public key" };
    return keyIdOf(bytes);
}

bool isSignatureValid(const std::string& text, const std::string& signatureHex, const std::string& publicHex)
{
    const std::string signature = fromHex(signatureHex, crypto_sign_BYTES);
    const std::string publicKey = fromHex(publicHex, crypto_sign_PUBLICKEYBYTES);
    if (signature.empty() || publicKey.empty())
        return false;
    return crypto_sign_verify_detached(data(signature), data(text), text.size(), data(publicKey)) == 0;
}

} // namespace Plantainpier
