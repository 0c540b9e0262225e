#include "Shell/Version/KeyFile.h"

#include "Base/Json.h"

#include <fcntl.h>
#include <fstream>
#include <sodium.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumFieldBytes = 1024;
    constexpr mode_t ownerOnly = S_IRUSR | S_IWUSR;

    using Bytes = std::vector<unsigned char>;

    std::string toHex(const Bytes& bytes)
    {
        std::string hex(bytes.size() * 2 + 1, '\0');
        sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
        hex.pop_back();
        return hex;
    }

    Bytes fromHex(const std::string& hex)
    {
        Bytes bytes(hex.size() / 2);
        std::size_t n = 0;
        if (sodium_hex2bin(bytes.data(), bytes.size(), hex.data(), hex.size(), nullptr, &n, nullptr) != 0)
            n = 0;
        bytes.resize(n);
        return bytes;
    }

    /// Derives the encryption key from a passphrase; empty if there is not enough memory.
    Bytes deriveEncryptionKey(const std::string& passphrase, const Bytes& salt)
    {
        Bytes key(crypto_secretbox_KEYBYTES);
        const int ec = crypto_pwhash(key.data(), key.size(), passphrase.data(), passphrase.size(), salt.data(),
            crypto_pwhash_OPSLIMIT_INTERACTIVE, crypto_pwhash_MEMLIMIT_INTERACTIVE, crypto_pwhash_ALG_DEFAULT);
        return ec == 0 ? key : Bytes();
    }

    Result<Json> encryptSecret(const SigningKey& key, const std::string& passphrase)
    {
        if (passphrase.empty())
            return Json { { "secret", key.secretHex() } };
        Bytes salt(crypto_pwhash_SALTBYTES);
        Bytes nonce(crypto_secretbox_NONCEBYTES);
        randombytes_buf(salt.data(), salt.size());
        randombytes_buf(nonce.data(), nonce.size());
        const Bytes encryptionKey = deriveEncryptionKey(passphrase, salt);
        if (encryptionKey.empty())
            return Error { ErrorCode::Internal, "not enough memory to encrypt the key" };
        const std::string secret = key.secretHex();
        Bytes sealed(secret.size() + crypto_secretbox_MACBYTES);
        crypto_secretbox_easy(sealed.data(), reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
            nonce.data(), encryptionKey.data());
        return Json { { "salt", toHex(salt) }, { "nonce", toHex(nonce) }, { "sealed", toHex(sealed) } };
    }

    Result<std::string> decryptSecret(JsonReader& reader, const std::string& path, const std::string& passphrase)
    {
        const std::string plain = reader.optionalString("secret", maximumFieldBytes, "");
        if (!plain.empty())
            return plain;
        const Bytes salt = fromHex(reader.requiredString("salt", maximumFieldBytes));
        const Bytes nonce = fromHex(reader.requiredString("nonce", maximumFieldBytes));
        const Bytes sealed = fromHex(reader.requiredString("sealed", maximumFieldBytes));
        const Error invalid { ErrorCode::KeyFileInvalid,
            path + ": the secret cannot be decrypted with this passphrase" };
        if (passphrase.empty())
            return Error { ErrorCode::KeyFileInvalid, path + ": is sealed; give --passphrase-file" };
        if (salt.size() != crypto_pwhash_SALTBYTES || nonce.size() != crypto_secretbox_NONCEBYTES
            || sealed.size() <= crypto_secretbox_MACBYTES)
            return invalid;
        const Bytes encryptionKey = deriveEncryptionKey(passphrase, salt);
        std::string secret(sealed.size() - crypto_secretbox_MACBYTES, '\0');
        if (encryptionKey.empty()
            || crypto_secretbox_open_easy(reinterpret_cast<unsigned char*>(secret.data()), sealed.data(), sealed.size(),
                   nonce.data(), encryptionKey.data())
                != 0)
            return invalid;
        return secret;
    }

    Result<Json> readJson(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return Error { ErrorCode::KeyFileInvalid, path + ": cannot be read" };
        std::ostringstream text;
        text << file.rdbuf();
        Result<Json> parsed = parseJsonObject(text.str());
        if (!isOk(parsed))
            return Error { ErrorCode::KeyFileInvalid, path + ": " + errorOf(parsed).message };
        return parsed;
    }

} // namespace

Result<Success> writeKeyFile(const std::string& path, const SigningKey& key, const std::string& passphrase)
{
    Result<Json> sealed = encryptSecret(key, passphrase);
    if (!isOk(sealed))
        return errorOf(sealed);
    Json json = takeValue(std::move(sealed));
    json["key_id"] = key.keyId();
    json["public"] = key.publicHex();
    const std::string text = json.dump(2) + "\n";
    const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, ownerOnly);
    if (file < 0)
        return Error { ErrorCode::KeyFileInvalid, path + ": cannot be created; name a file that does not exist" };
    const bool written = write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    const bool closed = close(file) == 0;
    if (!written || !closed)
        return Error { ErrorCode::KeyFileInvalid, path + ": cannot be written" };
    return Success {};
}

Result<SigningKey> readKeyFile(const std::string& path, const std::string& passphrase)
{
    struct stat status { };
    if (stat(path.c_str(), &status) != 0)
        return Error { ErrorCode::KeyFileInvalid, path + ": cannot be read" };
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return Error { ErrorCode::KeyFileUnsafe,
            path + ": is readable by users other than its owner; run chmod 600 on it" };
    const Result<Json> json = readJson(path);
    if (!isOk(json))
        return errorOf(json);
    JsonReader reader(valueOf(json), path);
    const Result<std::string> secret = decryptSecret(reader, path, passphrase);
    if (!isOk(secret))
        return errorOf(secret);
    return SigningKey::fromSecret(valueOf(secret));
}

Result<std::string> readPublicKey(const std::string& path)
{
    const Result<Json> json = readJson(path);
    if (!isOk(json))
        return errorOf(json);
    JsonReader reader(valueOf(json), path);
    std::string key = reader.requiredString("public", maximumFieldBytes);
    if (!reader.errors().empty())
        return Error { ErrorCode::KeyFileInvalid, joinErrors(reader.errors()).message };
    return key;
}

} // namespace Plantainpier
